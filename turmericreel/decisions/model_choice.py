"""Chooses the model for a request whose route leaves the choice to the router.

Load: requests of unlike difficulty, which small models answer at a small part of the
cost and of the engines' time; an answer that its own model doubts is dropped before
the client has any of it, and a larger model is asked.  While engines are so busy that
first events come late, fewer answers are dropped, as each larger run delays others.
"""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from turmericreel.model.routing import ModelName

# Confidence, from 0 to 100, below which a small model's answer is dropped.
MIN_CONFIDENCE = 55
# How much that falls with the pressure, which is 1 when first events take their target.
CONFIDENCE_DROP_PER_PRESSURE = 60
# Part of the time to the first event that must be left for a larger model to be asked.
MIN_TIME_LEFT_FRACTION = 0.3

PRESSURE_HALF_LIFE_S = 1.5
MAX_TARGET_FRACTION = 2.0
# First events without lateness that are assumed beside those that were seen.
PRIOR_WEIGHT = 1.0


class Pressure:
    """How late first events have come of late, as a part of their target.

    Parameters
    ----------
    half_life_s : float
        Time in which what was seen loses half of its weight.
    """

    def __init__(self, *, half_life_s: float = PRESSURE_HALF_LIFE_S):
        self.half_life_s = half_life_s
        self.total = 0.0
        self.weight = 0.0
        self.updated_at = 0.0

    def record(self, fraction: float, *, now: float) -> None:
        """Take in one first event; at most `MAX_TARGET_FRACTION` counts of it."""
        self._decay(now)
        self.total += min(fraction, MAX_TARGET_FRACTION)
        self.weight += 1.0

    def level(self, *, now: float) -> float:
        """Return the mean, drawn towards nothing while little was seen."""
        self._decay(now)
        return self.total / (self.weight + PRIOR_WEIGHT)

    def _decay(self, now: float) -> None:
        factor = 0.5 ** ((now - self.updated_at) / self.half_life_s)
        self.total *= factor
        self.weight *= factor
        self.updated_at = now


class ModelChoice(ABC):
    """A way to choose the model of each run of a request."""

    @abstractmethod
    def first(self, models: Sequence[ModelName]) -> ModelName:
        """Return the model to ask first; `models` has the smallest first."""

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
        """Return the model to ask instead, or None to keep the answer.

        Parameters
        ----------
        confidence : int or None
            What the model said of its answer, from 0 to 100.
        time_left : float
            Part of the time to the first event that is left; negative when it passed.
        pressure : float
            Time to the first event of late, as a part of the target.
        """


class ConfidenceCascade(ModelChoice):
    """Asks the smallest first, and the largest where that one doubts its answer.

    Parameters
    ----------
    min_confidence : int
    """

    def __init__(self, *, min_confidence: int = MIN_CONFIDENCE):
        self.min_confidence = min_confidence

    def first(self, models: Sequence[ModelName]) -> ModelName:
        """Return the smallest."""
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
        """Return the largest unless it was asked, or time is short."""
        if current == models[-1] or confidence is None:
            return None
        threshold = self.min_confidence - CONFIDENCE_DROP_PER_PRESSURE * pressure
        if confidence >= threshold or time_left < MIN_TIME_LEFT_FRACTION:
            return None
        return models[-1]
