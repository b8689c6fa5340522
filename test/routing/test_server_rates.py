"""Servers that name a rate get no more requests than it from all gateways together."""

from collections.abc import Iterator
from contextlib import contextmanager
from time import monotonic

import pytest
from gevent import sleep, spawn

from test.routing.library import make_route
from test.routing.small_system import SmallSystem, small_system, stream_route
from turmericreel.fakes.routed_server import RoutedServer
from turmericreel.model.routing import RouteKind

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
    """

    def __init__(self, system: SmallSystem, path: str, *, per_second: float):
        self.system = system
        self.path = path
        self.interval_s = 1 / per_second
        self.answers: list[tuple[float, int, str]] = []
        self.running = True
        self.task = spawn(self._run)

    def _run(self) -> None:
        number = 0
        while self.running:
            spawn(self._send, number)
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
