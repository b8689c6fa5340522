"""Sends requests to brittle servers only where they have a place.

The leader grants places. Without one, a gateway keeps to places of its own.
"""

from collections import Counter
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from itertools import count
from math import inf, log
from random import Random

from eliot import log_message
from gevent import spawn_later
from gevent.event import Event

from turmericreel.decisions.server_places import (
    MIN_REFUSALS,
    ServerPlaces,
    parse_max_refusals,
)
from turmericreel.gateway.client_request import ClientRequest
from turmericreel.gateway.place_asks import OpenAsk, PlaceAsks
from turmericreel.gateway.refusals import no_server_refusal
from turmericreel.gateway.server_loads import ServerLoads
from turmericreel.model.brittle_service import BrittleReport
from turmericreel.model.failures import FailureError
from turmericreel.model.ids import BackendServerId, InstanceId, ServiceName
from turmericreel.model.place_report import PlaceReport
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
# A server may work on for this time on a request whose connection was closed.
MAX_LINGER_S = 0.2
# Without a leader, the places that others may still hold are used one after another.
# This part of the refusals that a server bears may come from that.
OPENING_FRACTION = 0.5
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
        Own places, used without a leader.
    asks : PlaceAsks
        Requests that wait for the leader's answer.
    waiters : dict of ServiceName to list of Waiter
        Requests that wait for an own place.
    lingering : Counter of BackendServerId
        Requests that a server may still work on after their connections were closed.
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
        self.asks = PlaceAsks(clock=clock)
        self.lingering: Counter[BackendServerId] = Counter()
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

    def choose(
        self,
        request: ClientRequest,
        service: ServiceName,
        servers: list[RegisteredServer],
        *,
        best_of: Callable[[list[RegisteredServer]], RegisteredServer],
    ) -> RegisteredServer:
        """Return the best server where the request has a place; wait for one if none.

        Raises
        ------
        FailureError
            With `NotRun` when no place becomes free soon.
        """
        now = self.clock.monotonic()
        limit_s = min(
            request.route.latency_target_ms / 1_000 * TARGET_WAIT_FRACTION,
            max(request.deadline - now, 0.0) * LEFT_WAIT_FRACTION,
        )
        deadline = now + limit_s
        while self.places.is_brittle(service, now=now):
            if self.asks.has_leader:
                chosen = self._ask(request, service, servers, best_of, deadline)
                if chosen is not None:
                    return chosen
            else:
                ready = self._wait_for_own_place(request, service, servers, deadline)
                if ready:
                    own = self._own_places(service)
                    self.places.record_sent(service, places=own, now=now)
                    return best_of(ready)
            now = self.clock.monotonic()
            if now >= deadline:
                raise self._refusal(request, self._expected_wait_s(service), service)
        return best_of(servers)

    def begin(self, server: RegisteredServer) -> None:
        """Record that a request is sent; it holds a granted place as a running one."""
        if self.asks.reserved[server.server]:
            self.asks.use(server.server)

    def give_back(self, server: RegisteredServer) -> None:
        """Give back the place of a request that is not sent."""
        self.begin(server)
        self._wake(server.service)

    def record_end(
        self,
        server: RegisteredServer,
        *,
        held_s: float,
        was_refused: bool,
        may_still_run: bool,
    ) -> None:
        """Record that a request no longer holds a place; another one may take it."""
        service, now = server.service, self.clock.monotonic()
        if not self.places.is_brittle(service, now=now):
            return
        if was_refused:
            self._record_refusal(server, now)
        elif may_still_run:
            linger_s = min(self.held_s.get(service, FIRST_HELD_S), MAX_LINGER_S)
            self.lingering[server.server] += 1
            spawn_later(linger_s, self._end_linger, server)
            return
        else:
            self.places.record_answer(server.server)
            mean_s = self.held_s.get(service, FIRST_HELD_S)
            self.held_s[service] = mean_s + HELD_WEIGHT * (held_s - mean_s)
        self._wake(service)

    def report(self) -> PlaceReport:
        """Return the report on places to the leader."""
        now = self.clock.monotonic()
        brittle = [
            s for s in self.places.services if self.places.is_brittle(s, now=now)
        ]
        held = {
            server.server: n_held
            for service in brittle
            for server in self.servers_of(service)
            if (n_held := self._n_held(server.server))
        }
        held_s = {s: self.held_s[s] for s in brittle if s in self.held_s}
        return self.asks.report(held, held_s)

    def _ask(
        self,
        request: ClientRequest,
        service: ServiceName,
        servers: list[RegisteredServer],
        best_of: Callable[[list[RegisteredServer]], RegisteredServer],
        deadline: float,
    ) -> RegisteredServer | None:
        """Return the server that the leader grants; None without an answer in time."""
        best = best_of(servers)
        others = [server for server in servers if server is not best]
        self.rng.shuffle(others)
        by_id = {server.server: server for server in [best, *others]}
        ask = self.asks.open(request, service, list(by_id), deadline=deadline)
        is_used = False
        try:
            self._wait_for_answer(ask)
            if ask.granted is not None:
                is_used = True
                return by_id[ask.granted]
        finally:
            self.asks.close(ask, is_used=is_used)
        if ask.retry_ms is not None:
            raise self._refusal(request, ask.retry_ms / 1_000, service)
        return None

    def _wait_for_answer(self, ask: OpenAsk) -> None:
        while ask.granted is None and ask.retry_ms is None and self.asks.has_leader:
            left_s = ask.deadline - self.clock.monotonic()
            if left_s <= 0:
                return
            ask.woken.wait(timeout=min(left_s, RECHECK_S))

    def _record_refusal(self, server: RegisteredServer, now: float) -> None:
        self.n_refused_by_servers += 1
        self.asks.record_refusal(server.server)
        own = self._own_places(server.service)
        pause_s = self.places.record_refusal(server.server, server.service, now=now)
        log_message(
            "gateway:refused_for_room",
            server=server.server,
            service=server.service,
            is_granted=self.asks.has_leader,
            n_places=sum(own.values()),
            n_places_here=own.get(server.server, 0),
            n_held_here=self._n_held(server.server),
            n_gateways=self.places.n_gateways(),
            pause_ms=int(pause_s * 1_000),
        )

    def _end_linger(self, server: RegisteredServer) -> None:
        if self.lingering[server.server] > 1:
            self.lingering[server.server] -= 1
        else:
            del self.lingering[server.server]
        self._wake(server.service)

    def _wait_for_own_place(
        self,
        request: ClientRequest,
        service: ServiceName,
        servers: list[RegisteredServer],
        deadline: float,
    ) -> list[RegisteredServer]:
        """Return the servers with a free place of this gateway; none if that changes.

        Raises
        ------
        FailureError
            With `NotRun` when none becomes free in time.
        """
        waiters = self.waiters.setdefault(service, [])
        ready = [] if waiters else self._ready(service, servers)
        if ready:
            return ready
        wait_s = self._expected_wait_s(service)
        own = self._own_places(service)
        has_place = any(own.get(server.server, 0) for server in servers)
        if not has_place or self.clock.monotonic() + wait_s > deadline:
            raise self._refusal(request, wait_s, service)
        waiter = Waiter(priority=request.priority, number=next(self.numbers))
        waiters.append(waiter)
        self._wake(service)
        try:
            while (left_s := deadline - self.clock.monotonic()) > 0:
                waiter.woken.wait(timeout=min(left_s, RECHECK_S))
                waiter.woken.clear()
                is_brittle = self.places.is_brittle(service, now=self.clock.monotonic())
                if self.asks.has_leader or not is_brittle:
                    return []
                ready = self._ready(service, servers)
                if ready:
                    return ready
        finally:
            waiters.remove(waiter)
        return []

    def _ready(
        self, service: ServiceName, servers: list[RegisteredServer]
    ) -> list[RegisteredServer]:
        now = self.clock.monotonic()
        own = self._own_places(service)
        if any(own.values()):
            own = self._own_places(service, n_open=self._n_open(service, now))
            if not any(own.values()):
                return []
        return [
            server
            for server in servers
            if self.places.may_send(
                server.server,
                service,
                places=own,
                n_running=self._n_held,
                now=now,
            )
        ]

    def _n_open(self, service: ServiceName, now: float) -> float:
        """Return how many places of a server may be used since the leader was lost.

        The requests that it granted to others end by and by.
        """
        silent_s = now - self.asks.heard_at
        n_slots = max((s.n_slots for s in self.servers_of(service)), default=1)
        held_s = self.held_s.get(service, FIRST_HELD_S)
        if silent_s >= held_s * log(2 * max(n_slots, 1)):
            return inf
        n_refusals = max(self.places.services[service].max_refusals, MIN_REFUSALS)
        return (now - self.asks.leader_deadline) * n_refusals * OPENING_FRACTION

    def _own_places(
        self, service: ServiceName, *, n_open: float = inf
    ) -> dict[BackendServerId, int]:
        return self.places.places(
            {server.server: server.n_slots for server in self.servers_of(service)},
            n_open=n_open,
        )

    def _n_held(self, server: BackendServerId) -> int:
        """Return the number of places that requests of this gateway hold."""
        load = self.loads.loads.get(server)
        n_running = load.n_running if load is not None else 0
        return n_running + self.asks.reserved[server] + self.lingering[server]

    def _wake(self, service: ServiceName) -> None:
        """Let all that wait look for a place, the most urgent first."""
        if self.asks.has_leader:
            self.asks.on_change()
        for waiter in sorted(self.waiters.get(service, ())):
            waiter.woken.set()

    def _expected_wait_s(self, service: ServiceName) -> float:
        """Return how long one more request would wait for a place."""
        own = sum(self._own_places(service).values())
        n_ahead = len(self.waiters.get(service, ()))
        return n_ahead * self.held_s.get(service, FIRST_HELD_S) / max(own, 1)

    def _refusal(
        self, request: ClientRequest, wait_s: float, service: ServiceName
    ) -> FailureError:
        """Return the refusal, with a time after which there may be a place."""
        self.n_refused += 1
        wait_s += self.held_s.get(service, FIRST_HELD_S)
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
        # The leader does not know yet what runs there.
        self._wake(service)
