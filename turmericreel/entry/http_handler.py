"""Serves one HTTP connection within the limits of its listener."""

import contextlib
from functools import partial
from socket import (
    SHUT_RD,
    SHUT_RDWR,
    SHUT_WR,
    SO_LINGER,
    SO_RCVBUF,
    SOL_SOCKET,
)
from struct import pack

from eliot import log_message
from gevent.pywsgi import WSGIHandler
from gevent.timeout import Timeout

from turmericreel.entry.application import (
    RAW_PATH,
    SOCKET_KEY,
    STATUS_LINES,
    HttpAnswer,
    failure_answer,
)
from turmericreel.entry.request_body import BoundedInput
from turmericreel.model.failures import NotRun, NotRunReason
from turmericreel.model.settings import LimitsSettings
from turmericreel.protocols.dropped_input import DropReason, Endpoint, count_dropped

# Time for which the rest of a refused body is read and dropped, as closing a connection
# with unread input would discard the refusal.
DISCARD_S = 1.0


class HeaderError(ValueError):
    """A request header is refused; `reason` states why."""

    def __init__(self, *, reason: DropReason):
        super().__init__(reason.value)
        self.reason = reason


HEADER_STATUS = {
    DropReason.HEADER_TIMEOUT: 408,
    DropReason.HEADER_TOO_LARGE: 431,
    DropReason.HEADER_INVALID: 400,
}
# Takes what is read and dropped, of all connections.
DISCARDED = bytearray(65_536)


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


class BoundedHandler(WSGIHandler):
    """Serves one connection within the server's limits.

    Attributes
    ----------
    n_requests : int
        Requests that began to arrive on the connection.
    waiting_since : float or None
        Since when the client has to send a request, or its head, in seconds on the
        monotonic clock; None while a request is served.
    """

    ignored_socket_errors = (*WSGIHandler.ignored_socket_errors, "timed out")

    def __init__(self, sock, address, server):
        super().__init__(sock, address, server)
        self.limits: LimitsSettings = server.limits
        self.n_requests = 0
        self.waiting_since: float | None = None

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
        # Those that wait longest come first.
        self.server.waiting_handlers.pop(self, None)
        self.server.waiting_handlers[self] = None
        self.waiting_since = self.server.clock.monotonic()
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
            memory=self.server.memory,
            on_yield=self._end_reading,
            on_no_room=partial(self.server.record_drop, DropReason.NO_ROOM),
            clock=self.server.clock,
        )
        self.server.waiting_handlers.pop(self, None)
        environ["wsgi.input"] = self.wsgi_input
        environ[SOCKET_KEY] = self.socket
        environ[RAW_PATH] = self.path.partition("?")[0]
        return environ

    def handle(self) -> None:
        """Serve the requests of the connection, one after another."""
        try:
            super().handle()
        finally:
            self.server.waiting_handlers.pop(self, None)

    def handle_one_response(self) -> None:
        """Answer the request; close the connection if its body was not fully read."""
        try:
            super().handle_one_response()
        finally:
            self.wsgi_input.release()
        if self.wsgi_input.has_unread_data():
            self.close_connection = True
            self._discard_input()

    def finalize_headers(self) -> None:
        """Complete the header, and announce a close for input that is left unread."""
        super().finalize_headers()
        if self.wsgi_input.has_unread_data():
            names = {name.lower() for name, _ in self.response_headers}
            if b"connection" not in names:
                self.response_headers.append((b"Connection", b"close"))

    def _discard_input(self) -> None:
        """Read and drop what the client still sends, for a short time."""
        with contextlib.suppress(OSError), Timeout(DISCARD_S, False):
            self.socket.shutdown(SHUT_WR)
            # The kernel need not hold more than is dropped at once.
            self.socket.setsockopt(SOL_SOCKET, SO_RCVBUF, len(DISCARDED))
            while self.socket.recv_into(DISCARDED):
                pass

    def _end_reading(self) -> None:
        """End the reading of a body that yields to others, so that it is refused."""
        self.server.record_drop(DropReason.YIELDED)
        with contextlib.suppress(OSError):
            self.socket.shutdown(SHUT_RD)

    def _end_writing(self) -> None:
        """Break a connection whose answer yields, with what the kernel holds of it."""
        self.server.record_drop(DropReason.YIELDED)
        with contextlib.suppress(OSError):
            self.socket.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
            self.socket.shutdown(SHUT_RDWR)

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
            self._send_rest(memoryview(data)[n_sent:], n_held=len(data))

    def _send_rest(self, data: memoryview, *, n_held: int) -> None:
        """Send as the client reads; count what is held for it meanwhile."""
        clock = self.server.clock
        share = self.server.memory.open(
            on_yield=self._end_writing, now=clock.monotonic(), is_answer=True
        )
        deadline = clock.monotonic() + self.limits.stall_timeout_ms / 1_000
        share.hold(n_held, now=clock.monotonic())
        try:
            while data:
                if share.has_yielded or clock.monotonic() >= deadline:
                    raise TimeoutError("timed out")
                n_sent = self.socket.send(data)
                self.response_length += n_sent
                data = data[n_sent:]
                share.record_progress(n_sent, now=clock.monotonic())
        except OSError as error:
            self.status = f"socket error: {error}"
            raise
        finally:
            share.close()

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
