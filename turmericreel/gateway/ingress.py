"""The HTTP listener for clients, on the limits that the configuration sets."""

from collections.abc import Callable

from gevent.timeout import Timeout

from turmericreel.entry.http_server import BoundedHandler, BoundedServer
from turmericreel.model.routing import ClientLimits
from turmericreel.model.settings import LimitsSettings
from turmericreel.protocols.addresses import Address
from turmericreel.protocols.sockets import is_quiet

HEADERS_KEY = "turmericreel.headers"
TARGET_KEY = "turmericreel.target"
SHUT_RDWR = 2


class IngressHandler(BoundedHandler):
    """Serves one client connection, with a limit of its own for idle time."""

    def read_requestline(self) -> str:
        """Return the request line, or ``""`` when the connection stays idle."""
        self.server.idle_handlers.add(self)
        try:
            with Timeout(self.server.client_limits().idle_timeout_ms / 1_000, False):
                if not self.rfile.peek(1):
                    return ""
                self.limits = self.server.connection_limits()
                self.server.idle_handlers.discard(self)
                return super().read_requestline()
        finally:
            self.server.idle_handlers.discard(self)
        return ""

    def get_environ(self) -> dict:
        """Return the environment with the headers and the target as they were sent."""
        environ = super().get_environ()
        environ[HEADERS_KEY] = self.headers
        environ[TARGET_KEY] = self.path
        return environ


class IngressServer(BoundedServer):
    """Listener for clients.

    Parameters
    ----------
    address : Address
    application : callable
        WSGI application.
    client_limits : callable
        Returns the limits in force.
    connections : int
        Client connections at once.
    """

    handler_class = IngressHandler

    def __init__(
        self,
        *,
        address: Address,
        application,
        client_limits: Callable[[], ClientLimits],
        connections: int,
    ):
        self.client_limits = client_limits
        self.n_connections_allowed = connections
        self.idle_handlers: set[IngressHandler] = set()
        super().__init__(
            address=address,
            application=application,
            limits=self.connection_limits(),
        )

    def connection_limits(self) -> LimitsSettings:
        """Return the limits in force in the listener's own form."""
        limits = self.client_limits()
        return LimitsSettings(
            connections=self.n_connections_allowed,
            header_bytes=limits.header_bytes,
            body_bytes=limits.body_bytes,
            header_timeout_ms=limits.header_timeout_ms,
            body_timeout_ms=limits.idle_timeout_ms,
            stall_timeout_ms=limits.idle_timeout_ms,
        )

    def close_idle(self) -> None:
        """Close the connections on which no request is under way.

        One on which a request has arrived that is not read yet is answered first.
        """
        for handler in list(self.idle_handlers):
            if is_quiet(handler.socket):
                handler.socket.shutdown(SHUT_RDWR)
