"""Plans the load orders that bring each version onto its target number of servers."""

from collections.abc import Iterable
from dataclasses import dataclass

from xxhash import xxh3_64_intdigest

from turmericreel.model.ids import ServiceName, VersionId
from turmericreel.model.servers import BackendServer
from turmericreel.model.text import OperatorsText, VersionState, VersionText
from turmericreel.state.commands.orders import (
    EndOrder,
    OrderEnd,
    OrderId,
    PlacementKind,
    PlaceOrder,
)
from turmericreel.state.commands.union import Command
from turmericreel.state.tables.orders import (
    LoadOrder,
    OrderProgress,
    OrderTable,
    OrderTarget,
)

MAX_OPEN_ORDERS = 64
MAX_ATTEMPTS = 3


@dataclass(kw_only=True)
class VersionPlacement:
    """State of one version on the present servers of its service.

    Attributes
    ----------
    loaded : list of BackendServer
        Servers that have the version, including `loaded_by_order`.
    open_loads : list of LoadOrder
        Load orders that have not ended.
    eligible : list of BackendServer
        Servers that may get a load order, in order of preference.
    loaded_by_order : list of BackendServer
        Servers whose newest order for the version is a completed load.
    """

    loaded: list[BackendServer]
    open_loads: list[LoadOrder]
    eligible: list[BackendServer]
    loaded_by_order: list[BackendServer]


class OrderPlan:
    """Plans from the text, the present servers and the existing orders.

    Planning is a pure function of the replicated state, so a new leader plans the
    same orders with the same ids.

    Parameters
    ----------
    text : OperatorsText
    servers : iterable of BackendServer
        Present servers.
    orders : OrderTable
    """

    def __init__(
        self,
        *,
        text: OperatorsText,
        servers: Iterable[BackendServer],
        orders: OrderTable,
    ):
        self.text = text
        self.servers = sorted(servers, key=lambda server: server.server)
        self.orders = orders
        self.commands: list[Command] = []
        self.n_open = len(orders.open_orders())

    def plan(self) -> list[Command]:
        """Return the commands to propose."""
        self._end_lost_orders()
        for name, service in self.text.services.items():
            for version, version_text in service.versions.items():
                self._plan_version(name, version, version_text)
        return self.commands

    def _end_lost_orders(self) -> None:
        runs = {(s.server, s.incarnation) for s in self.servers}
        for order in self.orders.open_orders():
            if (order.server, order.incarnation) not in runs:
                self._end(order, OrderEnd.LOST)

    def _plan_version(
        self, service: ServiceName, version: VersionId, version_text: VersionText
    ) -> None:
        placement = self._placement(service, version)
        if version_text.state is VersionState.WITHDRAWN:
            self._supersede_placed(placement.open_loads)
            for server in placement.loaded_by_order:
                self._place(PlacementKind.UNLOAD, server, version, version_text)
            return
        n_loaded_or_loading = len(placement.loaded) + len(placement.open_loads)
        if n_loaded_or_loading > version_text.servers:
            excess = n_loaded_or_loading - version_text.servers
            # Issued orders can't be superseded, so only placed ones are.
            placed = [
                order
                for order in placement.open_loads
                if order.progress is OrderProgress.PLACED
            ]
            self._supersede_placed(placed[:excess])
            return
        for server in placement.eligible[: version_text.servers - n_loaded_or_loading]:
            self._place(PlacementKind.LOAD, server, version, version_text)

    def _placement(self, service: ServiceName, version: VersionId) -> VersionPlacement:
        placement = VersionPlacement(
            loaded=[], open_loads=[], eligible=[], loaded_by_order=[]
        )
        for server in self.servers:
            if server.service == service:
                self._classify_server(server, version, placement)
        placement.eligible.sort(key=lambda s: self._preference_key(s, version))
        return placement

    def _classify_server(
        self, server: BackendServer, version: VersionId, placement: VersionPlacement
    ) -> None:
        target = _target(server, version)
        newest = self.orders.newest_for(target)
        if newest is None or newest.end in (OrderEnd.SUPERSEDED, OrderEnd.LOST):
            if version in server.versions:
                placement.loaded.append(server)
            else:
                placement.eligible.append(server)
            return
        if newest.kind is PlacementKind.UNLOAD:
            self._classify_after_unload(server, version, newest, placement)
        elif newest.progress is not OrderProgress.ENDED:
            placement.open_loads.append(newest)
        elif newest.end is OrderEnd.DONE:
            # The server may not have announced the version yet.
            placement.loaded.append(server)
            placement.loaded_by_order.append(server)
        elif self.orders.n_attempts(target) < MAX_ATTEMPTS:
            placement.eligible.append(server)

    def _classify_after_unload(
        self,
        server: BackendServer,
        version: VersionId,
        newest: LoadOrder,
        placement: VersionPlacement,
    ) -> None:
        if newest.end is OrderEnd.FAILED:
            placement.loaded.append(server)
        elif newest.end is OrderEnd.DONE and version not in server.versions:
            placement.eligible.append(server)

    def _preference_key(self, server: BackendServer, version: VersionId) -> tuple:
        target = _target(server, version)
        tie_breaker = xxh3_64_intdigest(f"{server.server}\0{version}".encode())
        return (self.orders.n_attempts(target), len(server.versions), tie_breaker)

    def _place(
        self,
        kind: PlacementKind,
        server: BackendServer,
        version: VersionId,
        version_text: VersionText,
    ) -> None:
        if self.n_open >= MAX_OPEN_ORDERS:
            return
        self.n_open += 1
        target = _target(server, version)
        number = self.orders.n_attempts(target)
        self.commands.append(
            PlaceOrder(
                order=OrderId("/".join(str(part) for part in (*target, number))),
                kind=kind,
                server=server.server,
                incarnation=server.incarnation,
                service=server.service,
                version=version,
                model=version_text.model,
            )
        )

    def _supersede_placed(self, orders: list[LoadOrder]) -> None:
        for order in orders:
            if order.progress is OrderProgress.PLACED:
                self._end(order, OrderEnd.SUPERSEDED)

    def _end(self, order: LoadOrder, end: OrderEnd) -> None:
        self.commands.append(EndOrder(order=order.order, end=end))


def _target(server: BackendServer, version: VersionId) -> OrderTarget:
    return OrderTarget(server.server, server.incarnation, server.service, version)
