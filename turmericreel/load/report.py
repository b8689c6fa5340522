"""Measurements and report of a run of the load tool."""

from collections import Counter
from dataclasses import dataclass, field

from hdrh.histogram import HdrHistogram

MIN_US = 1
MAX_US = 600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 90.0, 95.0, 99.0, 99.9)
US_PER_S = 1_000_000
US_PER_MS = 1_000


def new_histogram() -> HdrHistogram:
    """Return an empty histogram in microseconds."""
    return HdrHistogram(MIN_US, MAX_US, SIGNIFICANT_DIGITS)


def record_duration(histogram: HdrHistogram, seconds: float) -> None:
    """Add a duration, clipped to the range of the histogram."""
    histogram.record_value(min(max(int(seconds * US_PER_S), MIN_US), MAX_US))


@dataclass(frozen=True, kw_only=True)
class Percentiles:
    """Percentiles of durations, in milliseconds."""

    count: int
    mean_ms: float
    max_ms: float
    at_ms: dict[str, float]


def percentiles(histogram: HdrHistogram) -> Percentiles:
    """Return the percentiles of a histogram."""
    count = histogram.get_total_count()
    return Percentiles(
        count=count,
        mean_ms=histogram.get_mean_value() / US_PER_MS if count else 0.0,
        max_ms=histogram.get_max_value() / US_PER_MS if count else 0.0,
        at_ms={
            f"p{percentile:g}": histogram.get_value_at_percentile(percentile)
            / US_PER_MS
            for percentile in PERCENTILES
        },
    )


@dataclass(kw_only=True)
class TargetResult:
    """Measurements at one target; durations start at the planned arrival."""

    name: str
    outcomes: Counter[str] = field(default_factory=Counter)
    n_sent: int = 0
    n_spoiled: int = 0
    n_doubled: int = 0
    spoiled: list[str] = field(default_factory=list)
    whole: HdrHistogram = field(default_factory=new_histogram)
    first_token: HdrHistogram = field(default_factory=new_histogram)
    lateness: HdrHistogram = field(default_factory=new_histogram)
    effects: Counter[str] = field(default_factory=Counter)


@dataclass(frozen=True, kw_only=True)
class TargetReport:
    """Printed report of one target.

    Parameters
    ----------
    n_ended : int
        Calls that ended with an outcome.
    n_spoiled : int
        Calls whose answer is incomplete or belongs to another call.
    n_doubled : int
        Bookings whose answer has the same effect as an earlier booking's.
    spoiled : list of str
        Labels of the first spoiled calls.
    whole : Percentiles
        Durations of the completed calls.
    lateness : Percentiles
        Delay between planned and actual sending; if large, the tool is the bottleneck.
    """

    name: str
    n_sent: int
    n_ended: int
    outcomes: dict[str, int]
    n_spoiled: int
    n_doubled: int
    spoiled: list[str]
    whole: Percentiles
    first_token: Percentiles
    lateness: Percentiles


@dataclass(frozen=True, kw_only=True)
class LoadTestReport:
    """Report of a run."""

    seed: int
    rate: float
    duration_s: float
    targets: list[TargetReport]

    @property
    def n_faults(self) -> int:
        """Number of calls that were lost, spoiled or doubled."""
        return sum(
            (t.n_sent - t.n_ended) + t.n_spoiled + t.n_doubled for t in self.targets
        )


def build_report(result: TargetResult) -> TargetReport:
    """Return the printed report of a result."""
    return TargetReport(
        name=result.name,
        n_sent=result.n_sent,
        n_ended=sum(result.outcomes.values()),
        outcomes=dict(result.outcomes.most_common()),
        n_spoiled=result.n_spoiled,
        n_doubled=sum(n - 1 for n in result.effects.values()),
        spoiled=result.spoiled,
        whole=percentiles(result.whole),
        first_token=percentiles(result.first_token),
        lateness=percentiles(result.lateness),
    )
