"""Reports the content and the integrity of a data folder without changing it."""

from dataclasses import dataclass
from pathlib import Path

import msgspec

from turmericreel.model.failures import Failure, FailureError, StorageFailed
from turmericreel.state.machine import StateMachine
from turmericreel.state.storage.disk import Disk, FolderDisk
from turmericreel.state.storage.entries import HardState, Identity, SnapshotMeta
from turmericreel.state.storage.log_storage import LogStorage, RecoveredState


@dataclass(frozen=True, kw_only=True)
class TableSize:
    """Size of one table in a snapshot, in encoded bytes."""

    table: str
    size_bytes: int


@dataclass(frozen=True, kw_only=True)
class FolderReport:
    """Content of a data folder, and what the next start would do with it.

    Parameters
    ----------
    first_index, last_index : int
        Range of the log's entries.  Without entries, `first_index` is 0 and
        `last_index` is the index of the snapshot.
    repairs : tuple of str
        Changes that the next start would make, such as truncating a torn tail.
    failure : Failure or None
        Reason why the next start would fail, if it would.
    """

    identity: Identity | None = None
    hard_state: HardState = HardState()
    snapshot: SnapshotMeta = SnapshotMeta()
    tables: tuple[TableSize, ...] = ()
    n_segments: int = 0
    first_index: int = 0
    last_index: int = 0
    repairs: tuple[str, ...] = ()
    failure: Failure | None = None


class ReadOnlyDisk(Disk):
    """A view of another disk that records changes instead of making them."""

    def __init__(self, *, disk: Disk):
        self.disk = disk
        self.path = disk.path
        self.changes: list[str] = []

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return self.disk.names()

    def read(self, name: str, *, offset: int = 0, size: int | None = None) -> bytes:
        """Return at most `size` bytes of a file from `offset`; the rest if None."""
        return self.disk.read(name, offset=offset, size=size)

    def append(self, name: str, data: bytes) -> None:
        """Record an append."""
        self.changes.append(f"append {len(data)} bytes to {name}")

    def truncate(self, name: str, size: int) -> None:
        """Record a truncation."""
        self.changes.append(f"truncate {name} to {size} bytes to remove its torn tail")

    def sync(self, name: str) -> None:
        """Do nothing."""

    def rename(self, old: str, new: str) -> None:
        """Record a rename."""
        self.changes.append(f"rename {old} to {new}")

    def remove(self, name: str) -> None:
        """Record a removal."""
        self.changes.append(f"remove {name}")

    def sync_folder(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


def inspect_folder(folder: Path) -> FolderReport:
    """Report the content of a group's data folder.

    The state in the snapshot is decoded; the commands of later log entries are not
    applied to it.
    """
    if not folder.is_dir():
        missing = StorageFailed(path=str(folder), detail="no such folder")
        return FolderReport(failure=missing)
    return inspect_disk(FolderDisk(folder=folder))


def inspect_disk(disk: Disk) -> FolderReport:
    """Report the content of a disk that holds a group's data."""
    view = ReadOnlyDisk(disk=disk)
    storage = LogStorage(disk=view)
    try:
        recovered = storage.recover()
        tables = _table_sizes(recovered)
    except FailureError as error:
        return FolderReport(repairs=tuple(view.changes), failure=error.failure)
    entries = recovered.entries
    return FolderReport(
        identity=recovered.identity,
        hard_state=recovered.hard_state,
        snapshot=recovered.snapshot,
        tables=tables,
        n_segments=len(storage.segments.segments),
        first_index=entries[0].index if entries else 0,
        last_index=entries[-1].index if entries else recovered.snapshot.index,
        repairs=tuple(view.changes),
    )


def _table_sizes(recovered: RecoveredState) -> tuple[TableSize, ...]:
    if recovered.snapshot_data is None:
        return ()
    try:
        StateMachine().load(recovered.snapshot_data)
        parts = msgspec.msgpack.decode(recovered.snapshot_data)
    except (msgspec.MsgspecError, KeyError) as error:
        failure = StorageFailed(path="snapshot", detail=str(error))
        raise FailureError(failure) from error
    return tuple(
        TableSize(table=name, size_bytes=len(msgspec.msgpack.encode(part)))
        for name, part in parts.items()
        if name != "applied_index"
    )
