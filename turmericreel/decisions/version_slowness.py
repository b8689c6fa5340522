"""Judges whether a new version lets callers wait longer than the one that it replaces.

Intended workload: any.  A version may be slow for all requests or a part of them, on
all routes or on one, before the first event or between events.

Waits are counted against a multiple of the old version's median on the same route.
Means would be dominated by the lengths of the prompts, and a slow version of which only
a part of the answers is slow may hardly change them.  Waits at servers with few
requests are compared with the old version's waits at such servers: an overloaded old
version lets callers wait as long as an idle slow one.
"""

from dataclasses import dataclass
from math import log2

from turmericreel.decisions.significance import exceeds, variance_of
from turmericreel.model.version_evidence import LoadClass
from turmericreel.model.wait_counts import (
    BUCKETS_PER_DOUBLING,
    WaitCounts,
    bucket_of,
    duration_ms,
    sum_of,
)

WaitsByLoad = dict[LoadClass, WaitCounts]

# A few slow answers may be the fault of one server.
MIN_SLOW = 4
# Waits of the old version that are needed for a comparison.
MIN_OLD_WAITS = 12
# A good version exceeds the old version's fraction of slow waits by less than this.
MIN_SLOW_RATIO = 2.5
# Prior for the fraction of slow waits of the old version.
PRIOR_SLOW_FRACTION = 0.05
N_PRIOR_WAITS = 20.0


@dataclass(frozen=True, kw_only=True)
class SlownessLimit:
    """When a wait counts as slow.

    Attributes
    ----------
    factor : float
        Multiple of the old version's median wait.
    min_median_s : float
        Shorter medians count as this; callers do not notice smaller differences.
    min_fraction : float
        Fraction of the new version's waits that must be slow.
    """

    factor: float
    min_median_s: float
    min_fraction: float

    def bucket(self, old: WaitCounts) -> int:
        """Return the highest bucket of waits that do not count as slow."""
        median = max(old.median_bucket(), bucket_of(self.min_median_s))
        return median + round(BUCKETS_PER_DOUBLING * log2(self.factor))


# Whole answers of services that do not stream.
PLAIN_LIMIT = SlownessLimit(factor=3.0, min_median_s=0.05, min_fraction=0.1)
# Prefix caches of a new version are empty, so the first event of a good one may take
# long for a part of the requests.
FIRST_LIMIT = SlownessLimit(factor=5.0, min_median_s=0.05, min_fraction=0.35)
# A canary has less load than the version that it is compared with; after the switch the
# load may be higher.
CANARY_EVENT_LIMIT = SlownessLimit(factor=2.0, min_median_s=0.02, min_fraction=0.2)
EVENT_LIMIT = SlownessLimit(factor=3.0, min_median_s=0.02, min_fraction=0.2)


@dataclass(frozen=True, kw_only=True)
class SlowWaits:
    """Slow waits of the new version, and the number expected from the old one.

    Attributes
    ----------
    min_significant : float
        Fewer slow waits are no reason to roll back, however certain the difference.
    """

    n_slow: int = 0
    expected: float = 0.0
    variance: float = 0.0
    min_significant: float = 0.0

    def plus(self, other: "SlowWaits") -> "SlowWaits":
        """Return the sum."""
        return SlowWaits(
            n_slow=self.n_slow + other.n_slow,
            expected=self.expected + other.expected,
            variance=self.variance + other.variance,
            min_significant=self.min_significant + other.min_significant,
        )

    @property
    def are_too_many(self) -> bool:
        """Whether the new version is slower than the old one."""
        return self.n_slow >= max(MIN_SLOW, self.min_significant) and exceeds(
            self.n_slow, self.expected, self.variance
        )


def pair_by_load(
    new: WaitsByLoad, old: WaitsByLoad
) -> list[tuple[WaitCounts, WaitCounts]]:
    """Return the new version's waits with those of the old one at a similar load.

    Without enough waits of the old version at a load, those at the next higher one
    count, which were rather longer, and else those at all loads.
    """
    pairs = []
    for load, waits in new.items():
        similar = [
            old[other]
            for other in sorted(old)
            if other >= load and old[other].n_finished >= MIN_OLD_WAITS
        ]
        pairs.append((waits, similar[0] if similar else sum_of(old.values())))
    return pairs


def waits_longer(
    pairs: list[tuple[WaitCounts, WaitCounts]], limit: SlownessLimit
) -> bool:
    """Return whether waits are slow more often in one pair or in all together.

    Parameters
    ----------
    pairs : list of pairs of WaitCounts
        Of the new and the old version, by route and load.
    limit : SlownessLimit
    """
    in_all = SlowWaits()
    for new, old in pairs:
        if old.n_finished < MIN_OLD_WAITS:
            continue
        in_pair = _compare(new, old, limit)
        if in_pair.are_too_many:
            return True
        in_all = in_all.plus(in_pair)
    return in_all.are_too_many


def describe_waits(new: WaitsByLoad, old: WaitsByLoad, limit: SlownessLimit) -> str:
    """Return the slow waits of both versions at all loads for a log line."""
    all_new, all_old = sum_of(new.values()), sum_of(old.values())
    bucket = limit.bucket(all_old)
    return (
        f"over {duration_ms(bucket):.0f} ms"
        f" {all_new.n_above(bucket)}/{all_new.n_known(bucket)}"
        f" against {all_old.n_above(bucket)}/{all_old.n_known(bucket)}"
    )


def _compare(new: WaitCounts, old: WaitCounts, limit: SlownessLimit) -> SlowWaits:
    bucket = limit.bucket(old)
    n_prior_slow = PRIOR_SLOW_FRACTION * N_PRIOR_WAITS
    rate = (old.n_above(bucket) + n_prior_slow) / (old.n_known(bucket) + N_PRIOR_WAITS)
    n_known = new.n_known(bucket)
    min_fraction = min(MIN_SLOW_RATIO * rate, (1 + rate) / 2)
    return SlowWaits(
        n_slow=new.n_above(bucket),
        expected=n_known * rate,
        variance=n_known * variance_of(rate),
        min_significant=n_known * max(min_fraction, limit.min_fraction),
    )
