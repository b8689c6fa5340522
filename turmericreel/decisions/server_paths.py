"""Decides whether one gateway reaches a server directly or through another gateway.

Intended workload: gateways that lose their links to some or all servers, while clients,
coordinators and other gateways still reach them and the servers' heartbeats go on.  A
failed connection alone does not tell such a gateway from a server that has ended, so
the path through another gateway decides: it works only if the server does.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from enum import Enum

# Time for which a server that no gateway reached is not tried through another one.
UNREACHED_S = 0.5
# Pauses between checks of a direct path that has failed.
FIRST_CHECK_PAUSE_S = 0.5
MAX_CHECK_PAUSE_S = 2.0
# Time without a byte from a server that has requests, after which its path is checked.
SILENCE_S = 0.5
# A server that is slow rather than cut off is checked this seldom.
CHECK_INTERVAL_S = 2.0
# A gateway that reached some server within this time is not cut off.
CUT_OFF_S = 1.0
# A lost path is noticed and told from an ended server within this time.
LOST_PATH_S = 1.5


class PathState(Enum):
    """How a gateway reaches a server.

    `UNREACHED` servers are reached neither directly nor through other gateways.
    """

    DIRECT = "direct"
    RELAYED = "relayed"
    UNREACHED = "unreached"


@dataclass(kw_only=True)
class ServerPath:
    """Path to one server.

    Attributes
    ----------
    state : PathState
    reached_at, checked_at : float
        When the server was last reached directly, and when that was last tried for want
        of bytes from it; in seconds on the monotonic clock.
    check_deadline : float
        When the direct path is to be checked, or another gateway may be tried again.
    check_pause_s : float
        Pause before the next check.
    is_silent : bool
        Whether the last direct connection that failed had to wait for it.
    lost_deadline : float
        Until when another gateway may show that only the path was lost with a direct
        connection; in seconds on the monotonic clock.
    """

    state: PathState = PathState.DIRECT
    reached_at: float = 0.0
    checked_at: float = 0.0
    check_deadline: float = 0.0
    check_pause_s: float = FIRST_CHECK_PAUSE_S
    is_silent: bool = False
    lost_deadline: float = 0.0


class ServerPaths:
    """Paths of one gateway to servers, by address.

    Attributes
    ----------
    paths : dict of str to ServerPath
    not_direct : set of str
        Addresses whose paths are not direct.
    reached_at, failed_at : float
        When a server was last reached directly, and when a direct path last failed, in
        seconds on the monotonic clock.
    """

    def __init__(self):
        self.paths: dict[str, ServerPath] = {}
        self.not_direct: set[str] = set()
        self.reached_at = 0.0
        self.failed_at = 0.0

    def state_of(self, address: str, *, now: float) -> PathState:
        """Return the state of a path; an unreached one is soon tried again."""
        path = self.paths.get(address)
        if path is None:
            return PathState.DIRECT
        if path.state is PathState.UNREACHED and now >= path.check_deadline:
            return PathState.DIRECT
        return path.state

    def is_cut_off(self, *, now: float) -> bool:
        """Return whether direct paths fail and no server was reached lately."""
        return self.failed_at > self.reached_at and now >= self.reached_at + CUT_OFF_S

    def record_reached(self, address: str, *, now: float) -> bool:
        """Record that a server was reached directly; return whether this is new."""
        path = self.paths.setdefault(address, ServerPath())
        was_direct = path.state is PathState.DIRECT
        self._change(address, path, PathState.DIRECT)
        path.reached_at = self.reached_at = now
        path.check_pause_s = FIRST_CHECK_PAUSE_S
        return not was_direct

    def is_silent(self, address: str, *, now: float) -> bool:
        """Return whether a server was unreached just now, by connections that hung.

        Another attempt would only hold a request up.
        """
        state = self.state_of(address, now=now)
        return state is PathState.UNREACHED and self.paths[address].is_silent

    def record_failed(
        self, address: str, *, now: float, is_silent: bool = False
    ) -> None:
        """Record that a server was not reached directly.

        Parameters
        ----------
        address : str
        now : float
            Seconds on the monotonic clock.
        is_silent : bool
            Whether the connection hung and was not refused.
        """
        path = self.paths.setdefault(address, ServerPath())
        path.is_silent = is_silent
        self.failed_at = now
        if path.state is PathState.RELAYED:
            path.check_pause_s = min(2 * path.check_pause_s, MAX_CHECK_PAUSE_S)
            path.check_deadline = now + path.check_pause_s

    def record_lost(self, address: str, *, now: float) -> None:
        """Record that a direct connection was lost within an answer."""
        path = self.paths.setdefault(address, ServerPath())
        path.lost_deadline = now + LOST_PATH_S

    def has_lost(self, address: str, *, now: float) -> bool:
        """Return whether a lost connection is not explained yet, but may be."""
        path = self.paths.get(address)
        return path is not None and now < path.lost_deadline

    def record_relayed(self, address: str, *, now: float) -> bool:
        """Record that another gateway reached a server; return whether this is new."""
        path = self.paths.setdefault(address, ServerPath())
        path.lost_deadline = 0.0
        if path.state is PathState.RELAYED:
            return False
        self._change(address, path, PathState.RELAYED)
        path.check_deadline = now + path.check_pause_s
        return True

    def record_unreached(self, address: str, *, now: float) -> None:
        """Record that no gateway reached a server."""
        path = self.paths.setdefault(address, ServerPath())
        self._change(address, path, PathState.UNREACHED)
        path.check_deadline = now + UNREACHED_S

    def is_check_due(self, address: str, *, waiting_since: float, now: float) -> bool:
        """Return whether the direct path to a server is to be checked now.

        Parameters
        ----------
        address : str
        waiting_since : float
            Since when requests wait for a byte from the server; infinite without any.
        now : float
            Seconds on the monotonic clock.
        """
        path = self.paths.get(address, ServerPath())
        if path.state is PathState.RELAYED:
            return now >= path.check_deadline
        last_shown_at = max(waiting_since, path.reached_at)
        if path.state is PathState.UNREACHED or now < last_shown_at + SILENCE_S:
            return False
        return now >= path.checked_at + CHECK_INTERVAL_S

    def record_checked(self, address: str, *, now: float) -> None:
        """Record that the direct path is being checked."""
        self.paths.setdefault(address, ServerPath()).checked_at = now

    def n_in(self, state: PathState) -> int:
        """Return the number of paths in a state."""
        return sum(path.state is state for path in self.paths.values())

    def drop_unregistered(self, present: Iterable[str]) -> None:
        """Drop the paths to addresses at which no server is registered."""
        for address in set(self.paths) - set(present):
            del self.paths[address]
            self.not_direct.discard(address)

    def _change(self, address: str, path: ServerPath, state: PathState) -> None:
        path.state = state
        if state is PathState.DIRECT:
            self.not_direct.discard(address)
        else:
            self.not_direct.add(address)
