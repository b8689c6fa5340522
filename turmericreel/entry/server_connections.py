"""Pool of connections to backend servers, kept open between attempts.

Connecting and sending are separate steps, because only a failure to connect proves that
the server received nothing.
"""

import contextlib
import socket
from collections import deque

from gevent import get_hub
from gevent.socket import create_connection
from gevent.timeout import Timeout

from turmericreel.protocols.addresses import Address
from turmericreel.protocols.sockets import (
    is_idle,
    set_unacknowledged_timeout,
)
from turmericreel.util.clock import Clock

MAX_IDLE_PER_SERVER = 64
MAX_IDLE_S = 5.0
# Servers may drop connections that were idle for some tenths of a second.
MAX_FRESH_IDLE_S = 0.2
READ_EVENT = 1
WRITE_EVENT = 2


class ServerConnection:
    """One connection, over a plain non-blocking socket.

    It waits on the event loop directly, because gevent's own sockets create a timer for
    each wait; with one wait per token that is most of the cost of relaying.

    Parameters
    ----------
    address : Address
    sock : socket
        The connection takes ownership of it.
    opened_at : float
        Seconds on the monotonic clock.
    """

    def __init__(self, *, address: Address, sock: socket.socket, opened_at: float):
        self.address = address
        self.opened_at = opened_at
        self.sock = sock
        self.sock.setblocking(False)
        self.idle_deadline = 0.0
        self.fresh_deadline = 0.0
        self.was_idle = False
        # A refusal that comes again for the same attempt proves nothing.
        self.refused_attempts: set[str] = set()
        self.hub = get_hub()
        self.readable = self.hub.loop.io(sock.fileno(), READ_EVENT)

    def close(self) -> None:
        """Close the socket."""
        self.readable.close()
        with contextlib.suppress(OSError):
            self.sock.close()

    def shut_down(self) -> None:
        """Shut the socket down, which wakes a greenlet that is waiting to receive."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def receive(self, n_bytes: int) -> bytes:
        """Wait for data and return up to `n_bytes`; empty at the end of the stream.

        Raises
        ------
        OSError
        """
        while True:
            self.hub.wait(self.readable)
            try:
                return self.sock.recv(n_bytes)
            except BlockingIOError:
                continue

    def send(self, data: memoryview, *, timeout: float) -> int:
        """Send some of the data and return the number of bytes sent.

        Parameters
        ----------
        data : memoryview
        timeout : float
            Seconds to wait until the socket is writable.

        Raises
        ------
        OSError
            When none of the data was sent.
        """
        with contextlib.suppress(BlockingIOError):
            return self.sock.send(data)
        writable = self.hub.loop.io(self.sock.fileno(), WRITE_EVENT)
        try:
            with Timeout(timeout, TimeoutError("the socket did not become writable")):
                self.hub.wait(writable)
        finally:
            writable.close()
        return self.sock.send(data)

    def has_no_input(self) -> bool:
        """Return whether nothing was received, neither bytes nor an end of stream.

        Bytes that arrive between two attempts belong to neither, so such a connection
        must not be used again.
        """
        return is_idle(self.sock)


class ServerConnections:
    """Pool of idle connections by server; the last used is taken first.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.idle: dict[Address, deque[ServerConnection]] = {}

    def connect(self, address: Address, *, timeout: float) -> ServerConnection:
        """Open a connection.

        Raises
        ------
        OSError
            When connecting failed, so that the server received no byte of a request.
        """
        connected = create_connection((address.host, address.port), timeout=timeout)
        sock = socket.socket(fileno=connected.detach())
        set_unacknowledged_timeout(sock)
        return ServerConnection(
            address=address, sock=sock, opened_at=self.clock.monotonic()
        )

    def acquire(
        self, address: Address, *, timeout: float, must_be_fresh: bool = False
    ) -> ServerConnection:
        """Return an idle connection that seems usable, or open one.

        Parameters
        ----------
        must_be_fresh : bool
            Whether an idle connection may be used only up to `MAX_FRESH_IDLE_S`
            after its last answer, for requests that would be lost if the server had
            dropped the connection.
        """
        connection = self.take_idle(address, must_be_fresh=must_be_fresh)
        if connection is not None:
            return connection
        return self.connect(address, timeout=timeout)

    def take_idle(
        self, address: Address, *, must_be_fresh: bool = False
    ) -> ServerConnection | None:
        """Return an idle connection that seems usable; None without one."""
        connections = self.idle.get(address, ())
        now = self.clock.monotonic()
        while connections:
            if must_be_fresh and now >= connections[-1].fresh_deadline:
                # The earlier ones have been idle for longer.
                break
            connection = connections.pop()
            if now < connection.idle_deadline and connection.has_no_input():
                return connection
            connection.close()
        return None

    def release(
        self, connection: ServerConnection, *, keep_s: float = MAX_IDLE_S
    ) -> None:
        """Return a connection to the pool after its last answer was read to the end.

        Parameters
        ----------
        keep_s : float
            Seconds for which the server certainly keeps the connection open.
        """
        now = self.clock.monotonic()
        connection.idle_deadline = now + keep_s
        connection.fresh_deadline = now + MAX_FRESH_IDLE_S
        connection.was_idle = True
        connections = self.idle.setdefault(connection.address, deque())
        connections.append(connection)
        if len(connections) > MAX_IDLE_PER_SERVER:
            connections.popleft().close()

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to a server after a failed connection or read."""
        for connection in self.idle.pop(address, ()):
            connection.close()
