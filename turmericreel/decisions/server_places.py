"""Divides the places of brittle servers among the gateways.

Intended workload: overloaded servers that fall over when they must refuse more than a
few requests a second for want of room, before many gateways.  A load report is older
than the requests that other gateways have sent since, so a gateway that goes by reports
sends too much.  Instead each gateway has places of its own, and what has no place waits
there.

The division needs no messages: all gateways compute it from the same lists.  While
these differ, two gateways may use the same place; what the servers then refuse slows
them down.
"""

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass
from math import ceil, inf
from random import Random

from turmericreel.decisions.rate_limits import parse_rate
from turmericreel.model.brittle_service import BrittleReport
from turmericreel.model.ids import BackendServerId, InstanceId, ServiceName

# All servers of a service say that they are brittle, in all their answers, so a service
# of which none has said so for this time no longer is.
VALID_S = 3.0
# Pause after a server refused a request for which there was a place.
REFUSAL_PAUSE_S = 0.5
MAX_PAUSE_S = 5.0
# Less than one refusal a second would keep a gateway without a place out for too long.
MIN_REFUSALS = 0.5


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
        self, slots: Mapping[BackendServerId, int]
    ) -> dict[BackendServerId, int]:
        """Return the number of this gateway's places at each server of a service.

        Parameters
        ----------
        slots : mapping of BackendServerId to int
            Requests that each server of the service can run concurrently.
        """
        gateways = sorted({*self.gateways(), self.instance})
        position = gateways.index(self.instance)
        places: dict[BackendServerId, int] = {}
        n_before = 0
        for server, n_slots in sorted(slots.items()):
            first = (position - n_before) % len(gateways)
            places[server] = len(range(first, n_slots, len(gateways)))
            n_before += n_slots
        return places

    def may_send(
        self,
        server: BackendServerId,
        *,
        places: dict[BackendServerId, int],
        n_running: Callable[[BackendServerId], int],
        now: float,
    ) -> bool:
        """Return whether a request may be sent to a server of a brittle service now.

        A gateway without any place sends one request at a time, as long as it is not
        refused.

        Parameters
        ----------
        server : BackendServerId
        places : dict of BackendServerId to int
            From `places`.
        n_running : callable
            Returns the number of requests of this gateway at a server.
        now : float
            Seconds on the monotonic clock.
        """
        if server in self.pauses and now < self.pauses[server].deadline:
            return False
        if any(places.values()):
            return n_running(server) < places.get(server, 0)
        return not any(n_running(other) for other in places)

    def record_refusal(
        self,
        server: BackendServerId,
        service: ServiceName,
        *,
        has_place: bool,
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
        longest_s = min(
            self.n_gateways() / max(known.max_refusals, MIN_REFUSALS), MAX_PAUSE_S
        )
        pause_s = longest_s
        if has_place:
            pause_s = min(REFUSAL_PAUSE_S * 2**pause.n_refusals, longest_s)
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
