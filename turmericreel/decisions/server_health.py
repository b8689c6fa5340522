"""Suspends failing servers based on the attempts of all gateways.

Intended workload: many gateways that each send few requests to any one server, and
servers that fail some or all requests while they report themselves as healthy.  A
single gateway sees too few attempts to judge a server, and if each gateway waited for
failures of its own, every one of them would lose a few requests.
"""

from collections import defaultdict, deque
from collections.abc import Iterable
from dataclasses import dataclass, field

import msgspec

from turmericreel.model.ids import BackendServerId, InstanceId
from turmericreel.model.registered_server import RegisteredServer

# Several requests arrive within this time at the usual rate of one server.
WINDOW_S = 5.0
# Fewer failures may be chance, or be caused by the requests themselves.
MIN_FAILED_ATTEMPTS = 3
# A single gateway may be partitioned from servers that are healthy.
MIN_FAILING_GATEWAYS = 2
MIN_FAILED_FRACTION = 0.3
# A server must fail this many times as often as the others of its version, so that none
# is suspended when all fail because of overload or of the requests themselves.
MIN_RATIO_TO_OTHERS = 3.0
# Each further suspension lasts twice as long, up to MAX_SUSPENSION_S.
FIRST_SUSPENSION_S = 5.0
MAX_SUSPENSION_S = 40.0
# After this time without a suspension, the next one is a first suspension again.
BACKOFF_RESET_S = 60.0
# Limits the servers of one version that are suspended together, so that the remaining
# ones are not overloaded.
MAX_SUSPENDED_FRACTION = 0.34


class ServerOutcomes(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Counts of attempts at one server that ended since the last report."""

    n_answered: int = 0
    n_failed: int = 0


@dataclass(frozen=True, kw_only=True)
class GatewayReport:
    """One gateway's report on one server, valid until `deadline` (seconds)."""

    deadline: float
    gateway: InstanceId
    outcomes: ServerOutcomes


@dataclass(kw_only=True)
class ServerRecord:
    """Recent reports and suspensions of one server; deadlines in seconds."""

    reports: deque[GatewayReport] = field(default_factory=deque)
    n_suspensions: int = 0
    suspension_deadline: float = 0.0
    backoff_reset_deadline: float = 0.0

    def drop_expired_reports(self, *, now: float) -> None:
        """Drop reports whose deadline has passed."""
        while self.reports and self.reports[0].deadline <= now:
            self.reports.popleft()

    @property
    def n_answered(self) -> int:
        """Number of attempts that were answered."""
        return sum(s.outcomes.n_answered for s in self.reports)

    @property
    def n_failed(self) -> int:
        """Number of attempts that failed."""
        return sum(s.outcomes.n_failed for s in self.reports)

    @property
    def n_failing_gateways(self) -> int:
        """Number of gateways that reported a failure."""
        return len({s.gateway for s in self.reports if s.outcomes.n_failed})


class ServerHealth:
    """Pools the outcomes of attempts and suspends servers that clearly fail."""

    def __init__(self):
        self.records: dict[BackendServerId, ServerRecord] = {}

    def record_report(
        self,
        gateway: InstanceId,
        outcomes: dict[BackendServerId, ServerOutcomes],
        *,
        now: float,
    ) -> None:
        """Record the outcomes that a gateway reports since its last report."""
        for server, server_outcomes in outcomes.items():
            record = self.records.setdefault(server, ServerRecord())
            record.reports.append(
                GatewayReport(
                    deadline=now + WINDOW_S, gateway=gateway, outcomes=server_outcomes
                )
            )

    def update_suspensions(
        self, servers: Iterable[RegisteredServer], *, now: float
    ) -> set[BackendServerId]:
        """Start the suspensions that are due, and return all suspended servers.

        Parameters
        ----------
        servers : iterable of RegisteredServer
            All usable servers; the records of all others are dropped.
        now : float
            Seconds on the clock of the reports.
        """
        groups: dict[tuple, list[BackendServerId]] = defaultdict(list)
        for server in servers:
            groups[(server.service, server.version)].append(server.server)
        present = {server for group in groups.values() for server in group}
        for gone in set(self.records) - present:
            del self.records[gone]
        suspended: set[BackendServerId] = set()
        for group in groups.values():
            suspended |= self._suspended_in_group(group, now)
        return suspended

    def _suspended_in_group(
        self, group: list[BackendServerId], now: float
    ) -> set[BackendServerId]:
        limit = int(len(group) * MAX_SUSPENDED_FRACTION)
        records = {s: self.records[s] for s in group if s in self.records}
        for record in records.values():
            record.drop_expired_reports(now=now)
        chosen = {s for s, r in records.items() if now < r.suspension_deadline}
        n_answered_by_all = sum(r.n_answered for r in records.values())
        n_failed_by_all = sum(r.n_failed for r in records.values())
        failing = {}
        for server, record in records.items():
            if server in chosen or record.n_failed < MIN_FAILED_ATTEMPTS:
                continue
            fraction_of_others = _fraction(
                n_failed_by_all - record.n_failed, n_answered_by_all - record.n_answered
            )
            fraction = _fraction(record.n_failed, record.n_answered)
            min_fraction = max(
                MIN_FAILED_FRACTION, MIN_RATIO_TO_OTHERS * fraction_of_others
            )
            if (
                fraction >= min_fraction
                and record.n_failing_gateways >= MIN_FAILING_GATEWAYS
            ):
                failing[server] = fraction
        for server in sorted(failing, key=lambda s: (-failing[s], s)):
            if len(chosen) >= limit:
                break
            _suspend(records[server], now)
            chosen.add(server)
        return chosen


def _fraction(n_failed: int, n_answered: int) -> float:
    return n_failed / max(n_failed + n_answered, 1)


def _suspend(record: ServerRecord, now: float) -> None:
    if now >= record.backoff_reset_deadline:
        record.n_suspensions = 0
    duration_s = min(FIRST_SUSPENSION_S * 2**record.n_suspensions, MAX_SUSPENSION_S)
    record.n_suspensions += 1
    record.suspension_deadline = now + duration_s
    record.backoff_reset_deadline = record.suspension_deadline + BACKOFF_RESET_S
    record.reports.clear()
