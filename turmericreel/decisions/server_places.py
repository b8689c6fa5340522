"""Divides the places of brittle servers among the gateways.

Intended workload: overloaded servers that fall over when they must refuse more than a
few requests a second for want of room, before many gateways.  A load report is older
than the requests that other gateways have sent since, so a gateway that goes by reports
sends too much.  Instead each request has a place, and what has none waits.

Where a leader grants places, see `place_grants`.  Without one each gateway has places
of its own.  That division needs no messages: all gateways compute it from the same
lists.  While these differ, two gateways may use the same place; what the servers then
refuse slows them down.  Where gateways outnumber places, most have none, and only send
often enough to notice that the others are gone.
"""

from collections.abc import Callable, Iterable, Iterator, Mapping
from dataclasses import dataclass
from itertools import cycle
from math import ceil, inf
from random import Random

from turmericreel.decisions.gateway_turns import GatewayTurns
from turmericreel.decisions.rate_limits import parse_rate
from turmericreel.model.brittle_service import BrittleReport
from turmericreel.model.ids import BackendServerId, InstanceId, ServiceName

# All servers of a service say that they are brittle, in all their answers, so a service
# of which none has said so for this time no longer is.
VALID_S = 3.0
# Pause after a server refused a request for which there was a place.
REFUSAL_PAUSE_S = 0.5
MAX_DOUBLINGS = 20
# Less than one refusal a second would keep a gateway without a place out for too long.
MIN_REFUSALS = 0.5
# Part of the refusals that servers bear which all gateways without a place together may
# cause; turns at random times must not come together.
TURN_FRACTION = 0.05


def parse_max_refusals(text: str) -> float | None:
    """Return the number of refusals that a server names; None if it makes no sense."""
    return parse_rate(text)


@dataclass(kw_only=True)
class BrittleService:
    """What is known of a brittle service.

    Attributes
    ----------
    max_refusals : float
    observed_at : float
        When a server last said so to any gateway, in seconds on the monotonic clock.
    heard_at : float
        When one last said so to this gateway; only that is reported to others, as
        reports would keep each other alive otherwise.
    """

    max_refusals: float
    observed_at: float
    heard_at: float = -inf


@dataclass(kw_only=True)
class RefusalPause:
    """Pause of one server after refusals; `deadline` in seconds."""

    deadline: float = 0.0
    n_refusals: int = 0


def place_owners(
    slots: Mapping[BackendServerId, int], *, gateways: Iterable[InstanceId]
) -> Iterator[tuple[BackendServerId, InstanceId]]:
    """Yield the places of a service's servers, each with the gateway that owns it.

    Parameters
    ----------
    slots : mapping of BackendServerId to int
        Requests that each server of the service can run concurrently.
    gateways : iterable of InstanceId
        All gateways, among which the places are divided.
    """
    owners = cycle(sorted(gateways))
    for server, n_slots in sorted(slots.items()):
        for _ in range(n_slots):
            yield server, next(owners)


