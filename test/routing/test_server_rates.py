"""Servers that name a rate get no more requests than it from all gateways together."""

from collections.abc import Iterator
from contextlib import contextmanager
from time import monotonic

import pytest
from gevent import sleep, spawn

from test.routing.library import make_route
from test.routing.small_system import (
    SmallSystem,
    small_system,
    stream_route,
    wait_until,
)
from turmericreel.decisions.rate_limits import (
    GRANT_WAIT_S,
    PROBE_RATE,
)
from turmericreel.fakes.routed_server import Misbehaviour, RoutedServer
from turmericreel.model.routing import RouteKind
from turmericreel.model.server_crash import ServerProcess
from turmericreel.model.server_rate import RateGrant
from turmericreel.protocols.routing_messages import ServerWork

RATE = 2.3
WINDOW_S = 4.0
# Requests that a limited server may get in any window, and the time after which the
# limit is in force at all gateways.
MAX_IN_WINDOW = 1.5 * RATE * WINDOW_S + 5
LEARNING_TIME_S = 3.0
N_GATEWAYS = 4
KINDS = ["safe", "unsafe", "stream"]


@pytest.fixture
def system(tmp_path):
    with small_system(tmp_path, n_coordinators=3, n_gateways=N_GATEWAYS) as running:
        running.submit(
            make_route("/safe/", max_attempts=3),
            make_route("/unsafe/", kind=RouteKind.UNSAFE),
            stream_route(max_attempts=3),
        )
        yield running


class Traffic:
    """Requests at a fixed rate through all gateways in turn.

    Attributes
    ----------
    answers : list of tuple
        Time in seconds, status and retry delay of each answer.
    sent_at : list of float
        Time in seconds at which each request was sent.
    """

    def __init__(self, system: SmallSystem, path: str, *, per_second: float):
        self.system = system
        self.path = path
        self.interval_s = 1 / per_second
        self.answers: list[tuple[float, int, str]] = []
        self.sent_at: list[float] = []
        self.running = True
        self.task = spawn(self._run)

    def _run(self) -> None:
        number = 0
        while self.running:
            spawn(self._send, number)
            self.sent_at.append(monotonic())
            number += 1
            sleep(self.interval_s)

    def _send(self, number: int) -> None:
        accept = {"Accept": "text/event-stream"} if "stream" in self.path else {}
        status, headers, _ = self.system.call(
            f"{self.path}{number}",
            gateway_index=number % len(self.system.gateways),
            **accept,
        )
        self.answers.append((monotonic(), status, headers.get("retry-after", "")))

    def statuses(self, since: float) -> list[int]:
        """Return the statuses of the answers since a time."""
        return [status for at, status, _ in self.answers if at >= since]


@contextmanager
def traffic(
    system: SmallSystem, path: str = "/safe/", *, per_second: float = 40.0
) -> Iterator[Traffic]:
    """Send requests during the context."""
    sent = Traffic(system, path, per_second=per_second)
    try:
        yield sent
    finally:
        sent.running = False
        sent.task.join()
        sleep(0.5)


def add_servers(system: SmallSystem, *names: str, rate: str = "") -> list[RoutedServer]:
    servers = [system.add_server(name) for name in names]
    for server in servers:
        server.rate_limit = rate
    return servers


def n_most(server: RoutedServer, *, since: float) -> int:
    """Return the most requests that arrived in any window since a time."""
    times = sorted(at for at in server.received_at if at >= since)
    return max(
        (sum(first <= at < first + WINDOW_S for at in times) for first in times),
        default=0,
    )


def n_arrived(server: RoutedServer, *, since: float) -> int:
    return sum(at >= since for at in server.received_at)


@pytest.mark.parametrize("kind", KINDS)
def test_limited_server_gets_no_more_than_it_takes_from_all_gateways(system, kind):
    (limited,) = add_servers(system, "s1", rate=str(RATE))
    add_servers(system, "s2", "s3", "s4")
    began = monotonic()
    with traffic(system, f"/{kind}/") as sent:
        sleep(LEARNING_TIME_S + 1.5 * WINDOW_S)
    known_at = began + LEARNING_TIME_S
    assert n_most(limited, since=known_at) <= MAX_IN_WINDOW
    # It is still given most of what it takes, and the others serve the rest.
    assert n_arrived(limited, since=known_at) >= 0.5 * RATE * 1.5 * WINDOW_S
    assert set(sent.statuses(known_at)) == {200}


def all_know_limit(system: SmallSystem, n_limited: int = 1) -> bool:
    gateways = system.gateways
    return all(g.chooser.rates.rates.n_limited() == n_limited for g in gateways)


def learn_limits(system: SmallSystem, *servers: RoutedServer) -> None:
    """Send requests until all gateways know the servers' limits."""
    while not all(server.received for server in servers):
        system.call("/safe/1")
    wait_until(lambda: all_know_limit(system, len(servers)), "limits at all gateways")


