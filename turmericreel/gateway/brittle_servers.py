"""Keeps requests to brittle servers within this gateway's places there."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import count
from random import Random

from eliot import log_message
from gevent.event import Event

from turmericreel.decisions.server_places import ServerPlaces, parse_max_refusals
from turmericreel.gateway.client_request import ClientRequest
from turmericreel.gateway.refusals import no_server_refusal
from turmericreel.gateway.server_loads import ServerLoads
from turmericreel.model.brittle_service import BrittleReport
from turmericreel.model.failures import FailureError
from turmericreel.model.ids import BackendServerId, InstanceId, ServiceName
from turmericreel.model.registered_server import RegisteredServer
from turmericreel.util.clock import Clock

NO_PLACE_LEFT = "all places of this gateway at the servers are taken"
# Fractions of the route's latency target, and of the time left, for which a request
# waits for a place.
TARGET_WAIT_FRACTION = 0.5
LEFT_WAIT_FRACTION = 0.25
# Pauses after refusals end without an event.
RECHECK_S = 0.1
# Weight of the latest request in the mean time for which one holds a place.
HELD_WEIGHT = 0.1
FIRST_HELD_S = 0.1
# Clients wait up to this fraction of the time left, and return spread by this factor.
MAX_RETRY_FRACTION = 1 / 3
RETRY_SPREAD = 0.5
MAX_LOGGED_HEADER = 64


@dataclass(order=True, kw_only=True)
class Waiter:
    """A request that waits for a place; the most urgent and then the oldest is next."""

    priority: int
    number: int
    woken: Event = field(default_factory=Event, compare=False)


class BrittleServers:
    """Requests of this gateway at brittle servers, and those that wait for a place.

    Parameters
    ----------
    instance : InstanceId
        The gateway.
    gateways : callable
        Returns all gateways that take clients.
    servers_of : callable
        Returns the usable servers of a service.
    loads : ServerLoads
    clock : Clock
    rng : Random

    Attributes
    ----------
    places : ServerPlaces
    waiters : dict of ServiceName to list of Waiter
    held_s : dict of ServiceName to float
        Mean time for which a request held a place.
    n_refused : int
        Requests that this gateway refused because all its places were taken.
    n_refused_by_servers : int
        Requests that brittle servers refused.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        gateways: Callable[[], Iterable[InstanceId]],
        servers_of: Callable[[ServiceName], list[RegisteredServer]],
        loads: ServerLoads,
        clock: Clock,
        rng: Random,
    ):
        self.places = ServerPlaces(instance=instance, gateways=gateways, rng=rng)
        self.servers_of = servers_of
        self.loads = loads
        self.clock = clock
        self.rng = rng
        self.waiters: dict[ServiceName, list[Waiter]] = {}
        self.held_s: dict[ServiceName, float] = {}
        self.numbers = count()
        self.n_refused = 0
        self.n_refused_by_servers = 0

    def record_header(self, server: RegisteredServer, text: str) -> None:
        """Record that a server said how many refusals it bears; empty if it did not."""
        if not text:
            return
        max_refusals = parse_max_refusals(text)
        if max_refusals is None:
            log_message(
                "gateway:brittle_invalid",
                server=server.server,
                incarnation=server.incarnation,
                named=text[:MAX_LOGGED_HEADER],
            )
            return
        now = self.clock.monotonic()
        if self.places.record_heard(server.service, max_refusals, now=now):
            self._log_brittle(server.service, max_refusals, server=server.server)

    def receive(self, reports: Iterable[BrittleReport]) -> None:
        """Record what other gateways have observed."""
        now = self.clock.monotonic()
        for report in reports:
            observed_at = now - report.age_ms / 1_000
            if self.places.record_report(
                report.service, report.max_refusals, observed_at=observed_at
            ):
                self._log_brittle(report.service, report.max_refusals, server="")

    def reports(self) -> tuple[BrittleReport, ...]:
        """Return what servers said to this gateway lately."""
        return self.places.reports(now=self.clock.monotonic())

    def n_services(self) -> int:
        """Return the number of services that are brittle now."""
        now = self.clock.monotonic()
        return sum(self.places.is_brittle(s, now=now) for s in self.places.services)

    def ready_servers(
        self,
        request: ClientRequest,
        service: ServiceName,
        servers: list[RegisteredServer],
    ) -> list[RegisteredServer]:
        """Return the servers where this gateway has a free place; wait for one if none.

        Raises
        ------
        FailureError
            With `NotRun` when no place becomes free soon.
        """
        if not self.places.is_brittle(service, now=self.clock.monotonic()):
            return servers
        waiters = self.waiters.setdefault(service, [])
        ready = [] if waiters else self._ready(service, servers)
        if ready:
            return ready
        return self._wait(request, service, servers, waiters)

    def record_end(
        self, server: RegisteredServer, *, held_s: float, was_refused: bool
    ) -> None:
        """Record that a request no longer holds a place; another one may take it."""
        service, now = server.service, self.clock.monotonic()
        if self.places.is_brittle(service, now=now):
            if was_refused:
                self.n_refused_by_servers += 1
                own = self._own_places(service)
                has_place = any(own.values())
                pause_s = self.places.record_refusal(
                    server.server, service, has_place=has_place, now=now
                )
                log_message(
                    "gateway:refused_for_room",
                    server=server.server,
                    service=service,
                    n_places=sum(own.values()),
                    n_places_here=own.get(server.server, 0),
                    n_running_here=self._n_running(server.server),
                    n_gateways=self.places.n_gateways(),
                    pause_ms=int(pause_s * 1_000),
                )
            else:
                self.places.record_answer(server.server)
                mean_s = self.held_s.get(service, FIRST_HELD_S)
                self.held_s[service] = mean_s + HELD_WEIGHT * (held_s - mean_s)
        self._wake(service)

    def _ready(
        self, service: ServiceName, servers: list[RegisteredServer]
    ) -> list[RegisteredServer]:
        now = self.clock.monotonic()
        own = self._own_places(service)
        return [
            server
            for server in servers
            if self.places.may_send(
                server.server, places=own, n_running=self._n_running, now=now
            )
        ]

    def _own_places(self, service: ServiceName) -> dict[BackendServerId, int]:
        return self.places.places(
            {server.server: server.n_slots for server in self.servers_of(service)}
        )

    def _n_running(self, server: BackendServerId) -> int:
        load = self.loads.loads.get(server)
        return load.n_running if load is not None else 0

    def _wait(
        self,
        request: ClientRequest,
        service: ServiceName,
        servers: list[RegisteredServer],
        waiters: list[Waiter],
    ) -> list[RegisteredServer]:
        now = self.clock.monotonic()
        limit_s = min(
            request.route.latency_target_ms / 1_000 * TARGET_WAIT_FRACTION,
            max(request.deadline - now, 0.0) * LEFT_WAIT_FRACTION,
        )
        if self._expected_wait_s(service) > limit_s:
            raise self._refusal(request, service)
        deadline = now + limit_s
        waiter = Waiter(priority=request.priority, number=next(self.numbers))
        waiters.append(waiter)
        self._wake(service)
        try:
            while (left_s := deadline - self.clock.monotonic()) > 0:
                waiter.woken.wait(timeout=min(left_s, RECHECK_S))
                waiter.woken.clear()
                if not self.places.is_brittle(service, now=self.clock.monotonic()):
                    return servers
                ready = self._ready(service, servers)
                if ready:
                    return ready
        finally:
            waiters.remove(waiter)
        raise self._refusal(request, service)

    def _wake(self, service: ServiceName) -> None:
        """Let all that wait look for a place, the most urgent first."""
        for waiter in sorted(self.waiters.get(service, ())):
            waiter.woken.set()

    def _expected_wait_s(self, service: ServiceName) -> float:
        """Return how long one more request would wait for a place."""
        own = sum(self._own_places(service).values())
        n_ahead = len(self.waiters.get(service, ()))
        return n_ahead * self.held_s.get(service, FIRST_HELD_S) / max(own, 1)

    def _refusal(self, request: ClientRequest, service: ServiceName) -> FailureError:
        """Return the refusal, with a time after which there may be a place."""
        self.n_refused += 1
        wait_s = self._expected_wait_s(service) + self.held_s.get(service, FIRST_HELD_S)
        wait_s += wait_s * self.rng.uniform(0.0, RETRY_SPREAD)
        limit_s = max(request.deadline - self.clock.monotonic(), 0.0)
        wait_s = min(wait_s, limit_s * MAX_RETRY_FRACTION)
        return no_server_refusal(NO_PLACE_LEFT, wait_s=wait_s)

    def _log_brittle(
        self, service: ServiceName, max_refusals: float, *, server: str
    ) -> None:
        own = self._own_places(service)
        log_message(
            "gateway:brittle",
            service=service,
            server=server,
            max_refusals=max_refusals,
            n_places=sum(own.values()),
        )
