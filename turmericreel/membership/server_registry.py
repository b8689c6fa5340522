"""Registry of the backend servers, built from their heartbeats.

Every coordinator keeps a registry and sends changes to the others.  Reports are merged
by incarnation and sequence number, so that late and repeated ones change nothing.
"""

from collections.abc import Iterable
from math import ceil

import msgspec

from turmericreel.model.ids import BackendServerId
from turmericreel.model.registered_server import RegisteredServer, ServerState

# Records of departed and expired servers are kept as tombstones, longer than a
# heartbeat can be delayed in transit.
TOMBSTONE_RETENTION_S = 60.0
# The end of a warm-up seems to move by the delays of heartbeats, which differ.
WARMUP_TOLERANCE_S = 0.2


class ServerRegistry:
    """Registered servers and the time at which each registration expires.

    Parameters
    ----------
    expiry_s : float
        Time without a heartbeat after which a server counts as lost.

    Attributes
    ----------
    warmup_deadlines : dict of BackendServerId to float
        Until when servers are cold, in seconds on the monotonic clock.
    """

    def __init__(self, *, expiry_s: float):
        self.expiry_s = expiry_s
        self.servers: dict[BackendServerId, RegisteredServer] = {}
        self.expiry_deadlines: dict[BackendServerId, float] = {}
        self.warmup_deadlines: dict[BackendServerId, float] = {}

    def record_report(self, reported: RegisteredServer, *, now: float) -> bool:
        """Record a registration or heartbeat; return whether others must be notified.

        It is ignored if it is outdated or if a newer server uses the same address.
        Returns False then, and for a heartbeat that changes only the expiry, or the
        warm-up time by what has passed of it.
        """
        known = self.servers.get(reported.server)
        if known is not None and not reported.supersedes(known):
            return False
        if self._address_used_by_newer(reported):
            return False
        self.servers[reported.server] = reported
        self.expiry_deadlines[reported.server] = now + self.expiry_s
        warmup_changed = self._record_warmup(reported, now)
        if known is None or warmup_changed:
            return True
        return _without_sequence(known) != _without_sequence(reported)

    def current(self, server: RegisteredServer, *, now: float) -> RegisteredServer:
        """Return a registration with the warm-up time that is left now."""
        if not server.warmup_left_ms:
            return server
        left_s = self.warmup_deadlines.get(server.server, now) - now
        left_ms = max(ceil(left_s * 1_000), 0)
        return msgspec.structs.replace(server, warmup_left_ms=left_ms)

    def current_servers(self, *, now: float) -> tuple[RegisteredServer, ...]:
        """Return all registrations, with the warm-up times that are left now."""
        return tuple(self.current(s, now=now) for s in self.servers.values())

    def restore(
        self, servers: Iterable[RegisteredServer], *, now: float, expiry_s: float
    ) -> None:
        """Restore servers known before a restart, until they report again.

        Parameters
        ----------
        servers : iterable of RegisteredServer
        now : float
            Present time in seconds.
        expiry_s : float
            Time until a restored server that sends no heartbeat expires.
        """
        for server in servers:
            if self.record_report(server, now=now):
                self.expiry_deadlines[server.server] = now + expiry_s

    def deregister(self, server: BackendServerId, *, now: float) -> bool:
        """Mark a server as permanently gone; return whether this is a change."""
        known = self.servers.get(server)
        if known is None or known.state is ServerState.GONE:
            return False
        gone = msgspec.structs.replace(known, state=ServerState.GONE)
        return self.record_report(gone, now=now)

    def expire(self, *, now: float) -> list[RegisteredServer]:
        """Mark silent servers as expired and return them; drop old tombstones."""
        expired = []
        for server, deadline in list(self.expiry_deadlines.items()):
            known = self.servers[server]
            if known.state in (ServerState.GONE, ServerState.EXPIRED):
                if now >= deadline + TOMBSTONE_RETENTION_S:
                    del self.servers[server], self.expiry_deadlines[server]
                    self.warmup_deadlines.pop(server, None)
            elif now >= deadline:
                lost = msgspec.structs.replace(known, state=ServerState.EXPIRED)
                self.servers[server] = lost
                expired.append(lost)
        return expired

    def _record_warmup(self, reported: RegisteredServer, now: float) -> bool:
        """Record until when a server is cold; return whether that changed."""
        known = self.warmup_deadlines.pop(reported.server, now)
        deadline = now
        if reported.warmup_left_ms > 0:
            deadline = now + reported.warmup_left_ms / 1_000
            self.warmup_deadlines[reported.server] = deadline
        return abs(deadline - max(known, now)) > WARMUP_TOLERANCE_S

    def _address_used_by_newer(self, reported: RegisteredServer) -> bool:
        return any(
            other.address == reported.address
            and other.server != reported.server
            and other.incarnation > reported.incarnation
            for other in self.servers.values()
        )


def _without_sequence(server: RegisteredServer) -> RegisteredServer:
    return msgspec.structs.replace(server, sequence=0, warmup_left_ms=0)
