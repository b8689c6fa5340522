"""Decides whether one gateway may send a request to a server that named a rate.

Intended workload: see `rate_limits`.  The leading coordinator grants single requests,
which are valid for a short time; that bounds what gateways can save up.  Without a
leader each gateway keeps to an equal share.
"""

from collections import Counter, defaultdict, deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from msgspec.structs import replace

from turmericreel.decisions.gateway_turns import GatewayTurns
from turmericreel.decisions.rate_limits import KnownLimits, burst_of
from turmericreel.model.ids import ServiceName
from turmericreel.model.server_crash import ServerProcess
from turmericreel.model.server_rate import RateGrant, RateReport

GRANT_VALID_S = 1.0
# Grants come several times a second; after this time the leader counts as lost.
LEADER_TIMEOUT_S = 1.5
# Answers that were sent before the server named its limit may arrive after it.
REORDERING_S = 0.5
# Part of the equal share that gateways use without a leader: their number may be
# outdated, and a leader may still grant requests to others.
SHARE_FRACTION = 0.8
# Gateways whose share takes longer than this for one request do not save it up, as all
# of them could then send at once; each has a turn instead.
MAX_SAVING_S = 4.0
MAX_RETRY_AFTER_S = 10.0
# Other gateways learn for this time that a limit is over.
END_REPORTED_S = 5.0


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


@dataclass(kw_only=True)
class LocalShare:
    """Requests that a gateway may send without grants; `updated_at` in seconds."""

    updated_at: float
    n_allowed: float = 0.0


class GatewayRates:
    """Decides whether one gateway may send a request to a limited process.

    Parameters
    ----------
    n_gateways : callable
        Returns the number of gateways that share the rates.
    rng : Random

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

    def __init__(self, *, rng: Random, n_gateways: Callable[[], int] = lambda: 1):
        self.n_gateways = n_gateways
        self.turns = GatewayTurns(rng=rng)
        self.known = KnownLimits()
        self.grants: dict[ServerProcess, deque[float]] = defaultdict(deque)
        self.n_wanted: Counter[ServerProcess] = Counter()
        self.n_returned: Counter[ServerProcess] = Counter()
        self.n_waiting: Counter[ServerProcess] = Counter()
        self.spare: set[ServerProcess] = set()
        self.leader_deadline = 0.0
        self.term = 0
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
        self, grants: Iterable[RateGrant], *, term: int, now: float
    ) -> list[ServerProcess]:
        """Record the leader's grants; return the processes whose limits changed.

        Those of a former leader are ignored while the newer one is present.
        """
        if term < self.term and now < self.leader_deadline:
            return []
        self.term = term
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
            rate_here = self.share_of(rate) * SHARE_FRACTION
            if rate_here * MAX_SAVING_S < 1.0:
                self.turns.take(process, period_s=1.0 / rate_here, now=now)

    def give_back(self, process: ServerProcess, *, now: float) -> None:
        """Take back the count of a request that did not reach a process."""
        rate = self.known.rate_of(process)
        if rate is None:
            return
        if now < self.leader_deadline:
            # The leader may grant it again.
            self.n_returned[process] += 1
        else:
            self._local_share(process, rate, now).n_allowed += 1.0

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

    def share_of(self, rate: float) -> float:
        """Return the equal share of one gateway."""
        return rate / max(self.n_gateways(), 1)

    def rate_of_all(self, processes: Iterable[ServerProcess]) -> float:
        """Return what limited processes take together, in requests a second."""
        return sum(self.known.rate_of(process) or 0.0 for process in processes)

    def n_limited(self) -> int:
        """Return the number of processes that name a limit."""
        return sum(limit.rate is not None for limit in self.known.limits.values())

    def drop_unregistered(self, present: set[ServerProcess]) -> None:
        """Drop processes that are not registered any more."""
        self.known.drop_unregistered(present)
        self.turns.drop_unregistered(self.known.limits)
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
            rate_here = self.share_of(rate) * SHARE_FRACTION
            if rate_here * MAX_SAVING_S < 1.0:
                period_s = 1.0 / rate_here
                has_turn = self.turns.has_turn(process, period_s=period_s, now=now)
                share.n_allowed = float(has_turn)
                share.updated_at = now
                return share
            without_leader_s = now - max(share.updated_at, self.leader_deadline)
            share.n_allowed = min(
                share.n_allowed + without_leader_s * rate_here, burst_of(rate_here)
            )
        share.updated_at = now
        return share
