"""Decides which servers are left when operators evacuate data centres.

Intended workload: all servers of one or two data centres are to get no more requests
within seconds, at every gateway, while each coordinator and gateway may hold older
orders than others and hears them in any order.
"""

from collections.abc import Iterable

from turmericreel.model.evacuation import Evacuation
from turmericreel.model.ids import DataCentreId
from turmericreel.model.registered_server import RegisteredServer


class EvacuatedDataCentres:
    """The newest known order on each data centre, and what it allows.

    Attributes
    ----------
    orders : dict of DataCentreId to Evacuation
        Withdrawn ones are kept, so that nothing older replaces them.
    evacuated : frozenset of DataCentreId
    """

    def __init__(self):
        self.orders: dict[DataCentreId, Evacuation] = {}
        self.evacuated: frozenset[DataCentreId] = frozenset()

    def receive(self, orders: Iterable[Evacuation]) -> list[Evacuation]:
        """Record orders; return those that are newer than what was known."""
        newer = []
        for order in orders:
            known = self.orders.get(order.data_centre)
            if known is None or order.number > known.number:
                self.orders[order.data_centre] = order
                newer.append(order)
        self.evacuated = frozenset(
            order.data_centre for order in self.orders.values() if order.is_evacuated
        )
        return newer

    def allows(self, server: RegisteredServer) -> bool:
        """Return whether a server may get a request."""
        return server.data_centre not in self.evacuated

    def allowed(self, servers: list[RegisteredServer]) -> list[RegisteredServer]:
        """Return the servers that may get a request; there may be none."""
        if not self.evacuated:
            return servers
        return [server for server in servers if self.allows(server)]
