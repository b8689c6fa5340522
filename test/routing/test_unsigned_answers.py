"""Bytes that are not a server's answer to a request never reach its client."""

from dataclasses import replace

import pytest
from gevent import sleep
from geventhttpclient.response import HTTPParseError

from test.accounts.scripted_server import (
    ScriptedServer,
    dispatch_to,
    send_and_close,
)
from test.routing.library import make_route
from test.routing.small_system import NAMES, small_system, stream_route, wait_until
from test.routing.test_cut_answer_heads import read_answer
from test.routing.test_relays import cut_system
from turmericreel.decisions.gateway_rates import REORDERING_S
from turmericreel.entry.server_client import ServerClient
from turmericreel.model.failures import FailureError
from turmericreel.model.routing import RouteKind
from turmericreel.util.clock import SystemClock

SIGNING = replace(NAMES, signature="Turmericreel-Signature")
PATHS = ["/safe/1", "/unsafe/1", "/stream/1"]
PAGE = b"<html><p>It works!</html>\n"
EVENTS = (b"id: 1\ndata: 1\n\n", b"id: 2\ndata: 2\n\n")
# Head lines of answers that are no server's answer to the request.
WRONG_HEADS = {
    "neither": "",
    "unsigned": f"{NAMES.attempt_id}: {{attempt}}\r\n",
    "without_id": f"{SIGNING.signature}: s1\r\n",
    "of_another": f"{NAMES.attempt_id}: x\r\n{SIGNING.signature}: s1\r\n",
    "two_ids": f"{NAMES.attempt_id}: {{attempt}}\r\n{NAMES.attempt_id}: x\r\n"
    f"{SIGNING.signature}: s1\r\n",
}
MAX_ASKED = 100
RIGHT_HEAD = f"{NAMES.attempt_id}: {{attempt}}\r\n{SIGNING.signature}: s1\r\n"


def headers_of(data: bytes) -> dict[str, str]:
    lines = data.decode().split("\r\n\r\n")[0].split("\r\n")[1:]
    return dict(line.lower().split(": ", 1) for line in lines)


class SigningServer(ScriptedServer):
    """Signs its answers, but sends wrong heads in place of the next ones.

    Attributes
    ----------
    wrong : list of str
        Head lines of the next answers.
    status : str
        Status of the wrong answers.
    cuts : list
        Right answers that are broken off before any wrong one; several servers may
        share it.
    extra : str
        Further head lines of right answers.
    """

    def __init__(self):
        super().__init__(script=self._answer)
        self.wrong: list[str] = []
        self.status = "200 OK"
        self.cuts: list[bool] = []
        self.extra = ""

    def stop(self) -> None:
        self.server.stop(timeout=0)

    def _answer(self, sock, data: bytes) -> bool:
        headers = headers_of(data)
        attempt = headers[NAMES.attempt_id.lower()]
        is_stream = b" /stream/" in data.split(b"\r\n")[0]
        content_type = "text/event-stream" if is_stream else "text/html"
        body = b"".join(EVENTS) if is_stream else PAGE
        if "last-event-id" in headers:
            body = EVENTS[1]
        status, head, extra = "200 OK", RIGHT_HEAD, self.extra
        if self.wrong and not self.cuts:
            status, head, extra = self.status, self.wrong.pop(0), ""
        length = len(body)
        if self.cuts:
            self.cuts.pop()
            body = EVENTS[0]
        sock.sendall(
            f"HTTP/1.1 {status}\r\nContent-Type: {content_type}\r\n"
            f"Content-Length: {length}\r\n{extra}{head.format(attempt=attempt)}"
            "\r\n".encode()
            + body
        )
        return len(body) == length


def routes(max_attempts: int = 1):
    return (
        make_route("/safe/", max_attempts=max_attempts),
        make_route("/unsafe/", kind=RouteKind.UNSAFE, max_attempts=max_attempts),
        stream_route(max_attempts=max_attempts),
    )


def add_signing_server(system, name: str = "s1") -> SigningServer:
    server = SigningServer()
    server.server.start()
    system.servers[name] = server
    system.send_heartbeat(name)
    wait_until(
        lambda: all(name in g.view.servers for g in system.gateways), "the server"
    )
    return server


def ask(system, path: str) -> tuple[int, bytes]:
    """Return status and body; status 0 if the connection ends without an answer."""
    for gateway in system.gateways:
        # A server that failed is paused for a while.
        gateway.chooser.loads.loads.clear()
    accept = {"Accept": "text/event-stream"} if "stream" in path else {}
    method = "POST" if "unsafe" in path else "GET"
    try:
        status, _, body = system.call(path, method=method, **accept)
    except (OSError, HTTPParseError):
        return 0, b""
    return status, body


@pytest.fixture
def system(tmp_path):
    with small_system(tmp_path, names=SIGNING) as running:
        running.submit(*routes())
        yield running


@pytest.mark.parametrize("wrong", WRONG_HEADS.values(), ids=WRONG_HEADS)
@pytest.mark.parametrize("path", PATHS)
def test_answer_without_id_or_signature_is_no_success(system, path, wrong):
    # Guards against a default page that is passed on as the success of a booking.
    server = add_signing_server(system)
    assert ask(system, path)[0] == 200
    server.wrong = [wrong]
    assert ask(system, path) != (200, PAGE)
    assert server.wrong == []
    # Without a retry: one request each, and the connection is not used again.
    assert len(server.requests) == 2
    wait_until(lambda: server.n_closed_connections == 1, "the connection to close")
    assert ask(system, path)[0] == 200


