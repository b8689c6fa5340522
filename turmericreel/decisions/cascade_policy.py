"""Chooses the cheapest plan that meets the quality target with confidence.

A plan is one version alone, or a cascade: the answer of a cheaper version is rated
before delivery, and a low score escalates the request to a better version.  Without
scores the versions' prior qualities are used.  If no plan meets the target, the version
with the highest lower bound of quality runs alone.
"""

from dataclasses import dataclass, field
from random import Random
from typing import NamedTuple

from turmericreel.decisions.cascade_options import (
    MIN_PASSING_FRACTION,
    Option,
    cascade_options,
    cascade_plan,
    expected_cost,
    single_option,
)
from turmericreel.decisions.quality import (
    N_BINS,
    QualityEstimate,
    QualityKey,
    QualityModel,
    bin_of,
)
from turmericreel.decisions.rating_monitor import RatingMonitor
from turmericreel.decisions.version_policy import (
    AnswerObserved,
    Plan,
    PooledScores,
    Stage,
    VersionPolicy,
)
from turmericreel.model.ids import ServiceName, VersionId
from turmericreel.model.request import Request, RequestKind
from turmericreel.model.text import VersionText

EXPLORATION_FRACTION = 0.10
SESSION_EXPLORATION_FRACTION = 0.05
N_FAST_EXPLORATION = 60
FAST_EXPLORATION_FACTOR = 4.0
PLAN_VALIDITY_S = 2.0
MIN_SCORES_TO_REJECT = 10.0
MIN_SCORES_TO_DECIDE = 400.0
DEADLINE_FRACTION = 0.7


class PlanKey(NamedTuple):
    """Properties of a request that a plan depends on."""

    service: ServiceName
    kind: RequestKind
    versions: tuple[VersionId, ...]
    in_session: bool
    ratings_usable: bool


@dataclass(frozen=True, kw_only=True)
class PlanChoice:
    """Options for requests of one `PlanKey`.

    Attributes
    ----------
    options : tuple of Option
        Options that meet the quality target, cheapest first; the best single version
        if none does.
    exploration_plan : Plan or None
        Plan that is run for a fraction of requests to learn about a cheaper version.
    valid_until : float
        Seconds on the monotonic clock.
    """

    options: tuple[Option, ...]
    exploration_plan: Plan | None
    valid_until: float


@dataclass(kw_only=True, slots=True)
class LocalScores:
    """Scores of this instance since it last added those of the other instances."""

    since: float
    n_scores: int = 0
    score_sum: float = 0.0
    square_sum: float = 0.0
    counts: list[int] = field(default_factory=lambda: [0] * N_BINS)

    def counts_of_others(self, counts: tuple[int, ...]) -> list[int]:
        """Subtract this instance's scores from pooled counts per bin."""
        padded = counts + (0,) * (N_BINS - len(counts))
        return [max(0, n - m) for n, m in zip(padded, self.counts, strict=True)]

    def add(self, score: float) -> None:
        """Add a score."""
        self.counts[bin_of(score)] += 1
        self.n_scores += 1
        self.score_sum += score
        self.square_sum += score * score


