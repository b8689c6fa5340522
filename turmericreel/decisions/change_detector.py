"""Sequential test (CUSUM) for a fall of a version's scores or a rise of its failures.

The statistic is a cumulative sum of log-likelihood ratios with a lower bound of 0.  It
is computed from sums over many answers, so evidence of all instances can be pooled.
"""

from dataclasses import dataclass
from math import log

RELATIVE_FALL = 0.25
SD_INFLATION = 1.2
MIN_SD = 0.05
PRIOR_SD = 0.2
PRIOR_WEIGHT = 10.0
MAX_REFERENCE_WEIGHT = 2_000.0
MAX_RECENT_WEIGHT = 16.0
USUAL_FAILURE_RATE = 0.02
BAD_FAILURE_RATE = 0.5
MAX_FAILURES_PER_UPDATE = 2
# The statistic of a healthy version reaches this about once in a million rated answers.
ALARM_THRESHOLD = log(1e6)
LEARNING_THRESHOLD = 1.0


@dataclass(frozen=True, kw_only=True)
class ScoreSums:
    """Sums over answers of one version at one server to requests of one kind."""

    n_answers: int = 0
    n_failed: int = 0
    n_rated: int = 0
    score_sum: float = 0.0
    square_sum: float = 0.0

    def plus(self, other: "ScoreSums") -> "ScoreSums":
        """Return the sum of both."""
        return ScoreSums(
            n_answers=self.n_answers + other.n_answers,
            n_failed=self.n_failed + other.n_failed,
            n_rated=self.n_rated + other.n_rated,
            score_sum=self.score_sum + other.score_sum,
            square_sum=self.square_sum + other.square_sum,
        )


@dataclass(kw_only=True, slots=True)
class Reference:
    """Mean and variance of a version's scores while its test shows no sign of a fall.

    New scores are pending until the statistic is low, and are discarded when the test
    raises an alarm.  Leaving out just the low scores would raise the mean and lead to
    false alarms.

    Parameters
    ----------
    mean : float
        Mean score; initially the prior quality in the operators' text.
    """

    mean: float
    variance: float = PRIOR_SD**2
    weight: float = PRIOR_WEIGHT
    recent_mean: float | None = None
    n_recent: float = 0.0
    pending: ScoreSums = ScoreSums()

    def add_pending(self, sums: ScoreSums) -> None:
        """Add scores that are not part of the reference yet."""
        self.pending = self.pending.plus(sums)

    def apply_pending(self) -> None:
        """Update the mean and variance with the pending scores."""
        sums, self.pending = self.pending, ScoreSums()
        n = sums.n_rated
        if n == 0:
            return
        self.weight = min(MAX_REFERENCE_WEIGHT, self.weight + n)
        step = min(1.0, n / self.weight)
        mean = sums.score_sum / n
        square_deviation = sums.square_sum / n - 2 * mean * self.mean + self.mean**2
        self.mean += step * (mean - self.mean)
        self.variance += step * (max(0.0, square_deviation) - self.variance)

    def update_recent(self, sums: ScoreSums) -> None:
        """Update the recent mean, independently of the test."""
        n = sums.n_rated
        if n == 0:
            return
        self.n_recent = min(MAX_RECENT_WEIGHT, self.n_recent + n)
        mean = sums.score_sum / n
        if self.recent_mean is None:
            self.recent_mean = mean
        self.recent_mean += min(1.0, n / self.n_recent) * (mean - self.recent_mean)

    def evidence_of_fall(self, sums: ScoreSums) -> float:
        """Return the log-likelihood ratio of a fall against no change."""
        if sums.n_rated == 0:
            return 0.0
        variance = max(MIN_SD**2, self.variance) * SD_INFLATION**2
        fall = RELATIVE_FALL * self.mean
        shortfall = sums.n_rated * self.mean - sums.score_sum
        return fall / variance * (shortfall - sums.n_rated * fall / 2)

    def has_fallen(self) -> bool:
        """Return whether the recent mean is clearly below the reference mean."""
        if self.recent_mean is None or self.n_recent < 4:
            return False
        return self.recent_mean < self.mean * (1 - RELATIVE_FALL / 2)


def evidence_of_failures(sums: ScoreSums) -> float:
    """Return the log-likelihood ratio of a high failure rate against the usual one.

    One crash breaks all answers in progress at a server, so at most
    `MAX_FAILURES_PER_UPDATE` failures in the sums count.
    """
    n_failed = min(sums.n_failed, MAX_FAILURES_PER_UPDATE)
    n_good = max(0, sums.n_answers - sums.n_failed)
    return n_failed * log(BAD_FAILURE_RATE / USUAL_FAILURE_RATE) + n_good * log(
        (1 - BAD_FAILURE_RATE) / (1 - USUAL_FAILURE_RATE)
    )
