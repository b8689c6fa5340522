"""Connections to servers through other gateways.

The other gateway only passes bytes on: which server runs a request, how often it is
tried, and what is counted is still decided by the gateway that the client reached.
"""

import socket
from collections.abc import Callable, Iterable
from errno import ECONNRESET

from gevent.socket import create_connection

from turmericreel.decisions.relay_choice import RelayChoice
from turmericreel.entry.server_connections import ServerConnection, ServerConnections
from turmericreel.membership.instance_registry import GatewayInstance
from turmericreel.model.failures import FailureError
from turmericreel.model.ids import InstanceId
from turmericreel.protocols.addresses import Address, parse_address
from turmericreel.protocols.frames import FrameStream
from turmericreel.protocols.relay_messages import (
    BLOCK_LENGTH,
    CLOSED,
    RESET,
    OpenRelay,
    RelayAnswer,
    RelayFailed,
    RelayObstacle,
    RelayOpened,
)
from turmericreel.protocols.sockets import set_unacknowledged_timeout
from turmericreel.util.clock import Clock

# Some round trips, and the time that the other gateway takes to reach the server.
GATEWAY_TIMEOUT_S = 0.3


class RelayError(OSError):
    """No connection was opened through a gateway.

    Parameters
    ----------
    gateway : InstanceId
    detail : str
    obstacle : RelayObstacle
    """

    def __init__(self, *, gateway: InstanceId, detail: str, obstacle: RelayObstacle):
        super().__init__(f"through {gateway}: {detail}")
        self.gateway = gateway
        self.obstacle = obstacle


class RelayedConnection(ServerConnection):
    """A connection to a server through another gateway.

    Parameters
    ----------
    gateway : InstanceId

    Attributes
    ----------
    was_broken_off : bool
        Whether the other gateway was lost, which tells nothing of the server.
    """

    def __init__(self, *, gateway: InstanceId, **options):
        super().__init__(**options)
        self.gateway = gateway
        self.was_broken_off = False
        self.buffer = bytearray()

    def receive(self, n_bytes: int) -> bytes:
        """Return the next bytes of the server; see `ServerConnection.receive`."""
        while True:
            if len(self.buffer) >= BLOCK_LENGTH.size:
                (length,) = BLOCK_LENGTH.unpack_from(self.buffer)
                if length == CLOSED:
                    return b""
                if length == RESET:
                    raise ConnectionResetError(ECONNRESET, "reset by the server")
                end = BLOCK_LENGTH.size + length
                if len(self.buffer) >= end:
                    block = bytes(self.buffer[BLOCK_LENGTH.size : end])
                    del self.buffer[:end]
                    return block
            self.buffer += self._receive_from_gateway(n_bytes)

    def _receive_from_gateway(self, n_bytes: int) -> bytes:
        self.was_broken_off = True
        data = super().receive(n_bytes)
        if not data:
            raise ConnectionResetError(ECONNRESET, f"{self.gateway} was lost")
        self.was_broken_off = False
        return data

    def has_no_input(self) -> bool:
        """Return whether nothing was received; see `ServerConnection.has_no_input`."""
        return not self.buffer and super().has_no_input()


class RelayConnections(ServerConnections):
    """Pool of connections through other gateways.

    Parameters
    ----------
    gateways : callable
        Returns the gateways that are listed for clients.
    choice : RelayChoice
    source_host : str
        Address to connect from, by which the other gateway knows this one.
    address_of : callable
        Returns the address at which a gateway accepts relays.
    clock : Clock
    """

    def __init__(
        self,
        *,
        gateways: Callable[[], Iterable[GatewayInstance]],
        choice: RelayChoice,
        source_host: str,
        address_of: Callable[[GatewayInstance], str],
        clock: Clock,
    ):
        super().__init__(clock=clock)
        self.gateways = gateways
        self.choice = choice
        self.source_host = source_host
        self.address_of = address_of
        self.n_opened = 0

    def connect(self, address: Address, *, timeout: float) -> ServerConnection:
        """Open a connection through one of the other gateways.

        Raises
        ------
        OSError
            When none of the gateways that were tried reached the server.
        """
        deadline = self.clock.monotonic() + timeout
        last_error = OSError("no other gateway is known to reach servers")
        for gateway in self.choice.candidates(
            self.gateways(), now=self.clock.monotonic()
        ):
            left_s = deadline - self.clock.monotonic()
            if left_s <= 0:
                break
            try:
                return self.connect_through(
                    gateway, address, timeout=min(left_s, GATEWAY_TIMEOUT_S)
                )
            except RelayError as error:
                last_error = error
        raise last_error

    def connect_through(
        self, gateway: GatewayInstance, address: Address, *, timeout: float
    ) -> ServerConnection:
        """Open a connection through one gateway, and record whether it succeeded.

        Raises
        ------
        RelayError
        """
        try:
            sock = self._open(gateway, address, timeout)
        except RelayError as error:
            now = self.clock.monotonic()
            if error.obstacle is RelayObstacle.GATEWAY:
                self.choice.record_failure(gateway.instance, now=now)
            else:
                self.choice.record_unreached(gateway.instance, now=now)
            raise
        now = self.clock.monotonic()
        self.choice.record_success(gateway.instance, now=now)
        self.n_opened += 1
        return RelayedConnection(
            gateway=gateway.instance, address=address, sock=sock, opened_at=now
        )

    def drop_unlisted(self) -> None:
        """Close idle connections through gateways that have left the list."""
        gateways = tuple(self.gateways())
        self.choice.drop_unlisted(gateways)
        listed = {gateway.instance for gateway in gateways}
        for connections in self.idle.values():
            for connection in list(connections):
                if connection.gateway not in listed:
                    connections.remove(connection)
                    connection.close()

    def close_expired(self) -> None:
        """Close idle connections that would not be used again.

        The other gateway would hold them open.
        """
        now = self.clock.monotonic()
        for connections in self.idle.values():
            while connections and now >= connections[0].idle_deadline:
                connections.popleft().close()

    def _open(
        self, gateway: GatewayInstance, address: Address, timeout: float
    ) -> socket.socket:
        relay_address = parse_address(self.address_of(gateway))
        try:
            sock = create_connection(
                (relay_address.host, relay_address.port),
                timeout=timeout,
                source_address=(self.source_host, 0),
            )
        except OSError as error:
            raise self._error(gateway, str(error)) from error
        set_unacknowledged_timeout(sock)
        stream = FrameStream(
            sock=sock, message_type=RelayAnswer, idle_timeout_s=timeout
        )
        try:
            request = OpenRelay(
                server_address=str(address), timeout_ms=int(timeout * 1_000)
            )
            stream.send(request)
            answer = stream.receive()
        except FailureError as error:
            stream.close()
            raise self._error(gateway, error.failure.describe()) from error
        if isinstance(answer, RelayOpened) and not stream.buffer:
            return socket.socket(fileno=sock.detach())
        stream.close()
        if isinstance(answer, RelayFailed):
            raise RelayError(
                gateway=gateway.instance,
                detail=answer.detail,
                obstacle=answer.obstacle,
            )
        raise self._error(gateway, "closed before the connection was open")

    def _error(self, gateway: GatewayInstance, detail: str) -> RelayError:
        return RelayError(
            gateway=gateway.instance, detail=detail, obstacle=RelayObstacle.GATEWAY
        )
