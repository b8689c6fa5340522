"""Counts and logs what clients are refused for want of memory or connections."""

from collections import Counter

from eliot import log_message

from turmericreel.protocols.dropped_input import DropReason, Endpoint, count_dropped
from turmericreel.util.clock import Clock

# A crowd must not fill the log.
MIN_INTERVAL_S = 1.0


class DoorLog:
    """Writes at most one line a second, with what happened since the last one.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.counts: Counter[DropReason] = Counter()
        self.next_line_at = 0.0

    def record(self, reason: DropReason, *, n_connections: int, n_bytes: int) -> None:
        """Count a refusal; `n_bytes` are held for clients now."""
        count_dropped(Endpoint.HTTP, reason)
        self.counts[reason] += 1
        now = self.clock.monotonic()
        if now < self.next_line_at:
            return
        self.next_line_at = now + MIN_INTERVAL_S
        counts, self.counts = self.counts, Counter()
        log_message(
            "door:crowded",
            refused={reason.value: n for reason, n in counts.items()},
            n_connections=n_connections,
            n_bytes=n_bytes,
        )
