"""Checksummed frames in files, and the distinction of torn and corrupt frames.

A frame is written by one call and synced before the next one, so a crash can tear
only the last frame of a file: the file ends inside the frame, or whole sectors of it
were never written and read as zeros.  A frame begins and ends with a non-zero byte, so
that an unwritten sector is detected.  Any other damage means that a durable frame
changed; such a frame is corrupt and must never be classified as torn.
"""

import struct
from dataclasses import dataclass
from enum import Enum

import crc32c

HEADER = struct.Struct(">BII")
HEADER_CHECKSUM = struct.Struct(">I")
HEADER_BYTES = HEADER.size + HEADER_CHECKSUM.size
START_MARK = 0x5A
END_MARK = b"\xa5"
OVERHEAD_BYTES = HEADER_BYTES + len(END_MARK)
SECTOR_BYTES = 512


class FrameState(Enum):
    """Condition of a frame that was read."""

    WHOLE = "whole"
    TORN = "torn"
    CORRUPT = "corrupt"


@dataclass(frozen=True, kw_only=True)
class Frame:
    """A frame read from a file; `end` is the offset of the first byte after it."""

    state: FrameState
    payload: bytes = b""
    end: int = 0


TORN = Frame(state=FrameState.TORN)
CORRUPT = Frame(state=FrameState.CORRUPT)


def pack_frame(payload: bytes) -> bytes:
    """Return a payload packed into a frame."""
    header = HEADER.pack(START_MARK, len(payload), crc32c.crc32c(payload))
    checksum = HEADER_CHECKSUM.pack(crc32c.crc32c(header))
    return b"".join((header, checksum, payload, END_MARK))


def read_frame(data: bytes, offset: int) -> Frame:
    """Read the frame at `offset`; `data` is the whole content of the file."""
    if len(data) - offset < HEADER_BYTES:
        return TORN
    header = data[offset : offset + HEADER.size]
    (checksum,) = HEADER_CHECKSUM.unpack_from(data, offset + HEADER.size)
    if crc32c.crc32c(header) != checksum:
        header_end = offset + HEADER_BYTES
        return _classify_damage(data, offset, header_end)
    _, length, payload_checksum = HEADER.unpack(header)
    start = offset + HEADER_BYTES
    end = start + length + len(END_MARK)
    if end > len(data):
        return TORN
    payload = data[start : start + length]
    has_end_mark = data[end - len(END_MARK) : end] == END_MARK
    if has_end_mark and crc32c.crc32c(payload) == payload_checksum:
        return Frame(state=FrameState.WHOLE, payload=payload, end=end)
    if end < len(data):
        return CORRUPT
    return _classify_damage(data, offset, end)


def _classify_damage(data: bytes, start: int, end: int) -> Frame:
    """Return `TORN` if a sector of the damaged range is all zeros, else `CORRUPT`."""
    sector = start - start % SECTOR_BYTES
    while sector < end:
        part = data[max(sector, start) : sector + SECTOR_BYTES]
        if not any(part):
            return TORN
        sector += SECTOR_BYTES
    return CORRUPT
