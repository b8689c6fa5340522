"""Clients that come to a stopping gateway are served or refused at once, never left."""

from dataclasses import replace

import pytest
from gevent import sleep, spawn
from gevent.socket import SO_RCVBUF, SOL_SOCKET, create_connection, socket

from test.accounts.scripted_server import ScriptedServer
from test.routing.library import make_route
from test.routing.small_system import (
    NAMES,
    TIMEOUT_S,
    SmallSystem,
    small_system,
    stream_route,
    wait_until,
)
from test.routing.test_late_requests_at_a_stop import read_answer
from turmericreel.gateway.gateway import Gateway
from turmericreel.model.routing import RouteKind

LIST_VALIDITY_MS = 1_000
# The slowest clients use a list for three times its validity.
LISTED_S = 3 * LIST_VALIDITY_MS / 1_000
STOP_DEADLINE_MS = 10_000
N_EVENTS = 45
LARGE_BODY = b"x" * 7 * 1024 * 1024


@pytest.fixture
def system(tmp_path):
    with small_system(tmp_path) as running:
        running.submit(
            make_route("/unsafe/", kind=RouteKind.UNSAFE, timeout_ms=1_000),
            make_route("/large/", kind=RouteKind.UNSAFE, timeout_ms=20_000),
            stream_route(timeout_ms=9_000),
        )
        gateway = running.gateways[0]
        gateway.settings = replace(
            gateway.settings,
            list_validity_ms=LIST_VALIDITY_MS,
            stop_deadline_ms=STOP_DEADLINE_MS,
        )
        yield running


def begin_stream(system: SmallSystem):
    """Start a stream that outlasts all address lists; return its call."""
    gateway = system.gateways[0]
    server = system.add_server("s1", n_events=N_EVENTS, event_pause_s=0.1)
    server.n_places, server.n_queued = 100, 100
    call = spawn(
        system.call, "/stream/1", method="POST", body=b"x", Accept="text/event-stream"
    )
    wait_until(lambda: gateway.application.n_running == 1, "the stream")
    return call


def book(system: SmallSystem, number: int) -> tuple[int, dict]:
    """Book on a new connection; fails if there is no answer in time."""
    status, headers, _ = system.call(f"/unsafe/{number}", method="POST", body=b"x")
    return status, headers


def wait_until_delisted(gateway: Gateway) -> None:
    wait_until(lambda: gateway.application.refusing, "the lists to expire")


def test_client_with_an_old_list_is_served_until_it_expires(system):
    # Guards against a listener that neither accepts nor refuses after 1.5 validities.
    gateway = system.gateways[0]
    stream = begin_stream(system)
    stopping = spawn(gateway.stop)
    # Half of the time for which the slowest clients use a list, and a little more.
    sleep(0.6 * LISTED_S)
    assert not gateway.application.refusing
    assert book(system, 1)[0] == 200
    assert stream.get()[0] == 200
    stopping.join()


def test_client_of_a_delisted_gateway_is_refused_at_once_while_a_stream_runs(system):
    # Guards against connections that the kernel accepts and nobody reads.
    gateway = system.gateways[0]
    stream = begin_stream(system)
    stopping = spawn(gateway.stop)
    wait_until_delisted(gateway)
    status, headers = book(system, 1)
    assert status == 503
    assert float(headers["retry-after"]) < 0.1
    assert headers["connection"] == "close"
    assert not [run for run in system.servers["s1"].runs if "unsafe" in run[1]]
    status, _, body = stream.get()
    assert (status, body.count(b"data:")) == (200, N_EVENTS)
    stopping.join()
    assert gateway.application.n_running == 0


def test_new_connection_without_a_request_yet_is_not_closed_as_idle(system):
    # Guards against a client that is closed between its connection and its request.
    gateway = system.gateways[0]
    stream = begin_stream(system)
    stopping = spawn(gateway.stop)
    wait_until_delisted(gateway)
    sock = system.connect()
    sleep(0.2)
    sock.sendall(request("late"))
    assert read_answer(sock.makefile("rb"))[0] == 503
    stream.join()
    stopping.join()


def request(attempt: str, path: str = "/unsafe/1") -> bytes:
    return (
        f"POST {path} HTTP/1.1\r\nHost: example\r\nContent-Length: 1\r\n"
        f"{NAMES.attempt_id}: {attempt}\r\n\r\nx"
    ).encode()


def test_connections_that_wait_to_be_accepted_are_answered_before_the_end(system):
    # Guards against requests that the kernel holds when the listener is closed.
    gateway = system.gateways[0]
    system.add_server("s1")
    waiting = []
    gateway.ingress.stop_accepting()
    for number in range(20):
        sock = system.connect()
        sock.sendall(request(f"waiting-{number}"))
        waiting.append(sock)
    gateway.application.refusing = True
    gateway.ingress.finish(timeout_s=1.0)
    for sock in waiting:
        assert read_answer(sock.makefile("rb"))[0] == 503
    with pytest.raises(ConnectionRefusedError):
        system.connect()


def connect_slowly(system: SmallSystem) -> socket:
    host, _, port = system.gateways[0].settings.client_address.partition(":")
    sock = socket()
    sock.setsockopt(SOL_SOCKET, SO_RCVBUF, 4_096)
    sock.settimeout(TIMEOUT_S)
    sock.connect((host, int(port)))
    return sock


def test_stop_waits_until_a_whole_answer_is_written(system):
    # Guards against an answer that is cut because its client reads it slowly.
    gateway = system.gateways[0]

    def answer(sock, data: bytes) -> bool:
        head = (
            f"HTTP/1.1 200 OK\r\n{NAMES.attempt_id}: large\r\n"
            f"Content-Length: {len(LARGE_BODY)}\r\n\r\n"
        )
        sock.sendall(head.encode() + LARGE_BODY)
        return True

    with ScriptedServer(script=answer) as server:
        server.stop = lambda: None
        system.servers["large"] = server
        system.send_heartbeat("large")
        wait_until(lambda: "large" in gateway.view.servers, "the server")
        sock = connect_slowly(system)
        sock.sendall(request("large", "/large/1"))
        wait_until(lambda: len(server.requests) == 1, "the request to run")
        stopping = spawn(gateway.stop)
        wait_until_delisted(gateway)
        sleep(0.3)
        assert not stopping.ready()
        assert gateway.application.n_running == 1
        assert read_answer(sock.makefile("rb"))[0] == 200
        stopping.join()
        assert gateway.application.n_running == 0


def test_closed_gateway_refuses_connections(system):
    # Guards against a listener that outlives its gateway.
    gateway = system.gateways[0]
    gateway.stop()
    host, _, port = gateway.settings.client_address.partition(":")
    with pytest.raises(ConnectionRefusedError):
        create_connection((host, int(port)), timeout=TIMEOUT_S)
