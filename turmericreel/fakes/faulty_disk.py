"""An in-memory disk that simulates crashes, torn writes and I/O errors.

Content that was not synced may survive a crash completely, in part, with unwritten
sectors or not at all. Creations, renames and removals of files since the last
`sync_folder` may be lost too.
"""

import errno
from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from random import Random

from turmericreel.state.storage.disk import Disk, DiskFullError
from turmericreel.state.storage.framing import SECTOR_BYTES


class DiskCrashed(Exception):  # noqa: N818
    """The machine lost power before an operation took effect."""


class Survival(Enum):
    """How much unsynced content survives a crash."""

    NOTHING = "nothing"
    EVERYTHING = "everything"
    TORN = "torn"


@dataclass(kw_only=True)
class FakeFile:
    """A file's content as last written, and as last synced."""

    current: bytes = b""
    durable: bytes = b""


class FaultyDisk(Disk):
    """A folder in memory, with injected faults.

    Parameters
    ----------
    capacity_bytes : int or None
        Capacity; an append beyond it writes what fits and fails with ENOSPC.
    crash_at : int or None
        Index of the writing or syncing operation before which the machine crashes.
    fail_sync_at : int or None
        Index of the sync that fails; the content it should have synced is lost.

    Attributes
    ----------
    honours_sync : bool
        Whether syncs make content and names durable; False simulates a disk that only
        acknowledges them.
    """

    def __init__(
        self,
        *,
        capacity_bytes: int | None = None,
        crash_at: int | None = None,
        fail_sync_at: int | None = None,
    ):
        self.path = "fake"
        self.capacity_bytes = capacity_bytes
        self.crash_at = crash_at
        self.fail_sync_at = fail_sync_at
        self.files: dict[str, FakeFile] = {}
        self.durable_files: dict[str, FakeFile] = {}
        self.unsynced_name_changes: list[Callable[[dict[str, FakeFile]], None]] = []
        self.n_operations = 0
        self.n_syncs = 0
        self.honours_sync = True

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(self.files)

    def read(self, name: str, *, offset: int = 0, size: int | None = None) -> bytes:
        """Return content from `offset` on, at most `size` bytes."""
        if name not in self.files:
            raise OSError(errno.ENOENT, name)
        end = None if size is None else offset + size
        return self.files[name].current[offset:end]

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, which is created if it is absent."""
        self._count_operation()
        if name not in self.files:
            file = FakeFile()
            self._change_names(lambda files: files.__setitem__(name, file))
        room = self._free_bytes()
        self.files[name].current += data if room is None else data[:room]
        if room is not None and room < len(data):
            raise DiskFullError(errno.ENOSPC, "no space left on device")

    def truncate(self, name: str, size: int) -> None:
        """Truncate a file to `size` bytes."""
        self._count_operation()
        self.files[name].current = self.files[name].current[:size]

    def sync(self, name: str) -> None:
        """Make a file's content durable."""
        self._count_operation()
        self._count_sync(self.files[name])
        if self.honours_sync:
            self.files[name].durable = self.files[name].current

    def rename(self, old: str, new: str) -> None:
        """Rename a file, replacing an existing one."""
        self._count_operation()
        self._change_names(lambda files: files.__setitem__(new, files.pop(old)))

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._count_operation()
        self._change_names(lambda files: files.pop(name, None))

    def sync_folder(self) -> None:
        """Make creations, renames and removals durable."""
        self._count_operation()
        self._count_sync(None)
        if self.honours_sync:
            self.durable_files = dict(self.files)
            self.unsynced_name_changes = []

    def close(self) -> None:
        """Do nothing: no resources are held."""

    def flip(self, name: str, offset: int, *, bit: int = 0) -> None:
        """Flip one bit of a file's content, as written and as synced."""
        content = bytearray(self.files[name].current)
        content[offset] ^= 1 << bit
        self.files[name].current = self.files[name].durable = bytes(content)

    def after_crash(self, survival: Survival, rng: Random) -> "FaultyDisk":
        """Return the disk as the machine finds it when it restarts after a crash."""
        restarted = FaultyDisk()
        names = dict(self.durable_files)
        for change in self.unsynced_name_changes[
            : self._n_surviving_changes(survival, rng)
        ]:
            change(names)
        for name, file in names.items():
            content = _surviving_content(file, survival, rng)
            restarted.files[name] = FakeFile(current=content, durable=content)
        restarted.durable_files = dict(restarted.files)
        return restarted

    def _n_surviving_changes(self, survival: Survival, rng: Random) -> int:
        match survival:
            case Survival.NOTHING:
                return 0
            case Survival.EVERYTHING:
                return len(self.unsynced_name_changes)
        return rng.randint(0, len(self.unsynced_name_changes))

    def _change_names(self, change: Callable[[dict[str, FakeFile]], None]) -> None:
        change(self.files)
        self.unsynced_name_changes.append(change)

    def _free_bytes(self) -> int | None:
        if self.capacity_bytes is None:
            return None
        used = sum(len(file.current) for file in self.files.values())
        return max(0, self.capacity_bytes - used)

    def _count_operation(self) -> None:
        if self.n_operations == self.crash_at:
            raise DiskCrashed
        self.n_operations += 1

    def _count_sync(self, file: FakeFile | None) -> None:
        self.n_syncs += 1
        if self.n_syncs - 1 != self.fail_sync_at:
            return
        if file is not None:
            # The kernel drops the dirty pages on a failed sync; a second sync succeeds.
            file.durable = file.current = file.durable
        raise OSError(errno.EIO, "input/output error")


def _surviving_content(file: FakeFile, survival: Survival, rng: Random) -> bytes:
    match survival:
        case Survival.NOTHING:
            return file.durable
        case Survival.EVERYTHING:
            return file.current
    if not file.current.startswith(file.durable):
        return rng.choice([file.durable, file.current])
    start = len(file.durable)
    content = bytearray(file.current[: rng.randint(start, len(file.current))])
    for sector in range(start - start % SECTOR_BYTES, len(content), SECTOR_BYTES):
        first = max(sector, start)
        last = min(sector + SECTOR_BYTES, len(content))
        if rng.random() < 0.3:
            content[first:last] = bytes(last - first)
    return bytes(content)
