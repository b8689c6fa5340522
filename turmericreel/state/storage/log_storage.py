"""All that one member of a replicated log keeps on its disk."""

from collections.abc import Callable
from dataclasses import dataclass, field
from typing import TypeVar

from turmericreel.model.failures import Failure, FailureError
from turmericreel.state.storage.disk import Disk
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

T = TypeVar("T")


@dataclass(frozen=True, kw_only=True)
class RecoveredState:
    """What a folder held; `identity` is None for an empty one."""

    identity: Identity | None = None
    hard_state: HardState = HardState()
    snapshot: SnapshotMeta = SnapshotMeta()
    snapshot_data: bytes | None = None
    entries: list[Entry] = field(default_factory=list)


class LogStorage:
    """Durable state of one member.

    After any failure every further call fails in the same way: what the disk holds
    is unknown then, and only a restart reads it anew.

    Parameters
    ----------
    disk : Disk
    segment_limit_bytes : int
    """

    def __init__(self, *, disk: Disk, segment_limit_bytes: int = SEGMENT_LIMIT_BYTES):
        self.disk = disk
        self.segments = SegmentedLog(disk=disk, limit_bytes=segment_limit_bytes)
        self.snapshots = SnapshotStore(disk=disk)
        self.failure: Failure | None = None

    def recover(self) -> RecoveredState:
        """Read the folder back.

        Raises
        ------
        FailureError
            With `StorageFailed`, as from all methods.
        """
        return self._guard(self._recover)

    def save_identity(self, identity: Identity) -> None:
        """Durably replace the identity."""
        self._guard(lambda: self._save_identity(identity))

    def reset_member(self, identity: Identity) -> None:
        """Durably forget the log, and become a member that knows of no group."""
        self._guard(lambda: self._reset_member(identity))

    def save(self, hard_state: HardState | None, entries: list[Entry]) -> None:
        """Durably save term and vote if given, then append entries."""
        self._guard(lambda: self._save(hard_state, entries))

    def install_snapshot(self, meta: SnapshotMeta, data: bytes) -> None:
        """Durably replace the whole log by a snapshot of another member."""
        self._guard(lambda: self._install(meta, data))

    def write_snapshot(self, meta: SnapshotMeta, data: bytes) -> SnapshotMeta:
        """Durably write an own snapshot; it may run beside `save`."""
        return self._guard(lambda: self.snapshots.write(meta, data))

    def compact(self, index: int) -> None:
        """Remove the segments that hold nothing after `index`."""
        self._guard(lambda: self.segments.compact(index))

    def snapshot_chunk(self, offset: int) -> bytes:
        """Return a chunk of the newest snapshot."""
        return self._guard(lambda: self.snapshots.chunk(offset))

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
                # No other file may be found without an identity after a crash.
                without_group = Identity(member=identity.member)
                replace_file(self.disk, IDENTITY_NAME, IDENTITY_NAME, without_group)
            replace_file(self.disk, TERM_NAME, TERM_NAME, HardState())
        replace_file(self.disk, IDENTITY_NAME, IDENTITY_NAME, identity)

    def _reset_member(self, identity: Identity) -> None:
        # What is left of the earlier life is removed by the next recovery at the
        # latest, as it stands beside an identity without a group.
        replace_file(self.disk, IDENTITY_NAME, IDENTITY_NAME, identity)
        self._remove_old_files(self.disk.names())

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
            return action()
        except OSError as error:
            failed = storage_failed(self.disk.path, str(error))
            self.failure = failed.failure
            raise failed from error
        except FailureError as error:
            self.failure = error.failure
            raise
