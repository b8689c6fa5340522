"""Finds a server with a free slot by probing the few best choices of a policy.

Load reports are delayed, and instances do not know each other's current attempts, so
the server that looks best is often full.  Servers that answer probes report their
present load.
"""

from abc import ABC, abstractmethod
from collections.abc import Sequence

from turmericreel.decisions.server_policy import ServerPolicy
from turmericreel.model.ids import BackendServerId, VersionId
from turmericreel.model.request import Request
from turmericreel.model.servers import BackendServer

MAX_PROBES = 7


class SlotProber(ABC):
    """Asks servers whether they have a free slot."""

    @abstractmethod
    def has_slot(self, server: BackendServer) -> bool | None:
        """Return whether a server has a free slot now; None if it did not answer."""


class NoProbes(SlotProber):
    """Sends no probes."""

    def has_slot(self, server: BackendServer) -> bool | None:
        """Return None, as if no server answered."""
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
    """Return the policy's first choice that is not known to be full.

    A server that does not answer probes, or did not answer this one, counts as free.
    If all probed servers are full, the first choice is returned.  The result is None if
    the policy finds no server.

    Parameters
    ----------
    policy : ServerPolicy
    prober : SlotProber
    request : Request
    version : VersionId
    servers : sequence of BackendServer
    excluded : set of BackendServerId
        Servers that must not be chosen.
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
