"""The memory at the doors is bounded, and those who stand still longest yield."""

import pytest

from turmericreel.decisions.door_memory import (
    MAX_SMALL_BYTES,
    PROGRESS_BYTES,
    STANDING_S,
    DoorMemory,
    WaitingConnection,
    choose_connection_to_close,
    connections_for,
    held_bytes_for,
)

LARGE = 1_000_000
LIMIT = 4 * LARGE
MB = 2**20
MAX_BODY_BYTES = 4 * MB


@pytest.fixture
def memory():
    return DoorMemory(limit_bytes=LIMIT)


def open_share(memory, size, *, now=0.0, is_answer=False, yielded=None):
    share = memory.open(
        on_yield=lambda: (yielded if yielded is not None else []).append(size),
        now=now,
        is_answer=is_answer,
    )
    if is_answer:
        share.hold(size, now=now)
    else:
        assert share.resize(size, now=now)
    return share


def test_body_that_does_not_fit_is_refused(memory):
    for _ in range(3):
        open_share(memory, LARGE)
    share = memory.open(on_yield=list, now=0.5)
    assert not share.resize(LARGE, now=0.5)
    assert memory.n_bytes == 3 * LARGE


def test_small_bodies_fit_beside_large_ones(memory):
    for _ in range(3):
        open_share(memory, LARGE)
    assert memory.open(on_yield=list, now=0.5).resize(MAX_SMALL_BYTES, now=0.5)


def test_single_body_fits_whatever_its_size(memory):
    open_share(memory, MAX_SMALL_BYTES)
    assert memory.open(on_yield=list, now=0.0).resize(2 * LIMIT, now=0.0)


def test_body_that_stands_still_longest_yields_first(memory):
    shares = [open_share(memory, LARGE, now=at) for at in (0.2, 0.0, 0.1)]
    open_share(memory, LARGE, now=STANDING_S + 0.3)
    assert [share.has_yielded for share in shares] == [False, True, False]
    assert memory.n_bytes == 3 * LARGE


def test_body_that_progresses_does_not_yield(memory):
    shares = [open_share(memory, LARGE) for _ in range(3)]
    for share in shares:
        share.record_progress(PROGRESS_BYTES, now=STANDING_S)
    late = memory.open(on_yield=list, now=STANDING_S + 0.5)
    assert not late.resize(LARGE, now=STANDING_S + 0.5)
    assert not any(share.has_yielded for share in shares)


def test_single_bytes_are_no_progress(memory):
    shares = [open_share(memory, LARGE) for _ in range(3)]
    for share in shares:
        share.record_progress(1, now=STANDING_S)
    assert memory.open(on_yield=list, now=STANDING_S).resize(LARGE, now=STANDING_S)


def test_whole_requests_never_yield(memory):
    shares = [open_share(memory, LARGE) for _ in range(3)]
    for share in shares:
        share.waits_for_client = False
    late = memory.open(on_yield=list, now=100.0)
    assert not late.resize(LARGE, now=100.0)
    assert not any(share.has_yielded for share in shares)


def test_nobody_yields_in_vain(memory):
    whole = open_share(memory, 2 * LARGE)
    whole.waits_for_client = False
    standing = open_share(memory, LARGE)
    late = memory.open(on_yield=list, now=100.0)
    assert not late.resize(2 * LARGE, now=100.0)
    assert not standing.has_yielded


def test_unread_answers_stay_within_the_bound(memory):
    yielded = []
    for number in range(20):
        now = number * 0.01
        open_share(memory, LARGE, now=now, is_answer=True, yielded=yielded)
        assert memory.n_bytes <= LIMIT
    assert len(yielded) == 16


def test_answer_that_stands_still_yields_before_one_that_is_read(memory):
    standing, read = (
        open_share(memory, 2 * LARGE, is_answer=True),
        open_share(memory, 2 * LARGE, is_answer=True),
    )
    read.record_progress(PROGRESS_BYTES, now=STANDING_S)
    open_share(memory, LARGE, now=STANDING_S + 0.1, is_answer=True)
    assert standing.has_yielded and not read.has_yielded


def test_closed_shares_leave_nothing(memory):
    share = open_share(memory, LARGE)
    share.close()
    share.close()
    assert memory.n_bytes == 0 and not memory.shares


def test_connection_that_waits_longest_is_closed():
    waiting = [
        WaitingConnection(connection=name, since=since)
        for name, since in (("new", 9.9), ("old", 1.0), ("middle", 5.0))
    ]
    assert choose_connection_to_close(waiting, now=10.0) == "old"
    assert choose_connection_to_close(waiting[:1], now=10.0) is None
    assert choose_connection_to_close([], now=10.0) is None


@pytest.mark.parametrize("memory_mb", [128, 150, 300, 1_000])
def test_machines_have_room_for_several_bodies(memory_mb):
    held = held_bytes_for(memory_mb * MB)
    assert held >= 4 * MAX_BODY_BYTES
    assert connections_for(memory_mb * MB) >= 1_000
    assert held < memory_mb * MB / 2
