"""Simulated qualities of answers, and a rating service that scores them with noise."""

from dataclasses import dataclass
from random import Random

from turmericreel.experiments.workload import Mix
from turmericreel.model.ids import VersionId
from turmericreel.model.request import Request, RequestKind

DIFFICULTY_SD = 0.10
ANSWER_SD = 0.06
RATING_SD = 0.06
QUALITY_JITTER = 0.02


class AnswerSimulator:
    """Draws the true quality of each answer.

    A request's difficulty lowers the quality of all versions alike; each answer adds
    random variation of its own.

    Parameters
    ----------
    mix : Mix
    rng : Random
        Also shifts the mean qualities slightly, so that they differ between seeds.
    """

    def __init__(self, *, mix: Mix, rng: Random):
        self.rng = rng
        self.means: dict[RequestKind, dict[VersionId, float]] = {
            kind: {
                VersionId(version): mean + rng.uniform(-QUALITY_JITTER, QUALITY_JITTER)
                for version, mean in versions.items()
            }
            for kind, versions in mix.quality.items()
        }
        self.quality_factors: dict[VersionId, float] = {}

    def difficulty(self) -> float:
        """Return the difficulty of a new request."""
        return self.rng.gauss(0.0, DIFFICULTY_SD)

    def quality(
        self, kind: RequestKind, version: VersionId, difficulty: float
    ) -> float:
        """Return the true quality of one answer."""
        mean = self.means[kind][version] * self.quality_factors.get(version, 1.0)
        return _clip(mean - difficulty + self.rng.gauss(0.0, ANSWER_SD))


@dataclass(kw_only=True)
class SimulatedRatingService:
    """Simulated rating service with noise, outages, delay and bias.

    Parameters
    ----------
    down, biased : tuple of float
        Start and end of the period, in seconds.
    bias : float
        Added to scores while biased.
    delay_s : float
        Delay of the sampled ratings, in seconds.
    """

    rng: Random
    down: tuple[float, float] = (0.0, 0.0)
    biased: tuple[float, float] = (0.0, 0.0)
    bias: float = 0.0
    delay_s: float = 0.5

    def rate(self, quality: float, *, now: float) -> float | None:
        """Return a score, or None while the service is down."""
        if self.down[0] <= now < self.down[1]:
            return None
        bias = self.bias if self.biased[0] <= now < self.biased[1] else 0.0
        return _clip(quality + bias + self.rng.gauss(0.0, RATING_SD))


def cost_of_answer(request: Request, version_text) -> float:
    """Return the cost of one answer in micro-credits.

    Parameters
    ----------
    request : Request
    version_text : VersionText
        Prices of the version that answers.
    """
    tokens = (
        request.prompt_tokens * version_text.input_price
        + request.max_tokens * version_text.output_price
    )
    return version_text.call_price + tokens / 1_000


def _clip(value: float) -> float:
    return min(1.0, max(0.0, value))
