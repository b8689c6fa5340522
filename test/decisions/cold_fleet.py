"""A fleet of gateways before cold servers, in one process and on a clock of its own."""

import heapq
from collections import deque
from collections.abc import Callable
from itertools import count
from random import Random

from turmericreel.decisions.cold_grants import ColdGrants, ColdProcess
from turmericreel.decisions.cold_servers import ColdLimit, KnownCold
from turmericreel.decisions.gateway_cold import GatewayColdServers
from turmericreel.model.cold_server import ColdAnswer
from turmericreel.model.ids import (
    BackendServerId,
    DataCentreId,
    Incarnation,
    ServiceName,
    VersionId,
)
from turmericreel.model.registered_server import RegisteredServer, ServerState

SERVICE = ServiceName("writers")
# Reports and answers of a fleet of this size come less often than every tenth.
INTERVAL_S = 0.15
MAX_DELAY_S = 0.05
WINDOW_S = 1.0


def make_engine(name: str, *, cold_ms: int = 0, sequence: int = 1) -> RegisteredServer:
    return RegisteredServer(
        server=BackendServerId(name),
        service=SERVICE,
        address=f"10.0.0.1:{sequence}",
        data_centre=DataCentreId("z1"),
        version=VersionId("v1"),
        n_slots=32,
        state=ServerState.READY,
        incarnation=Incarnation(1),
        sequence=sequence,
        warmup_left_ms=cold_ms,
    )


class FleetLeader:
    """A coordinator that grants; `active` tells whether it holds its lease."""

    def __init__(self, *, term: int, began_at: float, rng: Random):
        self.term = term
        self.grants = ColdGrants(began_at=began_at, rng=rng)
        self.known = KnownCold()
        self.active = True


class FleetGateway:
    """A gateway; `leader` is None while it is cut off."""

    def __init__(self, number: int, *, fleet: "ColdFleet", leader: FleetLeader | None):
        self.name = f"g{number}"
        self.leader = leader
        self.cold = GatewayColdServers(
            limit_of=lambda service: fleet.limit,
            n_gateways=lambda: fleet.n_gateways,
            rng=Random(f"{fleet.seed}{number}"),
        )
        self.held: list[tuple[ColdAnswer, int]] = []
        self.holds_messages = False


