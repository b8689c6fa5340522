"""Selects the answers to rate: a random sample, and bursts after low scores.

After a low score the next answers of the version are all rated.  So are a version's
answers to a kind of request while few of their scores are known.
"""

from dataclasses import dataclass
from math import sqrt
from random import Random

from turmericreel.model.ids import ServiceName, VersionId
from turmericreel.model.request import RequestKind

N_BURST_ANSWERS = 12
LOW_SCORE_Z = 1.5
N_WINDOW_SCORES = 300.0
MIN_SCORES = 10
MIN_SD = 0.05
MIN_KIND_SCORES = 30
UNKNOWN_KIND_SAMPLE = 1.0


@dataclass(kw_only=True, slots=True)
class SampledVersion:
    """Moving statistics of one version's scores, and what is left of a burst."""

    n_scores: int = 0
    mean: float = 0.0
    variance: float = 0.0
    n_burst_left: int = 0

    def is_low(self, mean: float, n_scores: int) -> bool:
        """Return whether a mean of `n_scores` scores is low for this version."""
        if self.n_scores < MIN_SCORES or n_scores == 0:
            return False
        sd = max(MIN_SD, sqrt(self.variance))
        return mean < self.mean - LOW_SCORE_Z * sd / sqrt(n_scores)

    def add_score(self, score: float) -> None:
        """Update the moving mean and variance with a score."""
        self.n_scores += 1
        step = max(1.0 / N_WINDOW_SCORES, 1.0 / self.n_scores)
        self.variance += step * ((score - self.mean) ** 2 - self.variance)
        self.mean += step * (score - self.mean)


class RatingSampler:
    """Samples answers for rating.

    Parameters
    ----------
    sample : float
        Fraction of answers rated outside bursts; 0 disables rating.
    rng : Random
    """

    def __init__(self, *, sample: float, rng: Random):
        self.sample = sample
        self.rng = rng
        self.versions: dict[tuple[ServiceName, VersionId], SampledVersion] = {}
        self.n_by_kind: dict[tuple[ServiceName, VersionId, RequestKind], int] = {}

    def should_rate(
        self, service: ServiceName, version: VersionId, kind: RequestKind
    ) -> bool:
        """Return whether to rate the next answer of a version."""
        if self.sample <= 0.0:
            return False
        known = self.versions.get((service, version))
        if known is not None and known.n_burst_left > 0:
            known.n_burst_left -= 1
            return True
        fraction = self.sample
        if self.n_by_kind.get((service, version, kind), 0) < MIN_KIND_SCORES:
            fraction = max(fraction, UNKNOWN_KIND_SAMPLE)
        return self.rng.random() < fraction

    def record_score(
        self,
        service: ServiceName,
        version: VersionId,
        kind: RequestKind,
        score: float,
    ) -> None:
        """Record a score; a low one starts a burst."""
        key = (service, version, kind)
        self.n_by_kind[key] = self.n_by_kind.get(key, 0) + 1
        known = self.versions.setdefault((service, version), SampledVersion())
        if known.is_low(score, 1):
            known.n_burst_left = N_BURST_ANSWERS
        known.add_score(score)

    def record_pooled(
        self, service: ServiceName, version: VersionId, mean: float, n_scores: int
    ) -> None:
        """Start a burst if the recent mean score over all instances is low."""
        known = self.versions.get((service, version))
        if known is not None and known.is_low(mean, n_scores):
            known.n_burst_left = max(known.n_burst_left, N_BURST_ANSWERS)