class CascadePolicy(VersionPolicy):
    """Chooses plans by expected cost, and learns qualities from ratings.

    Parameters
    ----------
    rng : Random
    exploration : float
        Fraction of requests that run an exploration plan.  It is multiplied by
        `FAST_EXPLORATION_FACTOR` for the first `N_FAST_EXPLORATION` requests of each
        `PlanKey` that explore.
    """

    def __init__(self, *, rng: Random, exploration: float = EXPLORATION_FRACTION):
        self.rng = rng
        self.exploration = exploration
        self.quality = QualityModel()
        self.ratings = RatingMonitor()
        self.local_scores: dict[QualityKey, LocalScores] = {}
        self.n_explored: dict[PlanKey, int] = {}
        self.choices: dict[PlanKey, PlanChoice] = {}

    def plan(
        self,
        request: Request,
        candidates: dict[VersionId, VersionText],
        *,
        quality_target: float,
        now: float,
    ) -> Plan:
        """Return the plan for a request."""
        key = PlanKey(
            service=request.service,
            kind=request.kind,
            versions=tuple(candidates),
            in_session=request.session is not None,
            ratings_usable=self.ratings.usable(request.service, now=now),
        )
        choice = self.choices.get(key)
        if choice is None or choice.valid_until <= now:
            choice = self._choose(key, candidates, quality_target, now=now)
            self.choices[key] = choice
        left_s = request.deadline - now
        if choice.exploration_plan is not None and self._should_explore(key):
            self.n_explored[key] = self.n_explored.get(key, 0) + 1
            return choice.exploration_plan
        for option in choice.options:
            if option.duration_s <= DEADLINE_FRACTION * left_s:
                return option.plan
        return min(choice.options, key=lambda option: option.duration_s).plan

    def _should_explore(self, key: PlanKey) -> bool:
        fraction = self.exploration
        if key.in_session:
            # Answers in a session are delivered without a rating, so exploration may
            # deliver bad ones.
            fraction = min(fraction, SESSION_EXPLORATION_FRACTION)
        if self.n_explored.get(key, 0) < N_FAST_EXPLORATION:
            fraction *= FAST_EXPLORATION_FACTOR
        return self.rng.random() < fraction

    def observe(self, observed: AnswerObserved, *, now: float) -> None:
        """Update the estimates from an answer, or from its rating once that arrives."""
        request = observed.request
        key = QualityKey(request.service, request.kind, observed.version)
        estimate = self.quality.find(key)
        if estimate is None:
            return
        if observed.score is not None:
            self._learn_score(observed, estimate, now=now)
        elif not observed.failed:
            estimate.add_usage(
                prompt=observed.usage.prompt_tokens,
                completion=observed.usage.completion_tokens,
                duration_s=observed.duration_s,
            )

    def record_pooled(self, scores: PooledScores, *, now: float) -> None:
        """Add the scores of the other instances, once per window of pooled scores."""
        key = QualityKey(scores.service, scores.kind, scores.version)
        estimate = self.quality.find(key)
        if estimate is None or not self.ratings.trusted(scores.service):
            return
        local = self.local_scores.setdefault(key, LocalScores(since=now))
        if now - local.since < scores.window_s:
            return
        n_others = scores.n_rated - local.n_scores
        if n_others > 0:
            estimate.add_scores(
                n_others,
                max(0.0, scores.score_sum - local.score_sum),
                max(0.0, scores.square_sum - local.square_sum),
                now=now,
            )
            estimate.add_bins(local.counts_of_others(scores.counts))
        self.local_scores[key] = LocalScores(since=now)

    def record_rating_failure(self, *, now: float) -> None:
        """Record that an answer could not be rated."""
        self.ratings.record_failure(now=now)

    def _learn_score(
        self, observed: AnswerObserved, estimate: QualityEstimate, *, now: float
    ) -> None:
        service = observed.request.service
        self.ratings.record_score(service, observed.version, observed.score)
        if not self.ratings.trusted(service):
            return
        if observed.escalated:
            # Requests that were escalated from a cheaper version are harder than
            # others, so their scores are kept apart.
            estimate.add_escalated(observed.score)
            return
        estimate.add_score(observed.score, now=now)
        key = QualityKey(service, observed.request.kind, observed.version)
        self.local_scores.setdefault(key, LocalScores(since=now)).add(observed.score)

    def _choose(
        self,
        key: PlanKey,
        candidates: dict[VersionId, VersionText],
        target: float,
        *,
        now: float,
    ) -> PlanChoice:
        estimates = {
            version: self.quality.estimate(
                QualityKey(key.service, key.kind, version), prior=text.prior_quality
            )
            for version, text in candidates.items()
        }
        singles = [
            single_option(version, candidates[version], estimates[version], now=now)
            for version in candidates
        ]
        options = list(singles)
        if key.ratings_usable and not key.in_session:
            options.extend(cascade_options(candidates, estimates, target, now=now))
        feasible = [option for option in options if option.quality >= target]
        if not feasible:
            feasible = [max(singles, key=lambda option: option.quality)]
        feasible.sort(key=lambda option: option.cost)
        exploration_plan = None
        if key.ratings_usable:
            exploration_plan = _exploration_plan(
                feasible[0],
                candidates,
                estimates,
                singles,
                target,
                in_session=key.in_session,
                now=now,
            )
        return PlanChoice(
            options=tuple(feasible),
            exploration_plan=exploration_plan,
            valid_until=now + PLAN_VALIDITY_S,
        )


def _exploration_plan(
    best: Option,
    candidates: dict[VersionId, VersionText],
    estimates: dict[VersionId, QualityEstimate],
    singles: list[Option],
    target: float,
    *,
    in_session: bool,
    now: float,
) -> Plan | None:
    """Return a plan to explore the least known cheaper version, or None.

    Its answers are rated before delivery, except in sessions, which stay on one
    version.
    """
    safest = max(singles, key=lambda option: option.quality).plan.stages[0].version
    uncertain = [
        version
        for version, text in candidates.items()
        if version != safest
        and expected_cost(text, estimates[version]) < best.cost
        and _worth_exploring(estimates[version], target, alone=in_session, now=now)
    ]
    if not uncertain:
        return None
    least_known = min(uncertain, key=lambda version: estimates[version].n_scores)
    if in_session:
        return Plan(stages=(Stage(version=least_known),))
    return cascade_plan(least_known, safest, target, deliver_unrated=False)


def _worth_exploring(
    estimate: QualityEstimate, target: float, *, alone: bool, now: float
) -> bool:
    if alone or estimate.n_scores >= MIN_SCORES_TO_DECIDE:
        return estimate.may_reach(target, now=now)
    if estimate.n_scores < MIN_SCORES_TO_REJECT:
        return True
    # A version that is too weak to run alone saves cost in a cascade if enough of its
    # answers pass.
    passing = sum(estimate.bins[bin_of(target) :])
    return passing >= MIN_PASSING_FRACTION * sum(estimate.bins)
