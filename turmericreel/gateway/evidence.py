"""Counts the attempts at each service version, to evaluate roll-outs."""

from turmericreel.model.ids import ServiceName, VersionId
from turmericreel.model.registered_server import RegisteredServer
from turmericreel.model.routing import RouteName
from turmericreel.model.version_evidence import VersionEvidence

CountsKey = tuple[ServiceName, VersionId, RouteName]


class AttemptCounter:
    """Counts one attempt in progress; its end is counted once."""

    def __init__(self, *, counts: dict, began: float):
        self.counts = counts
        self.began = began
        self.is_open = True
        counts["n_sent"] += 1
        counts["n_running"] += 1

    def record_answer(self, *, now: float) -> None:
        """Record the time to the first byte of a successful answer."""
        self.counts["n_timed"] += 1
        self.counts["total_ms"] += (now - self.began) * 1_000

    def record_end(self, *, failed: bool) -> None:
        """Count the end of the attempt."""
        if self.is_open:
            self.is_open = False
            self.counts["n_running"] -= 1
            self.counts["n_failed"] += failed


class EvidenceCounter:
    """Counts attempts by service, version and route since the process started."""

    def __init__(self):
        self.counts: dict[CountsKey, dict] = {}

    def begin(
        self, server: RegisteredServer, route: RouteName, *, now: float
    ) -> AttemptCounter:
        """Count the start of an attempt."""
        key = (server.service, server.version, route)
        counts = self.counts.get(key)
        if counts is None:
            counts = dict.fromkeys(
                ("n_sent", "n_failed", "n_timed", "total_ms", "n_running"), 0
            )
            self.counts[key] = counts
        return AttemptCounter(counts=counts, began=now)

    def for_services(self, services: set[ServiceName]) -> tuple[VersionEvidence, ...]:
        """Return the evidence about the given services."""
        return tuple(
            VersionEvidence(service=service, version=version, route=route, **counts)
            for (service, version, route), counts in self.counts.items()
            if service in services
        )
