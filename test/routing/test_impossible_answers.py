"""An answer that no server may send, or that is reset early, is never passed on."""

from dataclasses import replace
from socket import SO_LINGER, SOL_SOCKET, create_server
from struct import pack
from types import SimpleNamespace

import pytest
from gevent import sleep
from gevent.server import StreamServer
from gevent.socket import create_connection, socket, socketpair
from geventhttpclient.response import HTTPParseError

from test.accounts.scripted_server import (
    IDENTITY_HEADERS,
    ScriptedServer,
    dispatch_to,
    send_and_keep_open,
    whole_answer,
)
from test.routing.small_system import NAMES, small_system, wait_until
from test.routing.test_cut_answer_heads import read_answer
from test.routing.test_relays import cut_system
from test.routing.test_unsigned_answers import (
    PAGE,
    PATHS,
    RIGHT_HEAD,
    SIGNING,
    SigningServer,
    add_signing_server,
    ask,
    routes,
)
from turmericreel.entry.pieces import WholeAnswer
from turmericreel.entry.server_answer import _ResponseParser
from turmericreel.entry.server_client import ServerClient
from turmericreel.gateway.relay_listener import RelayListener
from turmericreel.model.failures import FailureError, OutcomeUnknown
from turmericreel.model.request import RequestKind
from turmericreel.protocols.addresses import Address
from turmericreel.protocols.relay_messages import BLOCK_LENGTH, RESET
from turmericreel.util.clock import SystemClock

IMPOSSIBLE = [
    "000 None",
    "099 Low",
    "20 Short",
    "2000 Long",
    "20x Letter",
    "600 High",
    "999 Highest",
]
PART = b"HTTP/1.1 200 OK\r\n%sContent-Type: text/plain\r\n\r\nthe first pa"
BODY_SIZES = [10, 300_000, 3_000_000]
# Answers that follow a complete one.
FOLLOWING = {
    "failure": b"HTTP/1.1 500 Failed\r\nContent-Length: 1\r\n\r\nx",
    "success": b"HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\nx",
    "interim": b"HTTP/1.1 100 Continue\r\n\r\n",
    "impossible": b"HTTP/1.1 000 None\r\n\r\n",
    "part_of_a_status": b"HTTP/1.1 5",
}
INTERIM = b"HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"


@pytest.fixture
def system(tmp_path):
    with small_system(tmp_path, names=SIGNING) as running:
        running.submit(*routes())
        yield running


@pytest.mark.parametrize("is_kept", [False, True], ids=["new", "kept"])
@pytest.mark.parametrize("status", IMPOSSIBLE)
@pytest.mark.parametrize("path", PATHS)
def test_impossible_status_is_answered_at_once_with_502(system, path, status, is_kept):
    # Guards against an answer of nobody, and against a wait until the deadline (504).
    server = add_signing_server(system)
    if is_kept:
        assert ask(system, path)[0] == 200
    server.wrong, server.status = [RIGHT_HEAD], status
    assert ask(system, path)[0] == 502
    assert server.wrong == []
    assert len(server.requests) == 1 + is_kept
    wait_until(lambda: server.n_closed_connections == 1, "the connection to close")


@pytest.mark.parametrize("is_kept", [False, True], ids=["new", "kept"])
def test_server_with_an_impossible_status_counts_as_failed(system, is_kept):
    # Guards against bytes of a server in trouble that pass for an idle connection.
    server = add_signing_server(system)
    if is_kept:
        assert ask(system, "/safe/1")[0] == 200
    server.wrong, server.status = [RIGHT_HEAD], "20 Short"
    assert ask(system, "/safe/1")[0] == 502
    assert system.gateways[0].chooser.loads.of("s1").n_failures == 1


@pytest.mark.parametrize("status", ["000 None", "600 High"])
@pytest.mark.parametrize("path", PATHS)
def test_impossible_status_on_a_relayed_connection_is_no_answer(tmp_path, path, status):
    with cut_system(tmp_path, n_gateways=2, n_servers=0, names=SIGNING) as system:
        system.submit(*routes(), revision=2)
        server = add_signing_server(system)
        server.wrong, server.status = [RIGHT_HEAD] * 20, status
        assert ask(system, path)[0] == 502
        assert len(server.requests) == 1


@pytest.mark.parametrize("status", ["000 None", "600 High"])
def test_resumed_stream_does_not_go_on_with_an_impossible_status(system, status):
    system.submit(*routes(max_attempts=2), revision=2)
    servers = [add_signing_server(system, name) for name in ("s1", "s2")]
    cuts = [True]
    for server in servers:
        server.cuts = cuts
        server.wrong, server.status = [RIGHT_HEAD], status
    assert ask(system, "/stream/1")[0] == 0
    assert sum(len(server.requests) for server in servers) == 2


