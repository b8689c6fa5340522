"""The task that drives one member of a replicated log.

One greenlet owns the member and its state machine; all other code sends it items
through its inbox.
"""

from collections.abc import Callable
from dataclasses import dataclass
from random import Random
from typing import Any

import msgspec
from eliot import log_message
from gevent import sleep, spawn
from gevent.event import AsyncResult
from gevent.queue import Empty
from gevent.timeout import Timeout

from turmericreel.coordination.raft.file_runner import ThreadRunner
from turmericreel.coordination.raft.log_writer import EntriesWritten
from turmericreel.coordination.raft.member import (
    SNAPSHOT_AFTER_BYTES,
    Member,
    Proposal,
    SnapshotWritten,
)
from turmericreel.coordination.raft.state import Role
from turmericreel.coordination.raft.timing import RaftTiming
from turmericreel.coordination.raft.transport import Transport
from turmericreel.coordination.replicated_log import ReplicatedLog
from turmericreel.model.failures import (
    CommandTooLarge,
    CommitUnknown,
    ControlUnavailable,
    Failure,
    FailureError,
    InternalFault,
    NotLeader,
    StorageFailed,
)
from turmericreel.model.ids import FencingToken, InstanceId
from turmericreel.protocols.raft_messages import (
    Introduction,
    PeerMessage,
    RaftMessage,
    size_of_message,
)
from turmericreel.state.commands.union import Command, Result
from turmericreel.state.replicated_machine import ReplicatedMachine
from turmericreel.state.storage.entries import MemberId, instance_of
from turmericreel.state.storage.log_storage import LogStorage
from turmericreel.util.bounded_queue import BoundedQueue
from turmericreel.util.clock import Clock

COMMAND_LIMIT_BYTES = 3 * 1024 * 1024
MAX_WAITING_PROPOSALS = 20_000
MAX_INBOX_ITEMS = 100_000
MAX_INBOX_BYTES = 16 * 1024 * 1024
TRANSFER_TIMEOUT_S = 2.0
MAX_INBOX_BATCH = 4_000
DISK_CHECK_S = 0.25


@dataclass(frozen=True, kw_only=True)
class LeadershipTransfer:
    """Request to transfer leadership before a planned stop, without lost writes."""

    done: AsyncResult


