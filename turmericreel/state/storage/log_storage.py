"""Durable storage of one member of a replicated log: identity, term, log, snapshot."""

from collections.abc import Callable
from dataclasses import dataclass, field
from threading import Event
from typing import TypeVar

from turmericreel.model.failures import Failure, FailureError
from turmericreel.state.storage.disk import Disk, DiskFullError
from turmericreel.state.storage.entries import (
    Entry,
    HardState,
    Identity,
    SnapshotMeta,
)
from turmericreel.state.storage.segments import SEGMENT_LIMIT_BYTES, SegmentedLog
from turmericreel.state.storage.small_files import (
    read_file,
    replace_file,
    storage_failed,
)
from turmericreel.state.storage.snapshots import SnapshotStore

IDENTITY_NAME = "identity"
TERM_NAME = "term"
# Time after which a write is tried again while the disk is full.
FULL_RETRY_S = 0.1

T = TypeVar("T")


@dataclass(frozen=True, kw_only=True)
class RecoveredState:
    """State read from a data folder; `identity` is None if the folder was empty."""

    identity: Identity | None = None
    hard_state: HardState = HardState()
    snapshot: SnapshotMeta = SnapshotMeta()
    snapshot_data: bytes | None = None
    entries: list[Entry] = field(default_factory=list)


class LogStorage:
    """Durable state of one member.

    After a failure, every later call raises the same failure: the content of the disk
    is unknown from then on, until a restart reads it again.  With `waits_for_room`, a
    full disk is no failure: calls that write wait until there is room, or until
    `stop_waiting`.

    Parameters
    ----------
    disk : Disk
    segment_limit_bytes : int
        Size from which a new segment of the log is started.

    Attributes
    ----------
    waits_for_room : bool
        For callers in a thread that may be blocked for long.
    n_waiting_for_room : int
        Calls that wait because the disk is full.
    """

    def __init__(self, *, disk: Disk, segment_limit_bytes: int = SEGMENT_LIMIT_BYTES):
        self.disk = disk
        self.segment_limit_bytes = segment_limit_bytes
        self.segments = SegmentedLog(disk=disk, limit_bytes=segment_limit_bytes)
        self.snapshots = SnapshotStore(disk=disk)
        self.failure: Failure | None = None
        self.waits_for_room = False
        self.n_waiting_for_room = 0
        self.stopping = Event()

    def recover(self) -> RecoveredState:
        """Read the stored state, and complete or discard interrupted writes.

        Raises
        ------
        FailureError
            With `StorageFailed`, as in all methods of this class.
        """
        return self._guard(self._recover)

    def save_identity(self, identity: Identity) -> None:
        """Durably replace the identity."""
        self._guard(lambda: self._save_identity(identity))

    def reset_member(self, identity: Identity) -> None:
        """Durably store an identity without a group, and remove all other files.

        The storage can be used further, as that of a new member.
        """
        self._guard(lambda: self._reset_member(identity))

    def save(self, hard_state: HardState | None, entries: list[Entry]) -> None:
        """Durably save term and vote unless None, then durably append entries."""
        self._guard(lambda: self._save(hard_state, entries))

    def install_snapshot(self, meta: SnapshotMeta, data: bytes) -> None:
        """Durably replace the whole log by a snapshot received from another member."""
        self._guard(lambda: self._install(meta, data))

    def write_snapshot(self, meta: SnapshotMeta, data: bytes) -> SnapshotMeta:
        """Durably write a snapshot of this member; may run concurrently with `save`."""
        return self._guard(lambda: self.snapshots.write(meta, data))

    def compact(self, index: int) -> None:
        """Remove the oldest segments whose entries after `index` were all replaced."""
        self._guard(lambda: self.segments.compact(index))

    def snapshot_chunk(self, offset: int) -> bytes:
        """Return the chunk at `offset` of the newest snapshot's data."""
        return self._guard(lambda: self.snapshots.chunk(offset))

    def stop_waiting(self) -> None:
        """Let calls fail that wait for room, and later ones that have none."""
        self.stopping.set()

    def close(self) -> None:
        """Close all files."""
        self.disk.close()

    def _recover(self) -> RecoveredState:
        names = self.disk.names()
        if IDENTITY_NAME not in names:
            return self._recover_empty(names)
        identity = read_file(self.disk, IDENTITY_NAME, IDENTITY_NAME, Identity)
        if identity.initial is None:
            self._remove_old_files(names)
            return RecoveredState(identity=identity)
        hard_state = HardState()
        if TERM_NAME in names:
            hard_state = read_file(self.disk, TERM_NAME, TERM_NAME, HardState)
        else:
            raise storage_failed(self.disk.path, "the term file is missing")
        data = self.snapshots.recover()
        entries = self.segments.recover(self.snapshots.meta)
        return RecoveredState(
            identity=identity,
            hard_state=hard_state,
            snapshot=self.snapshots.meta,
            snapshot_data=data,
            entries=entries,
        )

    def _recover_empty(self, names: list[str]) -> RecoveredState:
        if any(not name.endswith(".part") for name in names):
            raise storage_failed(self.disk.path, "the identity file is missing")
        return RecoveredState()

    def _save_identity(self, identity: Identity) -> None:
        names = self.disk.names()
        if identity.initial is not None and TERM_NAME not in names:
            if IDENTITY_NAME not in names:
                # The identity is written first: after a crash, a folder that has
                # other files but no identity is refused.
                without_group = Identity(member=identity.member)
                replace_file(self.disk, IDENTITY_NAME, IDENTITY_NAME, without_group)
            replace_file(self.disk, TERM_NAME, TERM_NAME, HardState())
        replace_file(self.disk, IDENTITY_NAME, IDENTITY_NAME, identity)

    def _reset_member(self, identity: Identity) -> None:
        # If a crash interrupts the removal, the next recovery completes it, because
        # the identity has no initial membership then.
        replace_file(self.disk, IDENTITY_NAME, IDENTITY_NAME, identity)
        self._remove_old_files(self.disk.names())
        self.segments = SegmentedLog(
            disk=self.disk, limit_bytes=self.segment_limit_bytes
        )
        self.snapshots = SnapshotStore(disk=self.disk)

    def _remove_old_files(self, names: list[str]) -> None:
        for name in names:
            if name != IDENTITY_NAME:
                self.disk.remove(name)
        self.disk.sync_folder()

    def _save(self, hard_state: HardState | None, entries: list[Entry]) -> None:
        if hard_state is not None:
            replace_file(self.disk, TERM_NAME, TERM_NAME, hard_state)
        if entries:
            self.segments.append(entries)

    def _install(self, meta: SnapshotMeta, data: bytes) -> None:
        self.snapshots.write(meta, data)
        self.segments.discard()

    def _guard(self, action: Callable[[], T]) -> T:
        if self.failure is not None:
            raise FailureError(self.failure)
        try:
            return self._run_with_room(action)
        except OSError as error:
            failed = storage_failed(self.disk.path, str(error))
            self.failure = failed.failure
            raise failed from error
        except FailureError as error:
            self.failure = error.failure
            raise

    def _run_with_room(self, action: Callable[[], T]) -> T:
        """Repeat an action, which may have been done in part, until there is room."""
        while True:
            try:
                return action()
            except DiskFullError:
                if not self.waits_for_room or self.stopping.is_set():
                    raise
            self.n_waiting_for_room += 1
            try:
                self.stopping.wait(FULL_RETRY_S)
            finally:
                self.n_waiting_for_room -= 1
