"""True qualities of answers, and a rating service that sees them through noise."""

from dataclasses import dataclass
from random import Random

from turmericreel.experiments.workload import Mix
from turmericreel.model.ids import VersionId
from turmericreel.model.request import Request, RequestKind

DIFFICULTY_SD = 0.10
ANSWER_SD = 0.06
RATING_SD = 0.06
QUALITY_JITTER = 0.02


class AnswerWorld:
    """Gives each answer a true quality.

    A request's difficulty lowers the quality of all versions; the rest is chance.

    Parameters
    ----------
    mix : Mix
    rng : Random
        Also moves the mean qualities a little, so that seeds differ in them.
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
        """Return the difficulty of a fresh request."""
        return self.rng.gauss(0.0, DIFFICULTY_SD)

    def quality(
        self, kind: RequestKind, version: VersionId, difficulty: float
    ) -> float:
        """Return the true quality of one answer."""
        mean = self.means[kind][version] * self.quality_factors.get(version, 1.0)
        return _clip(mean - difficulty + self.rng.gauss(0.0, ANSWER_SD))


@dataclass(kw_only=True)
class RatingFake:
    """The rating service: noisy, and at times down, late or biased.

    Parameters
    ----------
    down, biased : tuple of float
        From when to when, in seconds.
    bias : float
        Added to scores while biased.
    delay_s : float
        How late sampled ratings arrive.
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


def cost_of_answer(request: Request, text) -> float:
    """Return what one answer costs in micro-credits."""
    tokens = (
        request.prompt_tokens * text.input_price
        + request.max_tokens * text.output_price
    )
    return text.call_price + tokens / 1_000


def _clip(value: float) -> float:
    return min(1.0, max(0.0, value))
