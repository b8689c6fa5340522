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
    duration_ms,
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
# Ratio to the old version's fraction of slow answers. Empty prefix caches and a higher
# load let a good version exceed that fraction by less.
MIN_SLOW_RATIO = 2.5
# Prior for the fraction of slow answers of the old version.
PRIOR_SLOW_FRACTION = 0.1
N_PRIOR_WAITS = 10.0
# Prior for the failure rate of the old version, before any failure was counted.
N_PRIOR_FAILED = 1.0
N_PRIOR_SENT = 50.0
# Fraction of a roll-out's time after which a version without faults may serve all
# requests, so that runs on the old one can end before the deadline.
CANARY_FRACTION = 0.62
# Time before the deadline at which a version without faults serves all requests, even
# if more of them are at risk then than the exposure limit allows.
LATEST_SWITCH_S = 1.2
# Bounds of the preparation, in which the gateways report the sessions that run on the
# old version; the minimum allows for two reports each.
MIN_PREPARATION_S = 0.6
MAX_PREPARATION_S = 2.0
# Time before the deadline at which the roll-out is completed unconditionally.
COMPLETION_MARGIN_S = 1.0
# Answers that the new version needs before it serves all requests.
MIN_CANARY_ANSWERS = 5
# Answers that it needs before the roll-out is completed early. A version of which a
# part of the answers is slow shows it by then.
MIN_COMPLETION_ANSWERS = 50


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
        return self.n_slow >= max(MIN_SLOW, self.min_significant) and _exceeds(
            self.n_slow, self.expected, self.variance
        )


# Prefix caches of a new version are empty, which delays the first event.
FIRST_LIMIT = SlownessLimit(factor=3.0, min_median_s=0.05)
# A canary has less load than the version that it is compared with.
CANARY_EVENT_LIMIT = SlownessLimit(factor=2.0, min_median_s=0.02)
# After the switch the load may be higher than it was at the old version.
EVENT_LIMIT = SlownessLimit(factor=3.0, min_median_s=0.02)


@dataclass(frozen=True, kw_only=True)
class ExposureLimit:
    """How many requests may reach a version that may still turn out to be bad.

    A fault that only shows under load is found after the switch at the earliest.  The
    switch is therefore made so late that the requests until the deadline stay within
    the limit, however long it takes to find the fault.

    Attributes
    ----------
    share : float
        Of the requests from the order to the deadline.
    slack : float
        Number of requests in addition.
    """

    share: float
    slack: float

    def allows_switch(
        self, *, n_exposed: int, rate: float, duration_s: float, left_s: float
    ) -> bool:
        """Return whether all requests may reach the new version from now on.

        Parameters
        ----------
        n_exposed : int
            Requests that reached the new version.
        rate : float
            Requests for the service per second.
        duration_s, left_s : float
            Time from the order to the deadline, and what is left of it.
        """
        limit = self.share * rate * duration_s + self.slack
        return n_exposed + rate * left_s <= limit


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
    limit: ExposureLimit,
    rate: float | None,
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
    limit : ExposureLimit
    rate : float or None
        Requests for the service per second; None while it is unknown.
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
        if new[None].n_ended < MIN_CANARY_ANSWERS:
            return None
        may_switch = rate is not None and limit.allows_switch(
            n_exposed=new[None].n_sent,
            rate=rate,
            duration_s=deadline - began,
            left_s=deadline - now,
        )
        is_early = now < began + CANARY_FRACTION * (deadline - began)
        is_late = now >= deadline - LATEST_SWITCH_S
        is_due = is_late or (may_switch and not is_early)
        return RolloutStage.SWITCHED if is_due else None
    idle = seen_by_all and old[None].n_running == 0
    proved = new[None].n_ended >= MIN_COMPLETION_ANSWERS
    if (idle and proved) or now >= deadline - COMPLETION_MARGIN_S:
        return RolloutStage.COMPLETED
    return None


def describe_evidence(
    rollout: Rollout, evidence: Iterable[VersionEvidence]
) -> list[str]:
    """Return the counts of the new version against the old one's, by route."""
    old, new = _pool(rollout, evidence)
    event_limit = _event_limit(rollout.stage)
    return [
        f"{route or 'all'}: "
        f"failed {new[route].n_failed}/{new[route].n_ended} "
        f"against {old[route].n_failed}/{old[route].n_ended}, first waits "
        f"{_describe(new[route].first_waits, old[route].first_waits, FIRST_LIMIT)}, "
        f"event waits "
        f"{_describe(new[route].event_waits, old[route].event_waits, event_limit)}"
        for route in new
    ]


def _describe(new: WaitCounts, old: WaitCounts, limit: SlownessLimit) -> str:
    bucket = limit.bucket(old)
    return (
        f"over {duration_ms(bucket):.0f} ms {new.n_above(bucket)}/{new.n_known(bucket)}"
        f" against {old.n_above(bucket)}/{old.n_known(bucket)}"
    )


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
    first_waits = [(new[r].first_waits, old[r].first_waits) for r in new if r]
    event_waits = [(new[r].event_waits, old[r].event_waits) for r in new if r]
    return _waits_longer(first_waits, FIRST_LIMIT) or _waits_longer(
        event_waits, _event_limit(stage)
    )


def _event_limit(stage: RolloutStage) -> SlownessLimit:
    return CANARY_EVENT_LIMIT if stage is RolloutStage.CANARY else EVENT_LIMIT


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
    on_all = SlowWaits()
    for new, old in waits_by_route:
        if old.n_finished < MIN_OLD_WAITS:
            continue
        bucket = limit.bucket(old)
        n_prior_slow = PRIOR_SLOW_FRACTION * N_PRIOR_WAITS
        rate = (old.n_above(bucket) + n_prior_slow) / (
            old.n_known(bucket) + N_PRIOR_WAITS
        )
        rate = max(rate, PRIOR_SLOW_FRACTION)
        n_known = new.n_known(bucket)
        on_route = SlowWaits(
            n_slow=new.n_above(bucket),
            expected=n_known * rate,
            variance=n_known * _variance(rate),
            min_significant=n_known * min(MIN_SLOW_RATIO * rate, (1 + rate) / 2),
        )
        if on_route.are_too_many:
            return True
        on_all = on_all.plus(on_route)
    return on_all.are_too_many


def _variance(rate: float) -> float:
    return rate * (1 - min(rate, 0.99))


def _exceeds(count: int, expected: float, variance: float) -> bool:
    return count > expected + MIN_DEVIATIONS * sqrt(variance)
