"""What of the registry a subscriber is told: its subset, as a chain of changes."""

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

FREELY_CHOSEN_SERVERS = 200
PAUSE_S_PER_SERVER = 0.000_8

Registry = ChangeFeed[BackendServerId, ServerRegistration]
Changed = dict[BackendServerId, ServerRegistration | None]


class RegistryPushes:
    """Builds one subscriber's registry pushes, each following the one before.

    Parameters
    ----------
    hello : Hello
    sizes : SubsetSizes
    clock : Clock
    """

    def __init__(self, *, hello: Hello, sizes: SubsetSizes, clock: Clock):
        self.clock = clock
        self.takes_all = hello.role is SubscriberRole.RELAY
        self.subset = ServerSubset(
            instance=hello.instance, data_centre=hello.data_centre, sizes=sizes
        )
        self.told: dict[BackendServerId, ServerRegistration] = {}
        self.scanned_index = -1
        self.told_index = 0
        self.must_tell_all = True
        self.stale_services: set[ServiceName] = set()
        self.chosen_at = 0.0

    def reset(self) -> None:
        """Tell everything anew with the next push."""
        self.must_tell_all = True

    def next_push(self, registry: Registry) -> ServersPush | None:
        """Return what is new since the last push, or None.

        Changes of servers that were told go out at once.  To choose others takes time
        in proportion to all servers, so that is done a bounded part of the time.
        """
        if not self.must_tell_all and registry.index <= self.scanned_index:
            return self._push(registry, {}) if self.stale_services else None
        changes = None
        if not self.must_tell_all:
            changes = registry.since(self.scanned_index)
        self.scanned_index = max(registry.index, self.scanned_index)
        if changes is None:
            return self._whole(registry)
        return self._push(registry, self._take(changes))

    def _whole(self, registry: Registry) -> ServersPush:
        self.must_tell_all = False
        self.subset.services = {}
        present = [r for r in registry.values.values() if r.present]
        wanted = self._choose(present, {r.server.service for r in present})
        self.stale_services = set()
        self.told = {key: registry.values[key] for key in wanted}
        self.told_index = self.scanned_index
        return ServersPush(
            since=0,
            index=self.told_index,
            present=tuple(_present(r) for r in self.told.values()),
            whole=True,
        )

    def _take(self, changes: list[ServerRegistration]) -> Changed:
        """Apply changes to what was told; note which services to choose anew."""
        changed: Changed = {}
        for registered in changes:
            key = registered.server.server
            old = self.told.get(key)
            if old is not None and old.server.service != registered.server.service:
                self.stale_services.add(old.server.service)
                self.stale_services.add(registered.server.service)
            if self._note_whether_stale(registered, old):
                changed[key] = registered if registered.present else None
        return changed

    def _note_whether_stale(
        self, registered: ServerRegistration, old: ServerRegistration | None
    ) -> bool:
        """Return whether the subscriber must be told of the change right away."""
        if self.takes_all:
            return registered.present or old is not None
        homed = _homed(registered)
        if self.subset.may_change(homed, present=registered.present):
            self.stale_services.add(registered.server.service)
        is_home = registered.home == self.subset.instance
        return old is not None or (registered.present and is_home)

    def _push(self, registry: Registry, changed: Changed) -> ServersPush | None:
        if self.stale_services and self._may_choose(registry):
            changed = self._choose_anew(registry, changed)
        present, gone = [], []
        for key, registered in changed.items():
            old = self.told.pop(key, None)
            if registered is not None:
                self.told[key] = registered
                present.append(registered)
            elif old is not None:
                gone.append(registry.values.get(key, old))
        if not present and not gone:
            return None
        since, self.told_index = self.told_index, self.scanned_index
        return ServersPush(
            since=since,
            index=self.told_index,
            present=tuple(_present(r) for r in present),
            gone=tuple(
                ServerGone(server=r.server.server, incarnation=r.server.incarnation)
                for r in gone
            ),
        )

    def _may_choose(self, registry: Registry) -> bool:
        n_servers = len(registry.values)
        if n_servers <= FREELY_CHOSEN_SERVERS:
            return True
        pause_s = n_servers * PAUSE_S_PER_SERVER
        return self.clock.monotonic() >= self.chosen_at + pause_s

    def _choose_anew(self, registry: Registry, changed: Changed) -> Changed:
        services, self.stale_services = self.stale_services, set()
        present = [
            r
            for r in registry.values.values()
            if r.present and r.server.service in services
        ]
        wanted = self._choose(present, services)
        changed = dict(changed)
        for key in wanted:
            if self.told.get(key) != registry.values[key]:
                changed[key] = registry.values[key]
        for key, old in self.told.items():
            if old.server.service in services and key not in wanted:
                changed[key] = None
        return changed

    def _choose(
        self, present: list[ServerRegistration], services: Iterable[ServiceName]
    ) -> set[BackendServerId]:
        if self.takes_all:
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
