"""The request rates that server processes name, as last observed.

Intended workload: overloaded servers that take a few requests a second, before many
gateways that each send them a request every few seconds.  A rate belongs to one server
process and is spent by all gateways together.
"""

from dataclasses import dataclass
from math import ceil, isfinite

from turmericreel.model.server_crash import ServerProcess

# A higher limit than this limits nothing.
MAX_RATE = 10_000.0
# Requests a second that show whether a limit close to zero is over, as only the answers
# of a server show that.
PROBE_RATE = 0.25
# Time for which unused requests are saved up for gateways that want them later.
BURST_S = 0.5
# Time for which a request waits for a grant.  A gateway reports it within about a tenth
# of a second, and the leader grants it within another one.
GRANT_WAIT_S = 0.4


def parse_rate(text: str) -> float | None:
    """Return the limit that a server names, in requests a second.

    None if it makes no sense.
    """
    try:
        rate = float(text)
    except ValueError:
        return None
    if not isfinite(rate) or rate < 0.0:
        return None
    return min(rate, MAX_RATE)


def burst_of(rate: float) -> float:
    """Return how many requests may be saved up for a server."""
    return max(1.0, rate * BURST_S)


@dataclass(frozen=True, kw_only=True)
class RateLimit:
    """Limit of a process as last observed.

    Attributes
    ----------
    rate : float or None
        Requests a second; None once the server no longer names a limit.
    observed_at : float
        Seconds on the monotonic clock.
    """

    rate: float | None
    observed_at: float

    def age_ms(self, *, now: float) -> int:
        """Return the time since the observation, never less than it is."""
        return ceil((now - self.observed_at) * 1_000)


class KnownLimits:
    """The newest observation of each process that ever named a limit.

    Attributes
    ----------
    limits : dict of ServerProcess to RateLimit
    """

    def __init__(self):
        self.limits: dict[ServerProcess, RateLimit] = {}

    def rate_of(self, process: ServerProcess) -> float | None:
        """Return the rate to keep; None if the process has no limit."""
        limit = self.limits.get(process)
        if limit is None or limit.rate is None:
            return None
        return max(limit.rate, PROBE_RATE)

    def merge(
        self, process: ServerProcess, rate: float | None, *, observed_at: float
    ) -> bool:
        """Record an observation unless a newer one is known; return if it is new."""
        known = self.limits.get(process)
        if known is None and rate is None:
            return False
        if known is not None and observed_at <= known.observed_at:
            return False
        self.limits[process] = RateLimit(rate=rate, observed_at=observed_at)
        return known is None or known.rate != rate

    def drop_unregistered(self, present: set[ServerProcess]) -> None:
        """Drop processes that are not registered any more."""
        for process in set(self.limits) - present:
            del self.limits[process]


@dataclass(kw_only=True)
class LocalShare:
    """Requests that a gateway may send without grants; `updated_at` in seconds."""

    updated_at: float
    n_allowed: float = 0.0
