"""Connections that gateways open to servers for each other keep all other promises."""

from collections.abc import Iterator
from contextlib import contextmanager
from time import monotonic

import pytest
from gevent import joinall, sleep, spawn
from gevent.socket import create_connection

from test.routing.gateway_paths import Cut, FirstTries, GatewayPaths
from test.routing.library import make_route
from test.routing.small_system import (
    NAMES,
    SmallSystem,
    small_system,
    stream_route,
    wait_until,
)
from turmericreel.decisions.server_paths import (
    CUT_OFF_S,
    LOST_PATH_S,
    MAX_CHECK_PAUSE_S,
    PathState,
    ServerPaths,
)
from turmericreel.fakes.routed_server import Misbehaviour
from turmericreel.model.routing import RouteKind
from turmericreel.protocols.addresses import parse_address
from turmericreel.protocols.frames import FrameStream
from turmericreel.protocols.relay_messages import (
    OpenRelay,
    RelayAnswer,
    RelayFailed,
    RelayObstacle,
)

CANCEL_S = 0.5


@pytest.fixture
def system(tmp_path):
    with cut_system(tmp_path, n_gateways=2) as running:
        yield running


@contextmanager
def cut_system(
    folder, *, n_gateways: int, n_servers: int = 2, n_cut: int = 1, **options
) -> Iterator[SmallSystem]:
    """Run a system whose first gateways reach servers only through the others."""
    with small_system(folder, n_gateways=n_gateways, **options) as running:
        running.submit(
            make_route("/safe/", max_attempts=2),
            make_route("/unsafe/", kind=RouteKind.UNSAFE, max_attempts=1),
            stream_route(max_attempts=3),
        )
        running.paths = [GatewayPaths(gateway) for gateway in running.gateways]
        for number in range(n_servers):
            running.add_server(f"s{number}")
        wait_until(
            lambda: all(len(g.view.gateways) == n_gateways for g in running.gateways),
            "all gateways known",
        )
        for paths in running.paths[:n_cut]:
            paths.cut(Cut.RESET)
        yield running
        for paths in running.paths:
            paths.stop()


def ask_for_relay(system: SmallSystem, address: str, *, source: str) -> RelayFailed:
    """Ask the second gateway for a connection from an address."""
    host = system.gateways[1].settings.client_address.partition(":")[0]
    sock = create_connection(
        (host, system.relay_port), timeout=2.0, source_address=(source, 0)
    )
    stream = FrameStream(sock=sock, message_type=RelayAnswer)
    stream.send(OpenRelay(server_address=address, timeout_ms=200))
    answer = stream.receive()
    stream.close()
    return answer


def test_clients_get_no_relay(system):
    server = system.servers["s0"]
    answer = ask_for_relay(system, server.address, source="127.0.0.1")
    assert answer == RelayFailed(
        obstacle=RelayObstacle.GATEWAY, detail="not a listed gateway"
    )


def test_relays_lead_to_registered_servers_only(system):
    answer = ask_for_relay(system, "127.0.0.1:9", source="127.0.2.1")
    assert answer == RelayFailed(
        obstacle=RelayObstacle.PATH, detail="not a registered server"
    )


def test_relays_of_one_gateway_are_bounded(system, monkeypatch):
    monkeypatch.setattr("turmericreel.gateway.relay_listener.MAX_RELAYS", 1)
    address = parse_address(system.servers["s0"].address)
    first = system.gateways[0].connections.relayed.connect(address, timeout=1.0)
    answer = ask_for_relay(system, str(address), source="127.0.2.1")
    assert answer == RelayFailed(
        obstacle=RelayObstacle.GATEWAY, detail="too many connections"
    )
    first.close()
    wait_until(lambda: system.gateways[1].relays.n_relays == 0, "no open relay")
    system.gateways[0].connections.relayed.connect(address, timeout=1.0).close()


def test_unsafe_request_runs_once_when_its_relayed_connection_breaks(system):
    for server in system.servers.values():
        server.misbehaviours.append(Misbehaviour.CUT_BEFORE)
    assert system.call("/unsafe/1", method="POST", body=b"x")[0] == 502
    assert sum(len(server.runs) for server in system.servers.values()) == 1


def test_key_and_account_are_those_of_the_gateway_that_the_client_reached(system):
    system.submit(
        make_route("/safe/"), revision=2, accounts={"household": "secret-key"}
    )
    headers = {NAMES.key: "secret-key", NAMES.account: "forged"}
    assert system.call("/safe/1", **headers)[0] == 200
    (received,) = [r for s in system.servers.values() for r in s.received]
    values = [str(value) for value in received.values()]
    assert "secret-key" not in values
    assert "forged" not in values
    assert "household" in values


