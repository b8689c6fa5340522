"""Grants the places of brittle servers to requests that wait at gateways.

Intended workload: see `server_places`.  The leading coordinator counts which places are
held by the requests of all gateways, so each place serves whichever gateway has a
request, and the most urgent request of all goes first.

What gateways may use without a leader is left free: a gateway that has not reported to
this leader keeps the places that it has by `place_owners`, and one that was lost keeps
what it held for a while.
"""

from collections import Counter, defaultdict, deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from math import exp, inf
from random import Random

from turmericreel.decisions.server_places import MIN_REFUSALS, place_owners
from turmericreel.model.ids import (
    BackendServerId,
    ClientAccountId,
    InstanceId,
    ServiceName,
)
from turmericreel.model.place_report import PlaceAnswer, PlaceAsk, PlaceReport

# Requests of a lost gateway may run on for a while.
LOST_HOLD_S = 5.0
# A server that refused a request with a place has less room than it said.  It is taken
# to regain one place in this time.
ROOM_RECOVERY_S = 1.0
FIRST_HELD_S = 0.1
HELD_WEIGHT = 0.1
# Time over which the grants of an account are counted.
ACCOUNT_DECAY_S = 1.0
# Requests that may wait for one service, for each place.
MAX_WAITING_PER_PLACE = 8


@dataclass(kw_only=True)
class WaitingAsk:
    """An ask of a gateway; `deadline` is in seconds on the monotonic clock."""

    gateway: InstanceId
    ask: PlaceAsk
    order: int
    deadline: float


@dataclass(kw_only=True)
class GatewayUse:
    """Places that one gateway holds, and its asks.

    Attributes
    ----------
    held : Counter of BackendServerId
        Reported places, and those granted since.
    unconfirmed : deque of tuple
        Number and grants of each message that the gateway has not confirmed.
    asks : dict of int to WaitingAsk
    lost_deadline : float
        Until when the places of a lost gateway are held; infinite while connected.
    """

    held: Counter[BackendServerId] = field(default_factory=Counter)
    unconfirmed: deque[tuple[int, dict[int, BackendServerId]]] = field(
        default_factory=deque
    )
    asks: dict[int, WaitingAsk] = field(default_factory=dict)
    lost_deadline: float = inf


@dataclass(kw_only=True)
class ServerRoom:
    """What refusals showed of a server.

    Attributes
    ----------
    n_missing : float
        Places that the server does not have although it said so.
    updated_at, pause_deadline : float
        Seconds on the monotonic clock.
    """

    n_missing: float = 0.0
    updated_at: float = 0.0
    pause_deadline: float = 0.0


@dataclass(kw_only=True)
class BrittleServer:
    """A usable server of a brittle service."""

    server: BackendServerId
    service: ServiceName
    n_slots: int
    max_refusals: float


