"""What a gateway knows of each server's load and of its late failures."""

from collections.abc import Iterable
from dataclasses import dataclass

from eliot import log_message
from msgspec.structs import replace

from turmericreel.decisions.server_health import ServerOutcomes
from turmericreel.model.ids import BackendServerId

# A reported load says little about the present after a few requests' time.
REPORT_VALID_S = 0.5
# A server that fails is left alone for a while that doubles with each failure in a row.
FIRST_PAUSE_S = 0.25
MAX_PAUSE_S = 4.0
# Coordinators repeat several times a second which servers are suspended.
SUSPENSION_VALID_S = 2.0


@dataclass(kw_only=True)
class ServerLoad:
    """Load and failures of one server.

    Attributes
    ----------
    n_running : int
        Requests of this gateway that it has.
    n_reported : int
        All requests that it had when it answered last.
    last_byte_at : float
        When a byte of it came in last, on any connection.
    """

    n_running: int = 0
    n_reported: int = 0
    n_running_at_report: int = 0
    report_deadline: float = 0.0
    n_failures: int = 0
    pause_deadline: float = 0.0
    last_byte_at: float = 0.0

    def estimate(self, *, now: float) -> float:
        """Return the requests that the server has to do, as far as known."""
        if now >= self.report_deadline:
            return self.n_running
        since = self.n_running - self.n_running_at_report
        return max(self.n_reported + since, self.n_running)


class ServerLoads:
    """Loads of all servers that requests were sent to."""

    def __init__(self):
        self.loads: dict[BackendServerId, ServerLoad] = {}
        self.outcomes: dict[BackendServerId, ServerOutcomes] = {}
        self.suspended: frozenset[BackendServerId] = frozenset()
        self.suspended_deadline = 0.0

    def of(self, server: BackendServerId) -> ServerLoad:
        """Return a server's load."""
        return self.loads.setdefault(server, ServerLoad())

    def is_paused(self, server: BackendServerId, *, now: float) -> bool:
        """Tell whether a server failed so lately that it should be left alone."""
        if server in self.suspended and now < self.suspended_deadline:
            return True
        return now < self.of(server).pause_deadline

    def suspend(self, servers: Iterable[BackendServerId], *, now: float) -> None:
        """Take in which servers fail, as all gateways together see them."""
        before, self.suspended = self.suspended, frozenset(servers)
        if self.suspended != before:
            log_message("gateway:suspended", servers=sorted(self.suspended))
        self.suspended_deadline = now + SUSPENSION_VALID_S

    def n_suspended(self, *, now: float) -> int:
        """Return how many servers are left alone for what all gateways saw."""
        return len(self.suspended) if now < self.suspended_deadline else 0

    def collect_outcomes(self) -> dict[BackendServerId, ServerOutcomes]:
        """Return how attempts ended since this was asked last."""
        collected, self.outcomes = self.outcomes, {}
        return collected

    def record_report(
        self, server: BackendServerId, *, n_running: int, n_waiting: int, now: float
    ) -> None:
        """Take in what a server said of itself."""
        load = self.of(server)
        load.n_reported = n_running + n_waiting
        load.n_running_at_report = load.n_running
        load.report_deadline = now + REPORT_VALID_S

    def record_success(self, server: BackendServerId) -> None:
        """Count an answer, and forget earlier failures."""
        self.of(server).n_failures = 0
        counted = self.outcomes.get(server, ServerOutcomes())
        self.outcomes[server] = replace(counted, n_answered=counted.n_answered + 1)

    def record_failure(self, server: BackendServerId, *, now: float) -> None:
        """Count a failure, and leave the server alone for a while."""
        counted = self.outcomes.get(server, ServerOutcomes())
        self.outcomes[server] = replace(counted, n_failed=counted.n_failed + 1)
        load = self.of(server)
        pause_s = min(FIRST_PAUSE_S * 2**load.n_failures, MAX_PAUSE_S)
        load.n_failures += 1
        load.pause_deadline = now + pause_s

    def drop_unregistered(self, present: set[BackendServerId]) -> None:
        """Drop what is known of servers that are not there any more."""
        for server in list(self.loads):
            if server not in present and self.loads[server].n_running == 0:
                del self.loads[server]
