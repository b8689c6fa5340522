"""The registry of backend servers: who joined, who left and who fell silent."""

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
    """A backend server, the instance that hears it, and when that last changed.

    Attributes
    ----------
    left : bool
        The server said that it leaves, so this incarnation never comes back.  One
        that only fell silent may.
    """

    server: BackendServer
    home: InstanceId
    changed_index: int
    present: bool = True
    left: bool = False


class ServerTable(Table):
    """Keeps the newest incarnation of each backend server; stale news loses."""

    commands = (AnnounceServer, ServerLeft, ExpireServers)

    def __init__(self):
        self.feed: ChangeFeed[BackendServerId, ServerRegistration] = ChangeFeed()

    @property
    def servers(self) -> dict[BackendServerId, ServerRegistration]:
        """All registrations, also of servers that are gone."""
        return self.feed.values

    def apply(self, command: Command, record: LogRecord) -> Result:
        """Register servers or mark them as gone."""
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
            # The server may have found another home, or have restarted, since.
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

    def highest_incarnation(self, server: BackendServerId) -> Incarnation:
        """Return the newest incarnation heard of; 0 if none."""
        known = self.servers.get(server)
        return known.server.incarnation if known else Incarnation(0)

    def dump(self) -> Any:
        """Return all registrations, oldest change first, and the feed's floor."""
        ordered = [self.servers[key] for key in self.feed.changed]
        return {"floor": self.feed.floor, "servers": ordered}

    def load(self, dumped: Any) -> None:
        """Replace the table."""
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
