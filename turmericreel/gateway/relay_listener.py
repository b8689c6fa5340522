"""Opens connections to servers for gateways that do not reach them.

Only listed gateways may use it, and only for registered servers.  A connection is
opened directly or not at all, so it never passes through more than two gateways.
"""

import contextlib
from collections.abc import Callable, Iterable
from socket import SHUT_RDWR

from eliot import log_message
from gevent import spawn
from gevent.pool import Pool
from gevent.server import StreamServer
from gevent.socket import create_connection, socket

from turmericreel.decisions.server_paths import PathState, ServerPaths
from turmericreel.membership.instance_registry import GatewayInstance
from turmericreel.model.failures import FailureError
from turmericreel.protocols.addresses import Address, parse_address
from turmericreel.protocols.frames import FrameStream
from turmericreel.protocols.relay_messages import (
    BLOCK_LENGTH,
    CLOSED,
    RESET,
    OpenRelay,
    RelayFailed,
    RelayObstacle,
    RelayOpened,
)
from turmericreel.protocols.sockets import set_unacknowledged_timeout
from turmericreel.util.clock import Clock

# Bounds what other gateways may use of the descriptors and memory of this one.  It may
# be the only one that reaches servers.
MAX_RELAYS = 640
HANDSHAKE_TIMEOUT_S = 1.0
MAX_TIMEOUT_S = 0.4
# Of the time for which the other gateway waits, what is left for its answer.
ANSWER_MARGIN_S = 0.03
BLOCK_BYTES = 65_536


