"""Tests that a member's memory and disk are bounded by size, not by a count."""

import os

import pytest
from gevent.event import AsyncResult

from test.raft.small_group import SmallGroup, other_instances
from turmericreel.coordination.control_view import (
    MAX_SOURCE_CHARACTERS,
    ControlView,
    UpdateResult,
)
from turmericreel.coordination.raft.member import (
    MAX_UNCOVERED_FACTOR,
    MIN_KEPT_BYTES,
    SNAPSHOT_AFTER_BYTES,
)
from turmericreel.coordination.raft.raft_log import MAX_INBOX_BYTES, _size_of
from turmericreel.coordination.raft.replication import (
    BATCH_LIMIT_BYTES,
    MAX_IN_FLIGHT_BYTES,
)
from turmericreel.coordination.raft.transport import MAX_QUEUED_BYTES, PeerLink
from turmericreel.model.ids import FencingToken, InstanceId, Revision, SubmissionId
from turmericreel.protocols.control_messages import ConfigurationPush
from turmericreel.protocols.raft_messages import (
    Append,
    RaftHello,
    SnapshotChunk,
    size_of_message,
)
from turmericreel.state.commands.configuration import SubmitText
from turmericreel.state.routing_machine import (
    RoutingCommand,
    RoutingMachine,
    SubmitRouting,
)
from turmericreel.state.storage.entries import SnapshotMeta, member_id
from turmericreel.state.storage.segments import SEGMENT_LIMIT_BYTES
from turmericreel.state.tables.configuration import MAX_HISTORY_CHARACTERS
from turmericreel.util.bounded_queue import BoundedQueue

DOCUMENT_BYTES = 200_000
# Several times what a member may hold.
N_CHANGES = 200


def routing_group(**options) -> SmallGroup:
    return SmallGroup(
        seed=45, new_machine=RoutingMachine, command_type=RoutingCommand, **options
    )


def submit(group: SmallGroup, revision: int, size: int = DOCUMENT_BYTES) -> None:
    command = SubmitRouting(revision=Revision(revision), document=os.urandom(size))
    done: AsyncResult = group.propose(group.wait_for_leader(), command)
    group.run_until(done.ready, what="an answer")
    assert done.get().changed


def wait_for(group: SmallGroup, revision: int) -> None:
    group.run_until(
        lambda: all(
            n.member.machine.revision == revision for n in group.running_nodes()
        ),
        what=f"revision {revision} everywhere",
    )


def test_log_of_many_large_changes_is_compacted_to_the_size_of_the_state():
    # Guards against a log that fills disk and memory: 2,000 entries of any size.
    group = routing_group()
    for revision in range(1, N_CHANGES + 1):
        submit(group, revision)
    wait_for(group, N_CHANGES)
    limit = SNAPSHOT_AFTER_BYTES + MIN_KEPT_BYTES + 2 * DOCUMENT_BYTES
    for node in group.running_nodes():
        assert node.member.core.state.tail.size_bytes <= limit
        assert (
            node.member.storage.segments.size_bytes <= limit + 2 * SEGMENT_LIMIT_BYTES
        )


