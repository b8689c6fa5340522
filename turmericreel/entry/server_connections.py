"""Connections to backend servers, kept open between attempts.

Connecting is apart from sending, because only a failure to connect proves that the
server got nothing.
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

MAX_IDLE_FOR_SERVER = 64
IDLE_LIMIT_S = 5.0
# Servers may forget connections that rested for some tenths of a second.
FRESH_LIMIT_S = 0.2
READ_EVENT = 1
WRITE_EVENT = 2


class ServerConnection:
    """One connection, with a plain socket that never blocks.

    A greenlet waits for the socket by itself here, because gevent's own sockets make a
    timer for each wait, which at a token each is most of the cost of relaying.

    Parameters
    ----------
    address : Address
    sock : socket
        The connection owns it from here on.
    """

    def __init__(self, *, address: Address, sock: socket.socket):
        self.address = address
        self.sock = sock
        self.sock.setblocking(False)
        self.idle_deadline = 0.0
        self.fresh_deadline = 0.0
        self.was_idle = False
        self.hub = get_hub()
        self.readable = self.hub.loop.io(sock.fileno(), READ_EVENT)

    def close(self) -> None:
        """Close the socket."""
        self.readable.close()
        with contextlib.suppress(OSError):
            self.sock.close()

    def shut_down(self) -> None:
        """End the connection for a greenlet that is waiting to receive."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(socket.SHUT_RDWR)

    def receive(self, n_bytes: int) -> bytes:
        """Return what comes in next; empty at the end of the stream.

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
        """Send some of the data and return how much of it.

        Raises
        ------
        OSError
            In which case none of the data was sent.
        """
        with contextlib.suppress(BlockingIOError):
            return self.sock.send(data)
        writable = self.hub.loop.io(self.sock.fileno(), WRITE_EVENT)
        try:
            with Timeout(timeout, TimeoutError("the server does not read")):
                self.hub.wait(writable)
        finally:
            writable.close()
        return self.sock.send(data)

    def quiet(self) -> bool:
        """Tell whether nothing has come in, neither bytes nor an end of stream.

        What comes in between two attempts belongs to neither, so such a connection
        must not be used again.
        """
        return is_idle(self.sock)


class ServerConnections:
    """Connections that are idle, newest first.

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
            In which case the server got no byte of any request.
        """
        connected = create_connection((address.host, address.port), timeout=timeout)
        sock = socket.socket(fileno=connected.detach())
        set_unacknowledged_timeout(sock)
        return ServerConnection(address=address, sock=sock)

    def take(
        self, address: Address, *, timeout: float, is_fresh: bool = False
    ) -> ServerConnection:
        """Return an idle connection that looks sound, or open one.

        Parameters
        ----------
        is_fresh : bool
            Whether it must not have rested for long, for what is lost when the server
            has forgotten the connection.
        """
        connections = self.idle.get(address, ())
        now = self.clock.monotonic()
        while connections:
            if is_fresh and now >= connections[-1].fresh_deadline:
                # Those before it have rested longer.
                break
            connection = connections.pop()
            if now < connection.idle_deadline and connection.quiet():
                return connection
            connection.close()
        return self.connect(address, timeout=timeout)

    def give_back(
        self, connection: ServerConnection, *, keep_s: float = IDLE_LIMIT_S
    ) -> None:
        """Keep a connection whose last answer was read to its end.

        Parameters
        ----------
        keep_s : float
            Seconds for which the server keeps it for certain.
        """
        now = self.clock.monotonic()
        connection.idle_deadline = now + keep_s
        connection.fresh_deadline = now + FRESH_LIMIT_S
        connection.was_idle = True
        connections = self.idle.setdefault(connection.address, deque())
        connections.append(connection)
        if len(connections) > MAX_IDLE_FOR_SERVER:
            connections.popleft().close()

    def forget(self, address: Address) -> None:
        """Close the idle connections to a server that is gone."""
        for connection in self.idle.pop(address, ()):
            connection.close()
