"""A stand-in for a backend server that gateways route to.

It answers plain calls and event streams with configurable header names. Tests queue the
faults of the next requests in `misbehaviours`.
"""

import contextlib
import errno
from collections import deque
from collections.abc import Callable, Iterator
from dataclasses import dataclass
from enum import Enum
from itertools import cycle
from math import inf
from socket import SHUT_RDWR, SO_LINGER, SOL_SOCKET
from struct import pack
from time import monotonic, time_ns

from gevent import Greenlet, sleep, spawn_later
from gevent.lock import BoundedSemaphore

from turmericreel.entry.application import SOCKET_KEY
from turmericreel.entry.http_server import BoundedServer
from turmericreel.fakes.endless_server import EndlessPart
from turmericreel.gateway.header_names import HeaderNames
from turmericreel.model.settings import LimitsSettings
from turmericreel.protocols.addresses import Address, parse_address
from turmericreel.protocols.headers import environ_key

# Longer than the timeouts of all tests.
SILENCE_S = 30.0
# Time over which a brittle server counts what it refuses.
REFUSALS_WINDOW_S = 1.0
BRITTLE_CAUSE = "refused too many requests"
EVENT_STREAM = "text/event-stream"


class Misbehaviour(Enum):
    """Faults of a request."""

    REFUSE = "refuse"
    FAIL = "fail"
    CUT_BEFORE = "cut_before"
    CUT_WITHIN = "cut_within"
    SILENT = "silent"
    SILENT_WITHIN = "silent_within"
    ENDLESS = "endless"
    UNFRAMED = "unframed"
    UNFRAMED_CUT = "unframed_cut"
    UNFRAMED_RESET = "unframed_reset"
    UNFRAMED_STALLED = "unframed_stalled"
    PAUSE = "pause"
    REFUSE_AFTER_RUN = "refuse_after_run"
    ERROR_AS_ANSWER = "error_as_answer"
    ERROR_AS_EVENTS = "error_as_events"
    PAGE_OF_NOBODY = "page_of_nobody"


STATUS_LINE = b"HTTP/1.1 200 OK\r\n"
PAGE = b"<html><p>It works!</html>\n"
ERROR_TEXT = b"error: the server failed\n\n"
ERROR_HEAD = b"HTTP/1.1 500 Failed\r\nContent-Type: text/plain\r\n\r\n"
# Parts of a plain answer that is never complete.
ENDLESS_PARTS = (
    EndlessPart.HEADER_LINES,
    EndlessPart.INTERIM_ANSWERS,
    EndlessPart.BODY_WITH_LENGTH,
    EndlessPart.BODY_WITHOUT_LENGTH,
    EndlessPart.CHUNKS,
    EndlessPart.TRAILERS,
)


@dataclass(frozen=True, kw_only=True)
class ServerEnd:
    """An end of a server.

    Attributes
    ----------
    cause : str
        Fatal part of the prompt, or path of the request with a fatal body.
    at : float
        Seconds on the monotonic clock.
    refused : tuple of str
        Attempt ids of the requests that a brittle server refused just before.
    """

    cause: str
    at: float
    refused: tuple[str, ...] = ()


UNFRAMED_ANSWERS = {
    Misbehaviour.UNFRAMED,
    Misbehaviour.UNFRAMED_CUT,
    Misbehaviour.UNFRAMED_RESET,
    Misbehaviour.UNFRAMED_STALLED,
}


