"""Counts input that was refused or dropped at an endpoint."""

from enum import Enum

from prometheus_client import Counter


class Endpoint(Enum):
    """Endpoint that received the input."""

    HTTP = "http"
    CONTROL = "control"
    BACKEND = "backend"


class DropReason(Enum):
    """Why input was dropped."""

    CONNECTION_LIMIT = "connection_limit"
    HANDSHAKE_FAILED = "handshake_failed"
    HEADER_TIMEOUT = "header_timeout"
    HEADER_INVALID = "header_invalid"
    HEADER_TOO_LARGE = "header_too_large"
    BODY_TIMEOUT = "body_timeout"
    BODY_INVALID = "body_invalid"
    BODY_TOO_LARGE = "body_too_large"
    NO_ROOM = "no_room"
    YIELDED = "yielded"
    CONNECTION_YIELDED = "connection_yielded"
    STALLED = "stalled"
    FRAME_BROKEN = "frame_broken"


# Every instance registers this counter, so instances in one process share it.
DROPPED_INPUT = Counter(
    "turmericreel_dropped_input",
    "Input that was refused or dropped before any work was done for it.",
    ["door", "reason"],
    registry=None,
)


def count_dropped(endpoint: Endpoint, reason: DropReason) -> None:
    """Count one input that was refused or dropped."""
    DROPPED_INPUT.labels(door=endpoint.value, reason=reason.value).inc()
