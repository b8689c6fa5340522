"""A stand-in server that records all its work and fails at random."""

import errno
from collections import Counter
from random import Random

import msgspec
from gevent import sleep

from turmericreel.fakes.backend_server import FakeBackendServer
from turmericreel.protocols import headers

N_TOKENS = 12


class JournalServer(FakeBackendServer):
    """A stand-in that records executed requests, effects and tokens.

    It refuses 5 % of all calls, loses the answers of 10 % of the bookings and breaks
    up to 25 % of the streams.
    """

    def __init__(self, *, rng: Random, **options):
        super().__init__(**options)
        self.rng = rng
        self.effects: Counter[str] = Counter()
        self.requests: Counter[str] = Counter()
        self.tokens: Counter[tuple[str, str]] = Counter()
        self.bodies: dict[str, bytes] = {}

    def _serve(self, environ, start_response):
        identity = [
            (name, environ.get(headers.environ_key(name), ""))
            for name in (headers.REQUEST_ID, headers.ATTEMPT, headers.VERSION)
        ]
        body = environ["wsgi.input"].read()
        fault = self.rng.random()
        if fault < 0.05:
            refused = (headers.REFUSED, "busy")
            start_response("503 Service Unavailable", [*identity, refused])
            return [b""]
        self.requests[identity[0][1]] += 1
        if environ["PATH_INFO"].endswith("/chat/completions"):
            header = [("Content-Type", "text/event-stream"), *identity]
            resume_from = int(
                environ.get(headers.environ_key(headers.RESUME_FROM), "0")
            )
            if resume_from:
                header.append((headers.RESUME_FROM, str(resume_from)))
            start_response("200 OK", header)
            return self._stream(identity, resume_from, fault)
        key = body.decode()
        self.effects[key] += 1
        self.bodies[key] = f"{key} done as {self.effects[key]}".encode()
        sleep(self.rng.random() * 0.1)
        if fault < 0.15:
            # The booking took effect, but its answer is lost.
            raise BrokenPipeError(errno.EPIPE)
        start_response("200 OK", [("Content-Type", "text/plain"), *identity])
        return [self.bodies[key]]

    def _stream(self, identity, resume_from: int, fault: float):
        request, attempt = identity[0][1], identity[1][1]
        break_at = self.rng.randrange(N_TOKENS) if fault < 0.3 else None
        for n in range(resume_from, N_TOKENS):
            if n == break_at:
                raise BrokenPipeError(errno.EPIPE)
            chunk = {
                "id": f"{request}-{attempt}",
                "sequence": n,
                "choices": [{"delta": {"content": f"{request}:{n} "}}],
            }
            self.tokens[request, attempt] += 1
            yield b"data: " + msgspec.json.encode(chunk) + b"\n\n"
            sleep(self.rng.random() * 0.04)
        usage = {"prompt_tokens": 5, "completion_tokens": N_TOKENS - resume_from}
        final_chunk = {
            "id": f"{request}-{attempt}",
            "choices": [{"delta": {}, "finish_reason": "stop"}],
            "usage": usage,
        }
        yield b"data: " + msgspec.json.encode(final_chunk) + b"\n\ndata: [DONE]\n\n"
