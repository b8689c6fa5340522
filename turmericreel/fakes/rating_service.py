"""A stand-in for the rating service, with configurable noise, bias and faults."""

from dataclasses import dataclass, field
from random import Random

import msgspec
from gevent import sleep

from turmericreel.fakes.listener import FakeListener, answer_json
from turmericreel.protocols.rating import SCORE_PATH, ScoreAnswer, ScoreRequest


@dataclass(kw_only=True)
class RatingBehaviour:
    """Configuration of the scores and faults.

    Parameters
    ----------
    quality : dict of str to float
        True quality by version; other versions have `default_quality`.
    noise : float
        Standard deviation of a score.
    bias : float
        Offset that is added to every score.
    late_ms : float
        Delay of every answer.
    failure_rate : float
        Fraction of the calls that fail.
    stuck_at : float or None
        Constant score that a broken service gives; None for a working service.
    """

    quality: dict[str, float] = field(default_factory=dict)
    default_quality: float = 0.8
    noise: float = 0.1
    bias: float = 0.0
    late_ms: float = 0.0
    failure_rate: float = 0.0
    stuck_at: float | None = None


class FakeRatingService:
    """Serves ``POST /score``.

    Parameters
    ----------
    address : str
        ``ip:port``.
    behaviour : RatingBehaviour
    rng : Random
    """

    def __init__(self, *, address: str, behaviour: RatingBehaviour, rng: Random):
        self.behaviour = behaviour
        self.rng = rng
        self.n_scored = 0
        self.http = FakeListener(address=address, serve=self._serve)

    def start(self) -> None:
        """Start serving."""
        self.http.start()

    def stop(self) -> None:
        """Stop serving immediately."""
        self.http.stop(timeout=0)

    @property
    def address(self) -> str:
        """Address ``ip:port`` that the service listens on."""
        return self.http.bound_address

    def score(self, request: ScoreRequest) -> float:
        """Return the score of an answer, between 0 and 1."""
        if self.behaviour.stuck_at is not None:
            return self.behaviour.stuck_at
        quality = self.behaviour.quality.get(
            request.version, self.behaviour.default_quality
        )
        noisy = self.rng.gauss(quality, self.behaviour.noise) + self.behaviour.bias
        return min(max(noisy, 0.0), 1.0)

    def _serve(self, environ, start_response):
        body = environ["wsgi.input"].read()
        if environ["PATH_INFO"] == "/fake/behaviour":
            return self._serve_behaviour(start_response, body)
        if environ["PATH_INFO"] != SCORE_PATH:
            start_response("404 Not Found", [])
            return [b""]
        sleep(self.behaviour.late_ms / 1_000)
        if self.rng.random() < self.behaviour.failure_rate:
            start_response("500 Internal Server Error", [])
            return [b""]
        request = msgspec.json.decode(body, type=ScoreRequest)
        self.n_scored += 1
        answer = ScoreAnswer(request=request.request, score=self.score(request))
        return answer_json(start_response, answer)

    def _serve_behaviour(self, start_response, body: bytes):
        if body:
            values = msgspec.to_builtins(self.behaviour) | msgspec.json.decode(body)
            self.behaviour = msgspec.convert(values, type=RatingBehaviour)
        return answer_json(start_response, self.behaviour)
