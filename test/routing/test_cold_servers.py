"""Cold servers get no more requests than they take, from gateways in a small system."""

from time import monotonic

import pytest
from gevent import sleep

from test.routing.library import make_route
from test.routing.small_system import (
    NAMES,
    SmallSystem,
    small_system,
    stream_route,
    wait_until,
)
from test.routing.test_server_rates import add_servers, n_arrived, traffic
from turmericreel.decisions.gateway_cold import LEADER_TIMEOUT_S
from turmericreel.fakes.routed_server import RoutedServer
from turmericreel.model.routing import RouteKind
from turmericreel.model.routing_settings import ColdBounds

RATE = 5.0
BOUNDS = ColdBounds(overshoot=1.5, slack=4.5)
MAX_IN_SECOND = RATE * BOUNDS.overshoot + BOUNDS.slack
COLD_MS = 60_000
N_GATEWAYS = 6
KINDS = ["safe", "unsafe", "stream"]


def submit_routes(system: SmallSystem, *, cold_rate: float | None = RATE) -> None:
    system.submit(
        make_route("/safe/", max_attempts=3),
        make_route("/unsafe/", kind=RouteKind.UNSAFE),
        stream_route(max_attempts=3),
        cold_rate=cold_rate,
    )


@pytest.fixture
def system(tmp_path):
    with small_system(
        tmp_path, n_coordinators=3, n_gateways=N_GATEWAYS, cold_bounds=BOUNDS
    ) as running:
        submit_routes(running)
        yield running


def n_most(server: RoutedServer, *, since: float) -> int:
    """Return the most requests that arrived within any second since a time."""
    times = sorted(at for at in server.received_at if at >= since)
    return max(
        (sum(first <= at < first + 1.0 for at in times) for first in times), default=0
    )


def n_cold_known(system: SmallSystem) -> list[int]:
    return [gateway.chooser.rates.cold.n_cold() for gateway in system.gateways]


def make_cold(system: SmallSystem, *names: str, **options) -> float:
    """Report that servers are cold; return when all gateways know it."""
    for name in names:
        system.send_heartbeat(name, cold_ms=COLD_MS, **options)
    wait_until(
        lambda: min(n_cold_known(system)) >= len(names), "cold servers at all gateways"
    )
    return monotonic()


@pytest.mark.parametrize("kind", KINDS)
def test_cold_server_gets_no_more_than_it_takes_from_all_gateways(system, kind):
    (cold,) = add_servers(system, "s1")
    for warm in add_servers(system, "s2", "s3"):
        warm.load_report = "20,0,4"
    with traffic(system, f"/{kind}/", per_second=60.0) as sent:
        sleep(0.5)
        since = make_cold(system, "s1")
        sleep(4.0)
        until = monotonic()
    assert n_most(cold, since=since) <= MAX_IN_SECOND
    assert n_arrived(cold, since=since) >= 0.3 * RATE * (until - since)
    assert set(sent.statuses(0.0)) == {200}


def test_all_servers_are_cold_while_the_leader_is_lost(system):
    servers = add_servers(system, "s1", "s2", "s3")
    since = make_cold(system, "s1", "s2", "s3")
    with traffic(system, per_second=60.0) as sent:
        sleep(2.0)
        lost = system.leader
        lost.stop()
        system.coordinators.remove(lost)
        sleep(5.0)
    for server in servers:
        assert n_most(server, since=since) <= MAX_IN_SECOND
    assert set(sent.statuses(0.0)) == {200, 503}
    # The other coordinators grant again.
    late = [at for server in servers for at in server.received_at]
    assert max(late) >= since + 5.0


def test_without_coordinators_cold_servers_get_rare_requests_only(system):
    servers = add_servers(system, "s1", "s2")
    make_cold(system, "s1", "s2")
    for coordinator in system.coordinators:
        coordinator.stop()
    system.coordinators.clear()
    sleep(LEADER_TIMEOUT_S + 0.5)
    since = monotonic()
    with traffic(system, per_second=40.0) as sent:
        sleep(3.0)
    for server in servers:
        assert n_most(server, since=since) <= MAX_IN_SECOND / 2
    refused = [r for _, status, r in sent.answers if status == 503]
    assert refused
    assert all(float(retry_after) > 0.0 for retry_after in refused)


