"""Chooses the model for a request whose route leaves the choice to the router.

Intended workload: requests of varying difficulty.  Small models answer many of them at
a fraction of the cost and engine time.  An answer with a low confidence, as stated by
its own model, is discarded before any of it reaches the client, and a larger model is
run.  While busy engines delay first events, fewer answers are discarded, as each run
of a larger model delays other requests.
"""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from turmericreel.model.routing import ModelName

# Confidence, from 0 to 100, below which a small model's answer is discarded.
MIN_CONFIDENCE = 55
# Reduction of that threshold at a pressure of 1, where first events take their target.
CONFIDENCE_DROP_PER_PRESSURE = 60
# Fraction of the target time to the first event that a larger model must have left.
MIN_TIME_LEFT_FRACTION = 0.3

PRESSURE_HALF_LIFE_S = 1.5
MAX_TARGET_FRACTION = 2.0
# First events with no delay that are assumed in addition to the observed ones.
PRIOR_WEIGHT = 1.0


class Pressure:
    """Recent mean time to the first event, as a fraction of its target.

    Parameters
    ----------
    half_life_s : float
        Time after which an observation has half of its weight, in seconds.
    """

    def __init__(self, *, half_life_s: float = PRESSURE_HALF_LIFE_S):
        self.half_life_s = half_life_s
        self.total = 0.0
        self.weight = 0.0
        self.updated_at = 0.0

    def record(self, fraction: float, *, now: float) -> None:
        """Record the time to one first event, as a fraction of its target.

        It is capped at `MAX_TARGET_FRACTION`.
        """
        self._decay(now)
        self.total += min(fraction, MAX_TARGET_FRACTION)
        self.weight += 1.0

    def level(self, *, now: float) -> float:
        """Return the decayed mean, biased towards 0 while observations are few."""
        self._decay(now)
        return self.total / (self.weight + PRIOR_WEIGHT)

    def _decay(self, now: float) -> None:
        factor = 0.5 ** ((now - self.updated_at) / self.half_life_s)
        self.total *= factor
        self.weight *= factor
        self.updated_at = now


class ModelChoice(ABC):
    """Strategy that chooses the model for each run of a request."""

    @abstractmethod
    def first(self, models: Sequence[ModelName]) -> ModelName:
        """Return the model of the first run; `models` is ordered from the smallest."""

    @abstractmethod
    def larger(
        self,
        models: Sequence[ModelName],
        current: ModelName,
        *,
        confidence: int | None,
        time_left: float,
        pressure: float,
    ) -> ModelName | None:
        """Return the model to run instead, or None to keep the answer.

        Parameters
        ----------
        models : sequence of ModelName
            Ordered from the smallest.
        current : ModelName
            Model that gave the answer.
        confidence : int or None
            Confidence that the model stated for its answer, from 0 to 100; None if
            it stated none.
        time_left : float
            Fraction of the target time to the first event that is left; negative
            after the target.
        pressure : float
            Recent time to the first event, as a fraction of the target.
        """


class ConfidenceCascade(ModelChoice):
    """Runs the smallest model first, and the largest if the confidence is low.

    Parameters
    ----------
    min_confidence : int
        Confidence, from 0 to 100, below which an answer is discarded.
    """

    def __init__(self, *, min_confidence: int = MIN_CONFIDENCE):
        self.min_confidence = min_confidence

    def first(self, models: Sequence[ModelName]) -> ModelName:
        """Return the smallest model."""
        return models[0]

    def larger(
        self,
        models: Sequence[ModelName],
        current: ModelName,
        *,
        confidence: int | None,
        time_left: float,
        pressure: float,
    ) -> ModelName | None:
        """Return the largest model if confidence is low and enough time is left."""
        if current == models[-1] or confidence is None:
            return None
        threshold = self.min_confidence - CONFIDENCE_DROP_PER_PRESSURE * pressure
        if confidence >= threshold or time_left < MIN_TIME_LEFT_FRACTION:
            return None
        return models[-1]
