"""HTTP server that limits the resources a client can hold.

It limits the number of connections and the size of headers and bodies, and sets
deadlines for sending them, so that slow clients cannot block the process.  A request
that it refuses has not run.
"""

import contextlib
from socket import IPPROTO_TCP, SHUT_RDWR, SHUT_WR, TCP_NODELAY

from eliot import log_message
from gevent import sleep
from gevent.pywsgi import Input, WSGIHandler, WSGIServer
from gevent.ssl import SSLContext, SSLError
from gevent.timeout import Timeout

from turmericreel.entry.application import (
    RAW_PATH,
    SOCKET_KEY,
    STATUS_LINES,
    HttpAnswer,
    failure_answer,
)
from turmericreel.model.failures import NotRun, NotRunReason
from turmericreel.model.settings import LimitsSettings
from turmericreel.protocols.addresses import Address
from turmericreel.protocols.dropped_input import DropReason, Endpoint, count_dropped
from turmericreel.protocols.sockets import is_idle

REFUSAL_TIMEOUT_S = 0.5
RETRY_AFTER_MS = 1_000
MAX_DISCARD_BYTES = 65_536
FINISH_POLL_S = 0.02


class HeaderError(ValueError):
    """A request header is refused; `reason` states why."""

    def __init__(self, *, reason: DropReason):
        super().__init__(reason.value)
        self.reason = reason


class BodyTimeoutError(TimeoutError):
    """A request body did not arrive in time."""


HEADER_STATUS = {
    DropReason.HEADER_TIMEOUT: 408,
    DropReason.HEADER_TOO_LARGE: 431,
    DropReason.HEADER_INVALID: 400,
}


class LimitedLines:
    """Reads the lines of a header up to a number of bytes.

    Parameters
    ----------
    file : file object
    limit : int
        Maximum size of the header in bytes.
    """

    def __init__(self, *, file, limit: int):
        self.file = file
        self.n_bytes_left = limit

    def readline(self, size: int = -1) -> bytes:
        """Return the next line.

        Raises
        ------
        HeaderError
            If the header exceeds the limit.
        """
        line = self.file.readline(size)
        self.n_bytes_left -= len(line)
        if self.n_bytes_left < 0:
            raise HeaderError(reason=DropReason.HEADER_TOO_LARGE)
        return line


class BoundedInput(Input):
    """Request body with a timeout for each read."""

    def __init__(self, *args, timeout_s: float, **options):
        super().__init__(*args, **options)
        self.timeout_s = timeout_s
        self.broken = False

    def read(self, length: int | None = None) -> bytes:
        """Read up to `length` bytes.

        Raises
        ------
        BodyTimeoutError
        """
        try:
            with Timeout(self.timeout_s, BodyTimeoutError):
                return super().read(length)
        except OSError:
            self.broken = True
            raise

    def has_unread_data(self) -> bool:
        """Return whether a part of the body is unread."""
        if self.broken or self.chunked_input:
            return self.broken or bool(super().read(1))
        return self.position < (self.content_length or 0)

    def _discard(self) -> None:
        """Leave the rest of the body unread; the handler closes the connection."""


