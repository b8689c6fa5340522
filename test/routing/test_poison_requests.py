"""A request that ends each server that runs it reaches at most three servers."""

from time import monotonic

import pytest
from gevent import joinall, sleep, spawn

from test.routing.library import make_route
from test.routing.small_system import NAMES, small_system, stream_route, wait_until
from turmericreel.decisions.content_quarantine import (
    HEARTBEAT_DELAY_S,
    MIN_HEARTBEAT_SPAN_S,
)
from turmericreel.fakes.routed_server import Misbehaviour
from turmericreel.model.routing import RouteKind

POISON = b"poison"
MAX_ENDS = 3
N_SERVERS = 6
ROUTES = (
    make_route("/safe/", max_attempts=3),
    make_route("/unsafe/", kind=RouteKind.UNSAFE),
    stream_route(max_attempts=3),
    make_route("/safe/once/", max_attempts=1),
    stream_route("/stream/once/", max_attempts=1),
)


@pytest.fixture
def system(tmp_path):
    with small_system(tmp_path, n_coordinators=3, n_gateways=2) as running:
        running.submit(*ROUTES)
        for n in range(N_SERVERS):
            running.add_server(f"s{n}").fatal_bodies.add(POISON)
        yield running


def send_poison(system, kind: str, number: int, *, gateway_index: int) -> int:
    """Send a copy under an id of its own and return the status, or 0 without one."""
    attempt = f"attempt-{number}"
    return system.send(
        f"/{kind}/1", attempt=attempt, body=POISON, gateway_index=gateway_index
    )


def count_ends(system) -> int:
    return sum(len(server.ends) for server in system.servers.values())


@pytest.mark.parametrize("kind", ["safe", "unsafe", "stream"])
def test_request_that_ends_servers_is_not_sent_on_by_any_gateway(system, kind):
    for number in range(12):
        send_poison(system, kind, number, gateway_index=number % 2)
    assert count_ends(system) <= MAX_ENDS


@pytest.mark.parametrize("status", [404, 429, 500, 502, 503])
@pytest.mark.parametrize("kind", ["safe", "stream"])
def test_answers_without_a_run_do_not_clear_a_request_that_ends_servers(
    system, kind, status
):
    for number in range(2 * MAX_ENDS):
        send_poison(system, f"{kind}/once", 2 * number, gateway_index=0)
        for server in system.servers.values():
            server.unrun_statuses.append(status)
        send_poison(system, f"{kind}/once", 2 * number + 1, gateway_index=0)
        for server in system.servers.values():
            server.unrun_statuses.clear()
    assert count_ends(system) <= MAX_ENDS


@pytest.mark.parametrize("kind", ["safe", "stream"])
def test_answer_that_ends_with_its_server_does_not_clear_the_request(system, kind):
    for server in system.servers.values():
        server.answers_before_end = True
    for number in range(2 * MAX_ENDS):
        send_poison(system, f"{kind}/once", number, gateway_index=0)
        wait_until(
            lambda: not any(server.is_down for server in system.servers.values()),
            "the servers to start again",
        )
        sleep(0.1)
    assert 0 < count_ends(system) <= MAX_ENDS


def test_request_that_ends_servers_for_several_accounts_is_refused_for_all(system):
    accounts = {f"account-{n}": f"key-{n}" for n in range(2 * MAX_ENDS)}
    system.submit(*ROUTES, revision=2, accounts=accounts)
    key_header = NAMES.key.replace("-", "_")
    for number, key in enumerate(accounts.values()):
        options = {"attempt": f"attempt-{number}", "gateway_index": 0, key_header: key}
        system.send("/safe/once/1", body=POISON, **options)
        assert system.send("/safe/once/1", body=b"sound", **options) == 200
    assert count_ends(system) == MAX_ENDS


