"""Grants requests of servers that named a rate to the gateways that want to send them.

Intended workload: see `rate_limits`.  An equal share would leave most of a rate unused.
Requests are granted first to gateways where a request waits, then ahead of time to
gateways with much traffic.
"""

from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from math import exp

from turmericreel.decisions.rate_limits import GRANT_WAIT_S, KnownLimits, burst_of
from turmericreel.model.ids import InstanceId
from turmericreel.model.server_crash import ServerProcess
from turmericreel.model.server_rate import RateGrant, RateReport

# Time over which the traffic of a gateway is averaged.
DEMAND_DECAY_S = 1.0
# A gateway with fewer requests in this time would let most grants expire.
MIN_DEMAND = 1.0


@dataclass(kw_only=True)
class GrantBudget:
    """Requests that may be granted for one process; `updated_at` in seconds."""

    updated_at: float
    n_left: float = 0.0


class RateGrants:
    """Grants requests of limited processes to the gateways that want them.

    Attributes
    ----------
    known : KnownLimits
    budgets : dict of ServerProcess to GrantBudget
    waiting : dict of ServerProcess to dict of InstanceId to int
        Requests that wait for a grant, by gateway.
    demand : dict of ServerProcess to dict of InstanceId to float
        Requests of each gateway that could lately be sent to a process.
    decayed_at : dict of ServerProcess to float
        When the demand was last reduced, in seconds on the monotonic clock.
    credit : dict of ServerProcess to dict of InstanceId to float
        Grants that each gateway is owed by its demand.
    """

    def __init__(self):
        self.known = KnownLimits()
        self.budgets: dict[ServerProcess, GrantBudget] = {}
        self.waiting: dict[ServerProcess, dict[InstanceId, int]] = {}
        self.demand: dict[ServerProcess, dict[InstanceId, float]] = {}
        self.decayed_at: dict[ServerProcess, float] = {}
        self.credit: dict[ServerProcess, dict[InstanceId, float]] = {}

    def record_report(
        self, gateway: InstanceId, reports: Iterable[RateReport], *, now: float
    ) -> None:
        """Record what a gateway observed, wants and did not use."""
        for report in reports:
            process = report.process
            observed_at = now - report.age_ms / 1_000
            self.known.merge(process, report.rate, observed_at=observed_at)
            rate = self.known.rate_of(process)
            if rate is None:
                continue
            budget = self._budget(process, rate, now)
            budget.n_left = min(budget.n_left + report.n_returned, burst_of(rate))
            self.waiting.setdefault(process, {})[gateway] = report.n_waiting
            demand = self.demand.setdefault(process, {})
            demand[gateway] = demand.get(gateway, 0.0) + report.n_wanted

    def grant(
        self, gateways: Iterable[InstanceId], *, now: float
    ) -> dict[InstanceId, tuple[RateGrant, ...]]:
        """Return the new grants of each gateway, with the limits that are known."""
        instances = sorted(gateways)
        counts = {
            process: self._distribute(process, rate, instances, now)
            for process in self.known.limits
            if (rate := self.known.rate_of(process)) is not None
        }
        return {
            instance: tuple(
                RateGrant(
                    process=process,
                    rate=limit.rate,
                    age_ms=limit.age_ms(now=now),
                    n_granted=counts.get(process, Counter())[instance],
                    has_spare=process in counts and self._has_spare(process),
                )
                for process, limit in self.known.limits.items()
            )
            for instance in instances
        }

    def known_limits(self, *, now: float) -> tuple[RateGrant, ...]:
        """Return the limits without any grant."""
        return tuple(
            RateGrant(process=process, rate=limit.rate, age_ms=limit.age_ms(now=now))
            for process, limit in self.known.limits.items()
        )

    def drop_unregistered(self, present: set[ServerProcess]) -> None:
        """Drop processes that are not registered any more."""
        self.known.drop_unregistered(present)
        for state in (
            self.budgets,
            self.waiting,
            self.demand,
            self.decayed_at,
            self.credit,
        ):
            for process in set(state) - set(self.known.limits):
                del state[process]

    def _budget(self, process: ServerProcess, rate: float, now: float) -> GrantBudget:
        budget = self.budgets.setdefault(process, GrantBudget(updated_at=now))
        added = (now - budget.updated_at) * rate
        budget.n_left = min(budget.n_left + added, burst_of(rate))
        budget.updated_at = now
        return budget

    def _has_spare(self, process: ServerProcess) -> bool:
        """Return whether one more request that waits is soon granted."""
        rate = self.known.rate_of(process)
        soon = self.budgets[process].n_left + rate * GRANT_WAIT_S / 2
        return soon >= 1 + sum(self.waiting.get(process, {}).values())

    def _distribute(
        self,
        process: ServerProcess,
        rate: float,
        gateways: list[InstanceId],
        now: float,
    ) -> Counter[InstanceId]:
        """Return how many requests each gateway is granted."""
        budget = self._budget(process, rate, now)
        demand = self._decayed_demand(process, gateways, now)
        known = self.waiting.get(process, {})
        # A gateway that was lost while a request waited waits no more.
        waiting = {g: known[g] for g in gateways if g in known}
        self.waiting[process] = waiting
        credit = self.credit.setdefault(process, {})
        granted: Counter[InstanceId] = Counter()
        while budget.n_left >= 1.0:
            eligible = [g for g in gateways if waiting.get(g)]
            eligible = eligible or [g for g, n in demand.items() if n >= MIN_DEMAND]
            if not eligible:
                break
            chosen = _next_by_weight(eligible, demand, credit)
            if waiting.get(chosen):
                waiting[chosen] -= 1
            budget.n_left -= 1.0
            granted[chosen] += 1
        return granted

    def _decayed_demand(
        self, process: ServerProcess, gateways: list[InstanceId], now: float
    ) -> dict[InstanceId, float]:
        elapsed_s = now - self.decayed_at.get(process, now)
        decay = exp(-elapsed_s / DEMAND_DECAY_S)
        known = self.demand.get(process, {})
        self.decayed_at[process] = now
        self.demand[process] = {g: known[g] * decay for g in gateways if g in known}
        return self.demand[process]


def _next_by_weight(
    eligible: list[InstanceId],
    weights: dict[InstanceId, float],
    credit: dict[InstanceId, float],
) -> InstanceId:
    """Choose gateways in proportion to their weights, evenly over time."""
    total = sum(weights.get(g, 0.0) for g in eligible)
    for gateway in eligible:
        share = weights.get(gateway, 0.0) / total if total else 1 / len(eligible)
        credit[gateway] = credit.get(gateway, 0.0) + share
    chosen = max(eligible, key=lambda g: (credit[g], g))
    credit[chosen] -= 1.0
    return chosen
