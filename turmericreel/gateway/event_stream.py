"""Splits a stream of server-sent events into complete events with their ids."""

import re
from collections.abc import Iterator
from dataclasses import dataclass

MAX_EVENT_BYTES = 1_048_576
# Fields of server-sent events; comments have an empty name, and so do empty lines.
EVENT_FIELDS = {b"", b"event", b"data", b"retry"}
FIELD_NAME = re.compile(rb"[a-z][a-z0-9-]*")
BLANK_LINES = re.compile(rb"(?:\r?\n){2,}")


class EventStreamError(ValueError):
    """An event of the stream is too long, incomplete or out of order."""


@dataclass(frozen=True, kw_only=True)
class EventBatch:
    """Complete events, their number, and the latest event id of the stream."""

    data: bytes
    count: int
    last_id: str | None


class EventSplitter:
    """Buffers the bytes of a stream and returns complete events.

    Parameters
    ----------
    after_id : str or None
        Id of the last event that was forwarded before, from another server.
    """

    def __init__(self, *, after_id: str | None = None):
        self.last_id = after_id
        self.pending = bytearray()

    def feed(self, block: bytes) -> EventBatch | None:
        """Add bytes and return the events that are now complete, or None.

        Raises
        ------
        EventStreamError
            If a numeric id is not followed by a greater one, a line belongs to no
            event, or an event is too long.  Events before it were returned.
        """
        self.pending += block
        end = _end_of_complete_events(self.pending)
        if end is None:
            if len(self.pending) > MAX_EVENT_BYTES:
                raise EventStreamError("event is too long")
            return None
        good = self._read_events(bytes(self.pending[:end]))
        data = bytes(self.pending[: good.size])
        # What follows a faulty event stays pending, so that the stream is never taken
        # for complete.
        del self.pending[: good.size]
        self.last_id = good.last_id
        return EventBatch(data=data, count=good.count, last_id=self.last_id)

    def _read_events(self, data: bytes) -> "_GoodEvents":
        """Return the events up to the first faulty one.

        Raises
        ------
        EventStreamError
            If the first event is faulty.
        """
        good = _GoodEvents(last_id=self.last_id)
        for end in _event_ends(data):
            try:
                event_id = _check_event(data[good.size : end])
                if event_id is not None:
                    _check_order(good.last_id, event_id)
                    good.last_id = event_id
            except EventStreamError:
                if not good.count:
                    raise
                break
            good.size = end
            good.count += 1
        return good


@dataclass(kw_only=True)
class _GoodEvents:
    """Size and number of the events before the first faulty one, and their last id."""

    last_id: str | None
    size: int = 0
    count: int = 0


def _check_order(last_id: str | None, event_id: str) -> None:
    last = _number_of(last_id)
    if last is None:
        return
    number = _number_of(event_id)
    if number is None or number <= last:
        raise EventStreamError(f"event id {event_id[:80]} received after {last_id}")


def _check_event(event: bytes) -> str | None:
    """Return the id of an event, None without one.

    A server that fails within a stream may write an error there, even with its header.

    Raises
    ------
    EventStreamError
        If a line of it belongs to no event.
    """
    event_id = None
    has_other_fields = False
    for line in event.split(b"\n"):
        name, colon, value = line.rstrip(b"\r").partition(b":")
        if name == b"id":
            event_id = value.strip().decode("latin-1")
        elif name not in EVENT_FIELDS:
            if not colon or not FIELD_NAME.fullmatch(name):
                raise EventStreamError(f"line of no event: {line[:40]!r}")
            has_other_fields = True
    if has_other_fields and event_id is None:
        raise EventStreamError("event without id has unknown fields")
    return event_id


def _end_of_complete_events(data: bytearray) -> int | None:
    ends = [
        index + len(mark)
        for mark in (b"\n\n", b"\n\r\n")
        if (index := data.rfind(mark)) >= 0
    ]
    return max(ends) if ends else None


def _number_of(event_id: str | None) -> tuple[int, str] | None:
    """Return a sort key of a numeric id; None if it is not numeric.

    Numbers of any length are compared without conversion, which is slow for long ones.
    """
    if event_id is None or not event_id.isascii() or not event_id.isdigit():
        return None
    digits = event_id.lstrip("0")
    return len(digits), digits


def _event_ends(data: bytes) -> Iterator[int]:
    """Yield the ends of the events; the data ends with the last of them."""
    for match in BLANK_LINES.finditer(data):
        yield match.end()
