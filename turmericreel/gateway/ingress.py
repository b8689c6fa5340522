"""The HTTP listener for clients, with the limits of the configuration."""

from collections.abc import Callable

from turmericreel.decisions.door_memory import DoorMemory
from turmericreel.entry.http_handler import BoundedHandler
from turmericreel.entry.http_server import BoundedServer
from turmericreel.model.routing import ClientLimits
from turmericreel.model.settings import LimitsSettings
from turmericreel.protocols.addresses import Address
from turmericreel.util.clock import Clock

HEADERS_KEY = "turmericreel.headers"
TARGET_KEY = "turmericreel.target"


class IngressHandler(BoundedHandler):
    """Serves one client connection."""

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
    memory : DoorMemory
    clock : Clock
    """

    handler_class = IngressHandler

    def __init__(
        self,
        *,
        address: Address,
        application,
        client_limits: Callable[[], ClientLimits],
        connections: int,
        memory: DoorMemory,
        clock: Clock,
    ):
        self.client_limits = client_limits
        self.n_connections_allowed = connections
        super().__init__(
            address=address,
            application=application,
            limits=self.connection_limits(),
            memory=memory,
            clock=clock,
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

    def idle_timeout_s(self) -> float:
        """Return the idle timeout in force, in seconds."""
        return self.client_limits().idle_timeout_ms / 1_000
