"""Service-level counts: the number of events, and of those that missed their bound."""

from bisect import bisect_left
from enum import Enum

import msgspec

from turmericreel.model.ids import (
    BackendServerId,
    ClientAccountId,
    DataCentreId,
    ServiceName,
    VersionId,
)

HISTOGRAM_BOUNDS_MS = (
    1, 2, 3, 5, 7, 10, 14, 20, 28, 40, 56, 80, 113, 160, 226, 320, 452, 640,
    905, 1_280, 1_810, 2_560, 5_120, 10_240, 20_480, 40_960,
)  # fmt: skip


class Indicator(Enum):
    """Quantity that a service-level objective measures."""

    AVAILABILITY = "availability"
    FIRST_TOKEN = "first_token"
    BETWEEN_TOKENS = "between_tokens"
    QUALITY = "quality"
    EXPOSURE = "exposure"


class LevelCount(msgspec.Struct, kw_only=True):
    """Number of all events and of bad events of one indicator."""

    n_events: int = 0
    n_bad: int = 0

    def add(self, other: "LevelCount") -> None:
        """Add another count to this one."""
        self.n_events += other.n_events
        self.n_bad += other.n_bad


class Blame(msgspec.Struct, frozen=True, kw_only=True):
    """Origin of a bad event."""

    indicator: Indicator
    version: VersionId
    data_centre: DataCentreId
    server: BackendServerId


class BlameCount(msgspec.Struct, frozen=True, kw_only=True):
    """Number of bad events from one origin."""

    blame: Blame
    n_bad: int


class LatencyHistogram(msgspec.Struct, kw_only=True):
    """Latency counts by bucket; the last bucket has no upper bound."""

    counts: list[int] = msgspec.field(
        default_factory=lambda: [0] * (len(HISTOGRAM_BOUNDS_MS) + 1)
    )

    def record(self, latency_ms: float) -> None:
        """Count one latency."""
        self.counts[bisect_left(HISTOGRAM_BOUNDS_MS, latency_ms)] += 1

    def add(self, other: "LatencyHistogram") -> None:
        """Add another histogram to this one."""
        self.counts = [a + b for a, b in zip(self.counts, other.counts, strict=True)]

    def quantile_ms(self, fraction: float) -> float | None:
        """Return the upper bound of the bucket that contains a quantile.

        Returns
        -------
        float or None
            Milliseconds; infinite if it is in the last bucket, None without events.
        """
        n_events = sum(self.counts)
        if n_events == 0:
            return None
        n_cumulative = 0
        for bound, count in zip(HISTOGRAM_BOUNDS_MS, self.counts, strict=False):
            n_cumulative += count
            if n_cumulative >= fraction * n_events:
                return float(bound)
        return float("inf")


class LevelRecord(msgspec.Struct, kw_only=True):
    """Counts of one service and client account over a period of time."""

    service: ServiceName
    account: ClientAccountId
    counts: dict[Indicator, LevelCount] = msgspec.field(default_factory=dict)
    first_token: LatencyHistogram = msgspec.field(default_factory=LatencyHistogram)
    between_tokens: LatencyHistogram = msgspec.field(default_factory=LatencyHistogram)
    blames: list[BlameCount] = []

    def count(self, indicator: Indicator, *, bad: bool) -> None:
        """Count one event."""
        counted = self.counts.setdefault(indicator, LevelCount())
        counted.n_events += 1
        counted.n_bad += bad
