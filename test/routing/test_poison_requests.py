"""A request that ends each server that runs it reaches at most three servers."""

import pytest
from gevent import joinall, spawn

from test.routing.library import make_route
from test.routing.small_system import NAMES, small_system, stream_route
from turmericreel.model.routing import RouteKind

POISON = b"poison"
MAX_ENDS = 3
N_SERVERS = 6
ROUTES = (
    make_route("/safe/", max_attempts=3),
    make_route("/unsafe/", kind=RouteKind.UNSAFE),
    stream_route(max_attempts=3),
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
    headers = {NAMES.attempt_id.replace("-", "_"): f"attempt-{number}"}
    if kind == "stream":
        headers["Accept"] = "text/event-stream"
    try:
        status, _, _ = system.call(
            f"/{kind}/1",
            gateway_index=gateway_index,
            method="POST",
            body=POISON,
            **headers,
        )
    except (OSError, ValueError):
        return 0
    return status


def count_ends(system) -> int:
    return sum(server.n_ends for server in system.servers.values())


@pytest.mark.parametrize("kind", ["safe", "unsafe", "stream"])
def test_request_that_ends_servers_is_not_sent_on_by_any_gateway(system, kind):
    for number in range(12):
        send_poison(system, kind, number, gateway_index=number % 2)
    assert count_ends(system) <= MAX_ENDS


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
