"""Members are added and removed one at a time, while writes continue."""

import pytest

from test.raft.small_group import (
    SmallGroup,
    other_instances,
    revision_at,
    submit_texts,
    voters_of,
    wait_for_revision,
)
from turmericreel.coordination.raft.state import Role
from turmericreel.state.storage.disk import MemoryDisk
from turmericreel.state.storage.entries import instance_of


def request_removal(group: SmallGroup, name: str) -> None:
    """Ask the leader to remove an instance from the group."""
    member = group.nodes[name].member.core.state.member
    core = group.nodes[group.leader()].member.core
    core.reconfiguration.leave_requests.add(member)


@pytest.mark.parametrize("options", [{}, {"snapshot_after_bytes": 500}])
def test_new_instance_joins_after_it_is_added_to_the_settings(options):
    group = SmallGroup(seed=1, n_kept_entries=2, **options)
    submit_texts(group, 1, 10)
    wait_for_revision(group, 10)
    for name in "abc":
        group.add_instance("d")
        group.restart(name)
        group.wait_for_leader()
    group.start("d")
    member = group.nodes["d"].member
    group.run_until(
        lambda: member.core is not None and member.core.state.is_voter,
        what="a fourth voter",
    )
    assert revision_at(group, "d") == 10
    submit_texts(group, 11, 12)
    wait_for_revision(group, 12)
    assert voters_of(group, "d") == ["a", "b", "c", "d"]


def test_removed_instance_becomes_learner_and_keeps_leader():
    group = SmallGroup(seed=2)
    submit_texts(group, 1, 2)
    wait_for_revision(group, 2)
    leader = group.leader()
    gone = other_instances(group, leader)[0]
    request_removal(group, gone)
    group.run_until(lambda: gone not in voters_of(group, leader), what="its removal")
    submit_texts(group, 3, 3)
    assert group.leader() == leader
    n_records = len(group.committed)
    group.run(5.0)
    assert group.leader() == leader
    assert len(group.committed) == n_records
    assert group.nodes[gone].member.core.state.role is Role.LEARNER


def test_removed_instance_is_not_readmitted_by_later_leader():
    group = SmallGroup(names=tuple("abcd"), seed=5)
    submit_texts(group, 1, 2)
    wait_for_revision(group, 2)
    leader = group.leader()
    gone = other_instances(group, leader)[0]
    request_removal(group, gone)
    group.run_until(lambda: gone not in voters_of(group, leader), what="its removal")
    group.run(1.0)
    group.crash(leader)
    submit_texts(group, 3, 3)
    group.run(5.0)
    assert gone not in voters_of(group, group.leader())
    # With an empty folder the instance is a new member, which may be admitted.
    group.start(leader)
    group.lose_disk(gone)
    group.start(gone)
    group.run_until(
        lambda: gone in voters_of(group, group.wait_for_leader()), what="its admission"
    )


def test_removed_leader_leads_until_its_removal_is_committed():
    group = SmallGroup(names=tuple("abcd"), seed=3)
    submit_texts(group, 1, 2)
    wait_for_revision(group, 2)
    leader = group.leader()
    request_removal(group, leader)
    group.run_until(lambda: group.leader() not in (None, leader), what="another leader")
    assert leader not in voters_of(group, group.leader())
    submit_texts(group, 3, 4)
    assert revision_at(group, group.leader()) == 4


def test_learner_asks_again_when_its_admission_is_lost():
    group = SmallGroup(names=tuple("abcde"), seed=6)
    submit_texts(group, 1, 2)
    wait_for_revision(group, 2)
    leader = group.leader()
    lost = other_instances(group, leader)[0]
    group.lose_disk(lost)
    group.start(lost)
    state = group.nodes[leader].member.core.state
    group.run_until(lambda: state.membership.learners != (), what="an admission")
    # Only the learner receives the admission before the leader crashes.
    group.link.queue = [m for m in group.link.queue if m[2] == lost]
    group.link.cut |= {(leader, n) for n in other_instances(group, leader) if n != lost}
    learner = group.nodes[lost].member
    group.run_until(lambda: learner.core and learner.core.state.membership.learners)
    group.crash(leader)
    group.heal()
    for name in other_instances(group, leader):
        # A restart loses the record of who asked to join.
        if name != lost:
            group.restart(name)
    submit_texts(group, 3, 3)
    group.start(leader)
    group.run_until(
        lambda: group.nodes[lost].member.core.state.is_voter,
        what="its return as a voter",
    )


def test_membership_changes_are_serialized():
    group = SmallGroup(names=tuple("abcde"), seed=4)
    submit_texts(group, 1, 1)
    wait_for_revision(group, 1)
    leader = group.leader()
    first, second, *_ = other_instances(group, leader)
    for name in other_instances(group, leader):
        group.isolate(name)
    request_removal(group, first)
    request_removal(group, second)
    group.run(0.3)
    # Nothing can be committed now, so the second change must wait for the first.
    assert len(voters_of(group, leader)) == 4


def start_diskless_instance(group: SmallGroup, name: str) -> None:
    """Start an instance whose log does not survive its process."""
    group.add_instance(name)
    group.nodes[name].disk = MemoryDisk()
    group.start(name)


def observers_of(group: SmallGroup) -> list[str]:
    leader = group.nodes[group.wait_for_leader()].member
    return [instance_of(m) for m in leader.core.state.membership.observers]


def test_diskless_instance_receives_log_and_never_votes():
    group = SmallGroup(founders=frozenset("abc"), seed=8)
    submit_texts(group, 1, 3)
    start_diskless_instance(group, "d")
    group.run_until(lambda: observers_of(group) == ["d"], what="an observer")
    submit_texts(group, 4, 6)
    group.run_until(lambda: revision_at(group, "d") == 6, what="the log")
    # The two remaining voters are a quorum only if the observer is not counted.
    lost = other_instances(group, group.leader())
    group.crash(next(n for n in lost if n != "d"))
    submit_texts(group, 7, 8)
    group.run(5.0)
    assert observers_of(group) == ["d"]
    assert group.nodes["d"].member.core.state.role is Role.LEARNER


def test_restarted_observer_replaces_its_earlier_incarnation():
    group = SmallGroup(founders=frozenset("abc"), seed=9)
    submit_texts(group, 1, 3)
    start_diskless_instance(group, "d")
    group.run_until(lambda: observers_of(group) == ["d"], what="an observer")
    group.lose_disk("d")
    start_diskless_instance(group, "d")
    group.run_until(
        lambda: (
            group.nodes["d"].member.core is not None and revision_at(group, "d") == 3
        ),
        what="the log after a restart",
    )
    assert observers_of(group) == ["d"]


def test_diskless_founder_becomes_an_observer():
    group = SmallGroup(names=(), founders=frozenset("abc"), seed=10)
    for name in "abcd":
        group.add_instance(name)
    group.nodes["c"].disk = MemoryDisk()
    for name in "abcd":
        group.start(name)
    submit_texts(group, 1, 3)
    group.run_until(lambda: observers_of(group) == ["c"], what="an observer")
    group.run_until(lambda: revision_at(group, "c") == 3, what="the log")
    membership = group.nodes[group.leader()].member.core.state.membership
    assert {instance_of(v) for v in membership.voters} == {"a", "b", "d"}
