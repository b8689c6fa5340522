"""A stand-in for a backend server that gateways route to.

It answers plain calls and event streams with configurable header names. Tests queue the
faults of the next requests in `misbehaviours`.
"""

import contextlib
import errno
from collections import deque
from collections.abc import Iterator
from enum import Enum
from math import inf
from socket import SHUT_RDWR
from time import monotonic

from gevent import Greenlet, sleep, spawn_later

from turmericreel.entry.application import SOCKET_KEY
from turmericreel.entry.http_server import BoundedServer
from turmericreel.gateway.header_names import HeaderNames
from turmericreel.model.settings import LimitsSettings
from turmericreel.protocols.addresses import Address, parse_address
from turmericreel.protocols.headers import environ_key

# Longer than the timeouts of all tests.
SILENCE_S = 30.0
EVENT_STREAM = "text/event-stream"


class Misbehaviour(Enum):
    """Faults of a request."""

    REFUSE = "refuse"
    FAIL = "fail"
    CUT_BEFORE = "cut_before"
    CUT_WITHIN = "cut_within"
    SILENT = "silent"
    SILENT_WITHIN = "silent_within"


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
    idle_timeout_s : float
        Idle time after which the server drops the next request on a connection
        without executing it.
    fatal_bodies : set of bytes
        Bodies of requests that end the server: a plain request as it begins to run, a
        stream before its third event. All connections break, and the server listens
        again after `restart_delay_s`.
    n_ends : int
        Number of times that a request ended the server.
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
        self.idle_timeout_s = inf
        self.last_used_by_port: dict[str, float] = {}
        self.fatal_bodies: set[bytes] = set()
        self.n_ends = 0
        self.restart_delay_s = 0.2
        self.connections: set = set()
        self.restart: Greenlet | None = None
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

    def _end(self) -> None:
        """Break all connections, listen again later, and break this request.

        Raises
        ------
        BrokenPipeError
        """
        self.n_ends += 1
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
                return
            except OSError:
                # An outgoing connection may use the port for a moment.
                sleep(self.restart_delay_s)

    def _answer(self, environ: dict, start_response) -> Iterator[bytes]:
        body = environ["wsgi.input"].read()
        self.connections.add(environ[SOCKET_KEY])
        self._break_if_timed_out(environ["REMOTE_PORT"])
        self.received.append({**environ, "body": body})
        headers = [(self.names.attempt_id, self._header(environ, "attempt_id"))]
        headers += [(self.names.load, "1,0,4"), ("X-Served-By", self.server)]
        fault = self.misbehaviours.popleft() if self.misbehaviours else None
        if fault is Misbehaviour.REFUSE:
            headers.append((self.names.not_run, "1"))
            start_response("503 Full", headers)
            return [b"full"]
        last_event = environ.get(environ_key(self.names.last_event_id), "")
        path = environ["PATH_INFO"]
        self.runs.append((self._header(environ, "attempt_id"), path, last_event))
        is_stream = environ.get("HTTP_ACCEPT") == EVENT_STREAM
        is_fatal = body in self.fatal_bodies
        if is_fatal and not is_stream:
            self._end()
        if fault is Misbehaviour.CUT_BEFORE:
            raise BrokenPipeError(errno.EPIPE, "connection broken on purpose")
        if fault is Misbehaviour.SILENT:
            sleep(SILENCE_S)
        if fault is Misbehaviour.FAIL:
            start_response("500 Failed", headers)
            return [b"failed"]
        if is_stream:
            headers += [("Content-Type", EVENT_STREAM)]
            headers.append((self.names.confidence, self.confidence))
            start_response("200 OK", headers)
            return self._events(int(last_event or 0), fault, is_fatal)
        start_response("200 OK", headers)
        return [b"answer of ", self.server.encode()]

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

    def _events(
        self, after: int, fault: Misbehaviour | None, is_fatal: bool
    ) -> Iterator[bytes]:
        try:
            for number in range(after + 1, self.n_events + 1):
                if is_fatal and number == 3:
                    self._end()
                if fault is Misbehaviour.CUT_WITHIN and number == 3:
                    yield b"id: 3\nda"
                    raise BrokenPipeError(errno.EPIPE, "connection broken on purpose")
                if fault is Misbehaviour.SILENT_WITHIN and number == 3:
                    sleep(SILENCE_S)
                yield b"id: %d\ndata: %d\n\n" % (number, number)
                sleep(self.event_pause_s)
        finally:
            self.n_ended_streams += 1

    def _header(self, environ: dict, name: str) -> str:
        return environ.get(environ_key(getattr(self.names, name)), "")
