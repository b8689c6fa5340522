"""End-to-end tests of requests, streams and retries in a small system."""

from collections import deque
from contextlib import suppress

import pytest
from gevent import joinall, sleep, spawn

from test.routing.library import SERVICE, make_route
from test.routing.small_system import (
    NAMES,
    small_system,
    stream_route,
    wait_until,
)
from turmericreel.decisions.version_split import is_canary, session_hash
from turmericreel.fakes.routed_server import Misbehaviour
from turmericreel.model.registered_server import ServerState
from turmericreel.model.routing import RolloutStage, RolloutState, RouteKind

EVENTS = b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 5))
SAFE = make_route("/safe/")
UNSAFE = make_route("/unsafe/", kind=RouteKind.UNSAFE)


@pytest.fixture
def system(tmp_path):
    with small_system(tmp_path) as running:
        yield running


def stream(system, path="/stream/1", **headers):
    return system.call(
        path, method="POST", body=b"x", Accept="text/event-stream", **headers
    )


def test_gateway_without_configuration_answers_503(system):
    status, headers, _ = system.call("/safe/1")
    assert status == 503
    assert float(headers["retry-after"]) > 0
    assert not system.gateways[0].is_ready


def test_request_is_forwarded_and_answered(system):
    system.submit(SAFE)
    server = system.add_server("s1")
    status, headers, body = system.call("/safe/1?q=%20a", X_Own="mine")
    assert (status, body) == (200, b"answer of s1")
    assert headers["x-served-by"] == "s1"
    received = server.received[0]
    assert received["QUERY_STRING"] == "q=%20a"
    assert received["HTTP_X_OWN"] == "mine"
    assert received["HTTP_" + NAMES.expected_server.upper().replace("-", "_")] == "s1"


def test_gateway_lists_itself_once_it_is_ready(system):
    gateway = system.gateways[0]
    system.submit(SAFE)
    wait_until(lambda: gateway.addresses_for("a"), "a listed gateway")
    assert gateway.is_ready
    assert gateway.addresses_for("a") == [gateway.settings.client_address]


def test_unknown_routes_and_keys_are_refused(system):
    system.submit(SAFE, accounts={"north": "key"})
    server = system.add_server("s1")
    key = NAMES.key.replace("-", "_")
    assert system.call("/nowhere/1")[0] == 404
    assert system.call("/safe/1")[0] == 401
    assert system.call("/safe/1", **{key: "wrong"})[0] == 401
    assert server.received == []
    assert system.call("/safe/1", **{key: "key"})[0] == 200
    assert server.received[0]["HTTP_TURMERICREEL_ACCOUNT"] == "north"
    assert "HTTP_TURMERICREEL_CLIENT_KEY" not in server.received[0]


def test_failed_safe_request_is_retried_at_another_server(system):
    system.submit(SAFE)
    servers = [system.add_server("s1"), system.add_server("s2")]
    for fault in (Misbehaviour.FAIL, Misbehaviour.CUT_BEFORE, Misbehaviour.REFUSE):
        for server in servers:
            server.misbehaviours.clear()
            server.runs.clear()
        servers[0].misbehaviours.append(fault)
        servers[1].misbehaviours.clear()
        assert system.call("/safe/1")[0] == 200


def test_safe_request_failing_everywhere_returns_a_server_error(system):
    system.submit(SAFE)
    for name in ("s1", "s2"):
        system.add_server(name).misbehaviours.append(Misbehaviour.FAIL)
    status, headers, body = system.call("/safe/1")
    assert (status, body) == (500, b"failed")
    assert headers["x-served-by"] in ("s1", "s2")


def test_unsafe_request_that_may_have_run_is_not_retried(system):
    system.submit(UNSAFE)
    servers = [system.add_server("s1"), system.add_server("s2")]
    for server in servers:
        server.misbehaviours.append(Misbehaviour.CUT_BEFORE)
    status, headers, _ = system.call("/unsafe/1", method="POST", body=b"x")
    assert status == 502
    assert "retry-after" not in headers
    assert sum(len(server.runs) for server in servers) == 1


def test_unsafe_request_refused_by_all_servers_is_refused_unrun(system):
    system.submit(UNSAFE)
    servers = [system.add_server("s1"), system.add_server("s2")]
    servers[0].misbehaviours.append(Misbehaviour.REFUSE)
    servers[1].misbehaviours.append(Misbehaviour.REFUSE)
    status, headers, _ = system.call("/unsafe/1", method="POST", body=b"x")
    assert status == 503
    assert float(headers["retry-after"]) > 0
    assert sum(len(server.runs) for server in servers) == 0


def test_earlier_refusal_sent_again_proves_nothing(system):
    """The request has run, although the answer read for it is a refusal."""
    system.submit(UNSAFE)
    servers = [system.add_server("s1"), system.add_server("s2")]
    for n in range(8):
        for server in servers:
            server.misbehaviours.append(Misbehaviour.REFUSE_AFTER_RUN)
        status, headers, _ = system.call(f"/unsafe/{n}", method="POST", body=b"x")
        assert status == 502
        assert "retry-after" not in headers
        assert sum(len(server.runs) for server in servers) == n + 1
        for server in servers:
            server.misbehaviours.clear()


