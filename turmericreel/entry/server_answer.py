"""Reads one HTTP answer of a backend server from an exclusive connection."""

from collections.abc import Iterator

from gevent import get_hub
from geventhttpclient.response import (
    HTTPParseError,
    HTTPProtocolViolationError,
    HTTPResponse,
)

from turmericreel.entry.answer_buffer import AnswerBuffer
from turmericreel.entry.server_connections import ServerConnection
from turmericreel.model.failures import FailureError, PeerUnreachable
from turmericreel.util.clock import Clock

READ_BYTES = 65_536
MAX_HEADER_BYTES = 65_536
MIN_STATUS = 100
# Lower ones are those of interim answers.
MIN_FINAL_STATUS = 200
MAX_STATUS = 599
VERSIONS = ("HTTP/1.1", "HTTP/1.0")


class _ResponseParser(HTTPResponse):
    """Parses one answer; extra bytes after its end are discarded and flagged.

    Attributes
    ----------
    status : int
        Status of the latest head that was read completely; 0 before.  The parser's own
        code changes with bytes that follow the answer.
    """

    def __init__(self, *, method: str):
        super().__init__(method=method)
        self.status = 0
        self.body = bytearray()
        self.n_body_bytes = 0
        self.has_extra_bytes = False

    def _on_message_begin(self) -> None:
        if self.is_final:
            self.has_extra_bytes = True
            return
        super()._on_message_begin()

    def _on_status(self, msg: str) -> None:
        if not self.has_extra_bytes:
            super()._on_status(msg)

    def _on_headers_complete(self) -> int | bool | None:
        if not self.has_extra_bytes:
            self._check_status_line()
            self.status = self.get_code()
        skips_body = super()._on_headers_complete()
        if self.status < MIN_FINAL_STATUS:
            # Only bytes after a final head may be dropped as its body.
            self._message_ended_in_skip_body = False
        return skips_body

    def _check_status_line(self) -> None:
        """Raise `HTTPProtocolViolationError` if no answer has this status line."""
        status, version = self.get_code(), self.get_http_version()
        if not MIN_STATUS <= status <= MAX_STATUS:
            raise HTTPProtocolViolationError(f"status {status:03}")
        if version not in VERSIONS:
            raise HTTPProtocolViolationError(f"version {version}")

    def _on_body(self, buf: bytes) -> None:
        if not self.has_extra_bytes:
            self.body += buf
            self.n_body_bytes += len(buf)

    def _flush_header(self) -> None:
        if not self.has_extra_bytes:
            super()._flush_header()

    @property
    def is_final(self) -> bool:
        """Whether an answer other than an interim one is complete."""
        return self.message_complete and self.status >= MIN_FINAL_STATUS


