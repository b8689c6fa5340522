"""Quality estimates of versions from rating scores, with confidence bounds.

Scores are aggregated by service, kind of request and version.  Older scores lose
weight with each new score, and the margin grows with the time since the last one.
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
    """Key by which scores are aggregated."""

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
        Number of scores, with older ones discounted.
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
        """Add one score to the sums and the histogram."""
        self.add_scores(1, score, score * score, now=now)
        keep = 1.0 - 1.0 / N_WINDOW_SCORES
        self.bins = [n * keep for n in self.bins]
        self.bins[bin_of(score)] += 1.0

    def add_bins(self, counts: list[int]) -> None:
        """Add a histogram of scores from other instances.

        Parameters
        ----------
        counts : list of int, length `N_BINS`
        """
        keep = (1.0 - 1.0 / N_WINDOW_SCORES) ** sum(counts)
        self.bins = [keep * n + m for n, m in zip(self.bins, counts, strict=True)]

    def add_scores(
        self, n_scores: int, score_sum: float, square_sum: float, *, now: float
    ) -> None:
        """Add the sums of several scores."""
        keep = (1.0 - 1.0 / N_WINDOW_SCORES) ** n_scores
        self.n_scores = keep * self.n_scores + n_scores
        self.score_sum = keep * self.score_sum + score_sum
        self.square_sum = keep * self.square_sum + square_sum
        self.rated_at = now

    def add_escalated(self, score: float) -> None:
        """Add the score of an answer that replaced a rejected one."""
        keep = 1.0 - 1.0 / N_WINDOW_SCORES
        self.n_escalated = keep * self.n_escalated + 1.0
        self.escalated_sum = keep * self.escalated_sum + score

    def add_usage(self, *, prompt: int, completion: int, duration_s: float) -> None:
        """Update the moving averages of tokens and duration with one answer."""
        self.prompt_tokens += USAGE_EWMA_WEIGHT * (prompt - self.prompt_tokens)
        self.completion_tokens += USAGE_EWMA_WEIGHT * (
            completion - self.completion_tokens
        )
        self.duration_s += USAGE_EWMA_WEIGHT * (duration_s - self.duration_s)

    @property
    def prior_weight(self) -> float:
        """Weight of the prior, in scores; it decreases as scores are added."""
        return PRIOR_WEIGHT / (1.0 + self.n_scores / N_PRIOR_DECAY_SCORES)

    @property
    def mean(self) -> float:
        """Mean score, shrunk towards the prior while scores are few."""
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
        """Return the half-width of the confidence interval of the mean."""
        n_fresh = self.prior_weight + self._n_fresh(now)
        return CONFIDENCE_Z * self.sd / sqrt(n_fresh)

    def lower_bound(self, *, now: float) -> float:
        """Return the lower confidence bound of the mean."""
        return self.mean - self.margin(now=now)

    def may_reach(self, target: float, *, now: float) -> bool:
        """Return whether the upper confidence bound of the mean reaches a target.

        The prior counts as one score only, so that a version with a low prior is
        tried as well.
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
        """Return the mean score after a rejected answer; None if scores are few."""
        if self.n_escalated < PRIOR_WEIGHT:
            return None
        return self.escalated_sum / self.n_escalated


def bin_of(score: float) -> int:
    """Return the index of the histogram bin of a score from 0 to 1."""
    return min(int(score * N_BINS), N_BINS - 1)


def bin_counts(score: float) -> tuple[int, ...]:
    """Return the histogram of a single score."""
    return tuple(int(n == bin_of(score)) for n in range(N_BINS))


class QualityModel:
    """Quality estimates by service, kind of request and version."""

    def __init__(self):
        self.estimates: dict[QualityKey, QualityEstimate] = {}

    def estimate(self, key: QualityKey, *, prior: float) -> QualityEstimate:
        """Return the estimate of a version, created if missing, with this prior."""
        known = self.estimates.get(key)
        if known is None:
            known = QualityEstimate(prior=prior)
            self.estimates[key] = known
        known.prior = prior
        return known

    def find(self, key: QualityKey) -> QualityEstimate | None:
        """Return the estimate of a version, or None."""
        return self.estimates.get(key)