class RaftLog(ReplicatedLog):
    """One member's replicated log, based on Raft.

    Parameters
    ----------
    instance : InstanceId
    machine : ReplicatedMachine
        Empty; the log restores and updates it.
    command_type : type
        Type of the commands; msgspec must be able to decode it.
    storage : LogStorage
    transport : Transport
    control_address_of : callable
        Returns the control address of an instance for leader hints; ``""`` if it is
        unknown.
    timing : RaftTiming
    clock : Clock
    rng : Random
    on_failure : callable
        Called with the failure that stopped this member.
    snapshot_after_bytes : int
        Minimum size of the log since the last snapshot at which the next is written.
    founders : frozenset of InstanceId or None
        See `Member`.
    before_rejoin : callable or None
        See `Member`.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        machine: ReplicatedMachine,
        command_type: Any,
        storage: LogStorage,
        transport: Transport,
        control_address_of: Callable[[InstanceId], str],
        timing: RaftTiming,
        clock: Clock,
        rng: Random,
        on_failure: Callable[[Failure], None],
        snapshot_after_bytes: int = SNAPSHOT_AFTER_BYTES,
        founders: frozenset[InstanceId] | None = None,
        before_rejoin: Callable[[], None] | None = None,
    ):
        super().__init__()
        self.transport = transport
        self.control_address_of = control_address_of
        self.clock = clock
        self.on_failure = on_failure
        self.inbox = BoundedQueue(
            max_items=MAX_INBOX_ITEMS, max_bytes=MAX_INBOX_BYTES, size_of=_size_of
        )
        self.runner = ThreadRunner()
        storage.waits_for_room = True
        self.member = Member(
            instance=instance,
            peers=transport.peers,
            storage=storage,
            machine=machine,
            command_type=command_type,
            runner=self.runner,
            send=transport.send,
            notify=self.notify_applied,
            report=self.inbox.put_always,
            timing=timing,
            clock=clock,
            rng=rng,
            snapshot_after_bytes=snapshot_after_bytes,
            founders=founders,
            before_rejoin=before_rejoin,
        )
        self.machine = machine
        self.encoder = msgspec.msgpack.Encoder()
        self.failure: Failure | None = None
        self.deferred_proposals: list[Proposal] = []
        self.leadership_transfer: LeadershipTransfer | None = None
        self.transfer_deadline = 0.0
        self.logged_role = None
        self.task = None
        self.disk_task = None

    def start(self) -> None:
        """Recover the state from the data folder and start the task.

        Raises
        ------
        FailureError
            With `StorageFailed` if the data folder cannot be read or written.
        """
        self.member.open()
        self.transport.start(self.inbox.put)
        self.task = spawn(self._run)
        self.disk_task = spawn(self._watch_disk)

    def stop(self) -> None:
        """Transfer leadership if this member leads, stop, and close the storage."""
        if self.task is not None and not self.task.dead:
            request = LeadershipTransfer(done=AsyncResult())
            self.inbox.put_always(request)
            with Timeout(TRANSFER_TIMEOUT_S, False):
                request.done.get()
            self.task.kill()
        if self.disk_task is not None:
            self.disk_task.kill()
        self.member.storage.stop_waiting()
        self.runner.wait()
        self.transport.stop()
        self.member.storage.close()

    def propose(self, command: Command, *, timeout: float) -> Result:
        """Commit a command and return its result.

        The result comes from the local state machine, once the command is durable at
        a quorum and applied here.

        Parameters
        ----------
        command : Command
        timeout : float
            Seconds.

        Raises
        ------
        FailureError
            With `CommandTooLarge`, `NotLeader` or `ControlUnavailable` if nothing was
            appended, or `CommitUnknown`.
        """
        data = self.encoder.encode(command)
        if len(data) > COMMAND_LIMIT_BYTES:
            too_large = CommandTooLarge(
                size_bytes=len(data), limit_bytes=COMMAND_LIMIT_BYTES
            )
            raise FailureError(too_large)
        if self.member.core is None or self.failure is not None:
            raise FailureError(NotLeader(leader=self.leader_hint()))
        proposal = Proposal(data=data, done=AsyncResult())
        if not self.inbox.put(proposal):
            raise FailureError(ControlUnavailable(detail="too many messages wait"))
        try:
            return proposal.done.get(timeout=timeout)
        except Timeout as error:
            raise FailureError(CommitUnknown(detail="timeout")) from error

    def is_leader(self) -> bool:
        """Return whether this leader holds its lease and its state is up to date."""
        return self.failure is None and self.member.is_leader()

    def leader_hint(self) -> str:
        """Return the leader's control address by the local view, or ``""``."""
        leader = self.leader()
        if leader is None:
            return ""
        return self.control_address_of(leader)

    def leader(self) -> InstanceId | None:
        """Return the leader by the local view, or None."""
        core = self.member.core
        leader = core.state.leader if core is not None else None
        return instance_of(leader) if leader is not None else None

    def fencing_token(self) -> FencingToken:
        """Return the current term, which increases with each new leader."""
        core = self.member.core
        return FencingToken(core.state.term if core is not None else 0)

    def orders_allowed_at(self) -> float:
        """Return when an earlier leader's lease has certainly expired.

        Returns
        -------
        float
            Seconds on the monotonic clock; infinite until the member knows its group.
        """
        core = self.member.core
        return core.orders_allowed_at() if core is not None else float("inf")

    def remove_member(self, member: MemberId) -> None:
        """Request the removal of another member; only the leader carries it out."""
        if self.member.core is None:
            return
        self.member.core.reconfiguration.leave_requests.add(member)

    def _run(self) -> None:
        try:
            while True:
                self._handle(self._next_items())
        except FailureError as error:
            self._fail(error.failure)
        except OSError as error:
            self._fail(StorageFailed(path="", detail=str(error)))
        except Exception as error:
            self._fail(InternalFault(detail=repr(error)))
            raise

    def _watch_disk(self) -> None:
        """Log when writes begin to wait because the disk is full, and when they end."""
        was_full = False
        while True:
            sleep(DISK_CHECK_S)
            is_full = self.member.storage.n_waiting_for_room > 0
            if is_full != was_full:
                was_full = is_full
                log_message("raft:disk_full" if is_full else "raft:disk_has_room")

    def _fail(self, failure: Failure) -> None:
        self.failure = failure
        log_message("raft:failed", failure=failure.describe())
        self.member.applier.fail_waiters(CommitUnknown(detail=failure.tag))
        self.on_failure(failure)

    def _next_items(self) -> list:
        wait = self.member.next_deadline() - self.clock.monotonic()
        items = []
        try:
            items.append(self.inbox.get(timeout=max(0.0, wait)))
            while len(self.inbox) and len(items) < MAX_INBOX_BATCH:
                items.append(self.inbox.get())
        except Empty:
            pass
        return items

    def _handle(self, items: list) -> None:
        proposals = []
        for item in items:
            match item:
                case Proposal():
                    proposals.append(item)
                case RaftMessage():
                    self.member.step(item)
                case Introduction():
                    self.member.receive_introduction(item)
                case LeadershipTransfer():
                    self._begin_transfer(item)
                case SnapshotWritten():
                    self.member.compact(item)
                case EntriesWritten():
                    self.member.on_entries_written(item)
        self._propose(proposals)
        self.member.tick()
        self.member.process_outputs()
        self._continue_transfer()
        self._log_changes()

    def _log_changes(self) -> None:
        core = self.member.core
        if core is None:
            return
        state = core.state
        current_role = (state.role, state.term, state.leader)
        if current_role != self.logged_role:
            self.logged_role = current_role
            log_message(
                "raft:role",
                member=state.member,
                role=state.role.value,
                term=state.term,
                leader=state.leader or "",
            )

    def _propose(self, proposals: list[Proposal]) -> None:
        if self.leadership_transfer is not None:
            self.deferred_proposals += proposals
            return
        if not proposals:
            return
        if not self._has_leader_role():
            self._refuse(proposals)
            return
        n_free = 0
        if self.member.has_room:
            n_waiting = len(self.member.applier.waiters)
            n_free = max(0, MAX_WAITING_PROPOSALS - n_waiting)
        for proposal in proposals[n_free:]:
            overloaded = ControlUnavailable(detail="too much is waiting to be stored")
            proposal.done.set_exception(FailureError(overloaded))
        self.member.propose(proposals[:n_free])

    def _has_leader_role(self) -> bool:
        core = self.member.core
        return core is not None and core.state.role is Role.LEADER

    def _refuse(self, proposals: list[Proposal]) -> None:
        for proposal in proposals:
            failure = NotLeader(leader=self.leader_hint())
            proposal.done.set_exception(FailureError(failure))

    def _begin_transfer(self, request: LeadershipTransfer) -> None:
        if not self._has_leader_role():
            request.done.set(None)
            return
        self.leadership_transfer = request
        self.transfer_deadline = self.clock.monotonic() + TRANSFER_TIMEOUT_S

    def _continue_transfer(self) -> None:
        if self.leadership_transfer is None:
            return
        now = self.clock.monotonic()
        core = self.member.core
        if core is None:
            self._end_transfer()
            return
        if self._has_leader_role() and core.ready_to_transfer_leadership(now):
            core.transfer_leadership(now)
            self.member.process_outputs()
        has_successor = core.state.leader not in (None, core.state.member)
        has_no_target = core.replication.most_current_voter(now) is None
        if has_successor or has_no_target or now >= self.transfer_deadline:
            self._end_transfer()

    def _end_transfer(self) -> None:
        self._refuse(self.deferred_proposals)
        self.deferred_proposals = []
        self.leadership_transfer.done.set(None)
        self.leadership_transfer = None


def _size_of(item: object) -> int:
    match item:
        case RaftMessage() | PeerMessage():
            return size_of_message(item)
        case Proposal():
            return len(item.data)
    return 0
