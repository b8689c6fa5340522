"""Keeps the request rates that server processes name, over all gateways together.

Intended workload: overloaded servers that take a few requests a second, before many
gateways that each send them a request every few seconds.  An equal share would leave
most of the rate unused, so the leading coordinator grants single requests: first to
gateways where a request waits, then ahead of time to gateways with much traffic.  A
grant is valid for a short time, which bounds what gateways can save up.  Without a
leader each gateway keeps to an equal share.

A server that is hardly sent anything still gets a request every few seconds, because
only its answers show that the limit is over.
"""

from collections import Counter, defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass
from math import ceil, exp, isfinite

from msgspec.structs import replace

from turmericreel.model.ids import InstanceId, ServiceName
from turmericreel.model.server_crash import ServerProcess
from turmericreel.model.server_rate import RateGrant, RateReport

# A higher limit than this limits nothing.
MAX_RATE = 10_000.0
# Requests a second that show whether a limit close to zero is over.
PROBE_RATE = 0.25
GRANT_VALID_S = 1.0
# Grants come several times a second; after this time the leader counts as lost.
LEADER_TIMEOUT_S = 1.5
# Answers that were sent before the server named its limit may arrive after it.
REORDERING_S = 0.5
# Time for which unused requests are saved up for gateways that want them later.
BURST_S = 0.5
# Time over which the traffic of a gateway is averaged.
DEMAND_DECAY_S = 1.0
# A gateway with fewer requests in this time would let most grants expire.
MIN_DEMAND = 1.0
# Time for which a request waits for a grant.  A gateway reports it within about a tenth
# of a second, and the leader grants it within another one.
GRANT_WAIT_S = 0.4
# Part of the equal share that gateways use without a leader: their number may be
# outdated, and a leader may still grant requests to others.
SHARE_FRACTION = 0.8
MAX_RETRY_AFTER_S = 10.0
# Other gateways learn for this time that a limit is over.
END_REPORTED_S = 5.0


def parse_rate(text: str) -> float | None:
    """Return the limit that a server names, in requests a second.

    None if it makes no sense.
    """
    try:
        rate = float(text)
    except ValueError:
        return None
    if not isfinite(rate) or rate < 0.0:
        return None
    return min(rate, MAX_RATE)


def burst_of(rate: float) -> float:
    """Return how many requests may be saved up for a server."""
    return max(1.0, rate * BURST_S)


@dataclass(frozen=True, kw_only=True)
class RateLimit:
    """Limit of a process as last observed.

    Attributes
    ----------
    rate : float or None
        Requests a second; None once the server no longer names a limit.
    observed_at : float
        Seconds on the monotonic clock.
    """

    rate: float | None
    observed_at: float

    def age_ms(self, *, now: float) -> int:
        """Return the time since the observation, never less than it is."""
        return ceil((now - self.observed_at) * 1_000)


class KnownLimits:
    """The newest observation of each process that ever named a limit.

    Attributes
    ----------
    limits : dict of ServerProcess to RateLimit
    """

    def __init__(self):
        self.limits: dict[ServerProcess, RateLimit] = {}

    def rate_of(self, process: ServerProcess) -> float | None:
        """Return the rate to keep; None if the process has no limit."""
        limit = self.limits.get(process)
        if limit is None or limit.rate is None:
            return None
        return max(limit.rate, PROBE_RATE)

    def merge(
        self, process: ServerProcess, rate: float | None, *, observed_at: float
    ) -> bool:
        """Record an observation unless a newer one is known; return if it is new."""
        known = self.limits.get(process)
        if known is None and rate is None:
            return False
        if known is not None and observed_at <= known.observed_at:
            return False
        self.limits[process] = RateLimit(rate=rate, observed_at=observed_at)
        return known is None or known.rate != rate

    def drop_unregistered(self, present: set[ServerProcess]) -> None:
        """Drop processes that are not registered any more."""
        for process in set(self.limits) - present:
            del self.limits[process]


@dataclass(kw_only=True)
class LocalShare:
    """Requests that a gateway may send without grants; `updated_at` in seconds."""

    updated_at: float
    n_allowed: float = 0.0


class RetryTimes:
    """Tells refused clients when there is room, each another time.

    Attributes
    ----------
    next_room : dict of ServiceName to float
        When a client that is refused next may return, in seconds on the monotonic
        clock.
    """

    def __init__(self):
        self.next_room: dict[ServiceName, float] = {}

    def next_s(self, service: ServiceName, *, rate: float, now: float) -> float:
        """Return the time until there is room for one more client.

        Parameters
        ----------
        service : ServiceName
        rate : float
            Requests a second that this gateway can expect to send.
        now : float
            Seconds on the monotonic clock.
        """
        at = max(self.next_room.get(service, 0.0), now) + 1.0 / rate
        self.next_room[service] = min(at, now + MAX_RETRY_AFTER_S)
        return self.next_room[service] - now


