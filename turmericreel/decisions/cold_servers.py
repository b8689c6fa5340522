"""Which server processes are cold, and how many requests they take meanwhile.

Intended workload: a few dozen engines before dozens to hundreds of gateways, each of
which sends a few requests a second.  A server is cold for some seconds after its start,
or at any moment again, also all servers of a data centre at once, and falls over when
all gateways together send it more than a few requests within a second.
"""

from dataclasses import dataclass

from turmericreel.model.ids import ServiceName
from turmericreel.model.registered_server import RegisteredServer
from turmericreel.model.routing import RoutingConfiguration
from turmericreel.model.routing_settings import ColdBounds
from turmericreel.model.server_crash import ServerProcess, process_of

# Time from the leader's grant until the gateway that got it must have used it.
GRANT_VALID_S = 0.6
# Part of the bound that the leader may grant; the rest is for gateways that it does not
# reach, as these do not know of its grants.
GRANTED_FRACTION = 0.75
# Requests a second without a leader, as a part of that rest.  The turns of gateways
# are independent of each other, so several may fall into the same second.
TURN_FRACTION = 0.2
# Turns without a leader need room for more than one at a time.
MIN_ROOM_FOR_TURNS = 2.0
# A server whose data centre was not used may have become cold since its last heartbeat.
PRESUMED_COLD_S = 2.5
# Longer times make no sense.
MAX_COLD_MS = 600_000


@dataclass(frozen=True, kw_only=True)
class ColdLimit:
    """Requests that a cold server takes from all gateways together.

    Attributes
    ----------
    rate : float
        Requests a second that it takes over time.
    max_in_second : float
        Requests in any one second beyond which it may fall over.
    """

    rate: float
    max_in_second: float

    @property
    def max_granted(self) -> int:
        """Requests that the leader may grant in a second and `GRANT_VALID_S`."""
        return int(self.max_in_second * GRANTED_FRACTION) or int(self.max_in_second)

    @property
    def granted_rate(self) -> float:
        """Requests a second that the leader grants over time."""
        return min(self.rate, self.max_granted / (1.0 + GRANT_VALID_S))

    @property
    def turn_rate(self) -> float:
        """Requests a second that all gateways send together without a leader."""
        room = self.max_in_second - self.max_granted
        return room * TURN_FRACTION if room >= MIN_ROOM_FOR_TURNS else 0.0


def limits_by_service(
    configuration: RoutingConfiguration, bounds: ColdBounds
) -> dict[ServiceName, ColdLimit]:
    """Return what cold servers take, for the services that name it."""
    return {
        service.name: ColdLimit(
            rate=service.cold_rate,
            max_in_second=service.cold_rate * bounds.overshoot + bounds.slack,
        )
        for service in configuration.services
        if service.cold_rate is not None
    }


def parse_cold_ms(text: str) -> float | None:
    """Return for how long a server says that it is cold, in milliseconds.

    None if it makes no sense.
    """
    try:
        cold_ms = float(text)
    except ValueError:
        return None
    # NaN fails this comparison.
    return min(cold_ms, MAX_COLD_MS) if cold_ms >= 0.0 else None


class KnownCold:
    """Until when server processes are cold.

    Attributes
    ----------
    deadlines : dict of ServerProcess to float
        In seconds on the monotonic clock.
    services : dict of ServerProcess to ServiceName
    """

    def __init__(self):
        self.deadlines: dict[ServerProcess, float] = {}
        self.services: dict[ServerProcess, ServiceName] = {}

    def record(self, server: RegisteredServer, *, now: float) -> bool:
        """Record a newer registration; return whether the server became cold."""
        process = process_of(server)
        was_cold = self.is_cold(process, now=now)
        if server.warmup_left_ms <= 0:
            self._drop(process)
            return False
        cold_ms = min(server.warmup_left_ms, MAX_COLD_MS)
        self._set(server, now + cold_ms / 1_000)
        return not was_cold

    def extend(self, server: RegisteredServer, *, cold_s: float, now: float) -> bool:
        """Let a server be cold for at least a time; return whether it became cold."""
        process = process_of(server)
        was_cold = self.is_cold(process, now=now)
        if cold_s <= 0.0:
            return False
        self._set(server, max(self.deadlines.get(process, 0.0), now + cold_s))
        return not was_cold

    def is_cold(self, process: ServerProcess, *, now: float) -> bool:
        """Return whether a process is cold."""
        return now < self.deadlines.get(process, 0.0)

    def left_s(self, process: ServerProcess, *, now: float) -> float:
        """Return for how long a process is still cold, in seconds."""
        return max(self.deadlines.get(process, 0.0) - now, 0.0)

    def cold_processes(self, *, now: float) -> dict[ServerProcess, ServiceName]:
        """Return the processes that are cold, with their services; forget others."""
        for process in [p for p, until in self.deadlines.items() if until <= now]:
            self._drop(process)
        return self.services

    def drop_unregistered(self, present: set[ServerProcess]) -> None:
        """Drop processes that are not registered any more."""
        for process in set(self.deadlines) - present:
            self._drop(process)

    def _set(self, server: RegisteredServer, deadline: float) -> None:
        process = process_of(server)
        self.deadlines[process] = deadline
        self.services[process] = server.service

    def _drop(self, process: ServerProcess) -> None:
        self.deadlines.pop(process, None)
        self.services.pop(process, None)
