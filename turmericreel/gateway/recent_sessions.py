"""Remembers which sessions ran lately, for the start of a roll-out."""

from turmericreel.decisions.version_split import is_canary
from turmericreel.model.ids import ServiceName


class RecentSessions:
    """Sessions that might be canaries, until they have been idle for a while.

    Parameters
    ----------
    idle_s : float
        Idle time after which a session has ended.
    """

    def __init__(self, *, idle_s: float):
        self.idle_s = idle_s
        self.deadlines: dict[tuple[ServiceName, int], float] = {}

    def record(self, service: ServiceName, hashed: int, *, now: float) -> None:
        """Remember that a request of a session runs on the old version."""
        if is_canary(hashed):
            self.deadlines[service, hashed] = now + self.idle_s

    def is_recent(self, service: ServiceName, hashed: int, *, now: float) -> bool:
        """Tell whether a session ran lately."""
        return self.deadlines.get((service, hashed), 0.0) > now

    def recent(self, services: set[ServiceName], *, now: float) -> tuple[int, ...]:
        """Return the sessions of some services; forget those that have ended."""
        ended = [key for key, deadline in self.deadlines.items() if deadline <= now]
        for key in ended:
            del self.deadlines[key]
        return tuple(h for service, h in self.deadlines if service in services)
