"""The replicated log under crashes, restarts, lost data folders and failing disks."""

from itertools import count
from random import Random

import pytest

from test.raft.small_group import (
    SmallGroup,
    other_instances,
    revision_at,
    submission,
    submit_texts,
    voters_of,
    wait_for_revision,
)
from turmericreel.coordination.raft.state import Role
from turmericreel.fakes.faulty_disk import Survival
from turmericreel.model.failures import (
    StorageFailed,
)
from turmericreel.model.ids import (
    Revision,
)
from turmericreel.state.commands.configuration import Submitted
from turmericreel.state.storage.entries import Membership, member_id
from turmericreel.state.storage.log_storage import LogStorage

N_SUBMISSIONS = 8


@pytest.mark.parametrize("survival", list(Survival))
def test_full_group_restart_keeps_accepted_revisions(survival):
    group = SmallGroup(seed=5, snapshot_after_bytes=800, n_kept_entries=2)
    submit_texts(group, 1, 12)
    for name in group.nodes:
        group.crash(name, survival)
    for name in group.nodes:
        group.start(name)
    group.wait_for_leader()
    wait_for_revision(group, 12)
    submit_texts(group, 13, 13)


def test_lagging_member_catches_up_by_log_and_by_snapshot():
    for options in ({}, {"snapshot_after_bytes": 400, "n_kept_entries": 1}):
        group = SmallGroup(seed=6, **options)
        submit_texts(group, 1, 1)
        lagging = other_instances(group, group.leader())[0]
        group.isolate(lagging)
        submit_texts(group, 2, 40)
        group.heal()
        wait_for_revision(group, 40)


def test_large_snapshot_is_sent_in_chunks():
    group = SmallGroup(seed=7, snapshot_after_bytes=700_000, n_kept_entries=0)
    submit_texts(group, 1, 1)
    lagging = other_instances(group, group.leader())[0]
    group.isolate(lagging)
    large = submission("large", base=1)
    large = type(large)(
        submission=large.submission, base_revision=1, text="# " + "x" * 900_000
    )
    done = group.propose(group.leader(), large)
    group.run_until(done.ready)
    submit_texts(group, 3, 4)
    sizes = []
    send = group.link.send
    group.link.send = lambda *a: (
        sizes.append(len(getattr(a[2], "data", b""))),
        send(*a),
    )
    group.heal()
    wait_for_revision(group, 4)
    assert sum(size > 0 for size in sizes) >= 4
    assert max(sizes) <= 256 * 1024


def test_instance_that_lost_its_data_rejoins_as_learner_then_voter():
    group = SmallGroup(seed=8)
    submit_texts(group, 1, 5)
    wait_for_revision(group, 5)
    leader = group.leader()
    lost = other_instances(group, leader)[0]
    before = group.nodes[lost].member.core.state.member
    group.lose_disk(lost)
    group.start(lost)
    member = group.nodes[lost].member
    assert member.core is None
    group.run_until(lambda: member.core is not None, what="its knowledge of the group")
    assert member.core.state.role is Role.LEARNER
    group.run_until(lambda: member.core.state.is_voter, what="its return as a voter")
    assert revision_at(group, lost) == 5
    voters = member.core.state.membership.voters
    assert before not in voters
    assert len(voters) == 3


@pytest.mark.parametrize("seed", range(4))
def test_second_instance_lost_after_first_has_rejoined(seed):
    group = SmallGroup(seed=seed)
    submit_texts(group, 1, 5)
    leader = group.leader()
    first, second = other_instances(group, leader)
    group.lose_disk(first)
    group.start(first)
    rejoined = group.nodes[first].member
    group.run_until(
        lambda: rejoined.core is not None and rejoined.core.state.is_voter,
        what="the first to become a voter again",
    )
    group.lose_disk(second if seed % 2 else leader)
    submit_texts(group, 6, 6)
    assert group.nodes[group.leader()].member.machine.configuration.history


def test_two_instances_without_data_never_elect_a_leader():
    group = SmallGroup(seed=9)
    submit_texts(group, 1, 5)
    kept, *lost = group.nodes
    group.isolate(kept)
    for name in lost:
        group.lose_disk(name)
        group.start(name)
    group.run(10.0)
    assert group.leader() is None
    group.heal()
    group.run(10.0)
    assert all(revision_at(group, n) in (0, 5) for n in group.nodes)
    assert group.leader() in (None, kept)


def test_group_forms_only_when_all_instances_report_empty():
    group = SmallGroup(seed=10)
    group.isolate("c")
    group.run(3.0)
    assert all(node.member.core is None for node in group.running_nodes())
    group.heal()
    group.wait_for_leader()
    assert voters_of(group, group.leader()) == ["a", "b", "c"]