def test_booking_with_an_impossible_status_is_not_repeated(system):
    # Guards against a second run: the first one may have been run.
    system.submit(*routes(max_attempts=3), revision=2)
    servers = [add_signing_server(system, name) for name in ("s1", "s2")]
    for server in servers:
        server.wrong, server.status = [RIGHT_HEAD] * 3, "000 None"
    assert ask(system, "/unsafe/1")[0] == 502
    assert sum(len(server.requests) for server in servers) == 1


def test_impossible_status_of_a_safe_request_is_retried(system):
    system.submit(*routes(max_attempts=2), revision=2)
    servers = [add_signing_server(system, name) for name in ("s1", "s2")]
    for server in servers:
        server.wrong, server.status = [RIGHT_HEAD], "600 High"
    assert ask(system, "/safe/1")[0] == 502
    assert ask(system, "/safe/1") == (200, PAGE)


@pytest.mark.parametrize("following", FOLLOWING.values(), ids=FOLLOWING)
@pytest.mark.parametrize("status", ["200 OK", "404 Not Found"])
def test_bytes_after_an_answer_do_not_change_its_status(system, status, following):
    # Guards against a failure that passes for a success, or the other way round.
    server = FollowedServer()
    server.status, server.following = status, following
    server.server.start()
    system.servers["s1"] = server
    system.send_heartbeat("s1")
    wait_until(lambda: "s1" in system.gateways[0].view.servers, "the server")
    for path in ("/unsafe/1", "/safe/1"):
        assert ask(system, path) == (int(status[:3]), PAGE)


@pytest.mark.parametrize("door", ["gateway", "entry"])
@pytest.mark.parametrize("piece", [65_536, 1])
@pytest.mark.parametrize(
    "line",
    [*(f"HTTP/1.1 {status}" for status in IMPOSSIBLE), "HTTP/2.0 200", "HTTP/0.9 200"],
)
@pytest.mark.parametrize("prefix", [b"", INTERIM], ids=["plain", "after_interim"])
def test_impossible_status_line_fails_at_both_doors(door, piece, line, prefix):
    data = f"{line}\r\nContent-Length: 6\r\n\r\nanswer".encode()
    with pytest.raises(FailureError, match="malformed"):
        read_answer(prefix + data, door, piece=piece)


@pytest.mark.parametrize("door", ["gateway", "entry"])
def test_interim_answer_with_a_body_fails_at_both_doors(door):
    # Guards against bytes of an interim answer within the body of the final one.
    data = INTERIM.replace(b"Link: x", b"Content-Length: 2") + b"ok"
    with pytest.raises(FailureError, match="malformed"):
        read_answer(data + whole_answer(b"answer"), door, piece=65_536)


@pytest.mark.parametrize("door", ["gateway", "entry"])
def test_switch_of_protocols_that_nobody_asked_for_fails_at_both_doors(door):
    with pytest.raises(FailureError, match="malformed"):
        read_answer(b"HTTP/1.1 101 Switching\r\n\r\nanswer", door, piece=65_536)


@pytest.mark.parametrize("following", [b"HTTP/1.1 000 None\r\n\r\n", b"no answer"])
def test_bytes_after_an_interim_answer_to_a_head_request_are_checked(following):
    # Guards against a wait until the deadline: the answer itself has not begun yet.
    parser = _ResponseParser(method="HEAD")
    with pytest.raises(HTTPParseError):
        parser.feed(INTERIM + following)


@pytest.mark.parametrize("status", IMPOSSIBLE)
def test_entry_passes_no_impossible_status_on(status):
    script = send_and_keep_open(whole_answer(b"booked", status=status))
    with ScriptedServer(script=script) as server:
        dispatch = dispatch_to(server.address, kind=RequestKind.PLAIN, repeatable=False)
        with pytest.raises(FailureError) as caught:
            list(ServerClient(clock=SystemClock()).run(dispatch))
    assert isinstance(caught.value.failure, OutcomeUnknown)
    # Not given up at the deadline.
    assert "malformed" in caught.value.failure.describe()


@pytest.mark.parametrize("following", FOLLOWING.values(), ids=FOLLOWING)
def test_entry_keeps_the_status_when_bytes_follow(following):
    answer = whole_answer(b"missing", status="404 Not Found") + following
    with ScriptedServer(script=send_and_keep_open(answer)) as server:
        dispatch = dispatch_to(server.address, kind=RequestKind.PLAIN)
        (piece,) = ServerClient(clock=SystemClock()).run(dispatch)
    assert isinstance(piece, WholeAnswer)
    assert (piece.status, piece.body) == (404, b"missing")


