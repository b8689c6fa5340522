"""Reads a data folder without changing it: what it holds and whether it is sound."""

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
    """What a data folder holds.

    Parameters
    ----------
    first_index, last_index : int
        Entries of the log; 0 if there is none.
    repairs : tuple of str
        What the next start would repair, such as a torn tail.
    failure : Failure or None
        Why the next start would refuse the folder.
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
    """A view of another disk that notes changes instead of making them."""

    def __init__(self, *, disk: Disk):
        self.disk = disk
        self.path = disk.path
        self.changes: list[str] = []

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return self.disk.names()

    def read(self, name: str, *, offset: int = 0, size: int | None = None) -> bytes:
        """Return content from `offset` on, at most `size` bytes."""
        return self.disk.read(name, offset=offset, size=size)

    def append(self, name: str, data: bytes) -> None:
        """Note an append."""
        self.changes.append(f"add {len(data)} bytes to {name}")

    def truncate(self, name: str, size: int) -> None:
        """Note a cut."""
        self.changes.append(f"cut the torn tail of {name} at {size} bytes")

    def sync(self, name: str) -> None:
        """Do nothing."""

    def rename(self, old: str, new: str) -> None:
        """Note a change of name."""
        self.changes.append(f"rename {old} to {new}")

    def remove(self, name: str) -> None:
        """Note a removal."""
        self.changes.append(f"remove {name}")

    def sync_folder(self) -> None:
        """Do nothing."""

    def close(self) -> None:
        """Do nothing."""


def inspect_folder(folder: Path) -> FolderReport:
    """Report what a group's folder holds.

    The state of the snapshot is decoded, and the commands of the log after it are
    not applied.
    """
    if not folder.is_dir():
        missing = StorageFailed(path=str(folder), detail="no such folder")
        return FolderReport(failure=missing)
    return inspect_disk(FolderDisk(folder=folder))


def inspect_disk(disk: Disk) -> FolderReport:
    """Report what a disk holds."""
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