class ServerAnswer:
    """An HTTP answer, read block by block.

    Parameters
    ----------
    connection : ServerConnection
    method : str
        Method of the request.
    clock : Clock
    deadline : float
        Seconds on the monotonic clock.

    Attributes
    ----------
    timed_out : bool
        Whether reading was given up, at a deadline or for want of room.
    requires_stated_end : bool
        Whether a body may not end with its connection, as a lost connection looks the
        same.
    """

    requires_stated_end = True

    def __init__(
        self,
        *,
        connection: ServerConnection,
        method: str,
        clock: Clock,
        deadline: float,
    ):
        self.connection = connection
        self.clock = clock
        self.deadline = deadline
        self.parser = _ResponseParser(method=method)
        self.idle_timeout_s: float | None = None
        self.last_read = clock.monotonic()
        self.timed_out = False
        self.was_reset = False
        self.was_closed = False
        self.n_bytes_without_body = 0
        self.timer = get_hub().loop.timer(max(deadline - self.last_read, 0.0))
        self.timer.start(self._on_timer)

    def close(self) -> None:
        """Stop the timer; the caller keeps the connection and has to close it."""
        self.timer.stop()
        self.timer.close()

    def give_up(self) -> None:
        """Let reading fail, as if the time was over."""
        self.timed_out = True
        self.connection.shut_down()

    @property
    def status(self) -> int:
        """HTTP status code."""
        return self.parser.status

    @property
    def has_begun(self) -> bool:
        """Whether bytes of an answer arrived."""
        return self.parser.message_begun

    @property
    def connection_lost(self) -> bool:
        """Whether the server closed or reset the connection within the answer."""
        return (self.was_reset or self.was_closed) and not self.timed_out

    @property
    def reusable(self) -> bool:
        """Whether the connection may be reused for another request."""
        return not (self.parser.has_extra_bytes or self.parser.should_close())

    def header(self, name: str, default: str = "") -> str:
        """Return a header's value; the default if it is missing or was sent twice."""
        value = self.parser.get(name)
        return value if isinstance(value, str) else default

    def header_values(self, name: str) -> list[str]:
        """Return the values of a header in the order in which they were sent."""
        value = self.parser.get(name, [])
        return [value] if isinstance(value, str) else list(value)

    @property
    def states_its_end(self) -> bool:
        """Whether the header states a length or chunks, however often."""
        codings = ",".join(self.header_values("Transfer-Encoding")).lower()
        return "chunked" in codings or bool(self.header_values("Content-Length"))

    def read_header(self) -> None:
        """Read the whole header.

        Raises
        ------
        FailureError
            With `PeerUnreachable` when it is malformed, too long or incomplete.
        """
        while not self.parser.headers_complete or self.status < MIN_FINAL_STATUS:
            self._read_block()

    def blocks(self, *, idle_timeout_s: float) -> Iterator[bytes]:
        """Yield the blocks of the body as they arrive.

        Parameters
        ----------
        idle_timeout_s : float
            Seconds without a byte, after the first block, before the answer fails.

        Raises
        ------
        FailureError
            With `PeerUnreachable` when the answer broke off before its end.
        """
        parser = self.parser
        while True:
            if parser.body:
                block = bytes(parser.body)
                parser.body.clear()
                if self.idle_timeout_s is None:
                    self._start_idle_timeout(idle_timeout_s)
                yield block
            elif parser.message_complete:
                return
            else:
                self._read_block()

    def read_body(self, *, limit_bytes: int, buffer: AnswerBuffer) -> bytes:
        """Return the rest of the body, which is complete then.

        Raises
        ------
        FailureError
            With `PeerUnreachable` when the body broke off, is longer than
            `limit_bytes`, or too long while the buffer is full; also when it has
            neither a length nor chunks, if `requires_stated_end`.
        """
        bodyless = self.status in (204, 304)
        if self.requires_stated_end and not (bodyless or self.states_its_end):
            raise self._unreachable("the answer has neither a length nor chunks")
        share = buffer.open(on_evicted=self.give_up)
        try:
            while not self.parser.message_complete:
                self._read_block()
                size = len(self.parser.body)
                has_room = share.resize(size)
                if size > limit_bytes:
                    raise self._unreachable(f"body over {limit_bytes} bytes")
                if not has_room:
                    raise self._unreachable(f"buffer full at {size} bytes")
            return bytes(self.parser.body)
        finally:
            share.release()
            # Whatever still refers to the answer must not keep its body.
            self.parser.body.clear()

    def _read_block(self) -> int:
        n_body_bytes = self.parser.n_body_bytes
        try:
            data = self.connection.receive(READ_BYTES)
            if data:
                self._parse(data)
        except OSError as error:
            self.was_reset = True
            raise self._unreachable(str(error)) from error
        except Exception as error:
            # The parser's own errors have no narrower common base class.
            raise self._unreachable(f"malformed HTTP: {error}") from error
        if not data and not self.parser.is_final:
            self.was_closed = True
            detail = "given up without data" if self.timed_out else "connection closed"
            raise self._unreachable(detail)
        self.last_read = self.clock.monotonic()
        if self.parser.n_body_bytes == n_body_bytes:
            self.n_bytes_without_body += len(data)
        else:
            self.n_bytes_without_body = 0
        # Limits headers, interim answers, chunk extensions and trailers, none of which
        # end by themselves.
        is_complete = self.parser.is_final
        if self.n_bytes_without_body > MAX_HEADER_BYTES and not is_complete:
            raise self._unreachable(f"over {MAX_HEADER_BYTES} bytes without a body")
        return len(data)

    def _parse(self, data: bytes) -> None:
        try:
            self.parser.feed(data)
        except HTTPParseError:
            if not self.parser.is_final:
                raise
            # Bytes after the end of an answer do not belong to it.
            self.parser.has_extra_bytes = True

    def _start_idle_timeout(self, idle_timeout_s: float) -> None:
        self.idle_timeout_s = idle_timeout_s
        self._restart_timer()

    def _on_timer(self) -> None:
        # One timer serves many reads.  If data arrived since it was started, it is
        # restarted for the remaining time.
        if self._remaining_s() > 0:
            self._restart_timer()
            return
        self.give_up()

    def _remaining_s(self) -> float:
        now = self.clock.monotonic()
        left = self.deadline - now
        if self.idle_timeout_s is not None:
            left = min(left, self.last_read + self.idle_timeout_s - now)
        return left

    def _restart_timer(self) -> None:
        self.timer.stop()
        self.timer.close()
        self.timer = get_hub().loop.timer(max(self._remaining_s(), 0.0))
        self.timer.start(self._on_timer)

    def _unreachable(self, detail: str) -> FailureError:
        address = str(self.connection.address)
        return FailureError(PeerUnreachable(address=address, detail=detail))