class GatewayRates:
    """Decides whether one gateway may send a request to a limited process.

    Attributes
    ----------
    known : KnownLimits
    grants : dict of ServerProcess to deque of float
        Deadlines of the unused grants, in seconds on the monotonic clock.
    n_wanted, n_returned : Counter of ServerProcess
        Requests that could be sent to a process, and grants that expired, since the
        last report.
    n_waiting : Counter of ServerProcess
        Requests that wait for a grant.
    spare : set of ServerProcess
        Processes for which the leader can soon grant one more request.
    leader_deadline : float
        Until when the leader counts as present, in seconds on the monotonic clock.
    term : int
        Highest term of a leader that sent grants.
    """

    def __init__(self):
        self.known = KnownLimits()
        self.grants: dict[ServerProcess, deque[float]] = defaultdict(deque)
        self.n_wanted: Counter[ServerProcess] = Counter()
        self.n_returned: Counter[ServerProcess] = Counter()
        self.n_waiting: Counter[ServerProcess] = Counter()
        self.spare: set[ServerProcess] = set()
        self.leader_deadline = 0.0
        self.term = 0
        self.n_gateways = 1
        self.shares: dict[ServerProcess, LocalShare] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no process ever named a limit."""
        return not self.known.limits

    def record_answer(
        self, process: ServerProcess, rate: float | None, *, now: float
    ) -> bool:
        """Record the limit in an answer, None without one; return if it changed."""
        known = self.known.limits.get(process)
        is_late = known is not None and now < known.observed_at + REORDERING_S
        if rate is None and is_late and known.rate is not None:
            return False
        return self.known.merge(process, rate, observed_at=now)

    def receive(
        self, grants: Iterable[RateGrant], *, term: int, n_gateways: int, now: float
    ) -> list[ServerProcess]:
        """Record the leader's grants; return the processes whose limits changed."""
        if term < self.term:
            return []
        self.term = term
        self.n_gateways = max(n_gateways, 1)
        self.leader_deadline = now + LEADER_TIMEOUT_S
        self.spare = {grant.process for grant in grants if grant.has_spare}
        changed = []
        for grant in grants:
            observed_at = now - grant.age_ms / 1_000
            if self.known.merge(grant.process, grant.rate, observed_at=observed_at):
                changed.append(grant.process)
            deadlines = [now + GRANT_VALID_S] * grant.n_granted
            self.grants[grant.process].extend(deadlines)
        return changed

    def may_send(self, process: ServerProcess, *, now: float) -> bool:
        """Return whether a request may be sent to a process now."""
        rate = self.known.rate_of(process)
        if rate is None:
            return True
        self._return_expired(process, now)
        if self.grants[process]:
            return True
        return self._local_share(process, rate, now).n_allowed >= 1.0

    def take(self, process: ServerProcess, *, now: float) -> None:
        """Count a request that is sent to a process."""
        rate = self.known.rate_of(process)
        if rate is None:
            return
        if self.grants[process]:
            self.grants[process].popleft()
        else:
            self._local_share(process, rate, now).n_allowed -= 1.0

    def count_wanted(self, process: ServerProcess) -> None:
        """Count a request that could be sent to a process."""
        if self.known.rate_of(process) is not None:
            self.n_wanted[process] += 1

    def may_be_granted(self, process: ServerProcess, *, now: float) -> bool:
        """Return whether the leader grants a request soon if one waits."""
        return process in self.spare and now < self.leader_deadline

    def observations(self, *, now: float) -> tuple[RateReport, ...]:
        """Return the limits that other instances should know."""
        return tuple(
            RateReport(process=process, rate=limit.rate, age_ms=limit.age_ms(now=now))
            for process, limit in self.known.limits.items()
            if limit.rate is not None or now < limit.observed_at + END_REPORTED_S
        )

    def report(self, *, now: float) -> tuple[RateReport, ...]:
        """Return the observations, with the counts since the last report."""
        for process in list(self.grants):
            self._return_expired(process, now)
        reports = tuple(
            replace(
                observed,
                n_wanted=self.n_wanted[observed.process],
                n_waiting=self.n_waiting[observed.process],
                n_returned=self.n_returned[observed.process],
            )
            for observed in self.observations(now=now)
        )
        self.n_wanted.clear()
        self.n_returned.clear()
        return reports

    def rate_of_all(self, processes: Iterable[ServerProcess]) -> float:
        """Return what limited processes take together, in requests a second."""
        return sum(self.known.rate_of(process) or 0.0 for process in processes)

    def n_limited(self) -> int:
        """Return the number of processes that name a limit."""
        return sum(limit.rate is not None for limit in self.known.limits.values())

    def drop_unregistered(self, present: set[ServerProcess]) -> None:
        """Drop processes that are not registered any more."""
        self.known.drop_unregistered(present)
        for state in (self.grants, self.shares, self.n_wanted, self.n_returned):
            for process in set(state) - set(self.known.limits):
                del state[process]

    def _return_expired(self, process: ServerProcess, now: float) -> None:
        deadlines = self.grants[process]
        while deadlines and deadlines[0] <= now:
            deadlines.popleft()
            self.n_returned[process] += 1

    def _local_share(
        self, process: ServerProcess, rate: float, now: float
    ) -> LocalShare:
        """Return the share of a process, which grows only without a leader."""
        share = self.shares.setdefault(process, LocalShare(updated_at=now))
        if now < self.leader_deadline:
            share.n_allowed = 0.0
        else:
            rate_here = rate / self.n_gateways * SHARE_FRACTION
            without_leader_s = now - max(share.updated_at, self.leader_deadline)
            share.n_allowed = min(
                share.n_allowed + without_leader_s * rate_here, burst_of(rate_here)
            )
        share.updated_at = now
        return share


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
        waiting = self.waiting.get(process, {})
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
