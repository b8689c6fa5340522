"""Decides how a roll-out goes on, from the pooled evidence of all gateways.

A version is bad when it fails clearly more often than the one it replaces, or answers
clearly later, in all or on one route.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass
from math import sqrt

from turmericreel.model.routing import Rollout, RolloutStage, RouteName
from turmericreel.model.version_evidence import VersionEvidence

# A few failures may come from one server; a rate needs some answers to be seen.
MIN_FAILED = 4
MIN_TIMED = 12
# Standard deviations above the old version's rate; a chance of about 1 in 30,000.
FAILURE_Z = 4.0
SLOWNESS_FACTOR = 3.0
# Failures that the old version is granted before any was seen of it.
N_PRIOR_FAILED = 1.0
N_PRIOR_SENT = 50.0
# Part of a roll-out's time after which a version that proved good takes all requests,
# so that what runs on the old one can end before the deadline.
CANARY_FRACTION = 0.62
# Time for the gateways to say which sessions run on the old version: two reports each.
MIN_PREPARATION_S = 0.6
MAX_PREPARATION_S = 2.0
# Time before the deadline at which the roll-out is completed in any case.
COMPLETION_MARGIN_S = 1.0
# Without as many answers a version has not been proved.
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
        """Add what one gateway counted."""
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
    evidence : iterable of VersionEvidence
        Of all gateways; that of other services is passed over.
    began, deadline, now : float
        Seconds on one monotonic clock.
    seen_by_all : bool
        Whether every gateway acts on the present stage.
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
