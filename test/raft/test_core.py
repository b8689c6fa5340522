"""Raft rules that need a directed scenario."""

from random import Random

import msgspec

from test.raft.small_group import TIMING, SmallGroup
from turmericreel.coordination.raft.core import RaftCore
from turmericreel.coordination.raft.replication import SnapshotSource
from turmericreel.coordination.raft.state import Role
from turmericreel.fakes.faulty_disk import Survival
from turmericreel.protocols.raft_messages import (
    AppendAnswer,
    PreVoteAnswer,
    SnapshotChunk,
    Vote,
    VoteAnswer,
)
from turmericreel.state.storage.entries import (
    Entry,
    HardState,
    Identity,
    MemberId,
    Membership,
    SnapshotMeta,
)
from turmericreel.state.storage.log_storage import RecoveredState

A, B, C = (MemberId(f"{name}#1") for name in "abc")
VOTERS = Membership(voters=(A, B, C))


class NoSnapshots(SnapshotSource):
    """Snapshot source of a member without a snapshot."""

    def snapshot_chunk(self, offset):
        raise AssertionError("no snapshot was taken")


def core_with(entries: list[Entry], *, term: int) -> RaftCore:
    recovered = RecoveredState(
        identity=Identity(member=A, initial=VOTERS),
        hard_state=HardState(term=term),
        entries=entries,
    )
    return RaftCore(
        member=A,
        recovered=recovered,
        timing=TIMING,
        source=NoSnapshots(),
        rng=Random(0),
        now=0.0,
    )


def elect(core: RaftCore, now: float) -> None:
    core.tick(now)
    term = core.state.term + 1
    core.step(PreVoteAnswer(sender=B, receiver=A, term=term, granted=True), now)
    core.step(VoteAnswer(sender=B, receiver=A, term=term, granted=True), now)
    assert core.state.role is Role.LEADER
    core.mark_persisted(core.collect_outputs().entries[-1])


def acknowledge(core: RaftCore, index: int) -> None:
    core.step(
        AppendAnswer(
            sender=B,
            receiver=A,
            term=core.state.term,
            accepted=True,
            match_index=index,
            prev_index=0,
            sent_at=0.0,
        ),
        2.0,
    )


def test_entry_of_an_earlier_term_is_not_committed_by_counting():
    old = Entry(index=1, term=2, time_ms=1, data=b"old")
    core = core_with([old], term=3)
    elect(core, 2.0)
    acknowledge(core, 1)
    assert core.state.commit_index == 0
    acknowledge(core, 2)
    assert core.state.commit_index == 2


def test_vote_survives_crash():
    group = SmallGroup(seed=20)
    leader = group.wait_for_leader()
    group.run(1.0)
    voter, rival = (n for n in group.nodes if n != leader)
    for name in (leader, rival):
        group.crash(name)
    group.run(1.0)
    answers = []
    group.link.send = lambda sender, receiver, message: answers.append(message)
    node = group.nodes[voter]
    state = node.member.core.state
    request = Vote(
        sender=MemberId("x#1"),
        receiver=state.member,
        term=state.term + 1,
        last_index=state.tail.last_index,
        last_term=state.tail.last_term,
    )
    node.member.step(request)
    node.member.process_outputs()
    group.restart(voter, Survival.NOTHING)
    group.nodes[voter].clock.offset += 2 * TIMING.election_s
    node.member.step(msgspec.structs.replace(request, sender=MemberId("y#1")))
    node.member.process_outputs()
    granted = [m.receiver for m in answers if getattr(m, "granted", False)]
    assert granted == ["x#1"]


def test_restarted_voters_keep_their_election_promise():
    for seed in range(5):
        group = SmallGroup(seed=seed)
        leader = group.wait_for_leader()
        group.run(1.0)
        for name in group.nodes:
            if name != leader:
                group.restart(name)
        group.isolate(leader)
        # The group checks at each step that at most one member holds a lease.
        group.run_until(lambda g=group, o=leader: g.leader() not in (None, o))


def test_log_time_is_monotonic_with_wrong_wall_clocks():
    group = SmallGroup(seed=21)
    for n in range(1, 4):
        group.submit_and_wait(f"t{n}", base=n - 1)
        leader = group.leader()
        others = [node for node in group.nodes.values() if node.name != leader]
        for node in others:
            node.clock.wall_offset_ms -= 60_000
        group.restart(leader)
        group.nodes[leader].clock.wall_offset_ms -= 120_000
        group.isolate(leader)
        group.wait_for_leader()
        group.heal()
    times = [group.committed[index].time_ms for index in sorted(group.committed)]
    assert times == sorted(times)


def test_candidate_without_all_accepted_entries_is_not_elected():
    group = SmallGroup(seed=22)
    group.submit_and_wait("t1", base=0)
    leader = group.leader()
    lagging, current = (n for n in group.nodes if n != leader)
    group.isolate(lagging)
    group.submit_and_wait("t2", base=1)
    group.crash(leader)
    group.heal()
    # The member that lacks the entry campaigns repeatedly, and the other never does.
    other = group.nodes[current].member.core.state
    other.election_deadline = float("inf")
    state = group.nodes[lagging].member.core.state
    for _ in range(10):
        state.election_deadline = group.nodes[lagging].clock.monotonic()
        group.run(0.2)
    assert group.leader() is None
    other.election_deadline = group.nodes[current].clock.monotonic()
    group.run_until(
        lambda: group.leader() == current, what="the up-to-date member to lead"
    )
    group.start(leader)
    assert group.submit_and_wait("t3", base=2).revision == 3


def test_snapshot_already_covered_by_log_is_ignored():
    entries = [Entry(index=n, term=2, time_ms=1, data=b"x") for n in range(1, 6)]
    core = core_with(entries, term=2)
    meta = SnapshotMeta(index=3, term=2, membership=VOTERS, size_bytes=9)
    core.step(
        SnapshotChunk(
            sender=B, receiver=A, term=2, meta=meta, offset=0, data=b"x", sent_at=0.0
        ),
        2.0,
    )
    outputs = core.collect_outputs()
    assert outputs.snapshot is None
    assert core.state.tail.last_index == 5
    assert core.state.commit_index == 3
    assert outputs.messages[0].received_bytes == 9
