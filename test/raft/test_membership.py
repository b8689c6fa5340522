"""Members come and go one at a time, and writes go on meanwhile."""

import pytest

from test.raft.small_group import (
    SmallGroup,
    fill,
    members_of,
    others,
    revision_at,
    settle,
)
from turmericreel.coordination.raft.state import Role
from turmericreel.state.storage.disk import MemoryDisk
from turmericreel.state.storage.entries import instance_of


def leaving(group: SmallGroup, name: str) -> None:
    """Ask the leader to take an instance out of the group."""
    member = group.nodes[name].member.core.state.member
    core = group.nodes[group.leader()].member.core
    core.reconfiguration.leave_requests.add(member)


@pytest.mark.parametrize("options", [{}, {"snapshot_after_bytes": 500}])
def test_new_instance_joins_after_the_others_know_of_it(options):
    group = SmallGroup(seed=1, kept_entries=2, **options)
    fill(group, 1, 10)
    settle(group, 10)
    for name in "abc":
        group.add_name("d")
        group.restart(name)
        group.wait_for_leader()
    group.start("d")
    member = group.nodes["d"].member
    group.run_until(
        lambda: member.core is not None and member.core.state.is_voter,
        what="a voter more",
    )
    assert revision_at(group, "d") == 10
    fill(group, 11, 12)
    settle(group, 12)
    assert members_of(group, "d") == ["a", "b", "c", "d"]


def test_instance_that_is_taken_out_learns_of_it_and_deposes_nobody():
    group = SmallGroup(seed=2)
    fill(group, 1, 2)
    settle(group, 2)
    leader = group.leader()
    gone = others(group, leader)[0]
    leaving(group, gone)
    group.run_until(lambda: gone not in members_of(group, leader), what="taken out")
    fill(group, 3, 3)
    assert group.leader() == leader
    n_records = len(group.committed)
    group.run(5.0)
    assert group.leader() == leader
    assert len(group.committed) == n_records
    assert group.nodes[gone].member.core.state.role is Role.LEARNER


def test_instance_that_was_taken_out_is_not_admitted_by_a_later_leader():
    group = SmallGroup(names=tuple("abcd"), seed=5)
    fill(group, 1, 2)
    settle(group, 2)
    leader = group.leader()
    gone = others(group, leader)[0]
    leaving(group, gone)
    group.run_until(lambda: gone not in members_of(group, leader), what="taken out")
    group.run(1.0)
    group.crash(leader)
    fill(group, 3, 3)
    group.run(5.0)
    assert gone not in members_of(group, group.leader())
    # With an empty folder the instance is a new member, and welcome.
    group.start(leader)
    group.lose_disk(gone)
    group.start(gone)
    group.run_until(
        lambda: gone in members_of(group, group.wait_for_leader()), what="admitted"
    )


def test_leader_that_is_taken_out_leads_until_that_is_committed():
    group = SmallGroup(names=tuple("abcd"), seed=3)
    fill(group, 1, 2)
    settle(group, 2)
    leader = group.leader()
    leaving(group, leader)
    group.run_until(lambda: group.leader() not in (None, leader), what="another leader")
    assert leader not in members_of(group, group.leader())
    fill(group, 3, 4)
    assert revision_at(group, group.leader()) == 4


def test_learner_whose_admission_was_lost_with_its_leader_asks_again():
    group = SmallGroup(names=tuple("abcde"), seed=6)
    fill(group, 1, 2)
    settle(group, 2)
    leader = group.leader()
    lost = others(group, leader)[0]
    group.lose_disk(lost)
    group.start(lost)
    state = group.nodes[leader].member.core.state
    group.run_until(lambda: state.membership.learners != (), what="an admission")
    # Only the learner gets to know of it before the leader crashes.
    group.link.queue = [m for m in group.link.queue if m[2] == lost]
    group.link.cut |= {(leader, n) for n in others(group, leader) if n != lost}
    learner = group.nodes[lost].member
    group.run_until(lambda: learner.core and learner.core.state.membership.learners)
    group.crash(leader)
    group.heal()
    for name in others(group, leader):
        # They forget who asked to join.
        if name != lost:
            group.restart(name)
    fill(group, 3, 3)
    group.start(leader)
    group.run_until(
        lambda: group.nodes[lost].member.core.state.is_voter, what="a voter again"
    )


def test_only_one_change_is_under_way_at_a_time():
    group = SmallGroup(names=tuple("abcde"), seed=4)
    fill(group, 1, 1)
    settle(group, 1)
    leader = group.leader()
    first, second, *_ = others(group, leader)
    for name in others(group, leader):
        group.isolate(name)
    leaving(group, first)
    leaving(group, second)
    group.run(0.3)
    # Nothing can be committed now, so the second change waits for the first.
    assert len(members_of(group, leader)) == 4


def add_without_disk(group: SmallGroup, name: str) -> None:
    """Start a further instance whose log lasts as long as its process."""
    group.add_name(name)
    group.nodes[name].disk = MemoryDisk()
    group.start(name)


def observers_of(group: SmallGroup) -> list[str]:
    leader = group.nodes[group.wait_for_leader()].member
    return [instance_of(m) for m in leader.core.state.membership.observers]


def test_instance_without_a_disk_is_sent_the_log_and_never_votes():
    group = SmallGroup(founders=frozenset("abc"), seed=8)
    fill(group, 1, 3)
    add_without_disk(group, "d")
    group.run_until(lambda: observers_of(group) == ["d"], what="an observer")
    fill(group, 4, 6)
    group.run_until(lambda: revision_at(group, "d") == 6, what="the log")
    # The two that are left are a quorum only if the observer does not count.
    lost = others(group, group.leader())
    group.crash(next(n for n in lost if n != "d"))
    fill(group, 7, 8)
    group.run(5.0)
    assert observers_of(group) == ["d"]
    assert group.nodes["d"].member.core.state.role is Role.LEARNER


def test_observer_that_is_started_again_takes_its_own_place():
    group = SmallGroup(founders=frozenset("abc"), seed=9)
    fill(group, 1, 3)
    add_without_disk(group, "d")
    group.run_until(lambda: observers_of(group) == ["d"], what="an observer")
    group.lose_disk("d")
    add_without_disk(group, "d")
    group.run_until(
        lambda: (
            group.nodes["d"].member.core is not None and revision_at(group, "d") == 3
        ),
        what="the log anew",
    )
    assert observers_of(group) == ["d"]


def test_founder_without_a_disk_leaves_the_group_to_the_others():
    group = SmallGroup(names=(), founders=frozenset("abc"), seed=10)
    for name in "abcd":
        group.add_name(name)
    group.nodes["c"].disk = MemoryDisk()
    for name in "abcd":
        group.start(name)
    fill(group, 1, 3)
    group.run_until(lambda: observers_of(group) == ["c"], what="an observer")
    group.run_until(lambda: revision_at(group, "c") == 3, what="the log")
    membership = group.nodes[group.leader()].member.core.state.membership
    assert {instance_of(v) for v in membership.voters} == {"a", "b", "d"}