@pytest.mark.parametrize("kind", ["safe", "stream"])
def test_request_that_ends_servers_after_its_client_left_is_refused(system, kind):
    for server in system.servers.values():
        server.end_delay_s = 0.1
    for number in range(2 * MAX_ENDS):
        with system.connect() as client:
            client.sendall(
                f"POST /{kind}/once/1 HTTP/1.1\r\nHost: example\r\n"
                f"{NAMES.attempt_id}: left-{number}\r\n"
                f"Content-Length: {len(POISON)}\r\n\r\n".encode()
                + POISON
            )
            sleep(0.05)
        sleep(0.2)
        wait_until(
            lambda: not any(server.is_down for server in system.servers.values()),
            "the servers to start again",
        )
        sleep(0.1)
    assert 0 < count_ends(system) <= MAX_ENDS


def test_request_that_ends_servers_is_not_sent_on_without_coordinators(system):
    for coordinator in system.coordinators:
        coordinator.stop()
    for number in range(12):
        send_poison(system, "safe", number, gateway_index=0)
    assert count_ends(system) <= MAX_ENDS


def test_simultaneous_copies_of_a_request_that_ends_servers_are_bounded(system):
    send_poison(system, "unsafe", 0, gateway_index=0)
    joinall(
        [
            spawn(send_poison, system, "unsafe", number, gateway_index=0)
            for number in range(1, 12)
        ]
    )
    assert count_ends(system) <= MAX_ENDS


def quarantine(system) -> None:
    """Send the poison until all gateways refuse it."""
    for number in range(MAX_ENDS):
        send_poison(system, "unsafe", number, gateway_index=0)
    wait_until(
        lambda: all(g.guard.n_quarantined() for g in system.gateways),
        "quarantine at all gateways",
    )


def start_gateway(system) -> int:
    """Start one more gateway and return its index."""
    address = f"127.0.2.{len(system.gateways) + 1}:{system.control_port}"
    system.gateways.append(system.start_gateway(address))
    system.wait_for_revision(1)
    return len(system.gateways) - 1


def test_quarantined_request_is_refused_unrun_and_others_are_served(system):
    quarantine(system)
    for server in system.servers.values():
        server.runs.clear()
    status, headers, _ = system.call("/unsafe/1", method="POST", body=POISON)
    assert status == 503
    assert float(headers["retry-after"]) > 0
    assert not any(server.runs for server in system.servers.values())
    assert system.call("/unsafe/1", method="POST", body=b"x")[0] == 200


def test_quarantine_is_known_to_a_gateway_that_starts_later(system):
    quarantine(system)
    index = start_gateway(system)
    assert send_poison(system, "unsafe", 9, gateway_index=index) == 503


def test_quarantine_survives_the_loss_of_all_coordinators(system):
    quarantine(system)
    for coordinator in system.coordinators:
        coordinator.stop()
    assert send_poison(system, "unsafe", 9, gateway_index=0) == 503
    system.coordinators = [
        system.start_coordinator(seed, is_founder=True, has_disk=False)
        for seed in system.seeds
    ]
    wait_until(
        lambda: all(c.hub.crashes.reports() for c in system.coordinators),
        "records at the new coordinators",
    )


def test_quarantine_survives_a_restart_of_all_gateways_and_coordinators(system):
    quarantine(system)
    wait_until(
        lambda: all(c.cache.load().crashes for c in system.coordinators),
        "records on disk",
    )
    for gateway in system.gateways:
        gateway.kill()
    for coordinator in system.coordinators:
        coordinator.stop()
    system.coordinators = [
        system.start_coordinator(seed, is_founder=True) for seed in system.seeds
    ]
    system.gateways = []
    index = start_gateway(system)
    assert send_poison(system, "unsafe", 9, gateway_index=index) == 503


def test_request_whose_connections_break_at_living_servers_is_served_again(system):
    for server in system.servers.values():
        server.fatal_bodies.clear()
        server.misbehaviours.append(Misbehaviour.CUT_BEFORE)
    for number in range(MAX_ENDS):
        send_poison(system, "unsafe", number, gateway_index=0)
    assert send_poison(system, "unsafe", 8, gateway_index=0) == 503
    for server in system.servers.values():
        server.misbehaviours.clear()
    deadline = monotonic() + HEARTBEAT_DELAY_S + MIN_HEARTBEAT_SPAN_S + 1.0
    while monotonic() < deadline:
        for name in system.servers:
            system.send_heartbeat(name)
        sleep(0.5)
    assert send_poison(system, "unsafe", 9, gateway_index=0) == 200