@pytest.mark.parametrize("wrong", ["neither", "without_id", "of_another"])
def test_failure_without_the_id_of_the_request_is_not_passed_on(system, wrong):
    # Guards against an error page that a client takes for that of its server.
    server = add_signing_server(system)
    server.wrong, server.status = [WRONG_HEADS[wrong]], "404 Not Found"
    status, body = ask(system, "/unsafe/1")
    assert status == 502
    assert PAGE not in body


def test_unsigned_failure_of_the_request_is_passed_on(system):
    # Guards against servers' own failures that are replaced.
    server = add_signing_server(system)
    server.wrong, server.status = [WRONG_HEADS["unsigned"]], "500 Failed"
    assert ask(system, "/unsafe/1") == (500, PAGE)


def test_booking_with_a_wrong_answer_is_not_repeated_and_counts_as_failed(system):
    # Guards against a second run of a call whose first answer was replaced.
    system.submit(*routes(max_attempts=3), revision=2)
    servers = [add_signing_server(system, name) for name in ("s1", "s2")]
    for server in servers:
        server.wrong = [WRONG_HEADS["neither"]] * 4
    assert ask(system, "/unsafe/1")[0] == 502
    assert sum(len(server.requests) for server in servers) == 1
    loads = system.gateways[0].chooser.loads
    assert sum(loads.of(name).n_failures for name in ("s1", "s2")) == 1


def test_safe_request_with_a_wrong_answer_is_retried(system):
    # Guards against a retry that is not made, or not counted.
    system.submit(*routes(max_attempts=2), revision=2)
    servers = [add_signing_server(system, name) for name in ("s1", "s2")]
    servers[0].wrong = [WRONG_HEADS["neither"]]
    n_asked = 0
    while servers[0].wrong:
        # The gateway chooses between equal servers at random.
        assert n_asked < MAX_ASKED
        assert ask(system, "/safe/1") == (200, PAGE)
        n_asked += 1
    assert sum(len(server.requests) for server in servers) == n_asked + 1


def test_resumed_stream_goes_on_only_with_a_signed_answer(system):
    # Guards against wrong bytes that are joined to a stream that broke off.
    system.submit(*routes(max_attempts=2), revision=2)
    servers = [add_signing_server(system, name) for name in ("s1", "s2")]
    cuts = [True]
    for server in servers:
        server.cuts = cuts
    assert ask(system, "/stream/1") == (200, b"".join(EVENTS))
    cuts.append(True)
    for server in servers:
        server.wrong = [WRONG_HEADS["unsigned"]] * 2
    assert ask(system, "/stream/1")[0] == 0


@pytest.mark.parametrize("path", PATHS)
def test_answer_without_signature_on_a_relayed_connection_is_no_success(tmp_path, path):
    # Guards against a check that relayed connections pass by.
    with cut_system(tmp_path, n_gateways=2, n_servers=0, names=SIGNING) as system:
        system.submit(*routes(), revision=2)
        server = add_signing_server(system)
        server.wrong = [WRONG_HEADS["unsigned"]] * 20
        for _ in range(4):
            assert ask(system, path)[0] in (0, 502, 503, 504)
        assert len(server.requests)


def test_wrong_bytes_do_not_change_what_a_server_said_of_itself(system):
    # Guards against a limit that an answer of nobody lifts.
    server = add_signing_server(system)
    server.extra = f"{NAMES.rate_limit}: 50.0\r\n"
    rates = system.gateways[0].chooser.rates.rates
    ask(system, "/safe/1")
    assert rates.n_limited() == 1
    server.wrong = [WRONG_HEADS["neither"]]
    # Answers that overtake each other are not taken for a lifted limit.
    sleep(2 * REORDERING_S)
    ask(system, "/safe/1")
    assert server.wrong == []
    assert rates.n_limited() == 1


@pytest.mark.parametrize("door", ["gateway", "entry"])
@pytest.mark.parametrize(
    "framing",
    [
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
        "Content-Length: 26\r\nContent-Length: 26",
    ],
)
def test_answer_that_states_its_framing_twice_and_is_cut_fails(door, framing):
    # Guards against a repeated header that counts as none, so that a cut looks whole.
    head = f"HTTP/1.1 200 OK\r\n{framing}\r\n\r\n".encode()
    body = b"1a\r\n" + PAGE[:10] if "chunked" in framing else PAGE[:10]
    with pytest.raises(FailureError):
        read_answer(head + body, door, piece=65_536)


def test_servers_that_know_no_signature_still_work(tmp_path):
    # Guards against a check that a stand-alone system cannot meet.
    with small_system(tmp_path) as system:
        system.submit(*routes())
        server = add_signing_server(system)
        server.wrong = [WRONG_HEADS["unsigned"], WRONG_HEADS["neither"]]
        for _ in range(2):
            assert ask(system, "/unsafe/1") == (200, PAGE)


def test_entry_does_not_learn_a_limit_from_the_answer_of_another():
    # Guards against the same at the other door.
    answer = (
        b"HTTP/1.1 200 OK\r\nTurmericreel-Request-Id: r2\r\nTurmericreel-Attempt: 1\r\n"
        b"Turmericreel-Rate-Limit: 3\r\nContent-Length: 2\r\n\r\nok"
    )
    client = ServerClient(clock=SystemClock())
    learned = []
    client.on_brittle = lambda server, text: learned.append(text)
    client.rates.record_answer = lambda *args, **options: learned.append(args)
    with (
        ScriptedServer(script=send_and_close(answer)) as server,
        pytest.raises(FailureError),
    ):
        list(client.run(dispatch_to(server.address)))
    assert learned == []
