"""Adaptive limit on the attempts that one instance has in flight at one server.

The limit follows the queue length in the server's load reports, or without reports the
time to first token.  Limits may be fractional: the limits of all instances at one
server add up to about its capacity, and an instance uses the sum of its limits.
"""

from dataclasses import dataclass

LIMIT_INCREASE = 1.0
DECREASE_FACTOR = 0.8
SLOW_FACTOR = 2.5
BASELINE_DRIFT = 0.001
MIN_LIMIT = 0.25
MIN_EXCESS_S = 0.05
QUEUE_LENGTH_TO_DECREASE = 1
REPORT_INCREASE = 0.1
REPORT_DECREASE_FACTOR = 0.85


@dataclass(kw_only=True, slots=True)
class ConcurrencyLimit:
    """Additive increase, multiplicative decrease of a server's concurrency.

    Parameters
    ----------
    limit : float
        Attempts in flight; initially the capacity that the server announced.
    ceiling : float
        Upper bound of the limit.
    """

    limit: float
    ceiling: float
    baseline_s: float | None = None
    next_decrease_at: float = 0.0
    has_reports: bool = False

    def record_report(self, *, running: int, waiting: int, capacity: int) -> None:
        """Adjust the limit to a load report.

        The limit stays unchanged at a server that is full but has no queue, so that
        requests with priority get a slot soon.
        """
        self.has_reports = True
        if waiting >= QUEUE_LENGTH_TO_DECREASE:
            self.limit = max(MIN_LIMIT, self.limit * REPORT_DECREASE_FACTOR)
        elif running < capacity:
            step = max(REPORT_INCREASE, REPORT_INCREASE * self.limit)
            self.limit = min(self.ceiling, self.limit + step)

    def observe(self, first_token_s: float, *, outstanding: int, now: float) -> None:
        """Adjust the limit to a time to first token, unless there are load reports."""
        if self.has_reports:
            return
        if self.baseline_s is None or first_token_s < self.baseline_s:
            self.baseline_s = first_token_s
        # The baseline drifts up slowly, so that it adapts to a server that has become
        # permanently slower.
        self.baseline_s += BASELINE_DRIFT * (first_token_s - self.baseline_s)
        excess_s = first_token_s - self.baseline_s
        slow = first_token_s > SLOW_FACTOR * self.baseline_s
        if slow and excess_s > MIN_EXCESS_S:
            self._decrease(first_token_s, now=now)
        elif outstanding + 1 >= self.limit:
            self.limit = min(self.ceiling, self.limit + LIMIT_INCREASE / self.limit)

    def observe_overload(self, *, now: float) -> None:
        """Lower the limit after the server refused or broke an attempt."""
        self._decrease(self.baseline_s or 0.1, now=now)

    def _decrease(self, pause_s: float, *, now: float) -> None:
        # Decrease once per round trip: attempts sent before the decrease carry no new
        # information.
        if now < self.next_decrease_at:
            return
        self.limit = max(MIN_LIMIT, self.limit * DECREASE_FACTOR)
        self.next_decrease_at = now + pause_s