class BoundedHandler(WSGIHandler):
    """Serves one connection within the server's limits.

    Attributes
    ----------
    n_requests : int
        Requests that began to arrive on the connection.
    """

    ignored_socket_errors = (*WSGIHandler.ignored_socket_errors, "timed out")

    def __init__(self, sock, address, server):
        super().__init__(sock, address, server)
        self.limits: LimitsSettings = server.limits
        self.n_requests = 0

    def read_requestline(self) -> str:
        """Return the request line, or ``""`` if none arrived in time."""
        if not self._wait_for_request():
            return ""
        self.n_requests += 1
        self.limits = self.server.connection_limits()
        with Timeout(self.limits.header_timeout_ms / 1_000, False):
            return super().read_requestline()
        return ""

    def _wait_for_request(self) -> bool:
        """Wait for the first byte of a request; return whether it came in time."""
        self.server.idle_handlers.add(self)
        try:
            with Timeout(self.server.idle_timeout_s(), False):
                return bool(self.rfile.peek(1))
        finally:
            self.server.idle_handlers.discard(self)
        return False

    def read_request(self, raw_requestline: str) -> bool:
        """Read the header.

        Raises
        ------
        HeaderError
        """
        seconds = self.limits.header_timeout_ms / 1_000
        timeout = HeaderError(reason=DropReason.HEADER_TIMEOUT)
        with Timeout(seconds, timeout):
            return super().read_request(raw_requestline)

    def MessageClass(self, file, *args):  # noqa: N802
        """Parse the header, limited to its maximum size."""
        lines = LimitedLines(file=file, limit=self.limits.header_bytes)
        return super().MessageClass(lines, *args)

    def get_environ(self) -> dict:
        """Return the WSGI environment with a bounded body."""
        environ = super().get_environ()
        self.wsgi_input = BoundedInput(
            self.rfile,
            self.content_length,
            socket=self.wsgi_input.socket,
            chunked_input=self.wsgi_input.chunked_input,
            timeout_s=self.limits.body_timeout_ms / 1_000,
        )
        environ["wsgi.input"] = self.wsgi_input
        environ[SOCKET_KEY] = self.socket
        environ[RAW_PATH] = self.path.partition("?")[0]
        return environ

    def handle_one_response(self) -> None:
        """Answer the request; close the connection if its body was not fully read."""
        super().handle_one_response()
        if not self.close_connection and self._has_unread_body():
            self.close_connection = True

    def _has_unread_body(self) -> bool:
        try:
            return self.wsgi_input.has_unread_data()
        except OSError:
            return True

    def _write(self, data) -> None:
        """Send one part of the body in a single write."""
        if not data:
            return
        if self.response_use_chunked:
            data = b"%x\r\n%b\r\n" % (len(data), data)
        self._sendall(data)

    def _sendall(self, data) -> None:
        """Send what the socket accepts without waiting, then wait for the rest.

        The base class creates a timer for each write, which is much of the cost of
        relaying a stream with one write per token.
        """
        try:
            n_sent = self.socket.send(data)
        except OSError as error:
            self.status = f"socket error: {error}"
            raise
        self.response_length += n_sent
        if n_sent < len(data):
            super()._sendall(memoryview(data)[n_sent:])

    def log_error(self, msg, *args) -> None:
        """Log an error that the base class found in a client's input."""
        log_message("http:client_error", detail=msg % args if args else msg)

    def _handle_client_error(self, ex):
        reason = DropReason.HEADER_INVALID
        if isinstance(ex, HeaderError):
            reason = ex.reason
        count_dropped(Endpoint.HTTP, reason)
        self.code = HEADER_STATUS[reason]
        refusal = NotRun(reason=NotRunReason.BAD_REQUEST, detail=reason.value)
        answer = failure_answer(refusal)
        answer.status = self.code
        return STATUS_LINES[answer.status], plain_response(answer)


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

    Attributes
    ----------
    idle_handlers : set of BoundedHandler
        Handlers of the connections that wait for a request.
    """

    handler_class = BoundedHandler

    def __init__(
        self,
        *,
        address: Address,
        application,
        limits: LimitsSettings,
        context: SSLContext | None = None,
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
        self.idle_handlers: set[BoundedHandler] = set()

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
        seconds = self.limits.header_timeout_ms / 1_000
        try:
            with Timeout(seconds, OSError):
                wrapped = self.wrap_socket(client_socket, **self.ssl_args)
        except (OSError, SSLError):
            count_dropped(Endpoint.HTTP, DropReason.HANDSHAKE_FAILED)
            client_socket.close()
            return
        with contextlib.closing(wrapped):
            self.handle(wrapped, address)

    def handle(self, sock, address) -> None:
        """Serve a connection, or refuse it if there are too many."""
        if self.n_connections >= self.limits.connections:
            self._refuse(sock)
            return
        self.n_connections += 1
        try:
            # Small events must not wait for the acknowledgement of earlier ones.
            sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
            sock.settimeout(self.limits.stall_timeout_ms / 1_000)
            super().handle(sock, address)
        finally:
            self.n_connections -= 1

    def _refuse(self, sock) -> None:
        count_dropped(Endpoint.HTTP, DropReason.CONNECTION_LIMIT)
        refusal = NotRun(reason=NotRunReason.OVERLOADED, retry_after_ms=RETRY_AFTER_MS)
        sock.settimeout(REFUSAL_TIMEOUT_S)
        with contextlib.suppress(OSError):
            sock.sendall(plain_response(failure_answer(refusal)))
            sock.shutdown(SHUT_WR)
            # Closing a connection with unread input would discard the response.
            sock.recv(MAX_DISCARD_BYTES)


def plain_response(answer: HttpAnswer) -> bytes:
    """Return a complete HTTP response that closes its connection."""
    body = b"".join(answer.body)
    header = {
        "Content-Type": answer.content_type,
        "Content-Length": str(len(body)),
        "Connection": "close",
        **answer.header,
    }
    lines = [f"HTTP/1.1 {STATUS_LINES[answer.status]}"]
    lines += [f"{name}: {value}" for name, value in header.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + body