def test_live_member_is_not_replaced_by_one_of_the_same_name():
    group = SmallGroup(seed=11)
    leader = group.wait_for_leader()
    duplicate = other_instances(group, leader)[0]
    core = group.nodes[leader].member.core
    core.reconfiguration.join_requests.add(member_id(duplicate, 12345))
    group.run(5.0)
    assert len(core.state.membership.members) == 3


def test_full_disk_stops_only_that_follower():
    group = SmallGroup(seed=12)
    submit_texts(group, 1, 1)
    full_instance = other_instances(group, group.leader())[0]
    group.nodes[full_instance].disk.capacity_bytes = 0
    submit_texts(group, 2, 3)
    group.run(1.0)
    assert isinstance(group.nodes[full_instance].failure, StorageFailed)
    group.nodes[full_instance].disk.capacity_bytes = None
    group.restart(full_instance)
    wait_for_revision(group, 3)


def test_full_disks_on_all_members_lose_no_data():
    group = SmallGroup(seed=13)
    submit_texts(group, 1, 3)
    for node in group.nodes.values():
        node.disk.capacity_bytes = 0
    group.submit(group.leader(), "too much", base=3)
    group.run(5.0)
    assert group.leader() is None
    for name, node in group.nodes.items():
        node.disk.capacity_bytes = None
        group.restart(name)
    group.wait_for_leader()
    assert group.submit_and_wait("t4", base=3) == Submitted(revision=Revision(4))


@pytest.mark.parametrize("seed", range(3))
def test_crash_at_every_write_and_sync_point_of_a_member(seed):
    for crash_at in count():
        group = SmallGroup(seed=seed, snapshot_after_bytes=500, n_kept_entries=2)
        group.run(1.0)
        victim = list(group.nodes)[seed]
        disk = group.nodes[victim].disk
        disk.crash_at = disk.n_operations + crash_at
        for n in range(1, N_SUBMISSIONS + 1):
            if group.nodes[victim].member is None:
                group.start(victim)
            group.submit_and_wait(f"t{n}", base=n - 1)
        if group.nodes[victim].member is None:
            group.start(victim)
        crash_point_not_reached = group.nodes[victim].disk is disk
        disk.crash_at = group.nodes[victim].disk.crash_at = None
        wait_for_revision(group, N_SUBMISSIONS)
        if crash_point_not_reached:
            break
    # Each submission takes at least one write and one sync.
    assert crash_at >= 2 * N_SUBMISSIONS


def test_term_is_durable_before_a_lone_voter_sends_entries():
    group = SmallGroup(names=("a",), seed=16)
    group.wait_for_leader()
    group.restart("a")
    member = group.nodes["a"].member
    voters = member.core.state.membership.voters
    with_learner = Membership(voters=voters, learners=(member_id("l", 1),))
    member.core.state.memberships.add(1, with_learner)
    sent_and_durable_terms = []
    member.send = lambda to, message: sent_and_durable_terms.append(
        (message.term, durable_term(group))
    )
    group.run(0.5)
    assert sent_and_durable_terms
    assert all(durable >= term for term, durable in sent_and_durable_terms)


def durable_term(group: SmallGroup) -> int:
    disk = group.nodes["a"].disk.after_crash(Survival.NOTHING, Random(0))
    return LogStorage(disk=disk).recover().hard_state.term


def test_data_centre_lost_with_the_leader_in_it():
    group = SmallGroup(names=tuple("abcde"), seed=31)
    submit_texts(group, 1, 3)
    leader = group.leader()
    other = other_instances(group, leader)[0]
    for name in (leader, other):
        group.crash(name)
    submit_texts(group, 4, 4)
    for name in (leader, other):
        group.start(name)
    wait_for_revision(group, 4)


def test_leader_with_a_slow_disk_keeps_its_lease_and_accepts_writes():
    group = SmallGroup(seed=34)
    submit_texts(group, 1, 1)
    leader = group.leader()
    group.nodes[leader].runner.is_slow = True
    group.run(3.0)
    submit_texts(group, 2, 5)
    assert group.leader() == leader
    # The other members hold the entries that the leader's own disk never received.
    group.crash(leader)
    submit_texts(group, 6, 6)
    group.start(leader)
    wait_for_revision(group, 6)


def test_leader_counts_its_own_entries_only_when_they_are_durable():
    group = SmallGroup(seed=35)
    submit_texts(group, 1, 1)
    leader = group.leader()
    group.isolate(other_instances(group, leader)[0])
    runner = group.nodes[leader].runner
    runner.is_slow = True
    done = group.submit(leader, "t2", base=1)
    group.run(2.0)
    assert not done.ready()
    runner.release()
    group.run_until(done.ready)
    assert done.get() == Submitted(revision=Revision(2))
