"""Decides whether one gateway may send a request to a cold server.

Intended workload: see `cold_servers`.  A gateway sends to a cold server with a grant of
the leader only.  The time for which a grant is valid counts from the report that the
leader answers, so one that was held up on its way is void.  Without a leader, and where
only cold servers are left, each gateway has a rare turn.
"""

from collections import Counter, defaultdict
from collections.abc import Callable, Iterable
from random import Random

from turmericreel.decisions.cold_servers import GRANT_VALID_S, ColdLimit, KnownCold
from turmericreel.decisions.gateway_turns import GatewayTurns
from turmericreel.model.cold_server import ColdAnswer, ColdDemand, ColdReport
from turmericreel.model.ids import ServiceName
from turmericreel.model.registered_server import RegisteredServer
from turmericreel.model.server_crash import ServerProcess, process_of

# Answers come several times a second; after this time the leader counts as lost.
LEADER_TIMEOUT_S = 1.5
TURN_VALID_S = 0.25
# An answer to an older report grants nothing.
REPORT_KEPT_S = 3.0


class GatewayColdServers:
    """Cold servers as one gateway knows them, and its grants.

    Parameters
    ----------
    limit_of : callable
        Returns what cold servers of a service take, or None without a limit.
    n_gateways : callable
        Returns the number of gateways that are known.
    rng : Random

    Attributes
    ----------
    known : KnownCold
    grants : dict of ServerProcess to list of float
        Deadlines of the unused grants, in seconds on the monotonic clock.
    n_wanted, n_waiting : Counter of ServiceName
        Requests that cold servers could have got since the last report, and requests
        that wait for a grant.
    spare : set of ServiceName
        Services for which the leader can soon grant one more request.
    leader_deadline : float
        Until when the leader counts as present, in seconds on the monotonic clock.
    term : int
        Term of the leader that answered last.
    sent_at : dict of int to float
        When the latest reports were made, in seconds on the monotonic clock.
    most_gateways : int
        Highest number of gateways so far: a gateway that is cut off knows only some.
    """

    def __init__(
        self,
        *,
        limit_of: Callable[[ServiceName], ColdLimit | None],
        n_gateways: Callable[[], int],
        rng: Random,
    ):
        self.limit_of = limit_of
        self.n_gateways = n_gateways
        self.known = KnownCold()
        self.turns = GatewayTurns(rng=rng, valid_s=TURN_VALID_S)
        self.grants: dict[ServerProcess, list[float]] = defaultdict(list)
        self.n_wanted: Counter[ServiceName] = Counter()
        self.n_waiting: Counter[ServiceName] = Counter()
        self.spare: set[ServiceName] = set()
        self.leader_deadline = 0.0
        self.term = 0
        self.number = 0
        self.sent_at: dict[int, float] = {}
        self.most_gateways = 1

    @property
    def is_empty(self) -> bool:
        """Whether no server is known to be cold."""
        return not self.known.deadlines

    def is_cold(self, server: RegisteredServer, *, now: float) -> bool:
        """Return whether a server is cold, with or without a limit."""
        return self.known.is_cold(process_of(server), now=now)

    def left_s(self, server: RegisteredServer, *, now: float) -> float:
        """Return for how long a server is still cold, in seconds."""
        return self.known.left_s(process_of(server), now=now)

    def limit(self, server: RegisteredServer, *, now: float) -> ColdLimit | None:
        """Return what a server takes while it is cold; None if nothing limits it."""
        if not self.known.is_cold(process_of(server), now=now):
            return None
        return self.limit_of(server.service)

    def ready(
        self, servers: Iterable[RegisteredServer], *, now: float
    ) -> list[RegisteredServer]:
        """Return the servers that may get a request now."""
        servers = list(servers)
        limits = [self.limit(server, now=now) for server in servers]
        only_cold = None not in limits
        return [
            server
            for server, limit in zip(servers, limits, strict=True)
            if limit is None
            or self._has_grant(process_of(server), now)
            or (only_cold and self._has_turn(server, limit, now))
        ]

    def take(self, server: RegisteredServer, *, now: float) -> None:
        """Count a request that is sent to a server; there is no giving it back."""
        limit = self.limit(server, now=now)
        if limit is None:
            return
        process = process_of(server)
        if self._has_grant(process, now):
            self.grants[process].pop(0)
        elif limit.turn_rate:
            self.turns.take(process, period_s=self._period_s(limit), now=now)

    def count_wanted(self, servers: Iterable[RegisteredServer], *, now: float) -> None:
        """Count a request that could be sent to a cold one among these servers."""
        for server in servers:
            if self.limit(server, now=now) is not None:
                self.n_wanted[server.service] += 1
                return

    def may_wait(self, service: ServiceName, *, now: float) -> bool:
        """Return whether the leader grants a request soon if one waits."""
        return service in self.spare and now < self.leader_deadline

    def report(self, *, now: float) -> ColdReport | None:
        """Return the numbered report to the leader; None while no server is cold."""
        self.most_gateways = max(self.most_gateways, self.n_gateways())
        cold = self.known.cold_processes(now=now)
        services = {s for s in cold.values() if self.limit_of(s) is not None}
        if not services:
            self.n_wanted.clear()
            self.grants.clear()
            return None
        self.number += 1
        for number in [n for n, t in self.sent_at.items() if t < now - REPORT_KEPT_S]:
            del self.sent_at[number]
        self.sent_at[self.number] = now
        demands = tuple(
            ColdDemand(
                service=service,
                n_wanted=self.n_wanted[service],
                n_waiting=self.n_waiting[service],
            )
            for service in sorted(services)
        )
        self.n_wanted.clear()
        return ColdReport(number=self.number, demands=demands)

    def receive(self, answer: ColdAnswer, *, term: int, now: float) -> None:
        """Record the leader's answer; ignore a former one while a newer is present."""
        if term < self.term and now < self.leader_deadline:
            return
        self.term = term
        self.leader_deadline = now + LEADER_TIMEOUT_S
        self.spare = set(answer.spare)
        sent_at = self.sent_at.get(answer.number)
        if sent_at is None:
            return
        # The leader received the report after it was sent, and granted them later.
        deadline = sent_at + answer.held_ms / 1_000 + GRANT_VALID_S
        if deadline <= now:
            return
        for grant in answer.grants:
            self.grants[grant.process] += [deadline] * grant.n_granted

    def rate_here(self, servers: Iterable[RegisteredServer], *, now: float) -> float:
        """Return what this gateway may expect to send, in requests a second."""
        limits = [self.limit(server, now=now) for server in servers]
        has_leader = now < self.leader_deadline
        rates = [
            limit.granted_rate if has_leader else limit.turn_rate
            for limit in limits
            if limit is not None
        ]
        return sum(rates) / max(self.n_gateways(), 1)

    def drop_unregistered(self, present: set[ServerProcess]) -> None:
        """Drop processes that are not registered any more."""
        self.known.drop_unregistered(present)
        self.turns.drop_unregistered(present)
        for process in set(self.grants) - present:
            del self.grants[process]

    def _has_grant(self, process: ServerProcess, now: float) -> bool:
        deadlines = self.grants.get(process)
        if not deadlines:
            return False
        valid = sorted(deadline for deadline in deadlines if deadline > now)
        self.grants[process] = valid
        return bool(valid)

    def _has_turn(self, server: RegisteredServer, limit: ColdLimit, now: float) -> bool:
        if now < self.leader_deadline or not limit.turn_rate:
            return False
        return self.turns.has_turn(
            process_of(server), period_s=self._period_s(limit), now=now
        )

    def _period_s(self, limit: ColdLimit) -> float:
        self.most_gateways = max(self.most_gateways, self.n_gateways())
        return self.most_gateways / limit.turn_rate
