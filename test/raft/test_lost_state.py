"""The replicated log under crashes, restarts, lost folders and failing disks."""

from itertools import count
from random import Random

import pytest

from test.raft.small_group import (
    SmallGroup,
    fill,
    members_of,
    others,
    revision_at,
    settle,
    submission,
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
def test_whole_group_restarted_keeps_what_was_accepted(survival):
    group = SmallGroup(seed=5, snapshot_after_bytes=800, kept_entries=2)
    fill(group, 1, 12)
    for name in group.nodes:
        group.crash(name, survival)
    for name in group.nodes:
        group.start(name)
    group.wait_for_leader()
    settle(group, 12)
    fill(group, 13, 13)


def test_lagging_member_catches_up_by_log_and_by_snapshot():
    for options in ({}, {"snapshot_after_bytes": 400, "kept_entries": 1}):
        group = SmallGroup(seed=6, **options)
        fill(group, 1, 1)
        behind = others(group, group.leader())[0]
        group.isolate(behind)
        fill(group, 2, 40)
        group.heal()
        settle(group, 40)


def test_large_snapshot_goes_in_chunks():
    group = SmallGroup(seed=7, snapshot_after_bytes=700_000, kept_entries=0)
    fill(group, 1, 1)
    behind = others(group, group.leader())[0]
    group.isolate(behind)
    large = submission("large", base=1)
    large = type(large)(
        submission=large.submission, base_revision=1, text="# " + "x" * 900_000
    )
    done = group.propose(group.leader(), large)
    group.run_until(done.ready)
    fill(group, 3, 4)
    sizes = []
    send = group.link.send
    group.link.send = lambda *a: (
        sizes.append(len(getattr(a[2], "data", b""))),
        send(*a),
    )
    group.heal()
    settle(group, 4)
    assert sum(size > 0 for size in sizes) >= 4
    assert max(sizes) <= 256 * 1024


def test_instance_with_a_lost_folder_rejoins_as_a_learner_and_then_counts():
    group = SmallGroup(seed=8)
    fill(group, 1, 5)
    settle(group, 5)
    leader = group.leader()
    lost = others(group, leader)[0]
    before = group.nodes[lost].member.core.state.member
    group.lose_disk(lost)
    group.start(lost)
    member = group.nodes[lost].member
    assert member.core is None
    group.run_until(lambda: member.core is not None, what="the group known")
    assert member.core.state.role is Role.LEARNER
    group.run_until(lambda: member.core.state.is_voter, what="a voter again")
    assert revision_at(group, lost) == 5
    voters = member.core.state.membership.voters
    assert before not in voters
    assert len(voters) == 3


@pytest.mark.parametrize("seed", range(4))
def test_second_instance_lost_just_after_the_first_was_repaired(seed):
    group = SmallGroup(seed=seed)
    fill(group, 1, 5)
    leader = group.leader()
    first, second = others(group, leader)
    group.lose_disk(first)
    group.start(first)
    repaired = group.nodes[first].member
    group.run_until(
        lambda: repaired.core is not None and repaired.core.state.is_voter,
        what="the first repaired",
    )
    group.lose_disk(second if seed % 2 else leader)
    fill(group, 6, 6)
    assert group.nodes[group.leader()].member.machine.configuration.history


def test_two_lost_folders_at_once_never_elect_without_the_state():
    group = SmallGroup(seed=9)
    fill(group, 1, 5)
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


def test_empty_instances_form_a_group_only_when_all_say_that_they_are_empty():
    group = SmallGroup(seed=10)
    group.isolate("c")
    group.run(3.0)
    assert all(node.member.core is None for node in group.live())
    group.heal()
    group.wait_for_leader()
    assert members_of(group, group.leader()) == ["a", "b", "c"]


def test_live_process_under_the_same_name_is_not_replaced():
    group = SmallGroup(seed=11)
    leader = group.wait_for_leader()
    twin = others(group, leader)[0]
    core = group.nodes[leader].member.core
    core.reconfiguration.join_requests.add(member_id(twin, 12345))
    group.run(5.0)
    assert len(core.state.membership.members) == 3


def test_full_disk_of_a_follower_stops_only_that_one():
    group = SmallGroup(seed=12)
    fill(group, 1, 1)
    full = others(group, group.leader())[0]
    group.nodes[full].disk.capacity_bytes = 0
    fill(group, 2, 3)
    group.run(1.0)
    assert isinstance(group.nodes[full].failure, StorageFailed)
    group.nodes[full].disk.capacity_bytes = None
    group.restart(full)
    settle(group, 3)


def test_full_disks_everywhere_stop_all_and_lose_nothing():
    group = SmallGroup(seed=13)
    fill(group, 1, 3)
    for node in group.nodes.values():
        node.disk.capacity_bytes = 0
    group.submit(group.leader(), "too much", base=3)
    group.run(5.0)
    assert group.leader() is None
    for name, node in group.nodes.items():
        node.disk.capacity_bytes = None
        group.restart(name)
    group.wait_for_leader()
    assert group.accepted("t4", base=3) == Submitted(revision=Revision(4))


@pytest.mark.parametrize("seed", range(3))
def test_crash_at_every_write_and_sync_point_of_a_member(seed):
    for crash_at in count():
        group = SmallGroup(seed=seed, snapshot_after_bytes=500, kept_entries=2)
        group.run(1.0)
        victim = list(group.nodes)[seed]
        disk = group.nodes[victim].disk
        disk.crash_at = disk.n_operations + crash_at
        for n in range(1, N_SUBMISSIONS + 1):
            if group.nodes[victim].member is None:
                group.start(victim)
            group.accepted(f"t{n}", base=n - 1)
        if group.nodes[victim].member is None:
            group.start(victim)
        never_reached = group.nodes[victim].disk is disk
        disk.crash_at = group.nodes[victim].disk.crash_at = None
        settle(group, N_SUBMISSIONS)
        if never_reached:
            break
    # Each submission is at least one write and one sync.
    assert crash_at >= 2 * N_SUBMISSIONS


def test_term_is_durable_before_a_lone_voter_sends_entries():
    group = SmallGroup(names=("a",), seed=16)
    group.wait_for_leader()
    group.restart("a")
    member = group.nodes["a"].member
    voters = member.core.state.membership.voters
    with_learner = Membership(voters=voters, learners=(member_id("l", 1),))
    member.core.state.memberships.add(1, with_learner)
    seen = []
    member.send = lambda to, message: seen.append((message.term, durable_term(group)))
    group.run(0.5)
    assert seen
    assert all(durable >= term for term, durable in seen)


def durable_term(group: SmallGroup) -> int:
    disk = group.nodes["a"].disk.after_crash(Survival.NOTHING, Random(0))
    return LogStorage(disk=disk).recover().hard_state.term


def test_data_centre_lost_with_the_leader_in_it():
    group = SmallGroup(names=tuple("abcde"), seed=31)
    fill(group, 1, 3)
    leader = group.leader()
    other = others(group, leader)[0]
    for name in (leader, other):
        group.crash(name)
    fill(group, 4, 4)
    for name in (leader, other):
        group.start(name)
    settle(group, 4)


def test_leader_with_a_slow_disk_keeps_its_lease_and_accepts_writes():
    group = SmallGroup(seed=34)
    fill(group, 1, 1)
    leader = group.leader()
    group.nodes[leader].runner.is_slow = True
    group.run(3.0)
    fill(group, 2, 5)
    assert group.leader() == leader
    # What its own disk never saw is held by the others.
    group.crash(leader)
    fill(group, 6, 6)
    group.start(leader)
    settle(group, 6)


def test_leader_counts_its_own_entries_only_when_they_are_durable():
    group = SmallGroup(seed=35)
    fill(group, 1, 1)
    leader = group.leader()
    group.isolate(others(group, leader)[0])
    runner = group.nodes[leader].runner
    runner.is_slow = True
    done = group.submit(leader, "t2", base=1)
    group.run(2.0)
    assert not done.ready()
    runner.release()
    group.run_until(done.ready)
    assert done.get() == Submitted(revision=Revision(2))