class PlaceGrants:
    """Places that gateways hold, and the requests that wait for one.

    Parameters
    ----------
    term : int
        Term of the leader; another term begins with a new object.
    rng : Random

    Attributes
    ----------
    uses : dict of InstanceId to GatewayUse
        Of the gateways that have reported.
    in_use : Counter of BackendServerId
        Places that they hold together.
    rooms : dict of BackendServerId to ServerRoom
    held_s : dict of ServiceName to float
        Mean time for which a request holds a place.
    """

    def __init__(self, *, term: int, rng: Random):
        self.term = term
        self.rng = rng
        self.uses: dict[InstanceId, GatewayUse] = {}
        self.in_use: Counter[BackendServerId] = Counter()
        self.rooms: dict[BackendServerId, ServerRoom] = defaultdict(ServerRoom)
        self.held_s: dict[ServiceName, float] = {}
        self.accounts: dict[tuple[ServiceName, ClientAccountId], float] = {}
        self.decayed_at = inf
        self.n_ordered = 0
        self.n_sent = 0

    def record_report(
        self,
        gateway: InstanceId,
        report: PlaceReport,
        servers: Mapping[BackendServerId, BrittleServer],
        *,
        now: float,
    ) -> None:
        """Replace what is known of a gateway by its report."""
        use = self.uses.setdefault(gateway, GatewayUse())
        use.lost_deadline = inf
        n_confirmed = report.number if report.term == self.term else 0
        while use.unconfirmed and use.unconfirmed[0][0] <= n_confirmed:
            use.unconfirmed.popleft()
        self.in_use.subtract(use.held)
        use.held = Counter(report.held)
        granted: set[int] = set()
        for _, grants in use.unconfirmed:
            use.held.update(grants.values())
            granted |= set(grants)
        self.in_use.update(use.held)
        known = use.asks
        use.asks = {
            ask.number: known.get(ask.number) or self._waiting(gateway, ask, now)
            for ask in report.asks
            if ask.number not in granted
        }
        for server in report.refused:
            if server in servers:
                self._record_refusal(servers[server], now)
        for service, held_ms in report.held_ms.items():
            mean_s = self.held_s.get(service, FIRST_HELD_S)
            self.held_s[service] = mean_s + HELD_WEIGHT * (held_ms / 1_000 - mean_s)

    def remove_gateway(self, gateway: InstanceId, *, now: float) -> None:
        """Hold the places of a lost gateway for a while, and drop its asks."""
        use = self.uses.get(gateway)
        if use is not None:
            use.asks = {}
            use.unconfirmed.clear()
            use.lost_deadline = now + LOST_HOLD_S

    def answer(
        self,
        servers: Mapping[BackendServerId, BrittleServer],
        *,
        gateways: Iterable[InstanceId],
        now: float,
    ) -> dict[InstanceId, PlaceAnswer]:
        """Grant free places, and refuse the requests that would wait for too long.

        Parameters
        ----------
        servers : mapping of BackendServerId to BrittleServer
            All usable servers of brittle services.
        gateways : iterable of InstanceId
            All gateways that any coordinator knows.
        now : float
            Seconds on the monotonic clock.
        """
        self._drop_expired(servers, now)
        waiting: dict[ServiceName, list[WaitingAsk]] = defaultdict(list)
        for use in self.uses.values():
            for ask in use.asks.values():
                waiting[ask.ask.service].append(ask)
        if not waiting:
            return {}
        n_free = self._free_places(servers, set(gateways), now)
        granted: dict[InstanceId, dict[int, BackendServerId]] = defaultdict(dict)
        refused: dict[InstanceId, dict[int, int]] = defaultdict(dict)
        for service, asks in waiting.items():
            of_service = {
                s: n for s, n in n_free.items() if servers[s].service == service
            }
            left = self._grant(service, asks, of_service, servers, granted)
            self._refuse(service, left, len(of_service), servers, refused, now)
        return {
            gateway: self._message(gateway, granted[gateway], refused[gateway])
            for gateway in {*granted, *refused}
        }

    def n_held(self) -> int:
        """Return the number of places that gateways hold."""
        return self.in_use.total()

    def n_waiting(self) -> int:
        """Return the number of requests that wait."""
        return sum(len(use.asks) for use in self.uses.values())

    def _waiting(self, gateway: InstanceId, ask: PlaceAsk, now: float) -> WaitingAsk:
        self.n_ordered += 1
        return WaitingAsk(
            gateway=gateway,
            ask=ask,
            order=self.n_ordered,
            deadline=now + ask.wait_ms / 1_000,
        )

    def _record_refusal(self, server: BrittleServer, now: float) -> None:
        room = self.rooms[server.server]
        n_missing = self._n_missing(room, now) + 1.0
        room.n_missing = min(n_missing, server.n_slots - 1.0)
        room.updated_at = now
        room.pause_deadline = now + 1.0 / max(server.max_refusals, MIN_REFUSALS)

    def _n_missing(self, room: ServerRoom, now: float) -> float:
        return max(room.n_missing - (now - room.updated_at) / ROOM_RECOVERY_S, 0.0)

    def _drop_expired(
        self, servers: Mapping[BackendServerId, BrittleServer], now: float
    ) -> None:
        for gateway in [g for g, u in self.uses.items() if now >= u.lost_deadline]:
            self.in_use.subtract(self.uses.pop(gateway).held)
        for server in set(self.rooms) - set(servers):
            del self.rooms[server]
        for use in self.uses.values():
            for number in [n for n, a in use.asks.items() if now >= a.deadline]:
                # The gateway has given up on it.
                del use.asks[number]
        decay = exp(min(self.decayed_at - now, 0.0) / ACCOUNT_DECAY_S)
        self.decayed_at = now
        self.accounts = {
            key: n * decay for key, n in self.accounts.items() if n * decay > 0.01
        }

    def _free_places(
        self,
        servers: Mapping[BackendServerId, BrittleServer],
        gateways: set[InstanceId],
        now: float,
    ) -> dict[BackendServerId, int]:
        """Return the number of free places of each server that may get a request."""
        kept = self._kept_places(servers, gateways)
        n_free = {}
        for server in servers.values():
            room = self.rooms.get(server.server, ServerRoom())
            n_places = server.n_slots - int(self._n_missing(room, now))
            n_left = n_places - self.in_use[server.server] - kept[server.server]
            n_free[server.server] = max(n_left, 0) if now >= room.pause_deadline else 0
        return n_free

    def _kept_places(
        self,
        servers: Mapping[BackendServerId, BrittleServer],
        gateways: set[InstanceId],
    ) -> Counter[BackendServerId]:
        """Return the places that gateways may use which this leader does not hear."""
        kept: Counter[BackendServerId] = Counter()
        lost = {g for g, use in self.uses.items() if use.lost_deadline < inf}
        unheard = lost | {g for g in gateways if g not in self.uses}
        if not unheard:
            return kept
        slots: dict[ServiceName, dict[BackendServerId, int]] = defaultdict(dict)
        for server in servers.values():
            slots[server.service][server.server] = server.n_slots
        n_held = {g: Counter(self.uses[g].held) for g in lost}
        for of_service in slots.values():
            for server, owner in place_owners(of_service, gateways=gateways | lost):
                if owner not in unheard:
                    continue
                if owner in lost and n_held[owner][server] > 0:
                    # Already counted among the places in use.
                    n_held[owner][server] -= 1
                else:
                    kept[server] += 1
        return kept

    def _grant(
        self,
        service: ServiceName,
        asks: list[WaitingAsk],
        n_free: dict[BackendServerId, int],
        servers: Mapping[BackendServerId, BrittleServer],
        granted: dict[InstanceId, dict[int, BackendServerId]],
    ) -> list[WaitingAsk]:
        """Grant the free places of a service; return the asks that go on waiting."""
        left = sorted(asks, key=self._urgency)
        passed: list[WaitingAsk] = []
        while left and any(n_free.values()):
            waiting = left.pop(0)
            free = [s for s in waiting.ask.servers if n_free.get(s, 0) > 0]
            if not free:
                passed.append(waiting)
                continue
            chosen = free[0]
            if not (waiting.ask.prefers_first and chosen == waiting.ask.servers[0]):
                chosen = max(
                    free,
                    key=lambda s: (n_free[s] / servers[s].n_slots, self.rng.random()),
                )
            n_free[chosen] -= 1
            granted[waiting.gateway][waiting.ask.number] = chosen
            account = (service, waiting.ask.account)
            self.accounts[account] = self.accounts.get(account, 0.0) + 1.0
            if any(w.ask.account != waiting.ask.account for w in left):
                left.sort(key=self._urgency)
        return sorted(passed + left, key=self._urgency)

    def _urgency(self, waiting: WaitingAsk) -> tuple:
        """Sort by priority, then accounts that got few places, then age."""
        account = (waiting.ask.service, waiting.ask.account)
        return (waiting.ask.priority, self.accounts.get(account, 0.0), waiting.order)

    def _refuse(
        self,
        service: ServiceName,
        asks: list[WaitingAsk],
        n_servers: int,
        servers: Mapping[BackendServerId, BrittleServer],
        refused: dict[InstanceId, dict[int, int]],
        now: float,
    ) -> None:
        """Refuse the requests that would get no place in the time that they have."""
        held_s = self.held_s.get(service, FIRST_HELD_S)
        n_places = sum(s.n_slots for s in servers.values() if s.service == service)
        between_s = held_s / n_places if n_places else inf
        for position, waiting in enumerate(asks, start=1):
            wait_s = position * between_s
            is_late = now + wait_s > waiting.deadline
            if is_late or position > n_places * MAX_WAITING_PER_PLACE:
                retry_s = min(wait_s + held_s, LOST_HOLD_S)
                refused[waiting.gateway][waiting.ask.number] = int(retry_s * 1_000)
                del self.uses[waiting.gateway].asks[waiting.ask.number]

    def _message(
        self,
        gateway: InstanceId,
        granted: dict[int, BackendServerId],
        refused: dict[int, int],
    ) -> PlaceAnswer:
        self.n_sent += 1
        use = self.uses[gateway]
        if granted:
            use.unconfirmed.append((self.n_sent, granted))
            use.held.update(granted.values())
            self.in_use.update(granted.values())
            for number in granted:
                del use.asks[number]
        return PlaceAnswer(
            term=self.term, number=self.n_sent, granted=granted, refused=refused
        )
