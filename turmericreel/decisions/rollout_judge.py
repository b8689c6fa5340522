"""Decides the next stage of a roll-out from the pooled evidence of all gateways.

Intended workload: any.  A version is rolled back when it fails significantly more often
than the one that it replaces, or lets significantly more callers wait several times as
long, overall or on one route.

Waits are counted against a multiple of the old version's median on the same route.
Means would be dominated by the lengths of the prompts, and a slow version of which
only a part of the answers is slow may hardly change them.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from math import log2, sqrt

from turmericreel.model.routing import Rollout, RolloutStage, RouteName
from turmericreel.model.version_evidence import VersionEvidence
from turmericreel.model.wait_counts import (
    BUCKETS_PER_DOUBLING,
    WaitCounts,
    bucket_of,
    sum_of,
)

# A few failures or slow answers may be the fault of one server.
MIN_FAILED = 4
MIN_SLOW = 4
# Waits of the old version that are needed for a comparison.
MIN_OLD_WAITS = 12
# Standard deviations above the old version's rate; a good version exceeds them by
# chance in about 1 of 30,000 cases.
MIN_DEVIATIONS = 4.0
# Prior for the fraction of slow answers of the old version.
PRIOR_SLOW_FRACTION = 0.1
N_PRIOR_WAITS = 10.0
# Prior for the failure rate of the old version, before any failure was counted.
N_PRIOR_FAILED = 1.0
N_PRIOR_SENT = 50.0
# Fraction of a roll-out's time after which a version without faults serves all
# requests, so that runs on the old one can end before the deadline.
CANARY_FRACTION = 0.62
# Bounds of the preparation, in which the gateways report the sessions that run on the
# old version; the minimum allows for two reports each.
MIN_PREPARATION_S = 0.6
MAX_PREPARATION_S = 2.0
# Time before the deadline at which the roll-out is completed unconditionally.
COMPLETION_MARGIN_S = 1.0
# Answers that the new version needs before it serves all requests.
MIN_CANARY_ANSWERS = 5


@dataclass(frozen=True, kw_only=True)
class SlownessLimit:
    """When a wait counts as slow.

    Attributes
    ----------
    factor : float
        Multiple of the old version's median wait.
    min_median_s : float
        Shorter medians count as this; callers do not notice smaller differences.
    """

    factor: float
    min_median_s: float

    def bucket(self, old: WaitCounts) -> int:
        """Return the highest bucket of waits that do not count as slow."""
        median = max(old.median_bucket(), bucket_of(self.min_median_s))
        return median + round(BUCKETS_PER_DOUBLING * log2(self.factor))


# Prefix caches of a new version are empty, which delays the first event.
FIRST_LIMIT = SlownessLimit(factor=3.0, min_median_s=0.05)
# A canary has less load than the version that it is compared with.
CANARY_EVENT_LIMIT = SlownessLimit(factor=2.0, min_median_s=0.02)
# After the switch the load may be higher than it was at the old version.
EVENT_LIMIT = SlownessLimit(factor=3.0, min_median_s=0.02)


@dataclass(kw_only=True)
class PooledCounts:
    """Pooled counts of one version, on one route or on all."""

    n_sent: int = 0
    n_failed: int = 0
    n_running: int = 0
    first_waits: WaitCounts = WaitCounts()
    event_waits: WaitCounts = WaitCounts()

    def add(self, evidence: VersionEvidence) -> None:
        """Add the counts of one gateway."""
        self.n_sent += evidence.n_sent
        self.n_failed += evidence.n_failed
        self.n_running += evidence.n_running
        self.first_waits = sum_of([self.first_waits, evidence.first_waits])
        self.event_waits = sum_of([self.event_waits, evidence.event_waits])

    @property
    def n_ended(self) -> int:
        """Number of requests whose outcome is known."""
        return max(self.n_sent - self.n_running, 0)


def judge_rollout(
    rollout: Rollout,
    evidence: Iterable[VersionEvidence],
    *,
    began: float,
    deadline: float,
    now: float,
    seen_by_all: bool,
) -> RolloutStage | None:
    """Return the stage to move to, or None to stay.

    Parameters
    ----------
    rollout : Rollout
    evidence : iterable of VersionEvidence
        Counts of all gateways; those of other services are ignored.
    began, deadline : float
        Start and deadline of the roll-out, in seconds on the monotonic clock.
    now : float
        Seconds on the monotonic clock.
    seen_by_all : bool
        Whether every gateway has applied the current stage.
    """
    if rollout.stage is RolloutStage.PREPARING:
        prepared = seen_by_all and now >= began + MIN_PREPARATION_S
        is_late = now >= began + MAX_PREPARATION_S
        return RolloutStage.CANARY if prepared or is_late else None
    old, new = _pool(rollout, evidence)
    if any(_fails_more(new[route], old[route], old[None]) for route in new):
        return RolloutStage.ROLLED_BACK
    if _is_slower(new, old, rollout.stage):
        return RolloutStage.ROLLED_BACK
    if rollout.stage is RolloutStage.CANARY:
        is_due = now >= began + CANARY_FRACTION * (deadline - began)
        proved = new[None].n_ended >= MIN_CANARY_ANSWERS
        return RolloutStage.SWITCHED if is_due and proved else None
    idle = seen_by_all and old[None].n_running == 0
    if idle or now >= deadline - COMPLETION_MARGIN_S:
        return RolloutStage.COMPLETED
    return None


Pooled = dict[RouteName | None, PooledCounts]


def _pool(
    rollout: Rollout, evidence: Iterable[VersionEvidence]
) -> tuple[Pooled, Pooled]:
    old: Pooled = defaultdict(PooledCounts)
    new: Pooled = defaultdict(PooledCounts)
    for record in evidence:
        if record.service != rollout.service:
            continue
        pool = new if record.version == rollout.target else old
        pool[record.route].add(record)
        pool[None].add(record)
    return old, new


def _fails_more(new: PooledCounts, old: PooledCounts, all_old: PooledCounts) -> bool:
    if new.n_failed < MIN_FAILED:
        return False
    base = old if old.n_ended >= N_PRIOR_SENT else all_old
    rate = (base.n_failed + N_PRIOR_FAILED) / (base.n_ended + N_PRIOR_SENT)
    n_ended = max(new.n_ended, new.n_failed)
    return _exceeds(new.n_failed, n_ended * rate, n_ended * _variance(rate))


def _is_slower(new: Pooled, old: Pooled, stage: RolloutStage) -> bool:
    event_limit = CANARY_EVENT_LIMIT if stage is RolloutStage.CANARY else EVENT_LIMIT
    first_waits = [(new[r].first_waits, old[r].first_waits) for r in new if r]
    event_waits = [(new[r].event_waits, old[r].event_waits) for r in new if r]
    return _waits_longer(first_waits, FIRST_LIMIT) or _waits_longer(
        event_waits, event_limit
    )


def _waits_longer(
    waits_by_route: list[tuple[WaitCounts, WaitCounts]], limit: SlownessLimit
) -> bool:
    """Return whether waits are slow more often on one route or on all together.

    Parameters
    ----------
    waits_by_route : list of pairs of WaitCounts
        Of the new and the old version.
    limit : SlownessLimit
    """
    n_slow_on_all, expected_on_all, variance_on_all = 0, 0.0, 0.0
    for new, old in waits_by_route:
        if old.n_finished < MIN_OLD_WAITS:
            continue
        bucket = limit.bucket(old)
        n_prior_slow = PRIOR_SLOW_FRACTION * N_PRIOR_WAITS
        rate = (old.n_above(bucket) + n_prior_slow) / (
            old.n_known(bucket) + N_PRIOR_WAITS
        )
        rate = max(rate, PRIOR_SLOW_FRACTION)
        n_slow, n_known = new.n_above(bucket), new.n_known(bucket)
        expected, variance = n_known * rate, n_known * _variance(rate)
        if n_slow >= MIN_SLOW and _exceeds(n_slow, expected, variance):
            return True
        n_slow_on_all += n_slow
        expected_on_all += expected
        variance_on_all += variance
    return n_slow_on_all >= MIN_SLOW and _exceeds(
        n_slow_on_all, expected_on_all, variance_on_all
    )


def _variance(rate: float) -> float:
    return rate * (1 - min(rate, 0.99))


def _exceeds(count: int, expected: float, variance: float) -> bool:
    return count > expected + MIN_DEVIATIONS * sqrt(variance)
