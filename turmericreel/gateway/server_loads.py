"""Load and recent failures of each server, as one gateway knows them."""

from collections.abc import Container, Iterable
from dataclasses import dataclass
from math import inf

from eliot import log_message
from msgspec.structs import replace

from turmericreel.decisions.server_health import ServerOutcomes
from turmericreel.model.ids import BackendServerId

# After the duration of a few requests a reported load is out of date.
REPORT_VALID_S = 0.5
# A failing server is paused; the pause doubles with each consecutive failure.
FIRST_PAUSE_S = 0.25
MAX_PAUSE_S = 4.0
# More of them exceed the longest pause, and at last what a float can hold.
MAX_DOUBLINGS = 10
# Coordinators repeat the list of suspended servers several times a second.
SUSPENSION_VALID_S = 2.0


@dataclass(kw_only=True)
class ServerLoad:
    """Load and failures of one server.

    Times are in seconds on the monotonic clock.

    Attributes
    ----------
    n_running : int
        Requests of this gateway that are running at the server.
    n_reported : int
        Requests of all gateways that the server had when it last reported.
    n_running_at_report : int
        Value of `n_running` when the server last reported.
    report_deadline : float
        Until when the report counts.
    n_failures : int
        Consecutive failures.
    pause_deadline : float
        Until when the server is paused after a failure.
    last_byte_at : float
        When the last byte from the server arrived, on any connection.
    busy_since : float
        Since when requests of this gateway have been running at the server.
    """

    n_running: int = 0
    n_reported: int = 0
    n_running_at_report: int = 0
    report_deadline: float = 0.0
    n_failures: int = 0
    pause_deadline: float = 0.0
    last_byte_at: float = 0.0
    busy_since: float = 0.0

    def begin_attempt(self, *, now: float) -> None:
        """Count a request that is sent."""
        if not self.n_running:
            self.busy_since = now
        self.n_running += 1

    @property
    def waiting_since(self) -> float:
        """Since when requests wait for a byte of the server; infinite without any."""
        return max(self.busy_since, self.last_byte_at) if self.n_running else inf

    def estimate(self, *, now: float) -> float:
        """Return the estimated number of requests at the server."""
        if now >= self.report_deadline:
            return self.n_running
        since = self.n_running - self.n_running_at_report
        return max(self.n_reported + since, self.n_running)

    def last_known(self) -> int:
        """Return the number of requests that the server reported last."""
        return max(self.n_reported, self.n_running)


class ServerLoads:
    """Loads of the servers that this gateway considers, and outcomes of attempts.

    Attributes
    ----------
    loads : dict of BackendServerId to ServerLoad
    outcomes : dict of BackendServerId to ServerOutcomes
        Outcomes of attempts that are not reported to the coordinators yet.
    suspended : frozenset of BackendServerId
        Servers that fail at several gateways.
    suspended_deadline : float
        Until when `suspended` counts, in seconds on the monotonic clock.
    """

    def __init__(self):
        self.loads: dict[BackendServerId, ServerLoad] = {}
        self.outcomes: dict[BackendServerId, ServerOutcomes] = {}
        self.suspended: frozenset[BackendServerId] = frozenset()
        self.suspended_deadline = 0.0

    def of(self, server: BackendServerId) -> ServerLoad:
        """Return a server's load, which is created at the first call."""
        return self.loads.setdefault(server, ServerLoad())

    def is_paused(self, server: BackendServerId, *, now: float) -> bool:
        """Return whether a server is suspended or paused after a recent failure."""
        if server in self.suspended and now < self.suspended_deadline:
            return True
        return now < self.of(server).pause_deadline

    def suspend(self, servers: Iterable[BackendServerId], *, now: float) -> None:
        """Replace the set of servers that are suspended for all gateways."""
        before, self.suspended = self.suspended, frozenset(servers)
        if self.suspended != before:
            log_message("gateway:suspended", servers=sorted(self.suspended))
        self.suspended_deadline = now + SUSPENSION_VALID_S

    def n_suspended(self, *, now: float) -> int:
        """Return the number of servers that are suspended for all gateways."""
        return len(self.suspended) if now < self.suspended_deadline else 0

    def collect_outcomes(
        self, *, held: Container[BackendServerId] = ()
    ) -> dict[BackendServerId, ServerOutcomes]:
        """Return the outcomes of attempts since the last call, and clear them.

        Those of servers in `held` are kept for a later call.
        """
        collected = {s: o for s, o in self.outcomes.items() if s not in held}
        self.outcomes = {s: o for s, o in self.outcomes.items() if s in held}
        return collected

    def forget_failures(self, server: BackendServerId) -> None:
        """Drop failures that are not reported yet, and the pause after them."""
        counted = self.outcomes.get(server, ServerOutcomes())
        self.outcomes[server] = replace(counted, n_failed=0)
        load = self.of(server)
        load.n_failures = 0
        load.pause_deadline = 0.0

    def record_report(
        self, server: BackendServerId, *, n_running: int, n_waiting: int, now: float
    ) -> None:
        """Record the load that a server reported with an answer."""
        load = self.of(server)
        load.n_reported = n_running + n_waiting
        load.n_running_at_report = load.n_running
        load.report_deadline = now + REPORT_VALID_S

    def record_success(self, server: BackendServerId) -> None:
        """Count an answer, and reset the count of consecutive failures."""
        self.of(server).n_failures = 0
        counted = self.outcomes.get(server, ServerOutcomes())
        self.outcomes[server] = replace(counted, n_answered=counted.n_answered + 1)

    def record_failure(self, server: BackendServerId, *, now: float) -> None:
        """Count a failure, and pause the server."""
        counted = self.outcomes.get(server, ServerOutcomes())
        self.outcomes[server] = replace(counted, n_failed=counted.n_failed + 1)
        load = self.of(server)
        n_doublings = min(load.n_failures, MAX_DOUBLINGS)
        pause_s = min(FIRST_PAUSE_S * 2**n_doublings, MAX_PAUSE_S)
        load.n_failures += 1
        load.pause_deadline = now + pause_s

    def silent_ms(self, server: BackendServerId, *, now: float) -> int | None:
        """Return the time since the last byte from a server; None without any."""
        last_byte_at = self.of(server).last_byte_at
        return int((now - last_byte_at) * 1_000) if last_byte_at else None

    def n_heard(self, *, since: float) -> int:
        """Return the number of servers that sent a byte since a time."""
        return sum(load.last_byte_at >= since for load in self.loads.values())

    def drop_unregistered(self, present: set[BackendServerId]) -> None:
        """Drop the loads of idle servers that are not in `present`."""
        for server in list(self.loads):
            if server not in present and self.loads[server].n_running == 0:
                del self.loads[server]
