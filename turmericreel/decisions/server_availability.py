"""Remembers which servers asked for no further requests, and until when.

Intended workload: servers that announce in their answers that they are about to leave,
and overloaded ones that ask for a pause.  Both are facts about one server process; the
same server may want requests again after a restart.
"""

from collections.abc import Iterable
from math import isfinite

from turmericreel.model.server_crash import ServerProcess

# A longer pause is taken for a mistake; the server can ask again.
MAX_PAUSE_S = 300.0


def parse_pause_s(text: str) -> float | None:
    """Return the pause that a server asks for, in seconds; None if it makes no sense.

    Dates are not accepted, because the clocks of server and gateway may differ.
    """
    try:
        pause_s = float(text)
    except ValueError:
        return None
    if not isfinite(pause_s) or pause_s < 0.0:
        return None
    return min(pause_s, MAX_PAUSE_S)


class ServerAvailability:
    """Server processes that are leaving or want a pause.

    Attributes
    ----------
    leaving : set of ServerProcess
    pause_deadlines : dict of ServerProcess to float
        Until when each process wants no request, in seconds on the monotonic clock.
    """

    def __init__(self):
        self.leaving: set[ServerProcess] = set()
        self.pause_deadlines: dict[ServerProcess, float] = {}

    @property
    def is_empty(self) -> bool:
        """Whether no server is known to be leaving or pausing."""
        return not (self.leaving or self.pause_deadlines)

    def record_leaving(self, processes: Iterable[ServerProcess]) -> set[ServerProcess]:
        """Record processes that are leaving; return those not known before."""
        added = set(processes) - self.leaving
        self.leaving |= added
        return added

    def record_pause(
        self, process: ServerProcess, *, pause_s: float, now: float
    ) -> None:
        """Record that a process wants no request for some seconds."""
        deadline = max(now + pause_s, self.pause_deadlines.get(process, 0.0))
        self.pause_deadlines[process] = deadline

    def is_available(self, process: ServerProcess, *, now: float) -> bool:
        """Return whether a process may get a request."""
        is_paused = now < self.pause_deadlines.get(process, 0.0)
        return process not in self.leaving and not is_paused

    def earliest_end_s(
        self, processes: Iterable[ServerProcess], *, now: float
    ) -> float | None:
        """Return the time until the first pause ends in seconds; None without one."""
        deadlines = [
            self.pause_deadlines.get(process, 0.0)
            for process in processes
            if process not in self.leaving
        ]
        return max(min(deadlines) - now, 0.0) if deadlines else None

    def drop_unregistered(self, present: set[ServerProcess], *, now: float) -> None:
        """Drop processes that are not registered any more, and pauses that ended."""
        self.leaving &= present
        for process, deadline in list(self.pause_deadlines.items()):
            if deadline <= now:
                del self.pause_deadlines[process]
