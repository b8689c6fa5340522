"""Commands for load and unload orders to backend servers."""

from enum import Enum
from typing import NewType

from turmericreel.model.ids import (
    BackendServerId,
    Incarnation,
    ServiceName,
    VersionId,
)
from turmericreel.state.commands.base import CommandStruct

OrderId = NewType("OrderId", str)


class PlacementKind(Enum):
    """Whether an order loads a version on a server or unloads it."""

    LOAD = "load"
    UNLOAD = "unload"


class OrderEnd(Enum):
    """How an order ended."""

    DONE = "done"
    FAILED = "failed"
    SUPERSEDED = "superseded"
    LOST = "lost"


class PlaceOrder(CommandStruct):
    """Place an order to a backend server; ignored while its target has an open one."""

    order: OrderId
    kind: PlacementKind
    server: BackendServerId
    incarnation: Incarnation
    service: ServiceName
    version: VersionId
    model: str


class IssueOrder(CommandStruct):
    """Record that an order is about to be sent for the first time."""

    order: OrderId


class EndOrder(CommandStruct):
    """Record how an order ended; the first end counts."""

    order: OrderId
    end: OrderEnd
