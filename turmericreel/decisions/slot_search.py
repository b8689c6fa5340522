"""Finds a server with a free slot by asking the few that look best.

Load reports lag, and instances do not know of each other's work, so that the server
that looks best is often full.  Servers that answer probes tell their load as it is.
"""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from turmericreel.decisions.server_policy import ServerPolicy
from turmericreel.model.ids import BackendServerId, VersionId
from turmericreel.model.request import Request
from turmericreel.model.servers import BackendServer

MAX_PROBES = 7


class SlotProber(ABC):
    """Asks servers for free slots."""

    @abstractmethod
    def has_slot(self, server: BackendServer) -> bool | None:
        """Tell whether a server has a free slot now; None when it did not answer."""


class NoProbes(SlotProber):
    """Asks nothing."""

    def has_slot(self, server: BackendServer) -> bool | None:
        """Return None."""
        return None


def find_server(
    policy: ServerPolicy,
    prober: SlotProber,
    request: Request,
    version: VersionId,
    servers: Sequence[BackendServer],
    *,
    excluded: set[BackendServerId],
    now: float,
) -> BackendServer | None:
    """Return the first server of the policy's choices that has a free slot.

    When all that were asked are full, it is the first choice.

    Parameters
    ----------
    policy : ServerPolicy
    prober : SlotProber
    request : Request
    version : VersionId
    servers : sequence of BackendServer
    excluded : set of BackendServerId
    now : float
        Seconds on the monotonic clock.
    """
    full: set[BackendServerId] = set()
    first_choice = None
    for _ in range(MAX_PROBES):
        server = policy.choose(
            request, version, servers, excluded=excluded | full, now=now
        )
        if server is None:
            break
        if not server.answers_probes or prober.has_slot(server) is not False:
            return server
        first_choice = first_choice or server
        full.add(server.server)
    return first_choice
