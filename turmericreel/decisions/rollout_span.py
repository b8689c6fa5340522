"""Start and deadline of roll-outs, without reading the time of day.

Intended workload: leaders that change within a roll-out, on machines of which the time
of day jumps by any amount.  A leader whose clock were ahead would otherwise take the
deadline for passed, and complete a version that nothing proves.

A coordinator that applied the order when it was made knows its age by its own steady
clock.  One that has restarted since adds up the times between the log's records, each
of which counts for a few seconds at most, so that a jump of one leader's clock changes
little.
"""

from dataclasses import dataclass

from turmericreel.model.ids import ServiceName
from turmericreel.model.routing import Rollout

# Usage is recorded at shorter intervals while there are requests.
MAX_STEP_MS = 3_000


@dataclass(frozen=True, kw_only=True)
class RolloutSpan:
    """Start and deadline of a roll-out, in seconds on the monotonic clock."""

    began: float
    deadline: float


@dataclass(kw_only=True)
class OrderTime:
    """When a roll-out was ordered, on a coordinator's clock and in the log's time.

    Attributes
    ----------
    began : float
        Seconds on the monotonic clock.
    log_age_ms : int
        `RolloutSpans.log_age_ms` when the order was applied.
    """

    number: int
    began: float
    log_age_ms: int


class RolloutSpans:
    """Spans of the newest roll-out of each service.

    Attributes
    ----------
    log_age_ms : int
        Time that has passed in the log since this coordinator started to apply it.
    log_time_ms : int or None
        Time of the newest applied record.
    orders : dict of ServiceName to OrderTime
    """

    def __init__(self):
        self.log_age_ms = 0
        self.log_time_ms: int | None = None
        self.orders: dict[ServiceName, OrderTime] = {}

    def record_time(self, time_ms: int, *, now: float) -> None:
        """Record the time of a record that is applied now."""
        if self.log_time_ms is not None:
            step_ms = time_ms - self.log_time_ms
            self.log_age_ms += min(max(step_ms, 0), MAX_STEP_MS)
        self.log_time_ms = time_ms
        for order in self.orders.values():
            # After a restart, records follow each other faster than they were made.
            log_age_s = (self.log_age_ms - order.log_age_ms) / 1_000
            order.began = min(order.began, now - log_age_s)

    def record_order(self, rollout: Rollout, *, now: float) -> None:
        """Record that an order was applied; one known before changes nothing."""
        known = self.orders.get(rollout.service)
        if known is None or known.number != rollout.number:
            self.orders[rollout.service] = OrderTime(
                number=rollout.number, began=now, log_age_ms=self.log_age_ms
            )

    def span_of(self, rollout: Rollout, *, now: float) -> RolloutSpan:
        """Return the span of a roll-out.

        One whose order a snapshot has replaced counts from now on.
        """
        self.record_order(rollout, now=now)
        began = self.orders[rollout.service].began
        duration_s = (rollout.deadline_ms - rollout.began_ms) / 1_000
        return RolloutSpan(began=began, deadline=began + duration_s)
