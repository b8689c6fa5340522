"""Tests of the task that drives a member, over sockets and partly in real folders."""

from collections.abc import Iterator
from dataclasses import dataclass, field
from random import Random
from time import monotonic

import pytest
import trustme
from gevent import sleep, spawn

from test.library import wait_until
from test.outside.test_tls import write_files
from test.raft.small_group import submission
from turmericreel.coordination.raft.raft_log import COMMAND_LIMIT_BYTES, RaftLog
from turmericreel.coordination.raft.timing import RaftTiming
from turmericreel.coordination.raft.transport import (
    PeerLink,
    PeerListener,
    StreamTransport,
)
from turmericreel.fakes.faulty_disk import FaultyDisk
from turmericreel.model.failures import (
    CommandTooLarge,
    CommitUnknown,
    Failure,
    FailureError,
    NotLeader,
    StorageFailed,
)
from turmericreel.model.ids import InstanceId
from turmericreel.protocols.addresses import Address
from turmericreel.protocols.raft_messages import Introduction, RaftHello
from turmericreel.protocols.tls import peer_client_context, peer_server_context
from turmericreel.state.commands.union import Command
from turmericreel.state.machine import StateMachine
from turmericreel.state.storage.disk import Disk, FolderDisk
from turmericreel.state.storage.entries import HardState, MemberId
from turmericreel.state.storage.log_storage import LogStorage
from turmericreel.util.clock import SystemClock

TIMEOUT_S = 5.0
# A change is acknowledged within this time.
ACK_S = 4.0
NAMES = tuple(InstanceId(name) for name in ("a", "b", "c"))


@dataclass(kw_only=True)
class LoopbackGroup:
    """Members in this process, connected over loopback, with in-memory disks."""

    disks: dict[InstanceId, FaultyDisk] = field(default_factory=dict)
    listeners: dict[InstanceId, PeerListener] = field(default_factory=dict)
    logs: dict[InstanceId, RaftLog] = field(default_factory=dict)
    failures: list[Failure] = field(default_factory=list)

    def __post_init__(self):
        for name in NAMES:
            address = Address(host="127.0.0.1", port=0)
            self.listeners[name] = PeerListener(address=address)
            self.listeners[name].start()
            self.disks[name] = FaultyDisk()
        for name in NAMES:
            self.start(name)

    def start(self, name: InstanceId) -> None:
        """Start a member with its disk."""
        addresses = {n: f"127.0.0.1:{p.port}" for n, p in self.listeners.items()}
        transport = StreamTransport(
            group=0,
            instance=name,
            addresses=addresses,
            listener=self.listeners[name],
        )
        self.logs[name] = build_log(name, self.disks[name], transport, self.failures)
        self.logs[name].start()

    def leader(self) -> RaftLog:
        """Wait for a leader and return it."""
        wait_until(
            lambda: any(log.is_leader() for log in self.logs.values()), what="a leader"
        )
        return next(log for log in self.logs.values() if log.is_leader())

    def stop(self) -> None:
        """Stop all members and listeners."""
        for log in self.logs.values():
            log.stop()
        for listener in self.listeners.values():
            listener.stop()


def build_log(
    name: InstanceId, disk: Disk, transport: StreamTransport, failures: list[Failure]
) -> RaftLog:
    return RaftLog(
        instance=name,
        machine=StateMachine(),
        command_type=Command,
        storage=LogStorage(disk=disk),
        transport=transport,
        control_address_of=lambda name: f"control of {name}",
        timing=RaftTiming(heartbeat_s=0.03, election_s=0.2),
        clock=SystemClock(),
        rng=Random(name),
        on_failure=failures.append,
        snapshot_after_bytes=2_000,
    )


def single_member_log(disk: Disk, failures: list[Failure]) -> RaftLog:
    transport = StreamTransport(group=0, instance=NAMES[0], addresses={}, listener=None)
    return build_log(NAMES[0], disk, transport, failures)


@pytest.fixture
def group() -> Iterator[LoopbackGroup]:
    """Yield a group of three members."""
    running = LoopbackGroup()
    yield running
    running.stop()


