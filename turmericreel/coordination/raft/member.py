"""One member of a replicated log: its core, its storage and its state machine.

The member carries out the outputs of the core in a safe order.  It has no task and no
socket of its own: `RaftLog` drives it in the program.
"""

from collections.abc import Callable
from dataclasses import dataclass, replace
from random import Random
from typing import Any

import msgspec
from eliot import log_message
from gevent.event import AsyncResult

from turmericreel.coordination.raft.applier import Applier, Waiter
from turmericreel.coordination.raft.core import RaftCore
from turmericreel.coordination.raft.file_runner import FileRunner, Job
from turmericreel.coordination.raft.formation import Formation, founder_identity
from turmericreel.coordination.raft.log_writer import EntriesWritten, LogWriter
from turmericreel.coordination.raft.replication import SnapshotSource
from turmericreel.coordination.raft.state import Outputs, Role
from turmericreel.coordination.raft.timing import RaftTiming
from turmericreel.coordination.replicated_log import AppliedCallback
from turmericreel.model.failures import CommitUnknown, FailureError
from turmericreel.model.ids import InstanceId
from turmericreel.protocols.raft_messages import Introduction, RaftMessage
from turmericreel.state.commands.base import Tick
from turmericreel.state.replicated_machine import ReplicatedMachine
from turmericreel.state.storage.entries import (
    Identity,
    MemberId,
    Membership,
    SnapshotMeta,
    instance_of,
    member_id,
)
from turmericreel.state.storage.log_storage import LogStorage, RecoveredState
from turmericreel.util.clock import Clock

INTRODUCTION_INTERVAL_S = 0.2
TICK_INTERVAL_S = 1.0
SNAPSHOT_AFTER_BYTES = 8 * 1024 * 1024
N_KEPT_ENTRIES = 2_000
MIN_KEPT_BYTES = 1024 * 1024
# Multiple of the size at which a snapshot is due.  A leader whose disk has no room for
# the snapshot accepts commands up to this size.
MAX_UNCOVERED_FACTOR = 4
INCARNATION_BITS = 62

Send = Callable[[InstanceId, RaftMessage | Introduction], None]


@dataclass(frozen=True, kw_only=True)
class Proposal:
    """An encoded command to be proposed, and the result for its proposer."""

    data: bytes
    done: AsyncResult


@dataclass(frozen=True, kw_only=True)
class SnapshotWritten:
    """Outcome of writing a snapshot: its metadata, or an error.

    Attributes
    ----------
    member : MemberId
        Member that wrote the snapshot, which may since have joined anew.
    outcome : SnapshotMeta or FailureError
    """

    member: MemberId
    outcome: SnapshotMeta | FailureError


