"""Simple ways to choose servers, to compare with."""

from collections.abc import Iterable
from random import Random

from turmericreel.decisions.server_policy import EndedAttempt, ServerPolicy
from turmericreel.model.ids import BackendServerId, VersionId
from turmericreel.model.request import Request
from turmericreel.model.servers import BackendServer, LoadReport


class Blind(ServerPolicy):
    """Base of policies that do not learn."""

    def begin(self, request: Request, server: BackendServer, *, now: float) -> None:
        """Do nothing."""

    def end(self, ended: EndedAttempt, *, now: float) -> None:
        """Do nothing."""

    def record_report(self, report: LoadReport, *, now: float) -> None:
        """Do nothing."""


class RandomServer(Blind):
    """Any server."""

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
        """Return any server."""
        able = [s for s in servers if s.server not in excluded]
        return self.rng.choice(able) if able else None


class RoundRobin(Blind):
    """One server after the other."""

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
        able = [s for s in servers if s.server not in excluded]
        self.number += 1
        return able[self.number % len(able)] if able else None


class LeastReported(Blind):
    """The server with the least load in the last reports."""

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
        able = [s for s in servers if s.server not in excluded]
        self.rng.shuffle(able)
        return min(able, key=lambda s: self.reported.get(s.server, 0), default=None)

    def record_report(self, report: LoadReport, *, now: float) -> None:
        """Keep the report."""
        self.reported[report.server] = report.running + report.waiting