def submit(log: RaftLog, n: int):
    command = submission(f"t{n}", base=n - 1)
    return log.propose(command, timeout=TIMEOUT_S)


def submit_until_committed(group: LoopbackGroup, n: int, errors: list[Failure]) -> int:
    """Submit to the leader until the command is committed, recording the failures."""
    while True:
        try:
            return submit(group.leader(), n).revision
        except FailureError as error:
            errors.append(error.failure)


def test_follower_refuses_with_leader_address(group):
    leader = group.leader()
    name = leader.member.instance
    follower = next(log for log in group.logs.values() if log is not leader)
    wait_until(lambda: follower.leader_hint() != "", what="a hint")
    with pytest.raises(FailureError) as caught:
        submit(follower, 1)
    assert caught.value.failure == NotLeader(leader=f"control of {name}")


def test_hand_over_loses_no_write_and_reports_every_outcome(group):
    errors: list[Failure] = []
    first = group.leader()
    results = []

    def client() -> None:
        for n in range(1, 41):
            results.append(submit_until_committed(group, n, errors))

    task = spawn(client)
    wait_until(lambda: len(results) >= 10, what="some submissions")
    first.stop()
    del group.logs[first.member.instance]
    task.join()
    assert results == list(range(1, 41))
    assert not [e for e in errors if isinstance(e, CommitUnknown)]


def test_member_recovers_from_snapshot_and_log(group):
    for n in range(1, 60):
        submit_until_committed(group, n, [])
    name = next(n for n, log in group.logs.items() if not log.is_leader())
    follower = group.logs[name]
    wait_until(lambda: follower.machine.configuration.revision == 59, what="a copy")
    follower.stop()
    assert follower.member.storage.snapshots.meta.index > 0
    group.start(name)
    machine = group.logs[name].machine
    wait_until(lambda: machine.configuration.revision == 59, what="recovery")
    assert group.logs[name].member.core.state.snapshot.index > 0


def test_too_large_command_is_refused(group):
    command = submission("x" * COMMAND_LIMIT_BYTES, base=0)
    with pytest.raises(FailureError) as caught:
        group.leader().propose(command, timeout=TIMEOUT_S)
    assert isinstance(caught.value.failure, CommandTooLarge)


def test_read_is_refused_without_the_lease(group):
    leader = group.leader()
    assert leader.read_current(lambda m: m.configuration.revision) == 0
    # The lease is lost during the read.
    with pytest.raises(FailureError) as caught:
        leader.read_current(
            lambda m: leader.member.core.state.chart.fire("quorum_lost")
        )
    assert isinstance(caught.value.failure, NotLeader)


def test_failed_disk_stops_the_log_and_is_reported():
    failures: list[Failure] = []
    disk = FaultyDisk()
    log = single_member_log(disk, failures)
    log.start()
    wait_until(log.is_leader, what="a leader")
    disk.fail_sync_at = disk.n_syncs
    with pytest.raises(FailureError) as caught:
        submit(log, 1)
    assert isinstance(caught.value.failure, CommitUnknown)
    assert isinstance(failures[0], StorageFailed)
    assert not log.is_leader()
    with pytest.raises(FailureError) as caught:
        submit(log, 1)
    assert isinstance(caught.value.failure, NotLeader)
    log.stop()


def used_bytes(disk: FaultyDisk) -> int:
    return sum(len(file.current) for file in disk.files.values())


def test_a_member_whose_disk_is_full_goes_on_once_there_is_room():
    failures: list[Failure] = []
    disk = FaultyDisk()
    log = single_member_log(disk, failures)
    log.start()
    wait_until(log.is_leader, what="a leader")
    # A part of the next frame fits.
    disk.capacity_bytes = used_bytes(disk) + 20
    submitted = spawn(submit, log, 1)
    wait_until(lambda: log.member.storage.n_waiting_for_room, what="a full disk")
    sleep(0.5)
    disk.capacity_bytes = None
    assert submitted.get().revision == 1
    assert submit(log, 2).revision == 2
    log.stop()
    restarted = single_member_log(disk, failures)
    restarted.start()
    wait_until(restarted.is_leader, what="a leader")
    assert submit(restarted, 3).revision == 3
    restarted.stop()
    assert not failures


