"""One file of the archive of bill lines, and the index of who is on which line."""

import contextlib
import os
import struct
from array import array
from pathlib import Path

import crc32c
import msgspec

from turmericreel.model.failures import FailureError, StorageFailed
from turmericreel.state.bill import BillLine, pack_line, unpack_line

RECORD_HEADER = struct.Struct(">II")
BUFFER_BYTES = 65_536
ALL_LINES = "*"


class SegmentIndex:
    """Places of lines by account, by neighbour, and of all lines."""

    def __init__(self):
        self.ordinals: dict[str, array] = {}
        self.offsets: dict[str, array] = {}

    def add(self, line: BillLine, *, ordinal: int, offset: int) -> None:
        """Enter one line."""
        neighbours = {f"n/{attempt.neighbour}" for attempt in line.attempts}
        for key in (ALL_LINES, f"a/{line.account}", *sorted(neighbours)):
            if key not in self.ordinals:
                self.ordinals[key] = array("I")
                self.offsets[key] = array("I")
            self.ordinals[key].append(ordinal)
            self.offsets[key].append(offset)

    def encode(self) -> bytes:
        """Return the stored form."""
        parts = {
            key: (ordinals.tobytes(), self.offsets[key].tobytes())
            for key, ordinals in self.ordinals.items()
        }
        return msgspec.msgpack.encode(parts)

    @classmethod
    def decode(cls, data: bytes) -> "SegmentIndex":
        """Return the index of a stored form."""
        index = cls()
        stored = msgspec.msgpack.decode(data, type=dict[str, tuple[bytes, bytes]])
        for key, (ordinals, offsets) in stored.items():
            index.ordinals[key] = array("I")
            index.ordinals[key].frombytes(ordinals)
            index.offsets[key] = array("I")
            index.offsets[key].frombytes(offsets)
        return index


class Segment:
    """One file of consecutive lines.

    Parameters
    ----------
    path : Path
    first : int
        Number of its first line.
    """

    def __init__(self, *, path: Path, first: int):
        self.path = path
        self.first = first
        self.n_lines = 0
        self.n_bytes = 0
        self.index: SegmentIndex | None = None
        self.buffer = bytearray()
        self.file = None

    @property
    def end(self) -> int:
        """Number after its last line."""
        return self.first + self.n_lines

    def open_for_append(self) -> None:
        """Open the file, and cut off what a crash left half-written."""
        self.file = open(self.path, "a+b")  # noqa: SIM115
        self._scan()
        self.file.truncate(self.n_bytes)
        self.file.seek(self.n_bytes)

    def append(self, line: BillLine) -> None:
        """Write a line, at first to a buffer."""
        payload = pack_line(line)
        self.index.add(line, ordinal=self.n_lines, offset=self.n_bytes)
        self.buffer += (
            RECORD_HEADER.pack(len(payload), crc32c.crc32c(payload)) + payload
        )
        self.n_lines += 1
        self.n_bytes += RECORD_HEADER.size + len(payload)
        if len(self.buffer) >= BUFFER_BYTES:
            self.flush()

    def flush(self) -> None:
        """Hand the buffer to the operating system."""
        if not self.buffer:
            return
        try:
            self.file.write(self.buffer)
            self.file.flush()
        except OSError as error:
            raise _storage_failure(self.path, error) from error
        self.buffer.clear()

    def sync(self) -> None:
        """Return when all lines are durable."""
        self.flush()
        try:
            os.fsync(self.file.fileno())
        except OSError as error:
            raise _storage_failure(self.path, error) from error

    def seal(self) -> None:
        """Make the file durable, store its index and close it."""
        self.sync()
        self.file.close()
        self.file = None
        self._index_path().write_bytes(self.index.encode())
        self.index = None

    def load(self) -> None:
        """Learn the size of a sealed segment; its index is read again when used."""
        index = self._load_index()
        self.n_lines = len(index.ordinals.get(ALL_LINES, ()))
        self.n_bytes = self.path.stat().st_size

    def current_index(self) -> SegmentIndex:
        """Return the index, from memory or from its file."""
        return self.index if self.index is not None else self._load_index()

    def read(self, offsets: list[int]) -> list[BillLine]:
        """Return the lines at some places.

        Raises
        ------
        FailureError
            With `StorageFailed` when a line is damaged.
        """
        self.flush()
        lines = []
        with open(self.path, "rb") as file:
            for offset in offsets:
                file.seek(offset)
                line = _read_line(file)
                if line is None:
                    failure = StorageFailed(
                        path=str(self.path), detail=f"damaged line at {offset}"
                    )
                    raise FailureError(failure)
                lines.append(line)
        return lines

    def _scan(self) -> None:
        self.index = SegmentIndex()
        self.n_lines = 0
        self.n_bytes = 0
        with open(self.path, "rb") as file:
            while (line := _read_line(file)) is not None:
                self.index.add(line, ordinal=self.n_lines, offset=self.n_bytes)
                self.n_lines += 1
                self.n_bytes = file.tell()

    def _load_index(self) -> SegmentIndex:
        with contextlib.suppress(OSError, msgspec.MsgspecError):
            return SegmentIndex.decode(self._index_path().read_bytes())
        self._scan()
        index, self.index = self.index, None
        return index

    def _index_path(self) -> Path:
        return self.path.with_suffix(".index")


def _read_line(file) -> BillLine | None:
    header = file.read(RECORD_HEADER.size)
    if len(header) < RECORD_HEADER.size:
        return None
    length, checksum = RECORD_HEADER.unpack(header)
    payload = file.read(length)
    if len(payload) < length or crc32c.crc32c(payload) != checksum:
        return None
    return unpack_line(payload)


def _storage_failure(path: Path, error: OSError) -> FailureError:
    return FailureError(StorageFailed(path=str(path), detail=str(error)))