class RelayListener:
    """Task that accepts other gateways and passes their bytes on to servers.

    Parameters
    ----------
    address : Address
    gateways : callable
        Returns the listed gateways.
    is_registered : callable
        Returns whether a server is registered at an address ``ip:port``.
    is_evacuated : callable
        Returns whether the server at an address is in an evacuated data centre.
    paths : ServerPaths
        Paths of this gateway.
    clock : Clock

    Attributes
    ----------
    n_relays : int
        Connections that are open for other gateways.
    """

    def __init__(
        self,
        *,
        address: Address,
        gateways: Callable[[], Iterable[GatewayInstance]],
        is_registered: Callable[[str], bool],
        is_evacuated: Callable[[str], bool],
        paths: ServerPaths,
        clock: Clock,
    ):
        self.gateways = gateways
        self.is_registered = is_registered
        self.is_evacuated = is_evacuated
        self.paths = paths
        self.clock = clock
        self.n_relays = 0
        self.listener = StreamServer(
            (address.host, address.port), self._serve, spawn=Pool()
        )

    def start(self) -> None:
        """Start listening."""
        self.listener.start()

    def stop_accepting(self) -> None:
        """Stop listening; open connections go on."""
        self.listener.close()

    def stop(self) -> None:
        """Stop listening, and cut off all connections."""
        self.listener.stop(timeout=0)

    def connect(self, address: Address, *, timeout: float) -> socket:
        """Open a connection to a server.

        Raises
        ------
        OSError
        """
        return create_connection((address.host, address.port), timeout=timeout)

    def _serve(self, caller: socket, peer: tuple) -> None:
        stream = FrameStream(
            sock=caller, message_type=OpenRelay, idle_timeout_s=HANDSHAKE_TIMEOUT_S
        )
        self.n_relays += 1
        server = None
        try:
            request = stream.receive()
            if request is None:
                return
            refused = self._refusal(request, peer[0])
            if refused is None:
                server, refused = self._open(request)
            if refused is not None:
                self._log_refused(request, peer[0], refused)
                stream.send(refused)
                return
            stream.send(RelayOpened())
            self._relay(caller, server)
        except FailureError as error:
            log_message(
                "gateway:relay_broken", gateway=peer[0], reason=error.failure.describe()
            )
        finally:
            self.n_relays -= 1
            stream.close()
            if server is not None:
                server.close()

    def _refusal(self, request: OpenRelay, host: str) -> RelayFailed | None:
        """Return why a connection is not opened, before any attempt."""
        listed = {parse_address(g.client_address).host for g in self.gateways()}
        if host not in listed:
            return _failed(RelayObstacle.GATEWAY, "not a listed gateway")
        if not self.is_registered(request.server_address):
            return _failed(RelayObstacle.PATH, "not a registered server")
        if self.is_evacuated(request.server_address):
            # The other gateway may not have heard of the order.
            return _failed(RelayObstacle.PATH, "in an evacuated data centre")
        if self.n_relays > MAX_RELAYS:
            return _failed(RelayObstacle.GATEWAY, "too many connections")
        state = self.paths.state_of(request.server_address, now=self.clock.monotonic())
        if state is not PathState.DIRECT:
            return _failed(self._obstacle(), "no direct path")
        return None

    def _obstacle(self) -> RelayObstacle:
        """Return what a direct path that fails shows."""
        if self.paths.is_cut_off(now=self.clock.monotonic()):
            return RelayObstacle.GATEWAY
        return RelayObstacle.PATH

    def _open(self, request: OpenRelay) -> tuple[socket | None, RelayFailed | None]:
        address = request.server_address
        timeout_s = min(request.timeout_ms / 1_000 - ANSWER_MARGIN_S, MAX_TIMEOUT_S)
        try:
            server = self.connect(parse_address(address), timeout=max(timeout_s, 0.01))
        except OSError as error:
            self.paths.record_failed(address, now=self.clock.monotonic())
            return None, _failed(self._obstacle(), str(error))
        self.paths.record_reached(address, now=self.clock.monotonic())
        set_unacknowledged_timeout(server)
        server.settimeout(None)
        return server, None

    def _relay(self, caller: socket, server: socket) -> None:
        """Pass bytes on in both directions until either end closes."""
        caller.settimeout(None)
        direction = _ServerBytes(server=server, caller=caller)
        backward = spawn(direction.pass_back)
        with contextlib.suppress(OSError):
            while block := caller.recv(BLOCK_BYTES):
                direction.send(block)
        # Also wakes the other direction.
        _shut_down(server)
        backward.join()

    def _log_refused(self, request: OpenRelay, host: str, failed: RelayFailed) -> None:
        log_message(
            "gateway:relay_refused",
            gateway=host,
            address=request.server_address,
            obstacle=failed.obstacle.value,
            reason=failed.detail,
        )


def _failed(obstacle: RelayObstacle, detail: str) -> RelayFailed:
    return RelayFailed(obstacle=obstacle, detail=detail)


class _ServerBytes:
    """Passes the bytes of a server back to the gateway that asked for the connection.

    Attributes
    ----------
    is_broken : bool
        Whether sending to the server failed.  The operating system reports a reset
        once only, so that reading then ends as if the server had closed the connection.
    """

    def __init__(self, *, server: socket, caller: socket):
        self.server = server
        self.caller = caller
        self.is_broken = False

    def send(self, block: bytes) -> None:
        """Send bytes to the server.

        Raises
        ------
        OSError
        """
        try:
            self.server.sendall(block)
        except OSError:
            self.is_broken = True
            raise

    def pass_back(self) -> None:
        """Pass the server's bytes on in blocks, and then how its connection ended."""
        try:
            while block := self.server.recv(BLOCK_BYTES):
                self.caller.sendall(BLOCK_LENGTH.pack(len(block)) + block)
            end = RESET if self.is_broken else CLOSED
        except OSError:
            end = RESET
        with contextlib.suppress(OSError):
            self.caller.sendall(BLOCK_LENGTH.pack(end))
        # Also wakes the other direction.
        _shut_down(self.caller)


def _shut_down(sock: socket) -> None:
    with contextlib.suppress(OSError):
        sock.shutdown(SHUT_RDWR)
