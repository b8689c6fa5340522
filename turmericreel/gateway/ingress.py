"""The HTTP listener for clients, with the limits of the configuration."""

from collections.abc import Callable

from gevent.timeout import Timeout

from turmericreel.entry.http_server import BoundedHandler, BoundedServer
from turmericreel.model.routing import ClientLimits
from turmericreel.model.settings import LimitsSettings
from turmericreel.protocols.addresses import Address
from turmericreel.protocols.sockets import is_idle

HEADERS_KEY = "turmericreel.headers"
TARGET_KEY = "turmericreel.target"
SHUT_RDWR = 2


class IngressHandler(BoundedHandler):
    """Serves one client connection, with a separate idle timeout."""

    def read_requestline(self) -> str:
        """Return the request line, or ``""`` after the idle timeout."""
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
        Maximum number of concurrent client connections.
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
        """Return the client limits in force as settings of the listener."""
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
        """Close the connections without a request in progress.

        A connection with a received but unread request stays open, so that the request
        is answered.
        """
        for handler in list(self.idle_handlers):
            if is_idle(handler.socket):
                handler.socket.shutdown(SHUT_RDWR)
