"""Baseline server policies to compare the real policy with."""

from collections.abc import Iterable
from random import Random

from turmericreel.decisions.server_policy import EndedAttempt, ServerPolicy
from turmericreel.model.ids import BackendServerId, VersionId
from turmericreel.model.request import Request
from turmericreel.model.servers import BackendServer, LoadReport


class BaselineServerPolicy(ServerPolicy):
    """Base of the baselines; ignores attempts and load reports."""

    def begin(self, request: Request, server: BackendServer, *, now: float) -> None:
        """Ignore the attempt."""

    def end(self, ended: EndedAttempt, *, now: float) -> None:
        """Ignore the attempt."""

    def record_report(self, report: LoadReport, *, now: float) -> None:
        """Ignore the report."""


class RandomServer(BaselineServerPolicy):
    """Chooses a random server."""

    def __init__(self, *, rng: Random):
        self.rng = rng

    def choose(
        self,
        request: Request,
        version: VersionId,
        servers: Iterable[BackendServer],
        *,
        excluded: set[BackendServerId],
        now: float,
    ) -> BackendServer | None:
        """Return a random server."""
        eligible = [s for s in servers if s.server not in excluded]
        return self.rng.choice(eligible) if eligible else None


class RoundRobin(BaselineServerPolicy):
    """Chooses the servers in turn."""

    def __init__(self, *, rng: Random):
        self.number = rng.randrange(1_000)

    def choose(
        self,
        request: Request,
        version: VersionId,
        servers: Iterable[BackendServer],
        *,
        excluded: set[BackendServerId],
        now: float,
    ) -> BackendServer | None:
        """Return the next server."""
        eligible = [s for s in servers if s.server not in excluded]
        self.number += 1
        return eligible[self.number % len(eligible)] if eligible else None


class LeastReported(BaselineServerPolicy):
    """Chooses a server with the least load in the last reports."""

    def __init__(self, *, rng: Random):
        self.rng = rng
        self.reported: dict[BackendServerId, int] = {}

    def choose(
        self,
        request: Request,
        version: VersionId,
        servers: Iterable[BackendServer],
        *,
        excluded: set[BackendServerId],
        now: float,
    ) -> BackendServer | None:
        """Return a server with the least reported load."""
        eligible = [s for s in servers if s.server not in excluded]
        self.rng.shuffle(eligible)
        return min(eligible, key=lambda s: self.reported.get(s.server, 0), default=None)

    def record_report(self, report: LoadReport, *, now: float) -> None:
        """Store the load of the report."""
        self.reported[report.server] = report.running + report.waiting
