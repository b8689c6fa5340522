"""HTTP server that limits the resources a client can hold.

It limits the number of connections and the size of headers and bodies, and sets
deadlines for sending them, so that slow clients cannot block the process.  A request
that it refuses has not run.
"""

import contextlib
from itertools import islice
from socket import (
    IPPROTO_TCP,
    SHUT_RDWR,
    SHUT_WR,
    SO_SNDBUF,
    SOL_SOCKET,
    TCP_NODELAY,
)

from gevent import sleep
from gevent.pywsgi import WSGIServer
from gevent.ssl import SSLContext, SSLError
from gevent.timeout import Timeout

from turmericreel.decisions.door_memory import (
    DoorMemory,
    WaitingConnection,
    choose_connection_to_close,
)
from turmericreel.entry.application import failure_answer
from turmericreel.entry.door_log import DoorLog
from turmericreel.entry.http_handler import BoundedHandler, plain_response
from turmericreel.model.failures import NotRun, NotRunReason
from turmericreel.model.settings import LimitsSettings
from turmericreel.protocols.addresses import Address
from turmericreel.protocols.dropped_input import DropReason, Endpoint, count_dropped
from turmericreel.protocols.sockets import is_idle
from turmericreel.util.clock import Clock, SystemClock

REFUSAL_TIMEOUT_S = 0.5
RETRY_AFTER_MS = 1_000
MAX_DISCARD_BYTES = 65_536
FINISH_POLL_S = 0.02
# Of what a client does not read, the kernel holds so much beside the process.
SEND_BUFFER_BYTES = 65_536
# Of connections over the limit, those that still get a refusal at the same time.
MAX_REFUSING = 32
# Of the connections that wait longest, those that are examined for a new one.
MAX_EXAMINED = 8


