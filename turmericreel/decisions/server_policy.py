"""Choice of the backend server for an attempt: the interface and a simple policy."""

from abc import ABC, abstractmethod
from collections import Counter
from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum
from random import Random

from turmericreel.model.ids import BackendServerId, VersionId
from turmericreel.model.request import Request
from turmericreel.model.servers import BackendServer, LoadReport


class AttemptEnd(Enum):
    """How an attempt ended, from the point of view of its server.

    `COMPLETED` has a complete answer.  `FAILED` has one with an error status, which the
    server may have sent without running the request; only the guard of contents tells
    the two apart.
    """

    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    REFUSED = "refused"
    UNREACHABLE = "unreachable"
    BROKEN = "broken"


@dataclass(frozen=True, kw_only=True)
class EndedAttempt:
    """Result of an attempt at a backend server; times in seconds."""

    server: BackendServerId
    end: AttemptEnd
    first_token_s: float | None
    duration_s: float


class ServerPolicy(ABC):
    """Chooses backend servers; it is notified when an attempt begins and ends."""

    @abstractmethod
    def choose(
        self,
        request: Request,
        version: VersionId,
        servers: Iterable[BackendServer],
        *,
        excluded: set[BackendServerId],
        now: float,
    ) -> BackendServer | None:
        """Return the server to use, or None if none may be used.

        Parameters
        ----------
        request : Request
        version : VersionId
        servers : iterable of BackendServer
            Servers of the request's service that are present.
        excluded : set of BackendServerId
            Servers that this request was already sent to.
        now : float
            Seconds on the monotonic clock.
        """

    @abstractmethod
    def begin(self, request: Request, server: BackendServer, *, now: float) -> None:
        """Record that an attempt begins."""

    @abstractmethod
    def end(self, ended: EndedAttempt, *, now: float) -> None:
        """Record that an attempt ended, and learn from its result."""

    @abstractmethod
    def record_report(self, report: LoadReport, *, now: float) -> None:
        """Record a load report, which is slightly outdated when it arrives."""

    def n_slots(self, servers: Iterable[BackendServer], *, now: float) -> float:
        """Return how many attempts this instance may run at these servers at once."""
        return float("inf")

    def record_cache_change(  # noqa: B027
        self,
        server: BackendServerId,
        *,
        stored: tuple[str, ...],
        removed: tuple[str, ...],
    ) -> None:
        """Record which prompt prefixes a server's cache stored and evicted."""

    def record_cache_loss(self, server: BackendServerId) -> None:  # noqa: B027
        """Drop the state of a server's cache after lost events or a restart."""

    def eject_server(self, server: BackendServerId, *, now: float) -> None:  # noqa: B027
        """Eject a server whose answers were bad in the evidence of all instances."""

    def retain(self, present: set[BackendServerId]) -> None:  # noqa: B027
        """Drop the state of servers that are not present."""


class LeastOutstanding(ServerPolicy):
    """Takes the server with the fewest attempts of this instance; a baseline.

    Parameters
    ----------
    rng : Random
        Breaks ties.
    """

    def __init__(self, *, rng: Random):
        self.rng = rng
        self.outstanding: Counter[BackendServerId] = Counter()

    def choose(
        self,
        request: Request,
        version: VersionId,
        servers: Iterable[BackendServer],
        *,
        excluded: set[BackendServerId],
        now: float,
    ) -> BackendServer | None:
        """Return a server with the fewest outstanding attempts."""
        usable = [
            s for s in servers if version in s.versions and s.server not in excluded
        ]
        self.rng.shuffle(usable)
        return min(usable, key=lambda s: self.outstanding[s.server], default=None)

    def begin(self, request: Request, server: BackendServer, *, now: float) -> None:
        """Record that an attempt begins."""
        self.outstanding[server.server] += 1

    def end(self, ended: EndedAttempt, *, now: float) -> None:
        """Record that an attempt ended."""
        self.outstanding[ended.server] -= 1
        if self.outstanding[ended.server] <= 0:
            del self.outstanding[ended.server]

    def record_report(self, report: LoadReport, *, now: float) -> None:
        """Ignore the report."""
