"""Grants requests of cold servers to the gateways that want to send them.

Intended workload: see `cold_servers`.  The leading coordinator counts its grants of
each server process over a second and the time for which a grant is valid.  A grant that
is not used is lost, as one that came back could be used twice within the same second.
"""

from collections import deque
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from itertools import accumulate
from math import exp
from random import Random

from turmericreel.decisions.cold_servers import GRANT_VALID_S, ColdLimit
from turmericreel.model.cold_server import (
    ColdAnswer,
    ColdGrant,
    ColdReport,
)
from turmericreel.model.ids import InstanceId, ServiceName
from turmericreel.model.server_crash import ServerProcess

# Grants may be saved up for this time.
BURST_S = 0.3
# Time over which the requests of a gateway are averaged.
DEMAND_DECAY_S = 1.0
MIN_DEMAND = 0.01
# Time for which a request waits for a grant.
GRANT_WAIT_S = 0.4
# After this time the grants of a former leader are void, and gateways are connected.
LEARNING_S = 1.0


@dataclass(frozen=True, kw_only=True)
class ColdProcess:
    """A cold server process and what it takes."""

    service: ServiceName
    limit: ColdLimit


@dataclass(kw_only=True)
class ProcessBudget:
    """Requests that may be granted of one process.

    Attributes
    ----------
    updated_at : float
        Seconds on the monotonic clock.
    granted_at : deque of float
        Of the latest grants, in seconds on the monotonic clock.
    """

    updated_at: float
    n_left: float = 0.0
    granted_at: deque[float] = field(default_factory=deque)

    def update(self, limit: ColdLimit, *, now: float) -> None:
        """Add what the limit allows since the last update."""
        added = (now - self.updated_at) * limit.granted_rate
        burst = max(limit.granted_rate * BURST_S, 1.0)
        self.n_left = min(self.n_left + added, burst)
        self.updated_at = now
        while self.granted_at and self.granted_at[0] <= now - 1.0 - GRANT_VALID_S:
            self.granted_at.popleft()

    def may_grant(self, limit: ColdLimit) -> bool:
        """Return whether one more request may be granted."""
        return self.n_left >= 1.0 and len(self.granted_at) < limit.max_granted


@dataclass(kw_only=True)
class GatewayDemand:
    """What the newest reports of a gateway say.

    Attributes
    ----------
    received_at : float
        When the newest report arrived, in seconds on the monotonic clock.
    wanted : dict of ServiceName to float
        Requests of the last second or so.
    """

    number: int = 0
    received_at: float = 0.0
    wanted: dict[ServiceName, float] = field(default_factory=dict)
    waiting: dict[ServiceName, int] = field(default_factory=dict)


class ServiceDemand:
    """Gateways that want requests of one service granted.

    Parameters
    ----------
    service : ServiceName
    demands : mapping of InstanceId to GatewayDemand
        Its requests that wait are counted down as they are granted.
    rng : Random
    """

    def __init__(
        self,
        *,
        service: ServiceName,
        demands: Mapping[InstanceId, GatewayDemand],
        rng: Random,
    ):
        self.service = service
        self.demands = demands
        self.rng = rng
        self.waiting = {g for g, d in demands.items() if d.waiting.get(service)}
        self.wanting = [g for g, d in demands.items() if d.wanted.get(service)]
        wanted = (demands[g].wanted[service] for g in self.wanting)
        self.cumulative = list(accumulate(wanted))

    def next_gateway(self) -> InstanceId | None:
        """Choose a gateway where a request waits, or else one that has requests."""
        if self.waiting:
            chosen = self.rng.choice(sorted(self.waiting))
            waiting = self.demands[chosen].waiting
            waiting[self.service] -= 1
            if not waiting[self.service]:
                self.waiting.discard(chosen)
            return chosen
        if not self.wanting:
            return None
        return self.rng.choices(self.wanting, cum_weights=self.cumulative)[0]