def test_request_without_server_is_refused(system):
    system.submit(SAFE)
    assert system.call("/safe/1")[0] == 503


def test_stream_is_forwarded_completely(system):
    system.submit(stream_route())
    system.add_server("s1")
    status, headers, body = stream(system)
    assert (status, body) == (200, EVENTS)
    assert headers["content-type"] == "text/event-stream"


def test_broken_stream_is_resumed_at_another_server(system):
    system.submit(stream_route())
    servers = [system.add_server("s1"), system.add_server("s2")]
    first = servers[0]
    first.misbehaviours.append(Misbehaviour.CUT_WITHIN)
    for _ in range(20):
        status, headers, body = stream(system)
        assert (status, body) == (200, EVENTS)
        if first.runs and not first.misbehaviours:
            break
    resumed = [run for server in servers for run in server.runs if run[2]]
    assert [run[2] for run in resumed] == ["2"]


@pytest.mark.parametrize(
    "fault", [Misbehaviour.ERROR_AS_ANSWER, Misbehaviour.FAIL, Misbehaviour.REFUSE]
)
def test_error_of_the_next_server_does_not_get_into_a_stream(system, fault):
    system.submit(stream_route(max_attempts=3))
    faults = deque()
    for name in ("s1", "s2", "s3"):
        system.add_server(name).misbehaviours = faults
    for _ in range(4):
        faults.extend([Misbehaviour.CUT_WITHIN, fault])
        assert_is_whole_or_cut(system)
        assert not faults


def test_error_within_a_stream_is_not_forwarded(system):
    system.submit(stream_route(max_attempts=4))
    for name in ("s1", "s2"):
        server = system.add_server(name)
        server.misbehaviours.extend([Misbehaviour.ERROR_AS_EVENTS] * 3)
    for _ in range(6):
        assert_is_whole_or_cut(system)


def assert_is_whole_or_cut(system) -> None:
    """Read a stream, which must be complete or visibly cut, and hold events only."""
    received, is_whole = read_raw_stream(system)
    assert EVENTS.startswith(received)
    assert is_whole == (received == EVENTS)


def read_raw_stream(system) -> tuple[bytes, bool]:
    """Return the body of a stream, and whether it ended as if it were complete."""
    sock = system.connect()
    sock.sendall(
        b"POST /stream/1 HTTP/1.1\r\nHost: example\r\nAccept: text/event-stream\r\n"
        b"Content-Length: 0\r\nConnection: close\r\n\r\n"
    )
    received = b""
    with suppress(ConnectionResetError):
        while chunk := sock.recv(65_536):
            received += chunk
    head, _, rest = received.partition(b"\r\n\r\n")
    if b" 200 " not in head.partition(b"\r\n")[0]:
        # Nothing of the stream was sent, and the error is an answer of its own.
        return b"", False
    assert b"chunked" in head.lower()
    body = b""
    while rest:
        size, _, rest = rest.partition(b"\r\n")
        body += rest[: int(size, 16)]
        if not int(size, 16):
            return body, True
        rest = rest[int(size, 16) + 2 :]
    return body, False


