"""One file of the bill line archive, and its index by account and neighbour."""

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
    """Ordinals and file offsets of lines, by account, by neighbour and for all lines.

    Attributes
    ----------
    ordinals : dict of str to array
        Positions of the lines within the segment, from 0, by index key.
    offsets : dict of str to array
        Byte offsets of the same lines in the file, by index key.
    """

    def __init__(self):
        self.ordinals: dict[str, array] = {}
        self.offsets: dict[str, array] = {}

    def add(self, line: BillLine, *, ordinal: int, offset: int) -> None:
        """Add one line."""
        neighbours = {f"n/{attempt.neighbour}" for attempt in line.attempts}
        for key in (ALL_LINES, f"a/{line.account}", *sorted(neighbours)):
            if key not in self.ordinals:
                self.ordinals[key] = array("I")
                self.offsets[key] = array("I")
            self.ordinals[key].append(ordinal)
            self.offsets[key].append(offset)

    def encode(self) -> bytes:
        """Return the encoded index."""
        parts = {
            key: (ordinals.tobytes(), self.offsets[key].tobytes())
            for key, ordinals in self.ordinals.items()
        }
        return msgspec.msgpack.encode(parts)

    @classmethod
    def decode(cls, data: bytes) -> "SegmentIndex":
        """Return the index that `encode` encoded."""
        index = cls()
        stored = msgspec.msgpack.decode(data, type=dict[str, tuple[bytes, bytes]])
        for key, (ordinals, offsets) in stored.items():
            index.ordinals[key] = array("I")
            index.ordinals[key].frombytes(ordinals)
            index.offsets[key] = array("I")
            index.offsets[key].frombytes(offsets)
        return index


class Segment:
    """One archive file of consecutively numbered lines.

    Parameters
    ----------
    path : Path
    first : int
        Number of the first line.
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
        """Number of the last line plus one."""
        return self.first + self.n_lines

    def open_for_append(self) -> None:
        """Open the file, and truncate an incomplete line left by a crash."""
        self.file = open(self.path, "a+b")  # noqa: SIM115
        self._scan()
        self.file.truncate(self.n_bytes)
        self.file.seek(self.n_bytes)

    def append(self, line: BillLine) -> None:
        """Append a line to the buffer; flush the buffer when it is full."""
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
        """Write the buffer to the operating system.

        Raises
        ------
        FailureError
            With `StorageFailed`.
        """
        if not self.buffer:
            return
        try:
            self.file.write(self.buffer)
            self.file.flush()
        except OSError as error:
            raise _storage_failure(self.path, error) from error
        self.buffer.clear()

    def sync(self) -> None:
        """Block until all appended lines are durable.

        Raises
        ------
        FailureError
            With `StorageFailed`.
        """
        self.flush()
        try:
            os.fsync(self.file.fileno())
        except OSError as error:
            raise _storage_failure(self.path, error) from error

    def seal(self) -> None:
        """Sync and close the file, and store its index."""
        self.sync()
        self.file.close()
        self.file = None
        self._index_path().write_bytes(self.index.encode())
        self.index = None

    def load(self) -> None:
        """Load the size of a sealed segment; its index is not kept in memory."""
        index = self._load_index()
        self.n_lines = len(index.ordinals.get(ALL_LINES, ()))
        self.n_bytes = self.path.stat().st_size

    def current_index(self) -> SegmentIndex:
        """Return the index, from memory or from its file."""
        return self.index if self.index is not None else self._load_index()

    def read(self, offsets: list[int]) -> list[BillLine]:
        """Return the lines at byte offsets in the file.

        Raises
        ------
        FailureError
            With `StorageFailed` if a line is corrupt.
        """
        self.flush()
        lines = []
        with open(self.path, "rb") as file:
            for offset in offsets:
                file.seek(offset)
                line = _read_line(file)
                if line is None:
                    failure = StorageFailed(
                        path=str(self.path), detail=f"corrupt line at offset {offset}"
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
