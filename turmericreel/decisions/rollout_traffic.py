"""Measures how many attempts reach a service and its new version during a roll-out.

Intended workload: any, with traffic that rises within seconds, requests that come in
groups, and gateways and leaders that come and go.  Counts of gateways only grow, so
that the attempts at the new version are never forgotten when a gateway is lost.
"""

from collections import deque
from dataclasses import dataclass
from itertools import pairwise
from math import sqrt
from statistics import median

from turmericreel.model.ids import Incarnation, InstanceId

# Every gateway has reported once by then; attempts before its report are unknown.
FIRST_REPORTS_S = 0.6
MIN_SPAN_S = 1.0
# Traffic in a burst doubles within a second; shorter spans hold too few attempts.
RECENT_SPAN_S = 2.0
# The variation between spans of this length is measured.  Gateways report at different
# times within half a second, which evens out shorter ones.
SHORT_SPAN_S = 1.0
# Traffic in a burst varies; it has not ended before it was lower for this time.
HIGHEST_SPAN_S = 6.0
# The rate has risen if it exceeds the usual one by this factor and by as many standard
# deviations.
RISE_FACTOR = 1.3
RISE_DEVIATIONS = 3.8

# Standard deviations of normal values in the median difference between two of them.
DEVIATIONS_PER_DIFFERENCE = 1.048

GatewayProcess = tuple[InstanceId, Incarnation]


@dataclass(frozen=True, kw_only=True)
class TrafficRate:
    """Attempts per second at all versions of a service.

    Attributes
    ----------
    mean : float
        Since the measurement began.
    usual : float
        Median of the rates of past seconds, which a burst hardly changes.
    recent, highest : float
        In the last seconds, and the highest that this was lately.
    dispersion : float
        Variance of the attempts in a short span over their mean, at least 1, which a
        burst hardly changes.  Clients that send several requests in a row raise it.
    """

    mean: float
    usual: float
    recent: float
    highest: float
    dispersion: float = 1.0

    @property
    def has_risen(self) -> bool:
        """Whether there were far more attempts lately than usual."""
        deviation = sqrt(self.dispersion * self.usual / RECENT_SPAN_S)
        least = self.usual + RISE_DEVIATIONS * deviation
        return self.highest > max(RISE_FACTOR * self.usual, least)


class RolloutTraffic:
    """Attempts at a service during one roll-out.

    Parameters
    ----------
    now : float
        Seconds on the monotonic clock.

    Attributes
    ----------
    n_before : dict of GatewayProcess to int
        Attempts of each gateway when it first reported to this leader.
    n_attempts, n_exposed : dict of GatewayProcess to int
        Attempts of each gateway since its start, at all versions and at the new one.
    samples : deque of tuple
        Recent times in seconds on the monotonic clock, each with the attempts since the
        measurement began.
    past_rates : list of float
        Recent rates, one for each `RECENT_SPAN_S`.
    span_began : tuple
        Time at which the current short span began, with the attempts until then.
    short_rates : list of float
        Rates, one for each `SHORT_SPAN_S`.
    recent_rates : deque of tuple
        Times in seconds on the monotonic clock, each with the recent rate then.
    """

    def __init__(self, *, now: float):
        self.began = now
        self.n_before: dict[GatewayProcess, int] = {}
        self.n_attempts: dict[GatewayProcess, int] = {}
        self.n_exposed: dict[GatewayProcess, int] = {}
        self.samples: deque[tuple[float, int]] = deque()
        self.past_rates: list[float] = []
        self.span_began = (now, 0)
        self.short_rates: list[float] = []
        self.recent_rates: deque[tuple[float, float]] = deque()

    def record_counts(
        self, gateway: GatewayProcess, *, n_attempts: int, n_exposed: int
    ) -> None:
        """Record the counts of one gateway since its start."""
        self.n_before.setdefault(gateway, n_attempts)
        self.n_attempts[gateway] = n_attempts
        self.n_exposed[gateway] = n_exposed

    def total_exposed(self) -> int:
        """Return the number of attempts at the new version."""
        return sum(self.n_exposed.values())

    def measure_rate(self, *, now: float) -> TrafficRate | None:
        """Return the rate of attempts, or None shortly after the start."""
        total = sum(self.n_attempts.values()) - sum(self.n_before.values())
        if now - self.began >= FIRST_REPORTS_S:
            self.samples.append((now, total))
        while self.samples and now - self.samples[0][0] > RECENT_SPAN_S:
            self.samples.popleft()
        self._count_span(now, total)
        if now - self.began < FIRST_REPORTS_S + MIN_SPAN_S:
            return None
        since, n_then = self.samples[0]
        mean = total / (now - self.began)
        if now - since < MIN_SPAN_S:
            return TrafficRate(mean=mean, usual=mean, recent=mean, highest=mean)
        recent = (total - n_then) / (now - since)
        if now >= self.began + (len(self.past_rates) + 1) * RECENT_SPAN_S:
            self.past_rates.append(recent)
        self.recent_rates.append((now, recent))
        while now - self.recent_rates[0][0] > HIGHEST_SPAN_S:
            self.recent_rates.popleft()
        usual = median(self.past_rates) if self.past_rates else mean
        return TrafficRate(
            mean=mean,
            usual=usual,
            recent=recent,
            highest=max(rate for _, rate in self.recent_rates),
            dispersion=self._measure_dispersion(),
        )

    def _count_span(self, now: float, total: int) -> None:
        since, n_then = self.span_began
        if now - since >= SHORT_SPAN_S:
            self.short_rates.append((total - n_then) / (now - since))
            self.span_began = (now, total)

    def _measure_dispersion(self) -> float:
        # A burst changes few differences between successive spans.
        differences = [
            abs(after - before) for before, after in pairwise(self.short_rates)
        ]
        usual = median(self.short_rates) if differences else 0.0
        if not usual:
            return 1.0
        variance = (DEVIATIONS_PER_DIFFERENCE * median(differences)) ** 2
        return max(variance * SHORT_SPAN_S / usual, 1.0)