def test_a_member_starts_and_stops_while_its_disk_is_full():
    failures: list[Failure] = []
    disk = FaultyDisk(capacity_bytes=20)
    log = single_member_log(disk, failures)
    started = spawn(log.start)
    wait_until(lambda: log.member.storage.n_waiting_for_room, what="a full disk")
    disk.capacity_bytes = None
    started.get()
    wait_until(log.is_leader, what="a leader")
    disk.capacity_bytes = 0
    spawn(submit, log, 1)
    wait_until(lambda: log.member.storage.n_waiting_for_room, what="a full disk")
    log.stop()


def test_changes_commit_while_and_after_disks_are_full_in_turn(group):
    revision = 0
    errors: list[Failure] = []
    for disk in group.disks.values():
        leader = group.leader()
        disk.capacity_bytes = used_bytes(disk) + 20
        for _ in range(3):
            revision = submit_until_committed(group, revision + 1, errors)
        sleep(0.5)
        disk.capacity_bytes = None
        assert leader.failure is None
    began = monotonic()
    for _ in range(5):
        revision = submit_until_committed(group, revision + 1, errors)
    assert monotonic() - began < ACK_S
    wait_until(
        lambda: all(
            log.machine.applied_index == group.leader().machine.applied_index
            for log in group.logs.values()
        ),
        what="all members",
    )
    assert not group.failures


def test_single_member_recovers_its_state(tmp_path):
    for n in range(1, 4):
        log = single_member_log(FolderDisk(folder=tmp_path / "data"), [])
        log.start()
        wait_until(log.is_leader, what="a leader")
        assert submit(log, n).revision == n
        log.stop()


def test_streams_are_encrypted_and_refuse_untrusted_peers(tmp_path):
    trusted = write_files(tmp_path / "own", trustme.CA())
    untrusted = write_files(tmp_path / "other", trustme.CA())
    received = []
    listener = PeerListener(
        address=Address(host="127.0.0.1", port=0), context=peer_server_context(trusted)
    )
    listener.deliver[0] = received.append
    listener.start()
    links = [
        PeerLink(
            address=f"127.0.0.1:{listener.port}",
            hello=RaftHello(group=0, instance=NAMES[0]),
            context=context,
        )
        for context in (
            None,
            peer_client_context(untrusted),
            peer_client_context(trusted),
        )
    ]

    def send_all() -> bool:
        for number, link in enumerate(links):
            member = MemberId(f"a#{number}")
            link.send(Introduction(member=member, initial=None, is_question=True))
        return len(received) > 3

    wait_until(send_all, what="messages over TLS")
    for link in links:
        link.stop()
    listener.stop()
    assert {message.member for message in received} == {"a#2"}


def test_stop_waits_for_pending_write(tmp_path):
    # A thread that still writes after the stop would find its files closed or replaced.
    for n in range(10):
        disk = FolderDisk(folder=tmp_path / str(n))
        log = single_member_log(disk, [])
        log.start()
        while log.runner.current is None:
            sleep(0)
        log.task.kill()
        log.stop()
        assert log.runner.current.ready()
        reopened = LogStorage(disk=FolderDisk(folder=tmp_path / str(n)))
        reopened.recover()
        reopened.save(HardState(term=9), [])


def test_idle_link_reconnects_to_restarted_peer():
    received = []
    first = PeerListener(address=Address(host="127.0.0.1", port=0))
    first.deliver[0] = received.append
    first.start()
    address = Address(host="127.0.0.1", port=first.port)
    link = PeerLink(
        address=str(address), hello=RaftHello(group=0, instance=NAMES[0]), context=None
    )
    wait_until(lambda: first.streams, what="a stream")
    first.stop()
    second = PeerListener(address=address)
    second.deliver[0] = received.append
    second.start()
    wait_until(lambda: second.streams, what="a new stream")
    message = Introduction(member=MemberId("a#1"), initial=None, is_question=True)
    link.send(message)
    wait_until(lambda: received == [message], what="the message")
    link.stop()
    second.stop()
