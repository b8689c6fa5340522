"""Announcements and load reports of backend servers."""

from typing import Annotated

import msgspec

from turmericreel.model.ids import (
    BackendServerId,
    DataCentreId,
    Incarnation,
    ServiceName,
    VersionId,
)
from turmericreel.util.numbers import WITHIN_COUNT, Count


class BackendServer(msgspec.Struct, frozen=True, kw_only=True):
    """Self-description of a backend server.

    Parameters
    ----------
    address : str
        ``ip:port`` of its HTTP listener.
    capacity : int
        Number of requests that it can run concurrently.
    checks_fencing : bool
        Whether it refuses an order with an old fencing token.
    deterministic : bool
        Whether equal requests to one version always get equal tokens, so that an
        answer that was interrupted at another server can be recomputed here.
    answers_probes : bool
        Whether it answers ``GET /v1/slots`` with its current load.
    neighbour : str
        Organisation that owns the server and is credited for its work.
    """

    server: BackendServerId
    incarnation: Annotated[Incarnation, WITHIN_COUNT]
    service: ServiceName
    versions: tuple[VersionId, ...]
    data_centre: DataCentreId
    address: str
    capacity: Count = 8
    checks_fencing: bool = False
    neighbour: str = ""
    deterministic: bool = False
    answers_probes: bool = False


class LoadReport(msgspec.Struct, frozen=True, kw_only=True):
    """Load that a backend server reported; it is always slightly out of date."""

    server: BackendServerId
    incarnation: Annotated[Incarnation, WITHIN_COUNT]
    running: Count
    waiting: Count
    cache_blocks_used: float = 0.0
