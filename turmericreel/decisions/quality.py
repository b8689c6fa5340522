"""What the rating service's scores say of each version, with its uncertainty.

Scores are learned per service, kind of request and version.  Older scores fade, both
as new ones come and as time passes without any.
"""

from dataclasses import dataclass, field
from math import sqrt
from typing import NamedTuple

from turmericreel.model.ids import ServiceName, VersionId
from turmericreel.model.request import RequestKind

N_BINS = 40
N_WINDOW_SCORES = 2_000.0
PRIOR_WEIGHT = 20.0
PRIOR_SD = 0.25
N_PRIOR_DECAY_SCORES = 5.0
EXPLORATION_Z = 2.0
STALENESS_HALF_LIFE_S = 3_600.0
CONFIDENCE_Z = 1.64
USAGE_EWMA_WEIGHT = 0.02
DEFAULT_COMPLETION_TOKENS = 200.0
DEFAULT_DURATION_S = 2.0


class QualityKey(NamedTuple):
    """What scores are summed by."""

    service: ServiceName
    kind: RequestKind
    version: VersionId


@dataclass(kw_only=True, slots=True)
class QualityEstimate:
    """Estimate of one version's mean score, usage and duration for one kind.

    Attributes
    ----------
    prior : float
        Mean score that the operators' text expects.
    n_scores : float
        Scores learned, the older ones counted less.
    """

    prior: float
    n_scores: float = 0.0
    score_sum: float = 0.0
    square_sum: float = 0.0
    rated_at: float = 0.0
    bins: list[float] = field(default_factory=lambda: [0.0] * N_BINS)
    n_escalated: float = 0.0
    escalated_sum: float = 0.0
    prompt_tokens: float = 0.0
    completion_tokens: float = DEFAULT_COMPLETION_TOKENS
    duration_s: float = DEFAULT_DURATION_S

    def add_score(self, score: float, *, now: float) -> None:
        """Learn one score."""
        self.add_scores(1, score, score * score, now=now)
        keep = 1.0 - 1.0 / N_WINDOW_SCORES
        self.bins = [n * keep for n in self.bins]
        self.bins[bin_of(score)] += 1.0

    def add_bins(self, counts: list[int]) -> None:
        """Learn how the scores of other instances were distributed."""
        keep = (1.0 - 1.0 / N_WINDOW_SCORES) ** sum(counts)
        self.bins = [keep * n + m for n, m in zip(self.bins, counts, strict=True)]

    def add_scores(
        self, n_scores: int, score_sum: float, square_sum: float, *, now: float
    ) -> None:
        """Learn the sums of several scores."""
        keep = (1.0 - 1.0 / N_WINDOW_SCORES) ** n_scores
        self.n_scores = keep * self.n_scores + n_scores
        self.score_sum = keep * self.score_sum + score_sum
        self.square_sum = keep * self.square_sum + square_sum
        self.rated_at = now

    def add_escalated(self, score: float) -> None:
        """Learn the score of an answer that followed a rejected one."""
        keep = 1.0 - 1.0 / N_WINDOW_SCORES
        self.n_escalated = keep * self.n_escalated + 1.0
        self.escalated_sum = keep * self.escalated_sum + score

    def add_usage(self, *, prompt: int, completion: int, duration_s: float) -> None:
        """Learn what an answer took."""
        self.prompt_tokens += USAGE_EWMA_WEIGHT * (prompt - self.prompt_tokens)
        self.completion_tokens += USAGE_EWMA_WEIGHT * (
            completion - self.completion_tokens
        )
        self.duration_s += USAGE_EWMA_WEIGHT * (duration_s - self.duration_s)

    @property
    def prior_weight(self) -> float:
        """Scores that the prior stands for; it gives way to what was measured."""
        return PRIOR_WEIGHT / (1.0 + self.n_scores / N_PRIOR_DECAY_SCORES)

    @property
    def mean(self) -> float:
        """Mean score, drawn to the prior while few scores are known."""
        weight = self.prior_weight
        return (weight * self.prior + self.score_sum) / (weight + self.n_scores)

    @property
    def sd(self) -> float:
        """Standard deviation of one score."""
        squared_deviations = 0.0
        if self.n_scores > 0.0:
            squared_deviations = self.square_sum - self.score_sum**2 / self.n_scores
        weight = self.prior_weight
        total = weight * PRIOR_SD**2 + max(0.0, squared_deviations)
        return sqrt(total / (weight + self.n_scores))

    def margin(self, *, now: float) -> float:
        """Return how far the true mean may lie from the estimate."""
        n_fresh = self.prior_weight + self._n_fresh(now)
        return CONFIDENCE_Z * self.sd / sqrt(n_fresh)

    def lower_bound(self, *, now: float) -> float:
        """Return the lower confidence bound of the mean."""
        return self.mean - self.margin(now=now)

    def may_reach(self, target: float, *, now: float) -> bool:
        """Tell whether the true mean may be this good.

        The prior counts for one score only, so that a version of which the text
        promises little is tried as well.
        """
        mean = (self.prior + self.score_sum) / (1.0 + self.n_scores)
        margin = (
            EXPLORATION_Z * max(self.sd, PRIOR_SD / 2) / sqrt(1.0 + self._n_fresh(now))
        )
        return mean + margin >= target

    def _n_fresh(self, now: float) -> float:
        age = max(0.0, now - self.rated_at)
        return self.n_scores * 0.5 ** (age / STALENESS_HALF_LIFE_S)

    def escalated_mean(self) -> float | None:
        """Return the mean score after a rejected answer, or None if unknown."""
        if self.n_escalated < PRIOR_WEIGHT:
            return None
        return self.escalated_sum / self.n_escalated


def bin_of(score: float) -> int:
    """Return the bin of a score from 0 to 1."""
    return min(int(score * N_BINS), N_BINS - 1)


def bin_counts(score: float) -> tuple[int, ...]:
    """Return the counts of one score."""
    return tuple(int(n == bin_of(score)) for n in range(N_BINS))


class QualityModel:
    """Estimates of all versions, kept while the text names them."""

    def __init__(self):
        self.estimates: dict[QualityKey, QualityEstimate] = {}

    def estimate(self, key: QualityKey, *, prior: float) -> QualityEstimate:
        """Return the estimate of a version, made from the prior if it is new."""
        known = self.estimates.get(key)
        if known is None:
            known = QualityEstimate(prior=prior)
            self.estimates[key] = known
        known.prior = prior
        return known

    def find(self, key: QualityKey) -> QualityEstimate | None:
        """Return the estimate of a version if there is one."""
        return self.estimates.get(key)
