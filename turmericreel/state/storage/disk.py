"""The file operations that durable storage needs, on one folder without subfolders.

All calls block.  A file's content is durable only after `sync`; creations, renames and
removals of files are durable only after `sync_folder`.
"""

import os
from abc import ABC, abstractmethod
from collections.abc import Iterator
from contextlib import contextmanager
from errno import EDQUOT, ENOENT, ENOSPC
from pathlib import Path


class DiskFullError(OSError):
    """A write that was refused for want of room; a part of it may have been done."""


class Disk(ABC):
    """A folder of files.  Every method raises `OSError` when an operation fails.

    Methods that change files, but not those that sync, raise `DiskFullError` for want
    of room: what a failed sync leaves on the disk is unknown.

    Attributes
    ----------
    path : str
        Location of the folder, for error messages.
    is_persistent : bool
        Whether the files are kept when the process restarts.
    """

    path: str
    is_persistent = True

    @abstractmethod
    def names(self) -> list[str]:
        """Return the names of all files, sorted."""

    @abstractmethod
    def read(self, name: str, *, offset: int = 0, size: int | None = None) -> bytes:
        """Return at most `size` bytes of a file from `offset`; the rest if None."""

    @abstractmethod
    def append(self, name: str, data: bytes) -> None:
        """Append to a file, which is created if it is absent."""

    @abstractmethod
    def truncate(self, name: str, size: int) -> None:
        """Set the size of a file in bytes."""

    @abstractmethod
    def sync(self, name: str) -> None:
        """Make a file's content durable."""

    @abstractmethod
    def rename(self, old: str, new: str) -> None:
        """Rename a file; an existing file named `new` is replaced."""

    @abstractmethod
    def remove(self, name: str) -> None:
        """Remove a file."""

    @abstractmethod
    def sync_folder(self) -> None:
        """Make creations, renames and removals durable."""

    @abstractmethod
    def close(self) -> None:
        """Close all files."""


class MemoryDisk(Disk):
    """Files in memory, lost when the process ends; for machines without a disk."""

    is_persistent = False

    def __init__(self):
        self.path = "memory"
        self.files: dict[str, bytearray] = {}

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(self.files)

    def read(self, name: str, *, offset: int = 0, size: int | None = None) -> bytes:
        """Return at most `size` bytes of a file from `offset`; the rest if None."""
        end = None if size is None else offset + size
        return bytes(self._file(name)[offset:end])

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, which is created if it is absent."""
        self.files.setdefault(name, bytearray()).extend(data)

    def truncate(self, name: str, size: int) -> None:
        """Set the size of a file in bytes."""
        content = self._file(name)
        del content[size:]
        content.extend(bytes(size - len(content)))

    def sync(self, name: str) -> None:
        """Do nothing: content in memory can't be made durable."""

    def rename(self, old: str, new: str) -> None:
        """Rename a file; an existing file named `new` is replaced."""
        content = self._file(old)
        del self.files[old]
        self.files[new] = content

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._file(name)
        del self.files[name]

    def sync_folder(self) -> None:
        """Do nothing: content in memory can't be made durable."""

    def close(self) -> None:
        """Do nothing: no files are open."""

    def _file(self, name: str) -> bytearray:
        if name not in self.files:
            raise FileNotFoundError(ENOENT, os.strerror(ENOENT), name)
        return self.files[name]


class FolderDisk(Disk):
    """A folder of the file system.

    Parameters
    ----------
    folder : Path
        Created durably, with its missing parents, if it is absent.
    """

    def __init__(self, *, folder: Path):
        self.folder = folder
        self.path = str(folder)
        self.descriptors: dict[str, int] = {}
        _make_folder(folder)

    def names(self) -> list[str]:
        """Return the names of all files, sorted."""
        return sorted(p.name for p in self.folder.iterdir() if p.is_file())

    def read(self, name: str, *, offset: int = 0, size: int | None = None) -> bytes:
        """Return at most `size` bytes of a file from `offset`; the rest if None."""
        with open(self.folder / name, "rb") as file:
            file.seek(offset)
            return file.read() if size is None else file.read(size)

    def append(self, name: str, data: bytes) -> None:
        """Append to a file, which is created if it is absent."""
        with _reporting_full_disk():
            descriptor = self._descriptor(name)
            view = memoryview(data)
            while view:
                written = os.write(descriptor, view)
                view = view[written:]

    def truncate(self, name: str, size: int) -> None:
        """Set the size of a file in bytes."""
        with _reporting_full_disk():
            os.ftruncate(self._descriptor(name), size)

    def sync(self, name: str) -> None:
        """Make a file's content durable."""
        os.fsync(self._descriptor(name))

    def rename(self, old: str, new: str) -> None:
        """Rename a file; an existing file named `new` is replaced."""
        self._close_descriptor(old)
        self._close_descriptor(new)
        with _reporting_full_disk():
            os.rename(self.folder / old, self.folder / new)

    def remove(self, name: str) -> None:
        """Remove a file."""
        self._close_descriptor(name)
        with _reporting_full_disk():
            os.unlink(self.folder / name)

    def sync_folder(self) -> None:
        """Make creations, renames and removals durable."""
        _sync_folder(self.folder)

    def close(self) -> None:
        """Close all files."""
        for name in list(self.descriptors):
            self._close_descriptor(name)

    def _descriptor(self, name: str) -> int:
        if name not in self.descriptors:
            flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT | os.O_CLOEXEC
            self.descriptors[name] = os.open(self.folder / name, flags, 0o600)
        return self.descriptors[name]

    def _close_descriptor(self, name: str) -> None:
        descriptor = self.descriptors.pop(name, None)
        if descriptor is not None:
            os.close(descriptor)


@contextmanager
def _reporting_full_disk() -> Iterator[None]:
    try:
        yield
    except OSError as error:
        if error.errno in (ENOSPC, EDQUOT):
            raise DiskFullError(error.errno, error.strerror) from error
        raise


def _make_folder(folder: Path) -> None:
    missing = []
    while not folder.exists():
        missing.append(folder)
        folder = folder.parent
    for path in reversed(missing):
        path.mkdir(mode=0o700, exist_ok=True)
        _sync_folder(path.parent)


def _sync_folder(folder: Path) -> None:
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
