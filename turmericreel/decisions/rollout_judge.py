"""Decides the next stage of a roll-out from the pooled evidence of all gateways.

Intended workload: any.  A version is rolled back when it fails significantly more often
than the one that it replaces, or lets significantly more callers wait several times as
long, overall or on one route.  Waits are compared at similar loads of the servers,
because a canary's servers have fewer requests than those of the old version.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import cached_property

from turmericreel.decisions.exposure_limit import ExposureLimit
from turmericreel.decisions.rollout_traffic import TrafficRate
from turmericreel.decisions.significance import exceeds, variance_of
from turmericreel.decisions.version_slowness import (
    CANARY_EVENT_LIMIT,
    EVENT_LIMIT,
    FIRST_LIMIT,
    PLAIN_LIMIT,
    SlownessLimit,
    WaitsByLoad,
    describe_waits,
    pair_by_load,
    waits_longer,
)
from turmericreel.model.routing import Rollout, RolloutStage, RouteName
from turmericreel.model.version_evidence import LoadClass, VersionEvidence
from turmericreel.model.wait_counts import WaitCounts, duration_ms, sum_of

# A few failures may be the fault of one server.
MIN_FAILED = 4
# Prior for the failure rate of the old version, before any failure was counted.
N_PRIOR_FAILED = 1.0
N_PRIOR_SENT = 50.0
# Fraction of a roll-out's time after which a version without faults may serve all
# requests, so that runs on the old one can end before the deadline.
CANARY_FRACTION = 0.62
# Time before the deadline at which a version without faults serves all requests if the
# rate of requests is not known yet, as after a change of the leader.
LATEST_SWITCH_S = 1.2
# Bounds of the preparation, in which the gateways report the sessions that run on the
# old version; the minimum allows for two reports each.
MIN_PREPARATION_S = 0.6
MAX_PREPARATION_S = 2.0
# Time before the deadline from which a switched roll-out is completed at once, so that
# operators learn of it in time.
COMPLETION_MARGIN_S = 1.0
# Time after the deadline until which a version is observed if the traffic has risen, as
# its servers then have another load than the one at which it was judged.
OBSERVATION_S = 3.0
# Answers that the new version needs before it serves all requests.
MIN_CANARY_ANSWERS = 5
# Answers that it needs before the roll-out is completed early. A version of which a
# part of the answers is slow shows it by then.
MIN_COMPLETION_ANSWERS = 50

NO_WAITS = WaitCounts()

CountsByLoad = defaultdict[LoadClass, list[WaitCounts]]


@dataclass(kw_only=True)
class PooledCounts:
    """Pooled counts of one version, on one route or on all."""

    n_sent: int = 0
    n_failed: int = 0
    n_running: int = 0
    first_counts: CountsByLoad = field(default_factory=lambda: defaultdict(list))
    event_counts: CountsByLoad = field(default_factory=lambda: defaultdict(list))

    def add(self, evidence: VersionEvidence) -> None:
        """Add the counts of one gateway."""
        self.n_sent += evidence.n_sent
        self.n_failed += evidence.n_failed
        self.n_running += evidence.n_running
        if evidence.first_waits != NO_WAITS:
            self.first_counts[evidence.load].append(evidence.first_waits)
        if evidence.event_waits != NO_WAITS:
            self.event_counts[evidence.load].append(evidence.event_waits)

    @cached_property
    def first_waits(self) -> WaitsByLoad:
        """Waits for the whole answer or the first event; all counts must be added."""
        return {load: sum_of(c) for load, c in self.first_counts.items()}

    @cached_property
    def event_waits(self) -> WaitsByLoad:
        """Mean waits for an event; all counts must be added."""
        return {load: sum_of(c) for load, c in self.event_counts.items()}

    @property
    def is_streamed(self) -> bool:
        """Whether any answer was a stream of events."""
        return any(waits.finished for waits in self.event_waits.values())

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
    n_exposed: int,
    rate: TrafficRate | None,
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
    n_exposed : int
        Attempts that reached the new version.
    rate : TrafficRate or None
        Attempts at the service per second; None while it is unknown.
    """
    if rollout.stage is RolloutStage.PREPARING:
        # The rate of requests decides how many sessions the canary gets.
        is_known = seen_by_all and rate is not None
        prepared = is_known and now >= began + MIN_PREPARATION_S
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
        if now < began + CANARY_FRACTION * (deadline - began):
            return None
        if rate is None:
            may_switch = now >= deadline - LATEST_SWITCH_S
        else:
            may_switch = limit.allows_switch(
                n_exposed=n_exposed,
                rate=rate,
                duration_s=deadline - began,
                left_s=deadline - now,
            )
        return RolloutStage.SWITCHED if may_switch else None
    has_risen = rate is not None and rate.has_risen
    if has_risen and now < deadline + OBSERVATION_S:
        return None
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
    return [_describe(route, new[route], old[route], rollout.stage) for route in new]


def describe_loads(rollout: Rollout, evidence: Iterable[VersionEvidence]) -> list[str]:
    """Return numbers and medians of waits, new against old, by route and load."""
    waits: dict[tuple[RouteName, LoadClass], list[list[WaitCounts]]] = {}
    for record in evidence:
        if record.service == rollout.service:
            both = waits.setdefault((record.route, record.load), [[], []])
            both[record.version != rollout.target].append(
                record.event_waits
                if record.event_waits.finished
                else record.first_waits
            )
    return [
        f"{route} load {load}: {_describe_median(new)} against {_describe_median(old)}"
        for (route, load), (new, old) in sorted(waits.items())
    ]


def _describe_median(waits: list[WaitCounts]) -> str:
    pooled = sum_of(waits)
    return f"{pooled.n_finished} of {duration_ms(pooled.median_bucket()):.0f} ms"


def _describe(
    route: RouteName | None, new: PooledCounts, old: PooledCounts, stage: RolloutStage
) -> str:
    first_limit = FIRST_LIMIT if old.is_streamed else PLAIN_LIMIT
    failed = f"failed {new.n_failed}/{new.n_ended} against {old.n_failed}/{old.n_ended}"
    first = describe_waits(new.first_waits, old.first_waits, first_limit)
    event = describe_waits(new.event_waits, old.event_waits, _event_limit(stage))
    return f"{route or 'all'}: {failed}, first waits {first}, event waits {event}"


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
    return exceeds(new.n_failed, n_ended * rate, n_ended * variance_of(rate))


def _is_slower(new: Pooled, old: Pooled, stage: RolloutStage) -> bool:
    plain, first, event = [], [], []
    for route in new:
        if route is None:
            continue
        first_waits = pair_by_load(new[route].first_waits, old[route].first_waits)
        if old[route].is_streamed:
            first += first_waits
            event += pair_by_load(new[route].event_waits, old[route].event_waits)
        else:
            plain += first_waits
    return (
        waits_longer(plain, PLAIN_LIMIT)
        or waits_longer(first, FIRST_LIMIT)
        or waits_longer(event, _event_limit(stage))
    )


def _event_limit(stage: RolloutStage) -> SlownessLimit:
    return CANARY_EVENT_LIMIT if stage is RolloutStage.CANARY else EVENT_LIMIT
