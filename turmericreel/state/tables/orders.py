"""Load orders to backend servers, stored so that a new leader can continue them.

An order is placed, then issued, then ended.  The issued state is durable before the
order is sent for the first time.  An order that is only placed was therefore never
sent and may be dropped; an issued one must be queried until it has ended.
"""

from collections import Counter
from enum import Enum
from typing import Any, NamedTuple

import msgspec

from turmericreel.model.ids import BackendServerId, Incarnation, ServiceName, VersionId
from turmericreel.state.commands.base import Done
from turmericreel.state.commands.orders import (
    EndOrder,
    IssueOrder,
    OrderEnd,
    OrderId,
    PlacementKind,
    PlaceOrder,
)
from turmericreel.state.commands.union import Command, LogRecord, Result
from turmericreel.state.tables.table import Table

MAX_RETAINED_ORDERS = 20_000


class OrderProgress(Enum):
    """State of an order in its life cycle."""

    PLACED = "placed"
    ISSUED = "issued"
    ENDED = "ended"


class OrderTarget(NamedTuple):
    """Target of an order: one version on one incarnation of one server."""

    server: BackendServerId
    incarnation: Incarnation
    service: ServiceName
    version: VersionId


class LoadOrder(msgspec.Struct, frozen=True, kw_only=True):
    """An order to load a version onto a server or to unload it."""

    order: OrderId
    kind: PlacementKind
    server: BackendServerId
    incarnation: Incarnation
    service: ServiceName
    version: VersionId
    model: str
    progress: OrderProgress = OrderProgress.PLACED
    end: OrderEnd | None = None

    @property
    def target(self) -> OrderTarget:
        """Server, incarnation, service and version that the order applies to."""
        return OrderTarget(self.server, self.incarnation, self.service, self.version)


class OrderTable(Table):
    """Stores orders by id, and the newest one for each target.

    Attributes
    ----------
    orders : dict of OrderId to LoadOrder
        Oldest first.
    newest : dict of OrderTarget to OrderId
    attempts : Counter of OrderTarget
        Number of stored orders for each target.
    open : dict of OrderId to LoadOrder
        Orders that have not ended, oldest first.
    n_changes : int
        Number of changes in this process, including each call of `load`; a new value
        requires a new plan.
    """

    commands = (PlaceOrder, IssueOrder, EndOrder)

    def __init__(self):
        self.orders: dict[OrderId, LoadOrder] = {}
        self.newest: dict[OrderTarget, OrderId] = {}
        self.attempts: Counter[OrderTarget] = Counter()
        self.open: dict[OrderId, LoadOrder] = {}
        self.n_changes = 0

    def apply(self, command: Command, record: LogRecord) -> Result:
        """Apply a state change of an order; a repeated one changes nothing."""
        match command:
            case PlaceOrder():
                return self._place(command)
            case IssueOrder():
                return self._step(command.order, OrderProgress.ISSUED, None)
        return self._step(command.order, OrderProgress.ENDED, command.end)

    def _place(self, command: PlaceOrder) -> Result:
        if command.order in self.orders:
            return Done(changed=False)
        order = LoadOrder(
            order=command.order,
            kind=command.kind,
            server=command.server,
            incarnation=command.incarnation,
            service=command.service,
            version=command.version,
            model=command.model,
        )
        before = self.newest_for(order.target)
        if before is not None and before.progress is not OrderProgress.ENDED:
            return Done(changed=False)
        self._add(order)
        self._evict_oldest_ended()
        return Done()

    def _step(
        self, order: OrderId, progress: OrderProgress, end: OrderEnd | None
    ) -> Result:
        known = self.orders.get(order)
        if known is None or known.progress is OrderProgress.ENDED:
            return Done(changed=False)
        if known.progress is progress:
            return Done(changed=False)
        if end is OrderEnd.SUPERSEDED and known.progress is OrderProgress.ISSUED:
            # The server may be executing the order, so its end must still be queried.
            return Done(changed=False)
        self._replace(msgspec.structs.replace(known, progress=progress, end=end))
        return Done()

    def _add(self, order: LoadOrder) -> None:
        self.newest[order.target] = order.order
        self.attempts[order.target] += 1
        self._replace(order)

    def _replace(self, order: LoadOrder) -> None:
        self.n_changes += 1
        self.orders[order.order] = order
        if order.progress is OrderProgress.ENDED:
            self.open.pop(order.order, None)
        else:
            self.open[order.order] = order

    def newest_for(self, target: OrderTarget) -> LoadOrder | None:
        """Return the newest order for a target, or None."""
        order = self.newest.get(target)
        return self.orders[order] if order is not None else None

    def open_orders(self) -> list[LoadOrder]:
        """Return the orders that have not ended, oldest first."""
        return list(self.open.values())

    def n_attempts(self, target: OrderTarget) -> int:
        """Return the number of orders stored for a target."""
        return self.attempts[target]

    def _evict_oldest_ended(self) -> None:
        if len(self.orders) <= MAX_RETAINED_ORDERS:
            return
        for order in self.orders.values():
            if order.progress is OrderProgress.ENDED:
                del self.orders[order.order]
                self.attempts[order.target] -= 1
                if self.newest.get(order.target) == order.order:
                    del self.newest[order.target]
                    del self.attempts[order.target]
                return

    def dump(self) -> Any:
        """Return all orders, oldest first."""
        return list(self.orders.values())

    def load(self, dumped: Any) -> None:
        """Replace the table by a decoded dump."""
        n_changes = self.n_changes
        self.__init__()
        for order in msgspec.convert(dumped, type=list[LoadOrder]):
            self._add(order)
        self.n_changes += n_changes + 1