class ColdGrants:
    """Grants of one leader.

    Parameters
    ----------
    began_at : float
        When this coordinator became the leader, in seconds on the monotonic clock.
    rng : Random

    Attributes
    ----------
    budgets : dict of ServerProcess to ProcessBudget
    demands : dict of InstanceId to GatewayDemand
    """

    def __init__(self, *, began_at: float, rng: Random):
        self.began_at = began_at
        self.rng = rng
        self.budgets: dict[ServerProcess, ProcessBudget] = {}
        self.demands: dict[InstanceId, GatewayDemand] = {}
        self.n_granted = 0

    def record_report(
        self, gateway: InstanceId, report: ColdReport, *, now: float
    ) -> None:
        """Record what a gateway wants."""
        known = self.demands.setdefault(gateway, GatewayDemand())
        decay = exp((known.received_at - now) / DEMAND_DECAY_S)
        wanted = {
            service: n * decay
            for service, n in known.wanted.items()
            if n * decay >= MIN_DEMAND
        }
        for demand in report.demands:
            service = demand.service
            wanted[service] = wanted.get(service, 0.0) + demand.n_wanted
        self.demands[gateway] = GatewayDemand(
            number=report.number,
            received_at=now,
            wanted=wanted,
            waiting={d.service: d.n_waiting for d in report.demands},
        )

    def answer(
        self,
        cold: Mapping[ServerProcess, ColdProcess],
        *,
        gateways: Iterable[InstanceId],
        now: float,
    ) -> dict[InstanceId, ColdAnswer]:
        """Return the answer to each connected gateway.

        Parameters
        ----------
        cold : mapping of ServerProcess to ColdProcess
            All cold processes that may be used.
        gateways : iterable of InstanceId
            Those connected to this coordinator.
        now : float
            Seconds on the monotonic clock.
        """
        connected = sorted(gateways)
        for gateway in set(self.demands) - set(connected):
            del self.demands[gateway]
        granted: dict[InstanceId, list[ColdGrant]] = {g: [] for g in connected}
        if now >= self.began_at + LEARNING_S:
            demands = {
                service: ServiceDemand(
                    service=service, demands=self.demands, rng=self.rng
                )
                for service in {state.service for state in cold.values()}
            }
            for process, state in cold.items():
                self._grant(process, state, demands[state.service], granted, now)
        self._drop_idle_budgets(cold, now)
        spare = self._spare_services(cold)
        return {
            gateway: self._answer_to(gateway, tuple(granted[gateway]), spare, now)
            for gateway in connected
        }

    def _grant(
        self,
        process: ServerProcess,
        state: ColdProcess,
        demand: ServiceDemand,
        granted: dict[InstanceId, list[ColdGrant]],
        now: float,
    ) -> None:
        limit = state.limit
        budget = self.budgets.setdefault(process, ProcessBudget(updated_at=now))
        budget.update(limit, now=now)
        while budget.may_grant(limit):
            gateway = demand.next_gateway()
            if gateway is None:
                return
            budget.n_left -= 1.0
            budget.granted_at.append(now)
            self.n_granted += 1
            granted[gateway].append(ColdGrant(process=process, n_granted=1))

    def _drop_idle_budgets(
        self, cold: Mapping[ServerProcess, ColdProcess], now: float
    ) -> None:
        """Drop budgets whose grants no longer count; the server may get cold again."""
        oldest = now - 1.0 - GRANT_VALID_S
        for process in set(self.budgets) - set(cold):
            granted_at = self.budgets[process].granted_at
            if not granted_at or granted_at[-1] <= oldest:
                del self.budgets[process]

    def _spare_services(
        self, cold: Mapping[ServerProcess, ColdProcess]
    ) -> tuple[ServiceName, ...]:
        """Return the services for which one more request is soon granted."""
        soon: dict[ServiceName, float] = {}
        for state in cold.values():
            added = state.limit.granted_rate * GRANT_WAIT_S / 2
            soon[state.service] = soon.get(state.service, 0.0) + added
        for demand in self.demands.values():
            for service, n_waiting in demand.waiting.items():
                if service in soon:
                    soon[service] -= n_waiting
        return tuple(sorted(s for s, n in soon.items() if n >= 1.0))

    def _answer_to(
        self,
        gateway: InstanceId,
        grants: tuple[ColdGrant, ...],
        spare: tuple[ServiceName, ...],
        now: float,
    ) -> ColdAnswer:
        demand = self.demands.get(gateway)
        if demand is None:
            return ColdAnswer(number=0, held_ms=0, spare=spare)
        # Rounded down, so that no grant is valid for longer than it should be.
        held_ms = int((now - demand.received_at) * 1_000)
        return ColdAnswer(
            number=demand.number, held_ms=held_ms, grants=grants, spare=spare
        )
