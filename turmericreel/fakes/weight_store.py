"""A stand-in for the rate-limited weight store."""

import msgspec
from gevent import sleep

from turmericreel.fakes.listener import FakeListener, answer_json
from turmericreel.protocols.weights import FETCH_PATH, FetchAnswer, FetchRequest
from turmericreel.util.clock import Clock

WEIGHTS_SIZE_BYTES = 1_000_000_000


class FakeWeightStore:
    """Serves ``POST /fetch`` up to a rate limit, and answers 429 above it.

    Parameters
    ----------
    address : str
        ``ip:port``.
    fetches_per_second : float
        Rate limit.
    burst : int
        Number of fetches that may start at the same time.
    fetch_ms : float
        Duration of a fetch.
    clock : Clock
    """

    def __init__(
        self,
        *,
        address: str,
        fetches_per_second: float,
        clock: Clock,
        burst: int = 1,
        fetch_ms: float = 0.0,
    ):
        self.rate = fetches_per_second
        self.burst = burst
        self.fetch_ms = fetch_ms
        self.clock = clock
        self.n_available = float(burst)
        self.refilled_at = clock.monotonic()
        self.n_fetched = 0
        self.n_refused = 0
        self.http = FakeListener(address=address, serve=self._serve)

    def start(self) -> None:
        """Start serving."""
        self.http.start()

    def stop(self) -> None:
        """Stop serving immediately."""
        self.http.stop(timeout=0)

    @property
    def address(self) -> str:
        """Address ``ip:port`` that the store listens on."""
        return self.http.bound_address

    def admit(self) -> bool:
        """Take a token for a fetch from the bucket; return False if there is none."""
        now = self.clock.monotonic()
        n_refilled = (now - self.refilled_at) * self.rate
        self.n_available = min(self.n_available + n_refilled, float(self.burst))
        self.refilled_at = now
        if self.n_available < 1:
            return False
        self.n_available -= 1
        return True

    def _serve(self, environ, start_response):
        body = environ["wsgi.input"].read()
        if environ["PATH_INFO"] != FETCH_PATH:
            start_response("404 Not Found", [])
            return [b""]
        if not self.admit():
            self.n_refused += 1
            pause_s = max(1, round(1 / self.rate))
            start_response("429 Too Many Requests", [("Retry-After", str(pause_s))])
            return [b""]
        request = msgspec.json.decode(body, type=FetchRequest)
        sleep(self.fetch_ms / 1_000)
        self.n_fetched += 1
        answer = FetchAnswer(order=request.order, size_bytes=WEIGHTS_SIZE_BYTES)
        return answer_json(start_response, answer)