def test_retries_and_resumed_streams_keep_to_the_limit(system):
    (limited,) = add_servers(system, "s1", rate=str(RATE))
    for server in add_servers(system, "s2", "s3"):
        server.misbehaviours.extend([Misbehaviour.CUT_WITHIN] * 1_000)
    began = monotonic()
    with traffic(system, "/stream/", per_second=10.0):
        sleep(LEARNING_TIME_S + WINDOW_S)
    known_at = began + LEARNING_TIME_S
    assert n_most(limited, since=known_at) <= MAX_IN_WINDOW


def test_clients_are_refused_at_once_with_spread_times_when_all_servers_are_limited(
    system,
):
    servers = add_servers(system, "s1", "s2", rate=str(RATE))
    learn_limits(system, *servers)
    began = monotonic()
    with traffic(system, per_second=40.0) as sent:
        sleep(WINDOW_S)
    assert all(n_most(s, since=began) <= MAX_IN_WINDOW for s in servers)
    n_served = sent.statuses(began).count(200)
    assert n_served >= 0.5 * 2 * RATE * WINDOW_S
    refused = [float(delay) for _, status, delay in sent.answers if status == 503]
    assert len(refused) > 80
    # Clients have two seconds.
    assert min(refused) > 0 and max(refused) <= 2.0 / 3
    assert len(set(refused)) > len(refused) / 3
    times = []
    for number in range(10):
        before = monotonic()
        system.call(f"/safe/{number}")
        times.append(monotonic() - before)
    assert sorted(times)[5] < GRANT_WAIT_S / 2


def test_rare_requests_are_served_although_all_servers_are_limited(system):
    servers = add_servers(system, "s1", rate=str(RATE))
    learn_limits(system, *servers)
    statuses = []
    for number in range(8):
        sleep(1 / RATE + 0.1)
        index = number % N_GATEWAYS
        statuses.append(system.call("/safe/1", gateway_index=index)[0])
    assert statuses == [200] * 8


def test_server_that_no_longer_names_a_limit_gets_its_share_again(system):
    (limited,) = add_servers(system, "s1", rate="0")
    add_servers(system, "s2")
    learn_limits(system, limited)
    with traffic(system, per_second=20.0):
        limited.rate_limit = ""
        sleep(1 / PROBE_RATE + 1.0)
        since = monotonic()
        sleep(2.0)
    assert n_arrived(limited, since=since) >= 10


def test_restarted_server_has_no_limit(system):
    (limited,) = add_servers(system, "s1", rate=str(RATE))
    add_servers(system, "s2")
    learn_limits(system, limited)
    with pytest.raises(BrokenPipeError):
        limited.end("")
    wait_until(lambda: all_know_limit(system, 0), "no limit at all gateways")


def test_gateway_that_starts_knows_the_limits_before_it_serves(system):
    (limited,) = add_servers(system, "s1", rate=str(RATE))
    learn_limits(system, limited)
    address = f"127.0.2.{N_GATEWAYS + 1}:{system.control_port}"
    system.gateways.append(system.start_gateway(address))
    wait_until(lambda: system.gateways[-1].view.servers, "servers at the gateway")
    assert all_know_limit(system)


def test_limit_holds_while_gateways_start_and_stop_and_the_leader_changes(system):
    (limited,) = add_servers(system, "s1", rate=str(RATE))
    add_servers(system, "s2")
    learn_limits(system, limited)
    began = monotonic()
    with traffic(system, per_second=40.0):
        sleep(1.0)
        system.leader.stop()
        sleep(1.0)
        system.gateways[0].links.stop()
        address = f"127.0.2.{N_GATEWAYS + 1}:{system.control_port}"
        system.gateways.append(system.start_gateway(address))
        sleep(2.0 * WINDOW_S)
    assert n_most(limited, since=began) <= MAX_IN_WINDOW
    assert n_arrived(limited, since=began) >= 0.5 * RATE * 2.0 * WINDOW_S


@pytest.mark.parametrize("learned_before", [True, False])
def test_limit_holds_without_coordinators(system, learned_before):
    (limited,) = add_servers(system, "s1", rate=str(RATE))
    add_servers(system, "s2")
    if learned_before:
        learn_limits(system, limited)
    for coordinator in system.coordinators:
        coordinator.stop()
    began = monotonic() + LEARNING_TIME_S * (not learned_before)
    with traffic(system, per_second=40.0):
        sleep(2.0 * WINDOW_S)
    assert n_most(limited, since=began) <= MAX_IN_WINDOW
    assert n_arrived(limited, since=began) >= 0.5 * RATE * WINDOW_S


def test_limits_for_a_connecting_gateway_leave_its_suspensions_alone(system):
    chooser = system.gateways[0].chooser
    chooser.receive_work(ServerWork(work_ms={"s1": 5.0}, suspended=("s1",)))
    limit = RateGrant(process=ServerProcess("s1", 1), rate=2.0, age_ms=0)
    chooser.receive_work(ServerWork(work_ms={}, rates=(limit,), is_partial=True))
    assert chooser.loads.suspended == {"s1"}
    assert chooser.rates.rates.n_limited() == 1
