"""An answer whose head a server breaks off never reaches a client as a success."""

import socket

import pytest
from gevent import sleep, spawn
from gevent.server import StreamServer
from geventhttpclient.response import HTTPParseError

from test.routing.library import make_route
from test.routing.small_system import NAMES, small_system, stream_route, wait_until
from test.routing.test_relays import cut_system
from turmericreel.entry.answer_buffer import AnswerBuffer
from turmericreel.entry.server_answer import ServerAnswer
from turmericreel.entry.server_connections import ServerConnection
from turmericreel.gateway.server_exchange import ForwardedAnswer
from turmericreel.gateway.server_loads import ServerLoad
from turmericreel.model.failures import FailureError
from turmericreel.model.routing import RouteKind
from turmericreel.protocols.addresses import Address
from turmericreel.util.clock import SystemClock

PATHS = ["/safe/1", "/unsafe/1", "/stream/1"]
ADDRESS = Address(host="127.0.0.1", port=1)
INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"


class CuttingServer:
    """Sends a part of each answer's bytes, and closes the connection.

    Attributes
    ----------
    n_sent : int
        Bytes of the answer that are sent.
    n_whole : int
        Further answers on each connection that are sent whole, before the cut one.
    """

    def __init__(self):
        self.n_sent = 0
        self.n_whole = 0
        self.n_requests = 0
        self.listener = StreamServer(("127.0.0.1", 0), self._serve)
        self.listener.start()

    @property
    def address(self) -> str:
        """Address of the listener."""
        return f"127.0.0.1:{self.listener.server_port}"

    def stop(self) -> None:
        """Stop listening."""
        self.listener.stop(timeout=0)

    def answer(self, attempt: str, kind: str) -> bytes:
        """Return the whole answer to a request."""
        body = "id: 1\ndata: 1\n\n" if kind == "stream" else "answer"
        content = "text/event-stream" if kind == "stream" else "text/plain"
        return (
            f"HTTP/1.1 200 OK\r\n{NAMES.attempt_id}: {attempt}\r\n"
            f"Content-Type: {content}\r\nContent-Length: {len(body)}\r\n\r\n{body}"
        ).encode()

    def head_size(self, kind: str, path: str) -> int:
        """Return the size of the head of an answer."""
        return self.answer(f"attempt-{path}", kind).index(b"\r\n\r\n") + 4

    def _serve(self, sock, peer) -> None:
        n_answered = 0
        while True:
            received = b""
            while b"\r\n\r\n" not in received:
                data = sock.recv(65_536)
                if not data:
                    return
                received += data
            self.n_requests += 1
            lines = received.decode().split("\r\n")
            headers = dict(
                line.lower().split(": ", 1) for line in lines[1:] if ": " in line
            )
            kind = "stream" if "/stream/" in lines[0] else "plain"
            whole = self.answer(headers[NAMES.attempt_id.lower()], kind)
            if n_answered < self.n_whole:
                n_answered += 1
                sock.sendall(whole)
                continue
            data = whole[: self.n_sent]
            sock.sendall(data)
            sock.close()
            return


@pytest.fixture
def system(tmp_path):
    with small_system(tmp_path) as running:
        running.submit(*routes())
        yield running


def routes():
    return (
        make_route("/safe/", max_attempts=1),
        make_route("/unsafe/", kind=RouteKind.UNSAFE, max_attempts=1),
        stream_route(max_attempts=1),
    )


def add_cutting_server(system) -> CuttingServer:
    server = CuttingServer()
    system.servers["cutting"] = server
    system.send_heartbeat("cutting")
    wait_until(
        lambda: all("cutting" in g.view.servers for g in system.gateways),
        "the server",
    )
    return server


def status_of(system, path: str) -> int:
    accept = {"Accept": "text/event-stream"} if "stream" in path else {}
    # A server that broke an answer off is paused for a while.
    for gateway in system.gateways:
        gateway.chooser.loads.loads.clear()
    try:
        return system.call(path, **accept)[0]
    except (OSError, HTTPParseError):
        return 0


def read_answer(data: bytes, door: str, *, piece: int) -> bytes:
    """Return the body that a door reads from a server that sends data and closes."""
    near, far = socket.socketpair()
    connection = ServerConnection(address=ADDRESS, sock=near, opened_at=0.0)
    options = {
        "connection": connection,
        "method": "GET",
        "clock": SystemClock(),
        "deadline": SystemClock().monotonic() + 10.0,
    }
    if door == "gateway":
        answer = ForwardedAnswer(load=ServerLoad(), **options)
    else:
        answer = ServerAnswer(**options)

    def send() -> None:
        for start in range(0, len(data), piece):
            far.send(data[start : start + piece])
            sleep(0)
        far.close()

    sender = spawn(send)
    try:
        answer.read_header()
        buffer = AnswerBuffer(limit_bytes=1_000)
        return answer.read_body(limit_bytes=1_000, buffer=buffer)
    finally:
        sender.join()
        answer.close()
        connection.close()


@pytest.mark.parametrize("door", ["gateway", "entry"])
@pytest.mark.parametrize("piece", [65_536, 1])
@pytest.mark.parametrize("prefix", [b"", INTERIM], ids=["plain", "after_interim"])
def test_an_answer_cut_at_any_byte_of_its_head_fails(door, piece, prefix):
    for framing in ("Content-Length: 6", "Transfer-Encoding: chunked", "X-Other: 1"):
        head = f"HTTP/1.1 200 OK\r\nA: b\r\n{framing}\r\n\r\n".encode()
        for n_sent in range(len(head)):
            with pytest.raises(FailureError):
                read_answer(prefix + head[:n_sent], door, piece=piece)
    whole = prefix + b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nanswer"
    assert read_answer(whole, door, piece=piece) == b"answer"


@pytest.mark.parametrize("path", PATHS)
def test_a_client_gets_no_success_for_a_cut_head(system, path):
    server = add_cutting_server(system)
    server.n_sent = 65_536
    assert status_of(system, path) == 200
    size = server.head_size("stream" if "stream" in path else "plain", path)
    for n_sent in (20, size - 30, size - 1):
        server.n_sent = n_sent
        n_before = server.n_requests
        assert status_of(system, path) in (0, 502)
        assert server.n_requests == n_before + 1


@pytest.mark.parametrize("path", ["/safe/1", "/stream/1"])
def test_a_head_cut_on_a_kept_connection_is_no_success(system, path):
    server = add_cutting_server(system)
    size = server.head_size("stream" if "stream" in path else "plain", path)
    server.n_whole, server.n_sent = 1, size - 1
    assert status_of(system, path) == 200
    assert status_of(system, path) != 200
    assert server.n_requests == 2


@pytest.mark.parametrize("path", PATHS)
def test_a_head_cut_on_a_relayed_connection_is_no_success(tmp_path, path):
    with cut_system(tmp_path, n_gateways=2, n_servers=0) as system:
        system.submit(*routes(), revision=2)
        server = add_cutting_server(system)
        size = server.head_size("stream" if "stream" in path else "plain", path)
        for n_sent in (size - 1, 20):
            server.n_sent = n_sent
            assert status_of(system, path) in (0, 502, 503, 504)
        assert server.n_requests
