"""Reading a frame distinguishes a torn frame from a corrupt one."""

import pytest

from turmericreel.state.storage.framing import (
    SECTOR_BYTES,
    FrameState,
    pack_frame,
    read_frame,
)

FIRST = pack_frame(b"first" * 10)
LAST = pack_frame(b"last payload" * 120)
BOTH = FIRST + LAST


def state_at(data: bytes, offset: int) -> FrameState:
    return read_frame(data, offset).state


def test_whole_frames_are_read_in_order():
    first = read_frame(BOTH, 0)
    last = read_frame(BOTH, first.end)
    assert first.payload == b"first" * 10
    assert last.payload == b"last payload" * 120
    assert last.end == len(BOTH)


def test_frame_cut_at_any_byte_is_torn():
    for size in range(len(FIRST) + 1, len(BOTH)):
        assert state_at(BOTH[:size], len(FIRST)) is FrameState.TORN, size


@pytest.mark.parametrize("bit", [0, 7])
def test_any_flipped_bit_is_corrupt(bit):
    for position in range(len(BOTH)):
        data = bytearray(BOTH)
        data[position] ^= 1 << bit
        offset = 0 if position < len(FIRST) else len(FIRST)
        assert state_at(bytes(data), offset) is FrameState.CORRUPT, position


def test_frame_with_any_unwritten_sector_is_torn():
    for sector in range(0, len(BOTH), SECTOR_BYTES):
        data = bytearray(BOTH)
        start = max(sector, len(FIRST))
        data[start : sector + SECTOR_BYTES] = bytes(
            len(data[start : sector + SECTOR_BYTES])
        )
        assert state_at(bytes(data), len(FIRST)) is FrameState.TORN, sector