@pytest.mark.parametrize("loses_disk", [False, True])
def test_member_that_was_away_during_large_changes_catches_up(loses_disk):
    # Guards against a lagging member that asks for entries that are compacted.
    group = routing_group()
    submit(group, 1)
    away = other_instances(group, group.leader())[0]
    if loses_disk:
        group.lose_disk(away)
    else:
        group.isolate(away)
    for revision in range(2, N_CHANGES // 2):
        submit(group, revision)
    if loses_disk:
        group.start(away)
    group.heal()
    submit(group, N_CHANGES)
    wait_for(group, N_CHANGES)


def test_acknowledged_change_survives_loss_of_power_after_compaction():
    # Guards against a snapshot that does not cover what was compacted.
    group = routing_group(snapshot_after_bytes=DOCUMENT_BYTES, min_kept_bytes=0)
    for revision in range(1, 12):
        submit(group, revision)
    group.lose_disk(other_instances(group, group.leader())[0])
    for name in group.nodes:
        if group.nodes[name].member is not None:
            group.crash(name)
    for name in group.nodes:
        group.start(name)
    wait_for(group, 11)


def test_bytes_in_flight_to_a_member_are_limited():
    # Guards against 32 messages in flight of one large entry each.
    group = routing_group()
    submit(group, 1)
    wait_for(group, 1)
    silent = other_instances(group, group.leader())[0]
    group.nodes[silent].paused = True
    size = 2 * 1024 * 1024
    for revision in range(2, 12):
        submit(group, revision, size)
    sent = [m for m in group.nodes[silent].inbox if isinstance(m, Append)]
    n_bytes = sum(size_of_message(m) for m in sent if m.entries or m.packed)
    assert n_bytes <= MAX_IN_FLIGHT_BYTES + max(size, BATCH_LIMIT_BYTES) + 65_536


def test_leader_without_room_on_its_disk_refuses_changes_in_time():
    # Guards against a leader that keeps all changes in memory while its disk is full.
    threshold = 4 * DOCUMENT_BYTES
    group = routing_group(snapshot_after_bytes=threshold, min_kept_bytes=0)
    submit(group, 1)
    leader = group.leader()
    group.nodes[leader].runner.is_slow = True
    revision = 1
    while group.nodes[leader].member.has_room:
        revision += 1
        submit(group, revision)
        assert revision * DOCUMENT_BYTES <= (MAX_UNCOVERED_FACTOR + 1) * threshold
    group.release(leader)
    group.run(0.2)
    assert group.nodes[leader].member.has_room


def snapshot_chunk() -> SnapshotChunk:
    return SnapshotChunk(
        sender=member_id(InstanceId("a"), 1),
        receiver=member_id(InstanceId("b"), 1),
        term=1,
        meta=SnapshotMeta(index=1, size_bytes=10**9),
        offset=0,
        data=bytes(BATCH_LIMIT_BYTES),
        sent_at=0.0,
    )


def test_messages_to_a_member_that_waits_for_its_disk_are_limited():
    # Guards against an inbox without a limit in front of a task that is blocked.
    inbox = BoundedQueue(max_items=1_000, max_bytes=MAX_INBOX_BYTES, size_of=_size_of)
    taken = [inbox.put(snapshot_chunk()) for _ in range(200)]
    assert not taken[-1]
    assert inbox.n_bytes <= MAX_INBOX_BYTES
    inbox.put_always(object())
    inbox.clear()
    assert inbox.n_bytes == 0
    assert inbox.put(snapshot_chunk())


def test_messages_to_an_unreachable_peer_are_limited():
    # Guards against 256 chunks of a snapshot that wait for one peer.
    link = PeerLink(
        address="127.0.0.1:1",
        hello=RaftHello(group=0, instance=InstanceId("a")),
        context=None,
    )
    try:
        for _ in range(200):
            link.send(snapshot_chunk())
        assert 0 < link.queue.n_bytes <= MAX_QUEUED_BYTES
    finally:
        link.stop()


def test_history_of_large_texts_is_limited_by_its_size():
    # Guards against 64 revisions of two megabytes each in memory and in snapshots.
    group = SmallGroup(names=("a",), seed=45)
    group.wait_for_leader()
    text = "# " + "x" * 1_000_000
    for base in range(12):
        command = SubmitText(
            submission=SubmissionId(str(base)), base_revision=Revision(base), text=text
        )
        done = group.propose("a", command)
        group.run_until(done.ready, what="an answer")
        assert done.get().revision == base + 1
    configuration = group.nodes["a"].member.machine.configuration
    n_characters = sum(len(revision.text) for revision in configuration.history)
    assert 0 < n_characters <= MAX_HISTORY_CHARACTERS
    assert configuration.revision == 12
    assert configuration.text_of(Revision(12)) == text
    assert configuration.text_of(Revision(1)) is None


def test_source_texts_of_a_view_are_limited_by_their_size():
    # Guards against 16 texts of two megabytes each at every instance.
    view = ControlView(parses_texts=False)
    for revision in range(1, 13):
        push = ConfigurationPush(
            revision=Revision(revision),
            text="x" * 1_000_000,
            fencing_token=FencingToken(1),
        )
        assert view.apply_text(push) is UpdateResult.APPLIED
    assert sum(map(len, view.source_texts.values())) <= MAX_SOURCE_CHARACTERS
    assert max(view.source_texts) == 12