def test_reset_of_an_unframed_answer_is_passed_on_as_one(system):
    for server in system.servers.values():
        server.misbehaviours.extend([Misbehaviour.UNFRAMED_RESET] * 4)
    assert system.call("/unsafe/1", method="POST", body=b"x")[0] == 502


def test_whole_unframed_answer_passes(system):
    for server in system.servers.values():
        server.misbehaviours.append(Misbehaviour.UNFRAMED)
    status, _, body = system.call("/unsafe/1", method="POST", body=b"x")
    assert (status, body[:9]) == (200, b"answer of")


def test_relayed_stream_is_cancelled_when_its_client_leaves(system):
    for server in system.servers.values():
        server.event_pause_s, server.n_events = 0.1, 100
    sock = system.connect()
    sock.sendall(
        b"POST /stream/1 HTTP/1.1\r\nHost: example\r\nAccept: text/event-stream\r\n"
        b"Content-Length: 0\r\n\r\n"
    )
    assert b"200 OK" in sock.recv(4_096)
    sock.close()
    sleep(CANCEL_S)
    assert sum(server.n_ended_streams for server in system.servers.values()) == 1
    wait_until(lambda: system.gateways[1].relays.n_relays == 0, "no open relay")


def test_broken_relayed_stream_is_resumed(system):
    system.servers["s0"].misbehaviours.append(Misbehaviour.CUT_WITHIN)
    system.servers["s1"].misbehaviours.append(Misbehaviour.CUT_BEFORE)
    system.add_server("s2")
    status, _, body = system.call("/stream/1", Accept="text/event-stream")
    assert status == 200
    assert body == b"".join(b"id: %d\ndata: %d\n\n" % (n, n) for n in range(1, 5))


def test_request_that_ends_servers_is_refused_by_cut_off_gateways_too(tmp_path):
    with cut_system(tmp_path, n_gateways=4, n_servers=4, n_cut=3) as system:
        for server in system.servers.values():
            server.fatal_bodies.add(b"fatal")
            server.restart_delay_s = 0.5
        for number in range(40):
            system.send(
                "/safe/1", attempt=f"a{number}", body=b"fatal", gateway_index=number % 4
            )
            sleep(0.05)
        assert sum(len(server.ends) for server in system.servers.values()) <= 3


def test_requests_are_refused_at_once_when_all_gateways_are_cut_off(tmp_path):
    with cut_system(tmp_path, n_gateways=3, n_cut=3) as system:
        system.call("/unsafe/0", method="POST", body=b"x")
        sleep(CUT_OFF_S)
        for number in range(5):
            began = monotonic()
            status, headers, _ = system.call(f"/unsafe/{number}", method="POST")
            assert status == 503
            assert "retry-after" in headers
            assert monotonic() - began < 0.3
        assert not any(server.received for server in system.servers.values())


def test_service_that_is_down_is_refused_at_once(system):
    for paths in system.paths:
        paths.heal()
    for server in system.servers.values():
        server.stop()
    system.call("/unsafe/0", method="POST", body=b"x")
    began = monotonic()
    assert system.call("/unsafe/1", method="POST", body=b"x")[0] == 503
    assert monotonic() - began < 0.3
    paths = system.gateways[0].connections.paths
    assert paths.n_in(PathState.RELAYED) == 0


def test_healed_paths_are_used_again(system):
    assert system.call("/safe/1")[0] == 200
    paths = system.gateways[0].connections.paths
    assert paths.n_in(PathState.RELAYED) > 0
    system.paths[0].heal()
    wait_until(lambda: paths.n_in(PathState.RELAYED) == 0, "direct paths")
    opened = system.gateways[0].connections.relayed.n_opened
    assert system.call("/safe/2")[0] == 200
    assert system.gateways[0].connections.relayed.n_opened == opened


def test_a_gateway_that_stops_finishes_what_it_carries_for_others(tmp_path):
    with cut_system(tmp_path, n_gateways=3) as system:
        for server in system.servers.values():
            server.event_pause_s = 0.1
        tries = FirstTries(system, per_second=10.0)
        system.gateways = system.gateways[:1] + system.gateways[2:]
        stopping = system.gateways[-1]
        traffic = spawn(tries.run, 2.0)
        sleep(0.7)
        stopped = spawn(stopping.stop)
        system.gateways = system.gateways[:1]
        traffic.get()
        joinall([stopped])
        first = tries.n_served({0}, since=0.0, until=monotonic())
        assert first[False] == 0
        system.gateways.append(stopping)