class BoundedServer(WSGIServer):
    """HTTP server with limits.

    Parameters
    ----------
    address : Address
    application : callable
        WSGI application.
    limits : LimitsSettings
    context : SSLContext or None
        None for plain text.
    memory : DoorMemory or None
        Shared with other listeners; None for one of its own, as the limits state.
    clock : Clock or None

    Attributes
    ----------
    waiting_handlers : dict of BoundedHandler to None
        Handlers of the connections whose client has to send a request or its head, in
        the order in which the waits began.
    idle_handlers : set of BoundedHandler
        Handlers of the connections that wait for a request.
    """

    handler_class = BoundedHandler
    # Connections over the limit are closed before many more are accepted.
    max_accept = 25

    def __init__(
        self,
        *,
        address: Address,
        application,
        limits: LimitsSettings,
        context: SSLContext | None = None,
        memory: DoorMemory | None = None,
        clock: Clock | None = None,
    ):
        options = {} if context is None else {"ssl_context": context}
        super().__init__(
            (address.host, address.port),
            application,
            log=None,
            environ={"SERVER_NAME": address.host},
            **options,
        )
        self.limits = limits
        self.n_connections = 0
        self.memory = memory or DoorMemory(limit_bytes=limits.held_bytes)
        self.clock = clock or SystemClock()
        self.idle_handlers: set[BoundedHandler] = set()
        self.waiting_handlers: dict[BoundedHandler, None] = {}
        self.n_handshakes = 0
        self.door_log = DoorLog(clock=self.clock)
        self.n_refusing = 0

    @property
    def n_busy(self) -> int:
        """Connections on which a request is being read, run or answered."""
        return self.n_connections - len(self.idle_handlers)

    def connection_limits(self) -> LimitsSettings:
        """Return the limits of the next request."""
        return self.limits

    def idle_timeout_s(self) -> float:
        """Return how long a connection may wait for a request, in seconds."""
        return self.limits.header_timeout_ms / 1_000

    def close_idle(self) -> None:
        """Close the connections that wait for another request.

        One with a received but unread request stays open, so that the request is
        answered, and so does a new one, whose first request is on its way.
        """
        for handler in list(self.idle_handlers):
            if handler.n_requests and is_idle(handler.socket):
                handler.socket.shutdown(SHUT_RDWR)

    def close_listener(self) -> None:
        """Serve the connections that wait to be accepted, and refuse new ones.

        Connections that are left unaccepted would be reset with their requests unread.
        """
        if self.closed:
            return
        while (accepted := self.do_read()) is not None:
            self.do_handle(*accepted)
        self.close()

    def finish(self, *, timeout_s: float) -> None:
        """Close the listener, and wait until the requests in progress have ended.

        Parameters
        ----------
        timeout_s : float
            Seconds.
        """
        self.close_listener()
        with Timeout(timeout_s, False):
            # Lets the connections begin that were accepted last.
            sleep(0)
            while self.n_busy:
                sleep(FINISH_POLL_S)
                self.close_idle()

    def wrap_socket_and_handle(self, client_socket, address) -> None:
        """Complete the TLS handshake within the header timeout, then serve."""
        if self.n_handshakes >= self.limits.connections:
            self.record_drop(DropReason.CONNECTION_LIMIT)
            client_socket.close()
            return
        seconds = self.limits.header_timeout_ms / 1_000
        self.n_handshakes += 1
        try:
            with Timeout(seconds, OSError):
                wrapped = self.wrap_socket(client_socket, **self.ssl_args)
        except (OSError, SSLError):
            count_dropped(Endpoint.HTTP, DropReason.HANDSHAKE_FAILED)
            client_socket.close()
            return
        finally:
            self.n_handshakes -= 1
        with contextlib.closing(wrapped):
            self.handle(wrapped, address)

    def handle(self, sock, address) -> None:
        """Serve a connection, or refuse it if there are too many."""
        if self.n_connections >= self.limits.connections and not self._close_one():
            self._refuse(sock)
            return
        self.n_connections += 1
        try:
            # Small events must not wait for the acknowledgement of earlier ones.
            sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
            sock.setsockopt(SOL_SOCKET, SO_SNDBUF, SEND_BUFFER_BYTES)
            sock.settimeout(self.limits.stall_timeout_ms / 1_000)
            super().handle(sock, address)
        finally:
            self.n_connections -= 1

    def record_drop(self, reason: DropReason) -> None:
        """Count and log what a client was refused."""
        self.door_log.record(
            reason, n_connections=self.n_connections, n_bytes=self.memory.n_bytes
        )

    def _close_one(self) -> bool:
        """Close the connection that yields to a new one; return whether one does."""
        handler = choose_connection_to_close(
            (
                WaitingConnection(connection=handler, since=handler.waiting_since)
                for handler in islice(self.waiting_handlers, MAX_EXAMINED)
                # A request that has arrived is to be read.
                if is_idle(handler.socket)
            ),
            now=self.clock.monotonic(),
        )
        if handler is None:
            return False
        del self.waiting_handlers[handler]
        self.record_drop(DropReason.CONNECTION_YIELDED)
        with contextlib.suppress(OSError):
            handler.socket.shutdown(SHUT_RDWR)
        # Its descriptor is free before this connection goes on.
        sleep(0)
        return True

    def _refuse(self, sock) -> None:
        self.record_drop(DropReason.CONNECTION_LIMIT)
        if self.n_refusing >= MAX_REFUSING:
            return
        refusal = NotRun(reason=NotRunReason.OVERLOADED, retry_after_ms=RETRY_AFTER_MS)
        self.n_refusing += 1
        sock.settimeout(REFUSAL_TIMEOUT_S)
        try:
            with contextlib.suppress(OSError):
                sock.sendall(plain_response(failure_answer(refusal)))
                sock.shutdown(SHUT_WR)
                # Closing a connection with unread input would discard the response.
                sock.recv(MAX_DISCARD_BYTES)
        finally:
            self.n_refusing -= 1