class FollowedServer(SigningServer):
    """Sends further bytes right after each answer.

    Attributes
    ----------
    following : bytes
        The further bytes.
    """

    following = b""

    def _answer(self, sock, data: bytes) -> bool:
        sent = []
        self.wrong = [RIGHT_HEAD]
        super()._answer(SimpleNamespace(sendall=sent.append), data)
        sock.sendall(b"".join(sent) + self.following)
        return True


class EarlyServer:
    """Answers before it has read a body, and resets the connection.

    Attributes
    ----------
    n_requests : int
    """

    def __init__(self, *, identity: str = ""):
        self.identity = identity
        self.n_requests = 0
        self.listener = StreamServer(("127.0.0.1", 0), self._serve)
        self.listener.start()

    @property
    def address(self) -> str:
        """Host and port of the listener."""
        return f"127.0.0.1:{self.listener.server_port}"

    def stop(self) -> None:
        """Stop listening."""
        self.listener.stop(timeout=0)

    def _serve(self, sock, peer) -> None:
        received = b""
        while b"\r\n\r\n" not in received:
            received += sock.recv(1)
        self.n_requests += 1
        identity = self.identity
        for line in received.decode("latin-1").split("\r\n"):
            name, _, value = line.partition(": ")
            if name.lower() == NAMES.attempt_id.lower():
                identity = RIGHT_HEAD.format(attempt=value)
        sock.sendall(PART % identity.encode())
        sleep(0.02)
        sock.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
        sock.close()


def add_early_server(system) -> EarlyServer:
    server = EarlyServer()
    system.servers["s1"] = server
    system.send_heartbeat("s1")
    wait_until(
        lambda: all("s1" in g.view.servers for g in system.gateways), "the server"
    )
    return server


def upload(system, path: str, n_bytes: int) -> int:
    for gateway in system.gateways:
        gateway.chooser.loads.loads.clear()
    return system.call(path, method="POST", body=b"x" * n_bytes)[0]


@pytest.mark.parametrize("n_bytes", BODY_SIZES)
@pytest.mark.parametrize("path", ["/safe/1", "/unsafe/1"])
def test_early_answer_that_is_reset_is_no_success(system, path, n_bytes):
    server = add_early_server(system)
    assert upload(system, path, n_bytes) == 502
    assert server.n_requests == 1


@pytest.mark.parametrize("n_bytes", BODY_SIZES)
@pytest.mark.parametrize("path", ["/safe/1", "/unsafe/1"])
def test_early_answer_that_is_reset_behind_a_relay_is_no_success(
    tmp_path, path, n_bytes
):
    with cut_system(tmp_path, n_gateways=2, n_servers=0, names=SIGNING) as system:
        system.submit(*routes(), revision=2)
        server = add_early_server(system)
        assert upload(system, path, n_bytes) == 502
        assert server.n_requests == 1


def test_reset_that_a_relay_notices_while_sending_is_passed_on_as_one():
    # Guards against a reset that the sending direction uses up, so that the answer
    # before it seems to end with a connection that was closed.
    near, far = tcp_pair()
    far.sendall(PART % b"")
    far.setsockopt(SOL_SOCKET, SO_LINGER, pack("ii", 1, 0))
    far.close()
    asking, asked = socketpair()
    asking.sendall(b"more of the upload")
    listener = RelayListener(
        address=Address(host="127.0.0.1", port=0),
        gateways=list,
        is_registered=lambda address: True,
        is_evacuated=lambda address: False,
        paths=None,
        clock=SystemClock(),
    )
    listener._relay(asked, near)
    received = b""
    while block := asking.recv(65_536):
        received += block
    assert received.endswith(BLOCK_LENGTH.pack(RESET))
    asking.close()


@pytest.mark.parametrize("n_bytes", BODY_SIZES)
def test_entry_passes_no_early_answer_on_that_is_reset(n_bytes):
    server = EarlyServer(identity=IDENTITY_HEADERS)
    dispatch = dispatch_to(server.address, kind=RequestKind.PLAIN, repeatable=False)
    request = replace(dispatch.request, body=b"x" * n_bytes)
    dispatch = replace(dispatch, request=request)
    with pytest.raises(FailureError) as caught:
        list(ServerClient(clock=SystemClock()).run(dispatch))
    server.stop()
    assert isinstance(caught.value.failure, OutcomeUnknown)


@pytest.mark.parametrize("stated", ["chunked\r\nTransfer-Encoding: chunked", "x"])
def test_entry_answer_of_unknown_framing_that_is_closed_fails(stated):
    head = f"HTTP/1.1 200 OK\r\nTransfer-Encoding: {stated}\r\n\r\n"
    with pytest.raises(FailureError):
        read_answer(head.encode() + b"1a\r\nthe first", "entry", piece=65_536)


def tcp_pair() -> tuple[socket, socket]:
    with create_server(("127.0.0.1", 0)) as listener:
        near = create_connection(listener.getsockname())
        return near, listener.accept()[0]