def test_broken_stream_without_resumption_closes_the_connection(system):
    system.submit(make_route("/stream/", kind=RouteKind.STREAM))
    server = system.add_server("s1")
    server.misbehaviours.append(Misbehaviour.CUT_WITHIN)
    sock = system.connect()
    sock.sendall(
        b"POST /stream/1 HTTP/1.1\r\nHost: example\r\nAccept: text/event-stream\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    received = b""
    while chunk := sock.recv(65_536):
        received += chunk
    assert b"data: 2" in received
    assert not received.endswith(b"0\r\n\r\n")


def test_client_disconnect_cancels_its_stream(system):
    system.submit(stream_route(timeout_ms=10_000))
    server = system.add_server("s1", n_events=200, event_pause_s=0.05)
    sock = system.connect()
    sock.sendall(
        b"POST /stream/1 HTTP/1.1\r\nHost: example\r\nAccept: text/event-stream\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    assert b"data: 1" in sock.recv(65_536) + sock.recv(65_536)
    sock.close()
    wait_until(lambda: server.n_ended_streams == 1, "the stream's end")
    (by_load,) = system.gateways[0].evidence.counts.values()
    for counts in by_load.values():
        assert (len(counts.running), counts.n_failed) == (0, 0)


def test_stream_ends_at_the_route_timeout(system):
    route = stream_route(timeout_ms=300)
    system.submit(route)
    system.add_server("s1", n_events=100, event_pause_s=0.2).confidence = "x"
    sock = system.connect()
    sock.sendall(
        b"POST /stream/1 HTTP/1.1\r\nHost: example\r\nAccept: text/event-stream\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    ended = spawn(lambda: b"".join(iter(lambda: sock.recv(65_536), b"")))
    ended.join(timeout=2.0)
    assert ended.ready()


def test_draining_server_gets_no_requests(system):
    system.submit(SAFE)
    system.add_server("s1")
    server = system.add_server("s2")
    system.send_heartbeat("s2", state=ServerState.DRAINING)
    view = system.gateways[0].view
    wait_until(lambda: len(view.servers_of(SERVICE)) == 1, "the drain")
    for _ in range(10):
        assert system.call("/safe/1")[0] == 200
    assert server.runs == []


def test_low_confidence_answer_is_requested_from_the_largest_model(system):
    system.submit(stream_route(model_sizes=("small", "large"), max_attempts=3))
    server = system.add_server("s1")
    server.confidence = "10"
    headers = {
        "Accept": "text/event-stream",
        NAMES.model.replace("-", "_"): NAMES.any_model,
    }
    status, _, body = system.call("/stream/1", method="POST", body=b"x", **headers)
    assert (status, body) == (200, EVENTS)
    key = "HTTP_" + NAMES.model.upper().replace("-", "_")
    assert [received[key] for received in server.received] == ["small", "large"]


def test_request_received_on_an_idle_connection_is_answered_before_close(
    system,
):
    system.submit(SAFE)
    system.add_server("s1")
    request = b"GET /safe/1 HTTP/1.1\r\nHost: example\r\n\r\n"
    sock = system.connect()
    sock.sendall(request)
    assert b"200 OK" in sock.recv(65_536)
    # Sent without yielding to the gateway's greenlets, so that it is not read yet.
    sock._sock.send(request)
    system.gateways[0].ingress.close_idle()
    assert b"200 OK" in sock.recv(65_536)
    sleep(0.05)
    system.gateways[0].ingress.close_idle()
    assert sock.recv(65_536) == b""


def test_safe_request_to_a_silent_server_is_retried_at_another(system):
    system.submit(SAFE)
    silent = system.add_server("s1")
    system.add_server("s2")
    silent.misbehaviours.extend([Misbehaviour.SILENT] * 20)
    for n in range(60):
        assert system.call("/safe/1")[0] == 200
        if n >= 5 and silent.runs:
            break
    assert silent.runs


def test_stream_is_resumed_elsewhere_when_its_server_falls_silent(system, monkeypatch):
    monkeypatch.setattr(
        "turmericreel.gateway.dispatcher.RESUMABLE_STREAM_IDLE_TIMEOUT_S", 0.3
    )
    system.submit(stream_route(timeout_ms=5_000))
    servers = [system.add_server("s1"), system.add_server("s2")]
    first = servers[0]
    first.misbehaviours.append(Misbehaviour.SILENT_WITHIN)
    for _ in range(20):
        assert stream(system)[2] == EVENTS
        if not first.misbehaviours:
            break
    assert [r[2] for s in servers for r in s.runs if r[2]] == ["2"]


def test_unsafe_request_to_a_silent_server_times_out_unretried(system):
    system.submit(make_route("/unsafe/", kind=RouteKind.UNSAFE, timeout_ms=900))
    silent = system.add_server("s1")
    silent.misbehaviours.append(Misbehaviour.SILENT)
    assert system.call("/unsafe/1", method="POST", body=b"x")[0] == 504
    assert len(silent.runs) == 1


def test_request_waits_briefly_for_the_first_configuration(system):
    answer = spawn(system.call, "/safe/1")
    sleep(0.1)
    system.submit(SAFE)
    system.add_server("s1")
    assert answer.get(timeout=5)[0] == 200


def test_request_stalled_at_an_active_server_is_retried_elsewhere(system):
    system.submit(SAFE, stream_route("/lively/", timeout_ms=10_000))
    active = system.add_server("s1", n_events=100, event_pause_s=0.05)
    streaming = spawn(stream, system, "/lively/1")
    wait_until(lambda: active.runs, "a stream on the server")
    system.add_server("s2", n_events=100)
    active.misbehaviours.extend([Misbehaviour.SILENT] * 20)
    for _ in range(4):
        assert system.call("/safe/1")[0] == 200
    streaming.kill()


def sessions_by_version():
    """Yield names of sessions alternately inside and outside the canary share."""
    names = [f"session-{n}" for n in range(4_000)]
    canaries = [name for name in names if is_canary(session_hash(name))]
    others = [name for name in names if not is_canary(session_hash(name))]
    for pair in zip(canaries, others, strict=False):
        yield from pair


def test_version_whose_events_come_slowly_is_rolled_back(tmp_path):
    with small_system(tmp_path, n_gateways=2) as system:
        system.submit(stream_route(max_attempts=1, timeout_ms=20_000))
        system.add_server("s1", version="v1", n_events=12, event_pause_s=0.02)
        system.add_server("s2", version="v2", n_events=12, event_pause_s=0.16)
        system.leader.order_rollout(SERVICE, "v2", duration_ms=6_000)
        machine = system.leader.machine
        sessions = sessions_by_version()

        def call(number):
            while machine.rollouts[SERVICE].stage.state is RolloutState.IN_PROGRESS:
                session = {NAMES.session.replace("-", "_"): next(sessions)}
                stream(system, gateway_index=number % 2, **session)
                sleep(0.02)

        joinall([spawn(call, number) for number in range(4)], raise_error=True)
        assert machine.rollouts[SERVICE].stage is RolloutStage.ROLLED_BACK
