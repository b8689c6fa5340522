"""Mutation tests: break one rule at a time and expect the named check to fail.

`docs/design/replicated-log.md` lists the pairs.
"""

from collections.abc import Callable

import pytest

from test.history import is_linearizable
from test.raft import test_core, test_lost_state, test_partitions
from test.raft.concurrent_clients import (
    Clients,
    ConfigurationModel,
    inject_random_fault,
)
from test.raft.small_group import SmallGroup
from test.storage import test_framing, test_log_storage
from turmericreel.coordination.raft.applier import Applier
from turmericreel.coordination.raft.core import RaftCore
from turmericreel.coordination.raft.elections import Elections
from turmericreel.coordination.raft.formation import Formation
from turmericreel.coordination.raft.member import Member
from turmericreel.coordination.raft.reconfiguration import Reconfiguration
from turmericreel.coordination.raft.replication import Replication
from turmericreel.coordination.raft.state import RaftState, Role
from turmericreel.fakes.faulty_disk import FaultyDisk, Survival
from turmericreel.model.failures import FailureError, StorageFailed
from turmericreel.protocols.raft_messages import TimeoutNow
from turmericreel.state.storage import framing
from turmericreel.state.storage.entries import Identity, MemberId, Membership
from turmericreel.state.storage.log_storage import LogStorage

Mutation = Callable[[pytest.MonkeyPatch], None]
Check = Callable[[], None]


def skip_sync(patch):
    init = FaultyDisk.__init__

    def dishonest(self, **options):
        init(self, **options)
        self.honours_sync = False

    patch.setattr(FaultyDisk, "__init__", dishonest)


def skip_folder_sync(patch):
    patch.setattr(FaultyDisk, "sync_folder", lambda self: None)


def continue_after_failed_sync(patch):
    patch.setattr(LogStorage, "_guard", _guard_without_stored_failure)


def _guard_without_stored_failure(self, action):
    self.failure = None
    try:
        return action()
    except OSError as error:
        failure = StorageFailed(path="", detail=str(error))
        raise FailureError(failure) from error


def treat_corrupt_as_torn(patch):
    patch.setattr(framing, "_classify_damage", lambda data, start, end: framing.TORN)


def skip_persisting_vote(patch):
    save = LogStorage.save

    def without_vote(self, hard_state, entries):
        save(self, None, entries)

    patch.setattr(LogStorage, "save", without_vote)


def send_before_durable(patch):
    def send_first(self, outputs):
        self._send_all(outputs.early_messages + outputs.messages)
        outputs.early_messages = outputs.messages = []
        persist(self, outputs)

    persist = Member._persist_and_send
    patch.setattr(Member, "_persist_and_send", send_first)


def count_leader_entries_before_durable(patch):
    write_in_background = Member._write_in_background

    def count_first(self, outputs):
        if outputs.entries:
            self.core.mark_persisted(outputs.entries[-1])
        write_in_background(self, outputs)

    patch.setattr(Member, "_write_in_background", count_first)


def skip_lease_check(patch):
    patch.setattr(
        RaftCore, "holds_lease", lambda self, now: self.state.role is Role.LEADER
    )


def start_lease_at_answer(patch):
    heard = Replication._record_answer

    def heard_now(self, message):
        progress = heard(self, message)
        if progress is not None:
            progress.acked_sent_at = message.sent_at + 0.3
        return progress

    patch.setattr(Replication, "_record_answer", heard_now)


def reuse_identity_after_data_loss(patch):
    """Reuse the old identity with an empty data folder."""

    def old_identity(self):
        member = MemberId(f"{self.instance}#1")
        voters = sorted({self.instance, *self.peers})
        initial = Membership(voters=tuple(MemberId(f"{v}#1") for v in voters))
        identity = Identity(member=member, initial=initial)
        self.storage.save_identity(identity)
        return identity

    patch.setattr(Member, "_new_identity", old_identity)


def form_group_without_all_peers(patch):
    patch.setattr(Formation, "_can_form_group", lambda self: bool(self.empty_peers))


def drop_promise_at_restart(patch):
    def start_soon(self, now):
        self.election_deadline = now + 0.2 * self.rng.random()

    patch.setattr(RaftState, "_start_deadlines", start_soon)


def ignore_promise(patch):
    patch.setattr(Elections, "_bound_by_promise", lambda self, now: False)


def commit_without_a_quorum(patch):
    def commit(self):
        state = self.state
        state.commit_index = max(state.commit_index, state.persisted_index)

    patch.setattr(Replication, "commit", commit)


def commit_earlier_term_by_counting(patch):
    def commit(self):
        voters = self.state.membership.voters
        matches = sorted((self._match_index(v) for v in voters), reverse=True)
        index = matches[self.state.membership.quorum - 1]
        self.state.commit_index = max(self.state.commit_index, index)

    patch.setattr(Replication, "commit", commit)


