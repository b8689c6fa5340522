"""The registry of backend servers: registered, departed and expired ones."""

from typing import Any

import msgspec

from turmericreel.model.ids import BackendServerId, Incarnation, InstanceId
from turmericreel.model.servers import BackendServer
from turmericreel.state.commands.base import Done
from turmericreel.state.commands.servers import (
    AnnounceServer,
    ExpireServers,
    ServerLeft,
    ServerStale,
)
from turmericreel.state.commands.union import Command, LogRecord, Result
from turmericreel.state.tables.table import Table
from turmericreel.util.change_feed import ChangeFeed

MAX_RETAINED_SERVERS = 20_000


class ServerRegistration(msgspec.Struct, frozen=True, kw_only=True):
    """Registration of a backend server at its home instance.

    Attributes
    ----------
    home : InstanceId
        Instance that receives the server's heartbeats.
    changed_index : int
        Log index of the last change.
    present : bool
        False once the server has left or expired.
    left : bool
        Whether the server announced its departure; this incarnation can then not
        register again, whereas one that only expired can.
    """

    server: BackendServer
    home: InstanceId
    changed_index: int
    present: bool = True
    left: bool = False


class ServerTable(Table):
    """Stores the newest incarnation of each backend server; rejects stale ones."""

    commands = (AnnounceServer, ServerLeft, ExpireServers)

    def __init__(self):
        self.feed: ChangeFeed[BackendServerId, ServerRegistration] = ChangeFeed()

    @property
    def servers(self) -> dict[BackendServerId, ServerRegistration]:
        """All registrations, including those of absent servers."""
        return self.feed.values

    def apply(self, command: Command, record: LogRecord) -> Result:
        """Register a server, or mark servers as absent."""
        match command:
            case AnnounceServer():
                return self._announce(command, record)
            case ServerLeft():
                return self._leave(command, record)
        return self._expire(command, record)

    def _announce(self, command: AnnounceServer, record: LogRecord) -> Result:
        server = command.server
        known = self.servers.get(server.server)
        if known is not None and _is_stale(server, known):
            return ServerStale(
                incarnation=known.server.incarnation,
                left=known.server.incarnation == server.incarnation,
            )
        registered = ServerRegistration(
            server=server, home=command.home, changed_index=record.index
        )
        if known is not None and _is_unchanged(known, registered):
            return Done(changed=False)
        self._put(registered)
        return Done()

    def _leave(self, command: ServerLeft, record: LogRecord) -> Result:
        known = self.servers.get(command.server)
        if known is None or known.left:
            return Done(changed=False)
        if known.server.incarnation > command.incarnation:
            return Done(changed=False)
        self._remove(known, record, left=True)
        return Done()

    def _expire(self, command: ExpireServers, record: LogRecord) -> Result:
        changed = False
        for expired in command.servers:
            known = self.servers.get(expired.server)
            if known is None or not known.present:
                continue
            # The server may have moved to another home or restarted in the meantime.
            if known.home != command.home:
                continue
            if known.server.incarnation != expired.incarnation:
                continue
            self._remove(known, record, left=False)
            changed = True
        return Done(changed=changed)

    def _remove(
        self, known: ServerRegistration, record: LogRecord, *, left: bool
    ) -> None:
        self._put(
            msgspec.structs.replace(
                known, changed_index=record.index, present=False, left=left
            )
        )
        self._evict_oldest_absent()

    def _put(self, registered: ServerRegistration) -> None:
        self.feed.put(
            registered.server.server, registered, index=registered.changed_index
        )

    def _evict_oldest_absent(self) -> None:
        if len(self.servers) <= MAX_RETAINED_SERVERS:
            return
        for key in self.feed.changed:
            if not self.servers[key].present:
                self.feed.forget(key)
                return

    def is_registered(self, server: BackendServerId, incarnation: Incarnation) -> bool:
        """Return whether an incarnation of a server is present."""
        known = self.servers.get(server)
        if known is None:
            return False
        return known.present and known.server.incarnation == incarnation

    def highest_incarnation(self, server: BackendServerId) -> Incarnation:
        """Return the newest known incarnation of a server; 0 if none."""
        known = self.servers.get(server)
        return known.server.incarnation if known else Incarnation(0)

    def dump(self) -> Any:
        """Return all registrations, oldest change first, and the floor of the feed.

        The floor is that of `ChangeFeed`.
        """
        ordered = [self.servers[key] for key in self.feed.changed]
        return {"floor": self.feed.floor, "servers": ordered}

    def load(self, dumped: Any) -> None:
        """Replace the table by a decoded dump."""
        self.feed = ChangeFeed()
        for registered in msgspec.convert(
            dumped["servers"], type=list[ServerRegistration]
        ):
            self._put(registered)
        self.feed.floor = dumped["floor"]
        self.feed.index = max(self.feed.index, self.feed.floor)


def _is_stale(server: BackendServer, known: ServerRegistration) -> bool:
    if server.incarnation != known.server.incarnation:
        return server.incarnation < known.server.incarnation
    return known.left


def _is_unchanged(known: ServerRegistration, registered: ServerRegistration) -> bool:
    return (
        known.present
        and known.server == registered.server
        and known.home == registered.home
    )
