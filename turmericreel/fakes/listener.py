"""HTTP listener of the stand-ins."""

import errno
from collections.abc import Callable, Iterable
from socket import IPPROTO_TCP, TCP_NODELAY

import msgspec
from gevent.pywsgi import WSGIServer

from turmericreel.protocols.addresses import Address, parse_address


class FakeListener(WSGIServer):
    """Serves a WSGI callable with TCP_NODELAY, so that small events are not delayed.

    Parameters
    ----------
    address : str
        ``ip:port``.
    serve : callable
        WSGI application.
    """

    def __init__(self, *, address: str, serve: Callable):
        parsed = parse_address(address)
        super().__init__(
            (parsed.host, parsed.port),
            serve,
            log=None,
            error_log=None,
            environ={"SERVER_NAME": parsed.host},
        )
        self.host = parsed.host

    def handle(self, sock, address) -> None:
        """Serve a connection, with TCP_NODELAY set."""
        sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        super().handle(sock, address)

    @property
    def bound_address(self) -> str:
        """Address ``ip:port`` that the listener is bound to."""
        return str(Address(host=self.host, port=self.server_port))


def answer_json(start_response, value, extra_headers=()) -> Iterable[bytes]:
    """Answer with status 200 and a JSON body."""
    start_response("200 OK", [("Content-Type", "application/json"), *extra_headers])
    return [msgspec.json.encode(value)]


def broken_pipe_error() -> BrokenPipeError:
    """Return the error that makes the listener close a connection without an answer."""
    return BrokenPipeError(errno.EPIPE, "broken on purpose")