def grant_vote_to_any_candidate(patch):
    patch.setattr(RaftState, "candidate_is_up_to_date", lambda *_: True)


def keep_lease_after_hand_over(patch):
    def transfer_leadership(self, now):
        state = self.state
        target = self.replication.most_current_voter(now)
        request = TimeoutNow(sender=state.member, receiver=target, term=state.term)
        state.send(request)
        return target

    patch.setattr(RaftCore, "transfer_leadership", transfer_leadership)


def accept_any_wall_time(patch):
    append = RaftState.append

    def with_own_time(self, entry):
        append(self, entry)
        self.last_time_ms = 0

    patch.setattr(RaftState, "append", with_own_time)


def match_proposer_by_index_only(patch):
    def answer(self, entry, result):
        waiter = self.waiters.pop(entry.index, None)
        if waiter is not None:
            waiter.done.set(result)

    patch.setattr(Applier, "_answer", answer)
    patch.setattr(Applier, "fail_waiters", lambda self, failure: None)


def replace_a_live_member(patch):
    patch.setattr(Reconfiguration, "_is_silent", lambda self, member, now: True)


def full_group_restart() -> None:
    test_lost_state.test_full_group_restart_keeps_accepted_revisions(Survival.NOTHING)


def storage_crash_points() -> None:
    test_log_storage.test_crash_at_every_write_and_sync_point(Survival.NOTHING)


def member_crash_points() -> None:
    test_lost_state.test_crash_at_every_write_and_sync_point_of_a_member(0)


def paused_leader() -> None:
    for seed in range(4):
        test_partitions.test_leader_paused_beyond_its_lease_cannot_act(seed)


def isolated_leaders() -> None:
    for seed in range(12):
        group = SmallGroup(seed=seed)
        old = group.wait_for_leader()
        group.run(1.0)
        group.isolate(old)
        group.run_until(lambda g=group, o=old: g.leader() not in (None, o))


def concurrent_histories() -> None:
    for seed in range(12):
        group = SmallGroup(seed=seed, snapshot_after_bytes=700, n_kept_entries=3)
        group.wait_for_leader()
        clients = Clients(group=group, n_clients=4, seed=seed)
        clients.run(200, inject_random_fault)
        assert is_linearizable(clients.history, ConfigurationModel(clients.history))


BROKEN_RULES: list[tuple[Mutation, Check]] = [
    (skip_sync, full_group_restart),
    (skip_folder_sync, storage_crash_points),
    (continue_after_failed_sync, test_log_storage.test_failed_sync_is_never_retried),
    (
        treat_corrupt_as_torn,
        lambda: test_framing.test_any_flipped_bit_is_corrupt(0),
    ),
    (skip_persisting_vote, test_core.test_vote_survives_crash),
    (
        send_before_durable,
        test_lost_state.test_term_is_durable_before_a_lone_voter_sends_entries,
    ),
    (
        count_leader_entries_before_durable,
        test_lost_state.test_leader_counts_its_own_entries_only_when_they_are_durable,
    ),
    (skip_lease_check, paused_leader),
    (start_lease_at_answer, isolated_leaders),
    (
        reuse_identity_after_data_loss,
        test_lost_state.test_two_instances_without_data_never_elect_a_leader,
    ),
    (
        form_group_without_all_peers,
        test_lost_state.test_group_forms_only_when_all_instances_report_empty,
    ),
    (
        drop_promise_at_restart,
        test_core.test_restarted_voters_keep_their_election_promise,
    ),
    (ignore_promise, test_partitions.test_one_way_partition_of_follower_keeps_leader),
    (commit_without_a_quorum, concurrent_histories),
    (
        commit_earlier_term_by_counting,
        test_core.test_entry_of_an_earlier_term_is_not_committed_by_counting,
    ),
    (
        grant_vote_to_any_candidate,
        test_core.test_candidate_without_all_accepted_entries_is_not_elected,
    ),
    (
        keep_lease_after_hand_over,
        test_partitions.test_planned_hand_over_elects_successor_immediately,
    ),
    (
        accept_any_wall_time,
        test_core.test_log_time_is_monotonic_with_wrong_wall_clocks,
    ),
    (
        match_proposer_by_index_only,
        test_partitions.test_proposal_is_never_answered_by_another_leaders_entry,
    ),
    (
        replace_a_live_member,
        test_lost_state.test_live_member_is_not_replaced_by_one_of_the_same_name,
    ),
]


@pytest.mark.parametrize(
    ("mutation", "check"), BROKEN_RULES, ids=[m.__name__ for m, _ in BROKEN_RULES]
)
def test_broken_rule_is_caught(mutation, check, monkeypatch):
    mutation(monkeypatch)
    with pytest.raises((AssertionError, pytest.fail.Exception)):
        check()


def test_checks_pass_without_mutation():
    for check in (isolated_leaders, storage_crash_points, paused_leader):
        check()
