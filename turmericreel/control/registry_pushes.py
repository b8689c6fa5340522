"""Builds the registry pushes to a subscriber: its subset, as a chain of changes."""

from collections import defaultdict
from collections.abc import Iterable

from turmericreel.decisions.subset import HomedServer, ServerSubset, SubsetSizes
from turmericreel.model.ids import BackendServerId, ServiceName
from turmericreel.protocols.control_messages import (
    Hello,
    ServerGone,
    ServerPresent,
    ServersPush,
    SubscriberRole,
)
from turmericreel.state.tables.servers import ServerRegistration
from turmericreel.util.change_feed import ChangeFeed
from turmericreel.util.clock import Clock

MAX_SERVERS_WITHOUT_PAUSE = 200
CHOICE_PAUSE_PER_SERVER_S = 0.000_8

Registry = ChangeFeed[BackendServerId, ServerRegistration]
ServerChanges = dict[BackendServerId, ServerRegistration | None]


class RegistryPushes:
    """Builds one subscriber's registry pushes.

    A push of changes names the index of the previous push, so that the subscriber
    detects a missed one.

    Parameters
    ----------
    hello : Hello
    sizes : SubsetSizes
    clock : Clock
    """

    def __init__(self, *, hello: Hello, sizes: SubsetSizes, clock: Clock):
        self.clock = clock
        self.receives_all = hello.role is SubscriberRole.RELAY
        self.subset = ServerSubset(
            instance=hello.instance, data_centre=hello.data_centre, sizes=sizes
        )
        self.sent_servers: dict[BackendServerId, ServerRegistration] = {}
        self.scanned_index = -1
        self.sent_index = 0
        self.must_send_all = True
        self.stale_services: set[ServiceName] = set()
        self.chosen_at = 0.0

    def reset(self) -> None:
        """Send the whole subset with the next push."""
        self.must_send_all = True

    def next_push(self, registry: Registry) -> ServersPush | None:
        """Return the changes since the last push, or None if there are none.

        Changes of servers already sent are included immediately.  Choosing the subset
        again takes time proportional to the number of all servers, so it is limited to
        a bounded fraction of the time.
        """
        if not self.must_send_all and registry.index <= self.scanned_index:
            return self._push(registry, {}) if self.stale_services else None
        changes = None
        if not self.must_send_all:
            changes = registry.since(self.scanned_index)
        self.scanned_index = max(registry.index, self.scanned_index)
        if changes is None:
            return self._whole_push(registry)
        return self._push(registry, self._apply_changes(changes))

    def _whole_push(self, registry: Registry) -> ServersPush:
        self.must_send_all = False
        self.subset.services = {}
        present = [r for r in registry.values.values() if r.present]
        wanted = self._choose_servers(present, {r.server.service for r in present})
        self.stale_services = set()
        self.sent_servers = {key: registry.values[key] for key in wanted}
        self.sent_index = self.scanned_index
        return ServersPush(
            since=0,
            index=self.sent_index,
            present=tuple(_present(r) for r in self.sent_servers.values()),
            whole=True,
        )

    def _apply_changes(self, changes: list[ServerRegistration]) -> ServerChanges:
        """Return the changes to send now; record the services to choose again."""
        changed: ServerChanges = {}
        for registered in changes:
            key = registered.server.server
            old = self.sent_servers.get(key)
            if old is not None and old.server.service != registered.server.service:
                self.stale_services.add(old.server.service)
                self.stale_services.add(registered.server.service)
            if self._check_change(registered, old):
                changed[key] = registered if registered.present else None
        return changed

    def _check_change(
        self, registered: ServerRegistration, old: ServerRegistration | None
    ) -> bool:
        """Return whether to send a change immediately.

        A service whose subset the change may affect is added to `stale_services`.
        """
        if self.receives_all:
            return registered.present or old is not None
        homed = _homed(registered)
        if self.subset.may_change(homed, present=registered.present):
            self.stale_services.add(registered.server.service)
        is_home = registered.home == self.subset.instance
        return old is not None or (registered.present and is_home)

    def _push(self, registry: Registry, changed: ServerChanges) -> ServersPush | None:
        if self.stale_services and self._may_choose(registry):
            changed = self._rechoose_stale(registry, changed)
        present, gone = [], []
        for key, registered in changed.items():
            old = self.sent_servers.pop(key, None)
            if registered is not None:
                self.sent_servers[key] = registered
                present.append(registered)
            elif old is not None:
                gone.append(registry.values.get(key, old))
        if not present and not gone:
            return None
        since, self.sent_index = self.sent_index, self.scanned_index
        return ServersPush(
            since=since,
            index=self.sent_index,
            present=tuple(_present(r) for r in present),
            gone=tuple(
                ServerGone(server=r.server.server, incarnation=r.server.incarnation)
                for r in gone
            ),
        )

    def _may_choose(self, registry: Registry) -> bool:
        n_servers = len(registry.values)
        if n_servers <= MAX_SERVERS_WITHOUT_PAUSE:
            return True
        pause_s = n_servers * CHOICE_PAUSE_PER_SERVER_S
        return self.clock.monotonic() >= self.chosen_at + pause_s

    def _rechoose_stale(
        self, registry: Registry, changed: ServerChanges
    ) -> ServerChanges:
        services, self.stale_services = self.stale_services, set()
        present = [
            r
            for r in registry.values.values()
            if r.present and r.server.service in services
        ]
        wanted = self._choose_servers(present, services)
        changed = dict(changed)
        for key in wanted:
            if self.sent_servers.get(key) != registry.values[key]:
                changed[key] = registry.values[key]
        for key, old in self.sent_servers.items():
            if old.server.service in services and key not in wanted:
                changed[key] = None
        return changed

    def _choose_servers(
        self, present: list[ServerRegistration], services: Iterable[ServiceName]
    ) -> set[BackendServerId]:
        if self.receives_all:
            return {r.server.server for r in present}
        by_service: dict[ServiceName, list[HomedServer]] = defaultdict(list)
        for registered in present:
            by_service[registered.server.service].append(_homed(registered))
        self.chosen_at = self.clock.monotonic()
        chosen: set[BackendServerId] = set()
        for service in sorted(services):
            chosen |= self.subset.choose(service, by_service[service])
        return chosen


def _homed(registered: ServerRegistration) -> HomedServer:
    return HomedServer(server=registered.server, home=registered.home)


def _present(registered: ServerRegistration) -> ServerPresent:
    return ServerPresent(server=registered.server, home=registered.home)
