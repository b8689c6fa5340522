"""A prompt part that ends each server that answers it reaches only a few servers."""

from itertools import count

import pytest
from gevent import joinall, sleep, spawn

from test.routing.library import make_route
from test.routing.small_system import NAMES, small_system, stream_route, wait_until
from turmericreel.decisions.content_quarantine import MAX_CRASHES
from turmericreel.fakes.routed_server import Misbehaviour
from turmericreel.model.routing import RouteKind

# The limit on requests with such a part holds from the fifth ended server on.
MAX_ENDS = 5
# Requests with the part that may reach servers after gateways have learnt of it.
MAX_LATE_REQUESTS = 3
# Time in which all gateways learn of a server that ended.
LEARNING_TIME_S = 0.1
N_SERVERS = 10
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
            running.add_server(f"s{n}").fatal_parts = {"bad", "worse"}
        yield running


def send(system, kind: str, number: int, *parts: str, gateway_index: int = 0) -> int:
    """Send a request unlike any other and return its status, or 0 without one."""
    listed = ",".join(f"{part}:100" for part in (*parts, f"own-{number}"))
    return system.send(
        f"/{kind}/{number}",
        attempt=f"attempt-{number}",
        body=b"%d" % number,
        gateway_index=gateway_index,
        **{NAMES.prompt_parts: listed},
    )


def count_ends(system) -> int:
    return sum(len(server.ends) for server in system.servers.values())


@pytest.mark.parametrize("kind", ["safe", "unsafe", "stream"])
def test_part_that_ends_servers_is_not_sent_on_in_other_requests(system, kind):
    for number in range(12):
        parts = ("system", f"document-{number}", "bad")
        send(system, kind, number, *parts, gateway_index=number % 2)
        sleep(LEARNING_TIME_S)
    assert count_ends(system) <= MAX_ENDS


def test_two_parts_that_end_servers_are_both_refused(system):
    for number in range(24):
        part = "bad" if number % 4 < 2 else "worse"
        send(system, "unsafe", number, "system", part, gateway_index=number % 2)
        sleep(LEARNING_TIME_S)
    assert count_ends(system) <= 2 * MAX_ENDS


def test_simultaneous_requests_with_a_part_that_ends_servers_are_bounded(system):
    def send_burst(first):
        numbers = range(first, first + 20)
        joinall(
            [
                spawn(send, system, "safe", n, "system", "bad", gateway_index=n % 2)
                for n in numbers
            ]
        )
        sleep(0.3)

    send_burst(0)
    n_ends = count_ends(system)
    send_burst(20)
    send_burst(40)
    assert count_ends(system) <= n_ends + MAX_LATE_REQUESTS


def quarantine(system) -> None:
    """Send requests with the bad part until all gateways refuse them."""
    for number in range(MAX_CRASHES):
        send(system, "unsafe", number, "system", "bad")
    wait_until(
        lambda: all(g.guard.n_quarantined() for g in system.gateways),
        "quarantine at all gateways",
    )


def test_sound_requests_that_share_all_other_parts_are_served(system):
    assert send(system, "unsafe", 100, "system", "document") == 200
    for number in range(12):
        send(system, "unsafe", number, "system", "document", "bad")
    sleep(0.5)
    for number in range(200, 212):
        parts = ("system", "document")
        assert send(system, "unsafe", number, *parts, gateway_index=number % 2) == 200


def test_sound_requests_are_served_although_no_part_was_ever_completed(system):
    for number in range(12):
        send(system, "unsafe", number, "system", "bad", gateway_index=number % 2)
    sleep(0.5)

    numbers = count(1_000)

    def is_served() -> bool:
        statuses = {
            send(system, "unsafe", next(numbers), "system", gateway_index=index)
            for index in (0, 1)
        }
        return statuses == {200}

    wait_until(is_served, "sound requests to be served")
    assert send(system, "unsafe", 2_000, "system", "bad") == 503


def test_sound_parts_are_not_refused_as_servers_end_for_other_reasons(system):
    assert send(system, "safe", 100, "system") == 200
    for round_number in range(4):
        for server in system.servers.values():
            server.misbehaviours.append(Misbehaviour.CUT_BEFORE)
        for number in range(6):
            send(system, "safe", 10 * round_number + number, "system")
        for server in system.servers.values():
            server.misbehaviours.clear()
    assert send(system, "safe", 200, "system") == 200
    assert send(system, "safe", 201, "system", gateway_index=1) == 200


def test_part_stays_refused_when_gateways_and_coordinators_restart(system):
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
    address = f"127.0.2.{len(system.gateways) + 1}:{system.control_port}"
    system.gateways = [system.start_gateway(address)]
    system.wait_for_revision(1)
    assert send(system, "unsafe", 90, "system", "bad") == 503


def test_part_stays_refused_without_coordinators(system):
    quarantine(system)
    for coordinator in system.coordinators:
        coordinator.stop()
    assert send(system, "unsafe", 91, "system", "bad", gateway_index=1) == 503


def test_stand_in_ends_under_a_fatal_part_whatever_else_is_wrong_with_its_answer(
    system,
):
    for server in system.servers.values():
        server.misbehaviours.append(Misbehaviour.UNFRAMED)
    assert send(system, "stream", 1, "system", "bad") != 200
    assert count_ends(system) >= 1
