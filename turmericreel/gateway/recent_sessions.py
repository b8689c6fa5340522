"""Stores which sessions were active recently.

At the start of a roll-out these sessions are bound to the old version.
"""

from turmericreel.decisions.version_split import is_canary
from turmericreel.model.ids import ServiceName


class RecentSessions:
    """Sessions in the canary share, until they have been idle for `idle_s`.

    Parameters
    ----------
    idle_s : float
        Idle time after which a session has ended, in seconds.

    Attributes
    ----------
    deadlines : dict of (ServiceName, int) to float
        When each session ends unless it has another request, by service and hash of
        the session; in seconds on the monotonic clock.
    """

    def __init__(self, *, idle_s: float):
        self.idle_s = idle_s
        self.deadlines: dict[tuple[ServiceName, int], float] = {}

    def record(self, service: ServiceName, hashed: int, *, now: float) -> None:
        """Record that a request of a session runs on the old version.

        Sessions outside the canary share are not recorded.
        """
        if is_canary(hashed):
            self.deadlines[service, hashed] = now + self.idle_s

    def is_recent(self, service: ServiceName, hashed: int, *, now: float) -> bool:
        """Return whether a session was active within the idle time."""
        return self.deadlines.get((service, hashed), 0.0) > now

    def recent(self, services: set[ServiceName], *, now: float) -> tuple[int, ...]:
        """Return the hashes of the services' sessions; drop all that have ended."""
        ended = [key for key, deadline in self.deadlines.items() if deadline <= now]
        for key in ended:
            del self.deadlines[key]
        return tuple(h for service, h in self.deadlines if service in services)
