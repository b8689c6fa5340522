"""HTTP client of the rating service, which scores answers."""

from contextlib import suppress

import msgspec
from geventhttpclient import HTTPClient

from turmericreel.entry.rating import Rater
from turmericreel.model.ids import VersionId
from turmericreel.model.request import Request
from turmericreel.protocols.addresses import parse_address
from turmericreel.util.clock import Clock

RATE_PATH = "/v1/rate"
RATING_TIMEOUT_S = 2.0


class RateCall(msgspec.Struct, kw_only=True):
    """Body of a call to the rating service."""

    service: str
    version: str
    kind: str
    request: str
    answer: str


class Score(msgspec.Struct, kw_only=True):
    """Answer of the rating service; the score is between 0 and 1."""

    score: float


class HttpRater(Rater):
    """Requests scores from the rating service.

    Parameters
    ----------
    address : str
        ``ip:port``.
    clock : Clock
    """

    def __init__(self, *, address: str, clock: Clock):
        self.clock = clock
        parsed = parse_address(address)
        self.client = HTTPClient(
            parsed.host,
            port=parsed.port,
            connection_timeout=RATING_TIMEOUT_S,
            network_timeout=RATING_TIMEOUT_S,
            concurrency=16,
        )

    def rate(self, request: Request, version: VersionId, text: str) -> float | None:
        """Return a score from 0 to 1, or None if the service failed or was late."""
        if self.clock.monotonic() >= request.deadline:
            return None
        call = RateCall(
            service=request.service,
            version=version,
            kind=request.kind.value,
            request=request.body.decode(errors="replace"),
            answer=text,
        )
        # Errors of the rating service must not break an answer.
        with suppress(Exception):
            response = self.client.post(RATE_PATH, body=msgspec.json.encode(call))
            body = bytes(response.read())
            if response.status_code == 200:
                score = msgspec.json.decode(body, type=Score).score
                return score if 0.0 <= score <= 1.0 else None
        return None