def test_silent_servers_are_checked_and_busy_ones_are_not():
    paths = ServerPaths()
    paths.record_reached("s1", now=10.0)
    assert not paths.is_check_due("s1", waiting_since=10.0, now=10.4)
    assert paths.is_check_due("s1", waiting_since=10.0, now=10.6)
    paths.record_checked("s1", now=10.6)
    paths.record_reached("s1", now=10.6)
    # The server is slow, and was reached.
    assert not paths.is_check_due("s1", waiting_since=10.0, now=11.2)
    assert not paths.is_check_due("s1", waiting_since=12.9, now=13.0)


def test_lost_connections_are_explained_by_another_gateway_or_not_at_all():
    paths = ServerPaths()
    paths.record_lost("s1", now=1.0)
    paths.record_unreached("s1", now=1.1)
    assert paths.has_lost("s1", now=1.2)
    assert not paths.has_lost("s2", now=1.2)
    assert not paths.has_lost("s1", now=1.0 + LOST_PATH_S)
    paths.record_relayed("s1", now=1.3)
    assert not paths.has_lost("s1", now=1.3)
    paths.record_lost("s1", now=2.0)
    paths.record_relayed("s1", now=2.1)
    assert not paths.has_lost("s1", now=2.1)


def test_failed_paths_are_checked_until_they_work():
    paths = ServerPaths()
    paths.record_failed("s1", now=1.0)
    assert paths.record_relayed("s1", now=1.0)
    now = 1.0
    for _ in range(6):
        now += MAX_CHECK_PAUSE_S
        assert paths.is_check_due("s1", waiting_since=now, now=now)
        paths.record_failed("s1", now=now)
        assert paths.state_of("s1", now=now) is PathState.RELAYED
    assert paths.record_reached("s1", now=now)
    assert paths.state_of("s1", now=now) is PathState.DIRECT
    assert not paths.not_direct


def test_only_a_gateway_that_reaches_no_server_is_cut_off():
    paths = ServerPaths()
    paths.record_reached("s1", now=1.0)
    paths.record_failed("s2", now=1.1)
    assert not paths.is_cut_off(now=1.5)
    paths.record_reached("s1", now=1.6)
    assert not paths.is_cut_off(now=5.0)
    paths.record_failed("s1", now=5.0)
    assert paths.is_cut_off(now=5.1)


@pytest.mark.parametrize("is_unframed", [True, False])
def test_end_of_a_gateway_is_not_taken_for_the_end_of_an_answer_or_a_server(
    tmp_path, is_unframed
):
    with cut_system(tmp_path, n_gateways=2, n_servers=1) as system:
        server = system.servers["s0"]
        server.event_pause_s = 0.3
        if is_unframed:
            server.misbehaviours.append(Misbehaviour.UNFRAMED_STALLED)
        sock = system.connect()
        sock.sendall(
            b"POST /stream/1 HTTP/1.1\r\nHost: example\r\nAccept: text/event-stream\r\n"
            b"Content-Length: 0\r\n\r\n"
        )
        sleep(0.4)
        # The sockets of a killed process are closed, not reset.
        system.gateways[1].relays.stop()
        received = b""
        while data := sock.recv(4_096):
            received += data
        assert not received.endswith(b"0\r\n\r\n")
        assert system.gateways[0].guard.quarantine.records() == ()


def test_server_that_fails_behind_another_gateway_stays_paused(system):
    gateway, address = system.gateways[0], parse_address(system.servers["s0"].address)
    assert gateway.connections.check_relayed(address)
    gateway.chooser.loads.record_failure("s0", now=monotonic())
    assert gateway.connections.check_relayed(address)
    assert gateway.chooser.loads.is_paused("s0", now=monotonic())
    assert gateway.chooser.loads.collect_outcomes()["s0"].n_failed == 1


def test_requests_are_not_held_up_at_silent_servers_that_no_gateway_reaches(tmp_path):
    with cut_system(tmp_path, n_gateways=2, n_cut=0) as system:
        for paths in system.paths:
            paths.cut(Cut.HANG)
        system.call("/unsafe/0", method="POST", body=b"x")
        began = monotonic()
        assert system.call("/unsafe/1", method="POST", body=b"x")[0] == 503
        assert monotonic() - began < 0.3
