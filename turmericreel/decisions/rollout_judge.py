"""Decides the next stage of a roll-out from the pooled evidence of all gateways.

A version is rolled back when it fails significantly more often than the one that it
replaces, or answers much more slowly, overall or on one route.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from math import sqrt

from turmericreel.model.routing import Rollout, RolloutStage, RouteName
from turmericreel.model.version_evidence import VersionEvidence

# A few failures may be the fault of one server, and a mean needs some answers.
MIN_FAILED = 4
MIN_TIMED = 12
# Standard deviations above the old version's failure rate; a good version exceeds
# them by chance in about 1 of 30,000 cases.
FAILURE_Z = 4.0
SLOWNESS_FACTOR = 3.0
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


@dataclass(kw_only=True)
class PooledCounts:
    """Pooled counts of one version, on one route or on all."""

    n_sent: int = 0
    n_failed: int = 0
    n_timed: int = 0
    total_ms: float = 0.0
    n_running: int = 0

    def add(self, evidence: VersionEvidence) -> None:
        """Add the counts of one gateway."""
        self.n_sent += evidence.n_sent
        self.n_failed += evidence.n_failed
        self.n_timed += evidence.n_timed
        self.total_ms += evidence.total_ms
        self.n_running += evidence.n_running

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
    if any(_is_bad(new[route], old[route], old[None]) for route in new):
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


def _is_bad(new: PooledCounts, old: PooledCounts, all_old: PooledCounts) -> bool:
    return _fails_more(new, old, all_old) or _is_slower(new, old)


def _fails_more(new: PooledCounts, old: PooledCounts, all_old: PooledCounts) -> bool:
    if new.n_failed < MIN_FAILED:
        return False
    base = old if old.n_ended >= N_PRIOR_SENT else all_old
    rate = (base.n_failed + N_PRIOR_FAILED) / (base.n_ended + N_PRIOR_SENT)
    n_ended = max(new.n_ended, new.n_failed)
    deviation = sqrt(n_ended * rate * (1 - min(rate, 0.99)))
    return new.n_failed > n_ended * rate + FAILURE_Z * deviation


def _is_slower(new: PooledCounts, old: PooledCounts) -> bool:
    if new.n_timed < MIN_TIMED or old.n_timed < MIN_TIMED:
        return False
    return new.total_ms / new.n_timed > SLOWNESS_FACTOR * old.total_ms / old.n_timed
