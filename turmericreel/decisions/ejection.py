"""Ejects failing servers from rotation for a time, up to a maximum fraction."""

from dataclasses import dataclass

from turmericreel.model.ids import BackendServerId

FAILURES_TO_EJECT = 3
BASE_EJECTION_S = 2.0
MAX_EJECTION_S = 60.0
MAX_EJECTED_FRACTION = 1 / 3
MAX_DOUBLINGS = 5


@dataclass(kw_only=True, slots=True)
class EjectionState:
    """Consecutive failures and last ejection of one server."""

    n_consecutive_failures: int = 0
    n_ejections: int = 0
    ejected_until: float = 0.0


class OutlierEjection:
    """Ejects servers after consecutive failures; the time doubles on each ejection."""

    def __init__(self):
        self.ejection_states: dict[BackendServerId, EjectionState] = {}

    def record_success(self, server: BackendServerId) -> None:
        """Clear the failures and ejections of a server that completed an attempt."""
        self.ejection_states.pop(server, None)

    def record_failure(
        self, server: BackendServerId, *, unreachable: bool, now: float
    ) -> None:
        """Count a failure; a server that refuses connections is ejected at once."""
        state = self.ejection_states.setdefault(server, EjectionState())
        state.n_consecutive_failures += 1
        if unreachable or state.n_consecutive_failures >= FAILURES_TO_EJECT:
            self.eject(server, now=now)

    def eject(self, server: BackendServerId, *, now: float) -> None:
        """Eject a server unless it is ejected already."""
        state = self.ejection_states.setdefault(server, EjectionState())
        if state.ejected_until > now:
            return
        pause = BASE_EJECTION_S * 2**state.n_ejections
        state.ejected_until = now + min(pause, MAX_EJECTION_S)
        state.n_ejections = min(state.n_ejections + 1, MAX_DOUBLINGS)
        state.n_consecutive_failures = 0

    def retain(self, present: set[BackendServerId]) -> None:
        """Delete the state of servers that are not present."""
        for server in [s for s in self.ejection_states if s not in present]:
            del self.ejection_states[server]

    def in_rotation(self, servers: list, *, now: float) -> list:
        """Return the servers that may be used.

        At most `MAX_EJECTED_FRACTION` of the servers are excluded: when more fail at
        once the cause is elsewhere, and the rest could not carry the load.
        Servers whose ejection ends first are kept in use.
        """
        if not self.ejection_states:
            return servers
        ejected = [s for s in servers if self._ejected_until(s.server) > now]
        if not ejected:
            return servers
        n_allowed = int(len(servers) * MAX_EJECTED_FRACTION)
        ejected.sort(key=lambda s: self._ejected_until(s.server), reverse=True)
        excluded = {s.server for s in ejected[:n_allowed]}
        return [s for s in servers if s.server not in excluded]

    def ejection_ends_at(self, server: BackendServerId) -> float | None:
        """Return when the server's last ejection ends or ended, or None."""
        state = self.ejection_states.get(server)
        return state.ejected_until if state else None

    def _ejected_until(self, server: BackendServerId) -> float:
        state = self.ejection_states.get(server)
        return state.ejected_until if state else 0.0