class ServerPlaces:
    """Places of one gateway at the servers of brittle services.

    Parameters
    ----------
    instance : InstanceId
        The gateway.
    gateways : callable
        Returns all gateways that take clients.
    rng : Random

    Attributes
    ----------
    services : dict of ServiceName to BrittleService
    pauses : dict of BackendServerId to RefusalPause
    turns : GatewayTurns
        By service, when this gateway has no place.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        gateways: Callable[[], Iterable[InstanceId]],
        rng: Random,
    ):
        self.instance = instance
        self.gateways = gateways
        self.rng = rng
        self.services: dict[ServiceName, BrittleService] = {}
        self.pauses: dict[BackendServerId, RefusalPause] = {}
        self.turns = GatewayTurns(rng=rng)

    def n_gateways(self) -> int:
        """Return the number of gateways that share the places."""
        return len({*self.gateways(), self.instance})

    def is_brittle(self, service: ServiceName, *, now: float) -> bool:
        """Return whether the servers of a service have lately said so."""
        known = self.services.get(service)
        return known is not None and now < known.observed_at + VALID_S

    def record_heard(
        self, service: ServiceName, max_refusals: float, *, now: float
    ) -> bool:
        """Record what a server says of itself; return whether this is new."""
        is_new = self.record_report(service, max_refusals, observed_at=now)
        self.services[service].heard_at = now
        return is_new

    def record_report(
        self, service: ServiceName, max_refusals: float, *, observed_at: float
    ) -> bool:
        """Record what a server said of itself; return whether this is new."""
        known = self.services.setdefault(
            service, BrittleService(max_refusals=max_refusals, observed_at=-inf)
        )
        if observed_at <= known.observed_at:
            return False
        was_over = observed_at >= known.observed_at + VALID_S
        is_new = was_over or known.max_refusals != max_refusals
        known.max_refusals = max_refusals
        known.observed_at = observed_at
        return is_new

    def reports(self, *, now: float) -> tuple[BrittleReport, ...]:
        """Return what servers said to this gateway lately."""
        return tuple(
            BrittleReport(
                service=service,
                max_refusals=known.max_refusals,
                age_ms=ceil((now - known.heard_at) * 1_000),
            )
            for service, known in self.services.items()
            if now < known.heard_at + VALID_S
        )

    def places(
        self, slots: Mapping[BackendServerId, int], *, n_open: float = inf
    ) -> dict[BackendServerId, int]:
        """Return the number of this gateway's places at each server of a service.

        Parameters
        ----------
        slots : mapping of BackendServerId to int
            As in `place_owners`.
        n_open : float
            Places of each server that may be used at all.
        """
        gateways = sorted({*self.gateways(), self.instance})
        position = gateways.index(self.instance)
        places: dict[BackendServerId, int] = {}
        n_before = 0
        for server, n_slots in sorted(slots.items()):
            first = (position - n_before) % len(gateways)
            last = int(min(n_slots, n_open))
            places[server] = len(range(first, last, len(gateways)))
            n_before += n_slots
        return places

    def may_send(
        self,
        server: BackendServerId,
        service: ServiceName,
        *,
        places: dict[BackendServerId, int],
        n_running: Callable[[BackendServerId], int],
        now: float,
    ) -> bool:
        """Return whether a request may be sent to a server with a place of its own.

        Parameters
        ----------
        server : BackendServerId
        service : ServiceName
            A brittle one.
        places : dict of BackendServerId to int
            From `places`.
        n_running : callable
            Returns the number of requests of this gateway at a server.
        now : float
            Seconds on the monotonic clock.
        """
        if self.is_paused(server, now=now):
            return False
        if any(places.values()):
            return n_running(server) < places.get(server, 0)
        if any(n_running(other) for other in places):
            return False
        period_s = self._turn_period_s(service, len(places))
        return self.turns.has_turn(service, period_s=period_s, now=now)

    def record_sent(
        self,
        service: ServiceName,
        *,
        places: dict[BackendServerId, int],
        now: float,
    ) -> None:
        """Record a request that was sent without a grant."""
        if not any(places.values()):
            period_s = self._turn_period_s(service, len(places))
            self.turns.take(service, period_s=period_s, now=now)

    def is_paused(self, server: BackendServerId, *, now: float) -> bool:
        """Return whether a server gets nothing because it refused requests."""
        return server in self.pauses and now < self.pauses[server].deadline

    def _turn_period_s(self, service: ServiceName, n_servers: int) -> float:
        known = self.services.get(service)
        n_refusals = max(known.max_refusals if known else 0.0, MIN_REFUSALS)
        return self.n_gateways() / (n_refusals * TURN_FRACTION * max(n_servers, 1))

    def record_refusal(
        self,
        server: BackendServerId,
        service: ServiceName,
        *,
        now: float,
    ) -> float:
        """Record that a server refused a request for want of room.

        Returns
        -------
        pause_s : float
            Time for which this gateway sends the server nothing, in seconds.
        """
        known = self.services.get(service)
        if known is None:
            return 0.0
        pause = self.pauses.setdefault(server, RefusalPause())
        # All gateways together may be refused this often.
        longest_s = self.n_gateways() / max(known.max_refusals, MIN_REFUSALS)
        pause_s = min(
            REFUSAL_PAUSE_S * 2 ** min(pause.n_refusals, MAX_DOUBLINGS), longest_s
        )
        pause.n_refusals += 1
        pause_s *= self.rng.uniform(0.5, 1.5)
        pause.deadline = now + pause_s
        return pause_s

    def record_answer(self, server: BackendServerId) -> None:
        """Record that a server ran a request."""
        self.pauses.pop(server, None)

    def drop_unregistered(self, present: set[BackendServerId]) -> None:
        """Drop the pauses of servers that are not registered any more."""
        for server in set(self.pauses) - present:
            del self.pauses[server]