class ColdFleet:
    """Gateways, leaders and servers; requests count when they are sent.

    Parameters
    ----------
    limit : ColdLimit
    per_second : float
        Requests of all clients together.
    """

    def __init__(
        self,
        *,
        n_gateways: int,
        n_servers: int,
        limit: ColdLimit,
        per_second: float,
        seed: int = 1,
    ):
        self.seed = seed
        self.limit = limit
        self.n_gateways = n_gateways
        self.per_second = per_second
        self.rng = Random(seed)
        self.now = 100.0
        self.events: list[tuple[float, int, Callable[[], None]]] = []
        self.order = count()
        self.leader = FleetLeader(term=1, began_at=self.now - 10.0, rng=self.rng)
        self.leaders = [self.leader]
        self.gateways = [
            FleetGateway(i, fleet=self, leader=self.leader) for i in range(n_gateways)
        ]
        self.servers = [make_engine(f"s{i}") for i in range(n_servers)]
        self.sent: dict[str, deque[float]] = {s.server: deque() for s in self.servers}
        self.cold_sent: dict[str, list[float]] = {s.server: [] for s in self.servers}
        self.most = 0
        self.n_refused = 0
        self.cold_until: dict[str, float] = {}
        for gateway in self.gateways:
            self.at(self.rng.uniform(0.0, INTERVAL_S), self._reports(gateway))
        self.at(0.0, self._answers(self.leader))
        self.at(0.0, self._arrivals())

    def at(self, after_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self.events, (self.now + after_s, next(self.order), action))

    def run(self, span_s: float) -> None:
        until = self.now + span_s
        while self.events[0][0] < until:
            self.now, _, action = heapq.heappop(self.events)
            action()
        self.now = until

    def make_cold(self, numbers: range, *, cold_ms: int = 3_000) -> None:
        """Let servers be cold, which all get to know within a message's delay."""
        for number in numbers:
            known = self.servers[number]
            server = make_engine(
                known.server, cold_ms=cold_ms, sequence=known.sequence + 1
            )
            self.servers[number] = server
            self.cold_until[server.server] = self.now + cold_ms / 1_000
            # What it got while it was warm is no part of the bound.
            self.sent[server.server].clear()
            for party in (*self.gateways, *self.leaders):
                known_cold = (
                    party.known if isinstance(party, FleetLeader) else party.cold.known
                )
                known_cold.record(server, now=self.now)

    def elect(self) -> None:
        """Let another leader follow, which some gateways connect to later."""
        self.leader.active = False
        self.leader = FleetLeader(
            term=self.leader.term + 1, began_at=self.now, rng=self.rng
        )
        self.leaders.append(self.leader)
        for server in self.servers:
            left_s = self.cold_until.get(server.server, 0.0) - self.now
            if left_s > 0.0:
                self.leader.known.extend(server, cold_s=left_s, now=self.now)
        for gateway in self.gateways:
            if gateway.leader is not None:
                self.at(self.rng.uniform(0.0, 0.6), self._connects(gateway))
        self.at(0.0, self._answers(self.leader))

    def rate_at(self, number: int, *, since: float) -> float:
        """Return what a cold server got, in requests a second."""
        times = [t for t in self.cold_sent[f"s{number}"] if t >= since]
        return len(times) / (self.now - since)

    def _connects(self, gateway: FleetGateway) -> Callable[[], None]:
        def connect() -> None:
            gateway.leader = self.leader

        return connect

    def _reports(self, gateway: FleetGateway) -> Callable[[], None]:
        def report() -> None:
            made = gateway.cold.report(now=self.now)
            leader = gateway.leader
            if made is not None and leader is not None:
                self.at(
                    self.rng.uniform(0.0, MAX_DELAY_S),
                    lambda: leader.grants.record_report(
                        gateway.name, made, now=self.now
                    ),
                )
            self.at(INTERVAL_S, report)

        return report

    def _answers(self, leader: FleetLeader) -> Callable[[], None]:
        def answer() -> None:
            if not leader.active:
                return
            cold = {
                process: ColdProcess(service=SERVICE, limit=self.limit)
                for process in leader.known.cold_processes(now=self.now)
            }
            connected = {g.name: g for g in self.gateways if g.leader is leader}
            if cold:
                made = leader.grants.answer(cold, gateways=connected, now=self.now)
                for name, message in made.items():
                    self._send_answer(connected[name], message, leader.term)
            self.at(INTERVAL_S, answer)

        return answer

    def _send_answer(
        self, gateway: FleetGateway, message: ColdAnswer, term: int
    ) -> None:
        def arrive() -> None:
            if gateway.holds_messages:
                gateway.held.append((message, term))
            else:
                gateway.cold.receive(message, term=term, now=self.now)

        self.at(self.rng.uniform(0.0, MAX_DELAY_S), arrive)

    def release_messages(self) -> None:
        """Let what was held up arrive at once."""
        for gateway in self.gateways:
            gateway.holds_messages = False
            for message, term in gateway.held:
                gateway.cold.receive(message, term=term, now=self.now)
            gateway.held.clear()

    def _arrivals(self) -> Callable[[], None]:
        def arrive() -> None:
            self._request(self.rng.choice(self.gateways))
            self.at(self.rng.expovariate(self.per_second), arrive)

        return arrive

    def _request(self, gateway: FleetGateway) -> None:
        gateway.cold.count_wanted(self.servers, now=self.now)
        ready = gateway.cold.ready(self.servers, now=self.now)
        if not ready:
            self.n_refused += 1
            return
        # Cold servers look idle, so that all gateways prefer them.
        cold = [s for s in ready if gateway.cold.is_cold(s, now=self.now)]
        chosen = self.rng.choice(cold or ready)
        gateway.cold.take(chosen, now=self.now)
        self._count(chosen)

    def _count(self, server: RegisteredServer) -> None:
        if self.now >= self.cold_until.get(server.server, 0.0):
            return
        times = self.sent[server.server]
        times.append(self.now)
        while times[0] <= self.now - WINDOW_S:
            times.popleft()
        self.most = max(self.most, len(times))
        self.cold_sent[server.server].append(self.now)