def test_server_that_gets_cold_is_published_by_whichever_coordinator_hears_it(system):
    add_servers(system, "s1")
    for index in range(3):
        system.send_heartbeat("s1", coordinator_index=index)
        wait_until(lambda: max(n_cold_known(system)) == 0, "a warm server")
        make_cold(system, "s1", coordinator_index=index)


def test_gateway_that_starts_knows_the_cold_servers_before_it_is_ready(system):
    add_servers(system, "s1", "s2")
    make_cold(system, "s1")
    gateway = system.start_gateway(f"127.0.2.99:{system.control_port}")
    system.gateways.append(gateway)
    wait_until(lambda: "s1" in gateway.view.servers, "servers at the new gateway")
    assert gateway.chooser.rates.cold.n_cold() == 1
    (server,) = (s for s in gateway.view.servers.values() if s.server == "s1")
    assert not gateway.chooser.rates.cold.ready([server])


def test_gateway_that_connects_late_takes_over_the_time_that_is_left(system):
    add_servers(system, "s1")
    system.send_heartbeat("s1", cold_ms=4_000)
    wait_until(lambda: min(n_cold_known(system)) == 1, "a cold server")
    sleep(1.0)
    gateway = system.start_gateway(f"127.0.2.99:{system.control_port}")
    system.gateways.append(gateway)
    wait_until(lambda: "s1" in gateway.view.servers, "servers at the new gateway")
    left_ms = gateway.view.servers["s1"].warmup_left_ms
    assert 0 < left_ms <= 3_000


def test_answer_that_says_that_the_server_is_cold_counts_at_once(system):
    (server,) = add_servers(system, "s1")
    server.cold_ms = "30000"
    assert system.call("/safe/1")[0] == 200
    assert n_cold_known(system) == [1, *[0] * (N_GATEWAYS - 1)]
    server.cold_ms = "soon"
    assert system.call("/safe/2", gateway_index=1)[0] == 200
    assert n_cold_known(system)[1] == 0


def test_service_without_a_limit_is_served_as_before(tmp_path):
    with small_system(tmp_path, n_gateways=2, cold_bounds=BOUNDS) as system:
        submit_routes(system, cold_rate=None)
        (server,) = add_servers(system, "s1")
        since = make_cold(system, "s1")
        with traffic(system, per_second=60.0) as sent:
            sleep(1.5)
        assert set(sent.statuses(0.0)) == {200}
        assert n_arrived(server, since=since) == len(sent.answers)
        assert all(g.chooser.rates.cold.report() is None for g in system.gateways)


def test_refused_client_is_told_when_to_return(system):
    add_servers(system, "s1")
    make_cold(system, "s1")
    with traffic(system, per_second=80.0) as sent:
        sleep(2.5)
    refused = [float(after) for _, status, after in sent.answers if status == 503]
    assert refused
    assert all(0.0 < after <= 2.0 / 3 + 0.01 for after in refused)
    header = {NAMES.attempt_id: "late"}
    assert system.call("/safe/last", **header)[0] in (200, 503)


def test_servers_of_a_returned_data_centre_count_as_cold_until_they_report(system):
    # They got cold shortly before, which no heartbeat has told yet.
    returned = system.add_server("s1", data_centre="b")
    add_servers(system, "s2")
    orders = system.leader.evacuations
    orders.order("b", is_evacuated=True)
    evacuations = [gateway.view.evacuations for gateway in system.gateways]
    wait_until(lambda: all(e.evacuated for e in evacuations), "the evacuation")
    with traffic(system, "/safe/", per_second=60.0):
        sleep(0.3)
        since = monotonic()
        orders.order("b", is_evacuated=False)
        wait_until(lambda: not any(e.evacuated for e in evacuations), "the withdrawal")
        assert min(n_cold_known(system)) == 1
        assert system.leader.hub.cold.n_cold() == 1
        sleep(1.5)
    assert n_most(returned, since=since) <= MAX_IN_SECOND
