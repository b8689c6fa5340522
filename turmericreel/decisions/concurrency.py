"""Adaptive limit on the attempts that one instance keeps at one server.

The server's load reports tell whether its queue grows; without reports the time to
first token does.  Limits may be fractions: the limits of many instances at one server
add up to about its capacity, and an instance uses the sum of its limits.
"""

from dataclasses import dataclass

INCREASE = 1.0
DECREASE = 0.8
SLOW_FACTOR = 2.5
BASELINE_DRIFT = 0.001
MIN_LIMIT = 0.25
MIN_EXCESS_S = 0.05
QUEUE_LENGTH_TO_DECREASE = 1
REPORT_INCREASE = 0.1
REPORT_DECREASE = 0.85


@dataclass(kw_only=True, slots=True)
class ConcurrencyLimit:
    """Additive increase, multiplicative decrease on the time to first token.

    Parameters
    ----------
    limit : float
        Attempts at once; starts at the capacity that the server announced.
    ceiling : float
        The limit never grows beyond this.
    """

    limit: float
    ceiling: float
    baseline_s: float | None = None
    next_decrease_at: float = 0.0
    has_reports: bool = False

    def take_report(self, *, running: int, waiting: int, capacity: int) -> None:
        """Learn from a load report.

        A server that is just full stays as it is, so that requests with priority find
        a slot soon.
        """
        self.has_reports = True
        if waiting >= QUEUE_LENGTH_TO_DECREASE:
            self.limit = max(MIN_LIMIT, self.limit * REPORT_DECREASE)
        elif running < capacity:
            step = max(REPORT_INCREASE, REPORT_INCREASE * self.limit)
            self.limit = min(self.ceiling, self.limit + step)

    def observe(self, first_token_s: float, *, outstanding: int, now: float) -> None:
        """Learn from an attempt that answered, unless reports tell more."""
        if self.has_reports:
            return
        if self.baseline_s is None or first_token_s < self.baseline_s:
            self.baseline_s = first_token_s
        # The baseline drifts up slowly, so that a server that became slower for good
        # is measured against what it can do now.
        self.baseline_s += BASELINE_DRIFT * (first_token_s - self.baseline_s)
        excess_s = first_token_s - self.baseline_s
        slow = first_token_s > SLOW_FACTOR * self.baseline_s
        if slow and excess_s > MIN_EXCESS_S:
            self._decrease(first_token_s, now=now)
        elif outstanding + 1 >= self.limit:
            self.limit = min(self.ceiling, self.limit + INCREASE / self.limit)

    def observe_overload(self, *, now: float) -> None:
        """Learn that the server refused an attempt or broke."""
        self._decrease(self.baseline_s or 0.1, now=now)

    def _decrease(self, pause_s: float, *, now: float) -> None:
        # One decrease for each round trip: attempts sent before it tell nothing new.
        if now < self.next_decrease_at:
            return
        self.limit = max(MIN_LIMIT, self.limit * DECREASE)
        self.next_decrease_at = now + pause_s