class RoutedServer:
    """A stand-in server.

    Parameters
    ----------
    server : str
        Id of the server.
    names : HeaderNames
        Names of the headers that it reads and sets.
    n_events : int
        Number of events in each stream.
    event_pause_s : float
        Pause after each event.

    Attributes
    ----------
    runs : list of tuple
        Attempt id, path and last event id of each executed request.
    received : list of dict
        WSGI environment and body of each request, executed or refused.
    misbehaviours : deque of Misbehaviour
        Faults of the next requests, in order.
    unrun_statuses : deque of int
        Statuses with which the next requests are answered without being run, in order.
    idle_timeout_s : float
        Idle time after which the server drops the next request on a connection
        without executing it.
    fatal_bodies : set of bytes
        Bodies of requests that end the server: a plain request as it begins to run, a
        stream before its third event. All connections break, and the server listens
        again after `restart_delay_s`.
    answers_before_end : bool
        Whether a request with a fatal body gets a whole answer, without a length,
        before the server ends.
    end_delay_s : float
        Time for which a request with a fatal body runs before the server ends.
    rate_limit : str
        Requests a second that all answers name as the server's limit; empty for none.
        It ends with the process.
    load_report : str
        Running requests, waiting requests and slots that all answers report.
    cold_ms : str
        For how much longer all answers say that the server is cold; empty if not.
    n_places : int or None
        Requests that run at the same time; None for any number.
    n_queued : int
        Further requests that wait for a place; others are refused.
    work_s : float
        Time for which each request holds its place.
    max_refusals : float or None
        Requests that the server refuses for want of room in a second before it ends;
        all its answers name the number.  None if it bears any number.
    n_present : int
        Requests that run or wait.
    refusals : deque of tuple
        Time, in seconds on the monotonic clock, and attempt id of the latest requests
        that were refused for want of room.
    is_leaving : bool
        Whether all answers say that the server is about to leave.
    pause_s : float
        Pause that an answer with the fault `PAUSE` asks for.
    pause_deadline : float
        Until when the server refuses all requests and asks for a pause, in seconds on
        the monotonic clock.
    received_at : list of float
        Times at which requests arrived, in seconds on the monotonic clock.
    fatal_parts : set of str
        Parts of prompts that end the server when it begins to answer.
    ends : list of ServerEnd
    born_ms : int
        Unix time of the last start in milliseconds.
    is_down : bool
        Whether the server has ended and not yet started again.
    on_restart : callable
        Called when the server has started again, as another process.
    """

    def __init__(
        self,
        *,
        server: str,
        names: HeaderNames,
        n_events: int = 4,
        event_pause_s: float = 0.0,
        host: str = "127.0.0.1",
    ):
        self.server = server
        self.names = names
        self.n_events = n_events
        self.event_pause_s = event_pause_s
        self.runs: list[tuple[str, str, str]] = []
        self.received: list[dict] = []
        self.n_ended_streams = 0
        self.misbehaviours: deque[Misbehaviour] = deque()
        self.confidence = "100"
        self.unrun_statuses: deque[int] = deque()
        self.idle_timeout_s = inf
        self.last_used_by_port: dict[str, float] = {}
        self.fatal_bodies: set[bytes] = set()
        self.answers_before_end = False
        self.end_delay_s = 0.0
        self.rate_limit = ""
        self.cold_ms = ""
        self.load_report = "1,0,4"
        self.n_places: int | None = None
        self.n_queued = 1
        self.work_s = 0.0
        self.max_refusals: float | None = None
        self.n_present = 0
        self.refusals: deque[tuple[float, str]] = deque()
        self.places: BoundedSemaphore | None = None
        self.is_leaving = False
        self.pause_s = 1.0
        self.pause_deadline = 0.0
        self.received_at: list[float] = []
        self.fatal_parts: set[str] = set()
        self.ends: list[ServerEnd] = []
        self.born_ms = time_ns() // 1_000_000
        self.is_down = False
        self.endless_parts = cycle(ENDLESS_PARTS)
        self.restart_delay_s = 0.2
        self.connections: set = set()
        self.restart: Greenlet | None = None
        self.on_restart: Callable[[], None] = lambda: None
        self.http = self._listener(Address(host=host, port=0))

    def start(self) -> None:
        """Start listening."""
        self.http.start()

    def stop(self) -> None:
        """Stop immediately."""
        if self.restart is not None:
            self.restart.kill()
        self.http.stop(timeout=0)

    @property
    def address(self) -> str:
        """Address ``ip:port`` that the server listens on."""
        return f"{self.http.server_host}:{self.http.server_port}"

    def _listener(self, address: Address) -> BoundedServer:
        return BoundedServer(
            address=address, application=self._answer, limits=LimitsSettings()
        )

    def end(self, cause: str, *, refused: tuple[str, ...] = ()) -> None:
        """Break all connections, listen again later, and break this request.

        Raises
        ------
        BrokenPipeError
        """
        if self.is_down:
            raise BrokenPipeError(errno.EPIPE, "server has ended")
        self.ends.append(ServerEnd(cause=cause, at=monotonic(), refused=refused))
        self.is_down = True
        address = parse_address(self.address)
        self.http.stop(timeout=0)
        connections, self.connections = self.connections, set()
        for sock in connections:
            with contextlib.suppress(OSError):
                sock.shutdown(SHUT_RDWR)
        self.restart = spawn_later(self.restart_delay_s, self._restart, address)
        raise BrokenPipeError(errno.EPIPE, "server ended on purpose")

    def _restart(self, address: Address) -> None:
        while True:
            self.http = self._listener(address)
            try:
                self.http.start()
                self.born_ms = time_ns() // 1_000_000
                self.is_down = False
                self.is_leaving = False
                self.rate_limit = ""
                self.on_restart()
                return
            except OSError:
                # An outgoing connection may use the port for a moment.
                sleep(self.restart_delay_s)

    def _answer(self, environ: dict, start_response) -> Iterator[bytes]:
        body = environ["wsgi.input"].read()
        self.connections.add(environ[SOCKET_KEY])
        self._break_if_timed_out(environ["REMOTE_PORT"])
        self.received.append({**environ, "body": body})
        self.received_at.append(monotonic())
        headers = [(self.names.attempt_id, self._header(environ, "attempt_id"))]
        if self.names.signature:
            headers.append((self.names.signature, self.server))
        headers += [(self.names.load, self.load_report), ("X-Served-By", self.server)]
        if self.is_leaving:
            headers.append((self.names.leaving, "1"))
        if self.rate_limit:
            headers.append((self.names.rate_limit, self.rate_limit))
        if self.cold_ms:
            headers.append((self.names.cold_ms, self.cold_ms))
        if self.max_refusals is not None:
            headers.append((self.names.brittle, f"{self.max_refusals:g}"))
        fault = self.misbehaviours.popleft() if self.misbehaviours else None
        pause_s = self.pause_deadline - monotonic()
        if fault is Misbehaviour.PAUSE:
            pause_s = self.pause_s
        if pause_s > 0:
            headers.append((self.names.not_run, "1"))
            headers.append(("Retry-After", f"{pause_s:.3f}"))
            start_response("503 Pause", headers)
            return [b"pause"]
        if fault is Misbehaviour.REFUSE:
            headers.append((self.names.not_run, "1"))
            start_response("503 Full", headers)
            return [b"full"]
        if self.unrun_statuses:
            start_response(f"{self.unrun_statuses.popleft()} Unrun", headers)
            return [b"unrun"]
        if self.n_places is None:
            return self._run(environ, body, fault, headers, start_response)
        if self.n_present >= self.n_places + self.n_queued:
            self._count_refusal(self._header(environ, "attempt_id"))
            headers.append((self.names.not_run, "1"))
            start_response("503 Full", headers)
            return [b"full"]
        return self._run_in_place(environ, body, fault, headers, start_response)

    def _count_refusal(self, attempt_id: str) -> None:
        """Count a refusal for want of room, and end if there were too many.

        Raises
        ------
        BrokenPipeError
        """
        now = monotonic()
        self.refusals.append((now, attempt_id))
        while self.refusals[0][0] < now - REFUSALS_WINDOW_S:
            self.refusals.popleft()
        if self.max_refusals is not None and len(self.refusals) > self.max_refusals:
            refused = tuple(attempt_id for _, attempt_id in self.refusals)
            self.refusals.clear()
            self.end(BRITTLE_CAUSE, refused=refused)

    def _run_in_place(self, environ: dict, *arguments) -> Iterator[bytes]:
        """Run a request when there is a place, which it holds until its answer ends."""
        if self.places is None:
            self.places = BoundedSemaphore(self.n_places)
        self.n_present += 1
        try:
            with self.places:
                sleep(self.work_s)
                yield from self._run(environ, *arguments)
        finally:
            self.n_present -= 1

    def _run(
        self,
        environ: dict,
        body: bytes,
        fault: Misbehaviour | None,
        headers: list,
        start_response,
    ) -> Iterator[bytes]:
        last_event = environ.get(environ_key(self.names.last_event_id), "")
        path = environ["PATH_INFO"]
        self.runs.append((self._header(environ, "attempt_id"), path, last_event))
        is_stream = environ.get("HTTP_ACCEPT") == EVENT_STREAM
        is_fatal = body in self.fatal_bodies
        fatal_part = self._fatal_part(environ)
        if is_fatal:
            sleep(self.end_delay_s)
        if is_fatal and self.answers_before_end:
            with contextlib.suppress(BrokenPipeError):
                self._send_unframed(
                    environ,
                    Misbehaviour.UNFRAMED,
                    headers,
                    is_stream=is_stream,
                    after=int(last_event or 0),
                )
            self.end(path)
        if (is_fatal or fatal_part) and (not is_stream or fault in UNFRAMED_ANSWERS):
            self.end(fatal_part or path)
        if fault is Misbehaviour.ENDLESS:
            self._send_without_end(environ[SOCKET_KEY], headers)
        if fault in UNFRAMED_ANSWERS:
            self._send_unframed(
                environ, fault, headers, is_stream=is_stream, after=int(last_event or 0)
            )
        if fault is Misbehaviour.CUT_BEFORE:
            raise BrokenPipeError(errno.EPIPE, "connection broken on purpose")
        if fault is Misbehaviour.SILENT:
            sleep(SILENCE_S)
        if fault is Misbehaviour.FAIL:
            start_response("500 Failed", headers)
            return [b"failed"]
        if fault is Misbehaviour.REFUSE_AFTER_RUN:
            # An earlier refusal, which does not name this request.
            start_response("503 Full", [(self.names.not_run, "1")])
            return [b"full"]
        if fault is Misbehaviour.PAGE_OF_NOBODY:
            start_response("200 OK", [("Content-Type", "text/html")])
            return [PAGE]
        if fault is Misbehaviour.ERROR_AS_ANSWER:
            start_response("200 OK", [*headers, ("Content-Type", "text/plain")])
            return [ERROR_TEXT]
        if is_stream:
            headers += [("Content-Type", EVENT_STREAM)]
            headers.append((self.names.confidence, self.confidence))
            start_response("200 OK", headers)
            fatal_number = 1 if fatal_part else 3 if is_fatal else None
            cause = fatal_part or path
            return self._events(int(last_event or 0), fault, cause, fatal_number)
        start_response("200 OK", headers)
        return [b"answer of ", self.server.encode()]

    def _send_unframed(
        self,
        environ: dict,
        fault: Misbehaviour,
        headers: list,
        *,
        is_stream: bool,
        after: int,
    ) -> None:
        """Send an answer without a length or chunks that ends with its connection.

        It is complete, or a part of it is followed by a close or a reset.

        Raises
        ------
        BrokenPipeError
        """
        body = b"answer of " + self.server.encode()
        if is_stream:
            headers = [*headers, ("Content-Type", EVENT_STREAM)]
            numbers = range(after + 1, self.n_events + 1)
            body = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in numbers)
        lines = ["HTTP/1.1 200 OK", *(f"{name}: {value}" for name, value in headers)]
        head = "\r\n".join([*lines, "Connection: close", "", ""]).encode()
        if fault is not Misbehaviour.UNFRAMED:
            body = body[:-3]
        sock = environ[SOCKET_KEY]
        sock.sendall(head + body)
        if fault is Misbehaviour.UNFRAMED_STALLED:
            sleep(SILENCE_S)
        if fault is Misbehaviour.UNFRAMED_RESET:
            # Closing the socket sends a reset.
            sock.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
        raise BrokenPipeError(errno.EPIPE, "answer ended with its connection")

    def _send_without_end(self, sock, headers: list) -> None:
        """Send bytes until the client closes the connection.

        Raises
        ------
        BrokenPipeError
        """
        part = next(self.endless_parts)
        lines = "".join(f"{name}: {value}\r\n" for name, value in headers).encode()
        try:
            sock.sendall(part.start.replace(STATUS_LINE, STATUS_LINE + lines))
            while True:
                sock.sendall(part.block)
        except OSError as error:
            raise BrokenPipeError(errno.EPIPE, "client closed") from error

    def _break_if_timed_out(self, port: str) -> None:
        """Break the connection if it was idle for longer than `idle_timeout_s`.

        Raises
        ------
        BrokenPipeError
        """
        idle_s = monotonic() - self.last_used_by_port.get(port, inf)
        self.last_used_by_port[port] = monotonic()
        if idle_s > self.idle_timeout_s:
            raise BrokenPipeError(errno.EPIPE, "connection timed out on purpose")

    def _fatal_part(self, environ: dict) -> str:
        parts = self._header(environ, "prompt_parts").split(",")
        ids = (part.partition(":")[0] for part in parts)
        return next((part for part in ids if part in self.fatal_parts), "")

    def _events(
        self,
        after: int,
        fault: Misbehaviour | None,
        cause: str,
        fatal_number: int | None,
    ) -> Iterator[bytes]:
        try:
            for number in range(after + 1, self.n_events + 1):
                if fatal_number is not None and number >= fatal_number:
                    self.end(cause)
                if fault is Misbehaviour.CUT_WITHIN and number == 3:
                    yield b"id: 3\nda"
                    raise BrokenPipeError(errno.EPIPE, "connection broken on purpose")
                if fault is Misbehaviour.ERROR_AS_EVENTS and number == 3:
                    yield ERROR_HEAD + ERROR_TEXT
                    return
                if fault is Misbehaviour.SILENT_WITHIN and number == 3:
                    sleep(SILENCE_S)
                yield b"id: %d\ndata: %d\n\n" % (number, number)
                sleep(self.event_pause_s)
        finally:
            self.n_ended_streams += 1

    def _header(self, environ: dict, name: str) -> str:
        return environ.get(environ_key(getattr(self.names, name)), "")
