"""Generates the load: a seeded mix of chat calls and bookings."""

from dataclasses import dataclass
from enum import Enum
from random import Random


class CallKind(Enum):
    """Kinds of calls that the load tool sends."""

    CHAT = "chat"
    STREAM = "stream"
    BOOKING = "booking"


@dataclass(frozen=True, kw_only=True)
class PlannedCall:
    """A call to send.

    Parameters
    ----------
    label : str
        Unique text that a chat answer repeats in every token, which shows that it
        belongs to this call. It is the idempotency key of a booking.
    """

    kind: CallKind
    label: str
    content: str


@dataclass(frozen=True, kw_only=True)
class Workload:
    """A mix of calls.

    Parameters
    ----------
    service : str
        Name of the assistant that chat calls go to.
    booking_service : str
        Name of the plain service for bookings; ``""`` for no bookings.
    stream_share : float
        Fraction of the chat calls that are streamed.
    booking_share : float
        Fraction of all calls that are bookings.
    max_tokens : int
    prompt_bytes : int
        Minimum length of the label and padding in a prompt.
    deadline_s : float
    """

    service: str
    booking_service: str = ""
    stream_share: float = 0.5
    booking_share: float = 0.0
    max_tokens: int = 256
    prompt_bytes: int = 200
    deadline_s: float = 30.0

    def plan(self, number: int, *, seed: int, rng: Random) -> PlannedCall:
        """Return the call with a given number.

        Its kind is drawn from `rng`; its label consists of `seed` and `number`.
        """
        label = f"s{seed}n{number}"
        kind = CallKind.CHAT
        if self.booking_service and rng.random() < self.booking_share:
            kind = CallKind.BOOKING
        elif rng.random() < self.stream_share:
            kind = CallKind.STREAM
        padding = "x" * max(0, self.prompt_bytes - len(label))
        return PlannedCall(kind=kind, label=label, content=f"echo:{label} {padding}")