class Member(SnapshotSource):
    """One member of a replicated log.

    Parameters
    ----------
    instance : InstanceId
    peers : set of InstanceId
        The other instances that the settings name.
    storage : LogStorage
    machine : ReplicatedMachine
    command_type : type
        Type of the commands; msgspec must be able to decode it.
    runner : FileRunner
    send : callable
        Sends a message to an instance without waiting; it may be lost.
    notify : callable
        Called with each applied record and its result.
    before_rejoin : callable or None
        Called before a removed member discards its state to join anew; from then on
        the state machine is empty until the leader has sent it the log again.
    report : callable
        Called outside the member's task with a `SnapshotWritten`, which the task must
        pass to `compact`, or an `EntriesWritten`, which it must pass to
        `on_entries_written`.
    timing : RaftTiming
    clock : Clock
    rng : Random
    snapshot_after_bytes : int
        Minimum size of the log since the last snapshot at which the next is written.
    n_kept_entries : int
        Maximum number of entries before a snapshot that are kept for members that lag
        slightly.
    min_kept_bytes : int
        Maximum size of these entries, unless the snapshot is larger: a member that
        lacks more than the size of the snapshot receives that instead.
    founders : frozenset of InstanceId or None
        Instances, possibly including this one, that form a new group if their folders
        are empty; the set is empty when a group certainly exists.  With None, the
        peers agree among themselves by introductions.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        peers: set[InstanceId],
        storage: LogStorage,
        machine: ReplicatedMachine,
        command_type: Any,
        runner: FileRunner,
        send: Send,
        notify: AppliedCallback,
        report: Callable[[SnapshotWritten | EntriesWritten], None],
        timing: RaftTiming,
        clock: Clock,
        rng: Random,
        snapshot_after_bytes: int = SNAPSHOT_AFTER_BYTES,
        n_kept_entries: int = N_KEPT_ENTRIES,
        min_kept_bytes: int = MIN_KEPT_BYTES,
        founders: frozenset[InstanceId] | None = None,
        before_rejoin: Callable[[], None] | None = None,
    ):
        self.instance = instance
        self.peers = peers
        self.storage = storage
        self.runner = runner
        self.send = send
        self.report = report
        self.timing = timing
        self.clock = clock
        self.rng = rng
        self.snapshot_after_bytes = snapshot_after_bytes
        self.n_kept_entries = n_kept_entries
        self.min_kept_bytes = min_kept_bytes
        self.founders = founders
        self.before_rejoin = before_rejoin
        self.machine = machine
        self.empty_state = machine.dump()
        self.applier = Applier(
            machine=machine, command_type=command_type, notify=notify
        )
        self.core: RaftCore | None = None
        self.formation: Formation | None = None
        self.recovered = RecoveredState()
        self.introduction_deadline = 0.0
        self.tick_deadline = 0.0
        self.snapshot_job: Job | None = None
        self.writer: LogWriter | None = None

    def open(self) -> None:
        """Recover from the data folder, or create an identity if it is empty.

        Raises
        ------
        FailureError
            With `StorageFailed`.
        """
        self.recovered = self.runner.run(self.storage.recover)
        identity = self.recovered.identity or self._new_identity()
        if self.recovered.snapshot_data is not None:
            self.applier.load(self.recovered.snapshot_data)
        had_initial_membership = identity.initial is not None
        self.formation = Formation(
            identity=identity,
            peers=self.peers,
            joins_only=self.founders is not None,
            is_durable=self.storage.disk.is_persistent,
        )
        if self.formation.initial is None:
            return
        if not had_initial_membership:
            self.runner.run(self.storage.save_identity, self.formation.identity)
        self._start_core()

    @property
    def discovers_peers(self) -> bool:
        """Whether there may be other members that the settings do not name."""
        return self.founders is not None

    def is_leader(self) -> bool:
        """Return whether this leader holds its lease and its state is up to date."""
        if self.core is None:
            return False
        if self.machine.applied_index < self.core.replication.term_first_index:
            return False
        return self.core.holds_lease(self.clock.monotonic())

    @property
    def has_room(self) -> bool:
        """Whether the log may grow further before the next snapshot is written."""
        if self.core is None:
            return False
        state = self.core.state
        uncovered_bytes = state.tail.size_after(
            state.snapshot.index, state.tail.last_index
        )
        return uncovered_bytes < MAX_UNCOVERED_FACTOR * self._snapshot_threshold()

    def next_deadline(self) -> float:
        """Return when `tick` must be called next, in monotonic seconds."""
        deadline = self.tick_deadline
        if self.core is not None:
            deadline = min(deadline, self.core.next_deadline())
        if not self._is_current_member():
            deadline = min(deadline, self.introduction_deadline)
        return deadline

    def step(self, message: RaftMessage) -> None:
        """Pass a message to the core; `process_outputs` carries out the result."""
        if self.core is None:
            return
        former = self.core.state.membership.former
        if self.discovers_peers and message.sender in former:
            # The sender was removed while it was unreachable, so it is informed now.
            self.send(instance_of(message.sender), self._own_introduction())
            return
        self.core.step(message, self.clock.monotonic())

    def receive_introduction(self, message: Introduction) -> None:
        """Record another member's introduction, reply and queue it for admission.

        If this member was removed from the group, it first becomes a new member
        without state, because its earlier votes and entries no longer count.

        Raises
        ------
        FailureError
            With `StorageFailed`.
        """
        own = self.formation.identity.member
        if self.discovers_peers and own in message.former:
            self._rejoin()
        if self.formation.receive_introduction(message):
            self.runner.run(self.storage.save_identity, self.formation.identity)
            self._start_core()
        sender = instance_of(message.member)
        if self.discovers_peers:
            named_members = (message.member, *message.members)
            self.peers |= {instance_of(m) for m in named_members} - {self.instance}
        if not message.is_question or sender not in self.peers:
            return
        self.send(sender, self._own_introduction())
        if self.core is not None:
            self._admit(message)

    def propose(self, proposals: list[Proposal]) -> None:
        """Append commands as the leader."""
        first = self.core.propose(
            [proposal.data for proposal in proposals],
            time_ms=self.clock.wall_ms(),
            now=self.clock.monotonic(),
        )
        term = self.core.state.term
        for index, proposal in enumerate(proposals, start=first):
            self.applier.waiters[index] = Waiter(term=term, done=proposal.done)

    def tick(self) -> None:
        """Handle introductions, elections, heartbeats and log time when due."""
        now = self.clock.monotonic()
        self._send_introductions(now)
        if self.core is not None:
            self.core.tick(now)
            self._propose_tick_if_due(now)

    def process_outputs(self) -> None:
        """Make durable, send and apply the outputs of the core.

        Raises
        ------
        FailureError
            With `StorageFailed` or `LogDiverged`; this member cannot continue then.
        """
        if self.core is None:
            return
        while True:
            outputs = self.core.collect_outputs()
            if outputs == Outputs():
                break
            if self._can_write_in_background(outputs):
                self._write_in_background(outputs)
            else:
                self._persist_and_send(outputs)
            for entry in outputs.committed:
                self.applier.apply(entry)
        if self.core.state.role is not Role.LEADER:
            self.applier.fail_waiters(CommitUnknown(detail="leadership was lost"))
        self._snapshot_if_due()

    def compact(self, message: SnapshotWritten) -> None:
        """Drop the log entries that a finished snapshot covers.

        Raises
        ------
        FailureError
            With `StorageFailed` when the snapshot could not be written.
        """
        if message.member != self.formation.identity.member:
            return
        self.snapshot_job = None
        if isinstance(message.outcome, FailureError):
            raise message.outcome
        meta = message.outcome
        if meta.index < self.core.state.snapshot.index:
            return
        tail = self.core.state.tail
        index = max(
            meta.index - self.n_kept_entries,
            tail.index_before(
                meta.index, limit_bytes=max(self.min_kept_bytes, meta.size_bytes)
            ),
        )
        self.core.compact_log(meta, index=index)
        self.runner.run(self.storage.compact, index)
        log_message(
            "raft:compacted",
            snapshot_index=meta.index,
            snapshot_bytes=meta.size_bytes,
            held_entries=len(tail.entries),
            held_bytes=tail.size_bytes,
            stored_bytes=self.storage.segments.size_bytes,
        )

    def on_entries_written(self, message: EntriesWritten) -> None:
        """Record that the leader's own entries are durable.

        Raises
        ------
        FailureError
            With `StorageFailed` when they could not be written.
        """
        if message.member != self.formation.identity.member:
            return
        self.writer.finish_write(message)
        self.core.mark_persisted(message.last)

    def snapshot_chunk(self, offset: int) -> bytes:
        """Return a chunk of the newest snapshot for a member that lags."""
        return self.storage.snapshot_chunk(offset)

    def _own_introduction(self) -> Introduction:
        present = Membership()
        if self.core is not None:
            present = self.core.state.membership
        return self.formation.introduce(is_question=False, present=present)

    def _new_incarnation(self) -> Identity:
        # Only that it is new matters, and clocks may go back.
        number = self.rng.getrandbits(INCARNATION_BITS)
        return Identity(member=member_id(self.instance, number))

    def _new_identity(self) -> Identity:
        is_founder = self.founders is not None and self.instance in self.founders
        if is_founder and self.storage.disk.is_persistent:
            identity = founder_identity(self.instance, self.founders)
            self.runner.run(self.storage.save_identity, identity)
            return identity
        identity = self._new_incarnation()
        self.runner.run(self.storage.save_identity, identity)
        return identity

    def _rejoin(self) -> None:
        log_message("raft:removed", member=self.formation.identity.member)
        if self.before_rejoin is not None:
            self.before_rejoin()
        self.applier.fail_waiters(CommitUnknown(detail="the member was removed"))
        if self.core is not None:
            self.writer.discard_pending()
        if self.snapshot_job is not None:
            self.snapshot_job.wait()
            self.snapshot_job = None
        identity = self._new_incarnation()
        self.runner.run(self.storage.reset_member, identity)
        self.core = None
        self.writer = None
        self.applier.load(self.empty_state)
        self.formation = Formation(
            identity=identity,
            peers=self.peers,
            joins_only=True,
            is_durable=self.storage.disk.is_persistent,
        )
        self.introduction_deadline = self.clock.monotonic()

    def _start_core(self) -> None:
        identity = self.formation.identity
        self.writer = LogWriter(
            member=identity.member,
            storage=self.storage,
            runner=self.runner,
            report=self.report,
        )
        self.core = RaftCore(
            member=identity.member,
            recovered=replace(self.recovered, identity=identity),
            timing=self.timing,
            source=self,
            rng=self.rng,
            now=self.clock.monotonic(),
            removes_silent_voters=self.discovers_peers,
        )
        self.recovered = RecoveredState()

    def _can_write_in_background(self, outputs: Outputs) -> bool:
        # No message of a leader depends on its own entries being durable, so it need
        # not wait for the sync.  Then even a slow disk does not cost it the lease.
        depends = outputs.hard_state is not None or outputs.snapshot is not None
        return self.core.state.role is Role.LEADER and not depends

    def _write_in_background(self, outputs: Outputs) -> None:
        self._send_all(outputs.early_messages)
        self._send_all(outputs.messages)
        self.writer.write_in_background(outputs.entries)

    def _persist_and_send(self, outputs: Outputs) -> None:
        if outputs.snapshot is not None:
            self._install(outputs)
        self.writer.write_and_wait(outputs.hard_state, outputs.entries)
        if outputs.entries:
            self.core.mark_persisted(outputs.entries[-1])
        # Even a leader's entries must not be sent before their term is durable.
        self._send_all(outputs.early_messages)
        self._send_all(outputs.messages)

    def _install(self, outputs: Outputs) -> None:
        received = outputs.snapshot
        self.writer.discard_pending()
        if self.snapshot_job is not None:
            # This member's own snapshot must not overwrite the newer one.
            self.snapshot_job.wait()
        self.runner.run(self.storage.install_snapshot, received.meta, received.data)
        self.applier.load(received.data)

    def _send_all(self, messages: list[RaftMessage]) -> None:
        for message in messages:
            self.send(instance_of(message.receiver), message)

    def _propose_tick_if_due(self, now: float) -> None:
        if now < self.tick_deadline:
            return
        self.tick_deadline = now + TICK_INTERVAL_S
        time_ms = self.clock.wall_ms()
        if self.is_leader() and self.machine.has_due(time_ms):
            data = msgspec.msgpack.encode(Tick())
            self.core.propose([data], time_ms=time_ms, now=now)

    def _is_current_member(self) -> bool:
        if self.core is None:
            return False
        state = self.core.state
        if state.is_voter:
            return True
        # The entry that admitted this member may have been lost with the leader, so a
        # learner without recent leader contact introduces itself again.
        is_member = state.member in state.membership.members
        return is_member and self.clock.monotonic() < state.promise_deadline

    def _send_introductions(self, now: float) -> None:
        if now < self.introduction_deadline or self._is_current_member():
            return
        self.introduction_deadline = now + INTRODUCTION_INTERVAL_S
        for peer in sorted(self.peers):
            self.send(peer, self.formation.introduce(is_question=True))

    def _admit(self, message: Introduction) -> None:
        if message.member in self.core.state.membership.members:
            return
        reconfiguration = self.core.reconfiguration
        if message.is_durable:
            reconfiguration.join_requests.add(message.member)
        else:
            reconfiguration.observe_requests.add(message.member)

    def _snapshot_threshold(self) -> int:
        return max(self.snapshot_after_bytes, self.core.state.snapshot.size_bytes)

    def _snapshot_if_due(self) -> None:
        if (
            self.snapshot_job is not None
            or self.applier.bytes_since_snapshot < self._snapshot_threshold()
        ):
            return
        self.applier.bytes_since_snapshot = 0
        state = self.core.state
        index = self.machine.applied_index
        meta = SnapshotMeta(
            index=index,
            term=state.tail.term_at(index),
            time_ms=state.last_time_ms,
            membership=state.memberships.at(index),
        )
        self.snapshot_job = self.runner.begin(
            self.storage.write_snapshot,
            meta,
            self.machine.dump(),
            done=lambda outcome, member=state.member: self.report(
                SnapshotWritten(member=member, outcome=outcome)
            ),
        )
