"""Reports and grants of requests to servers that are cold."""

import msgspec

from turmericreel.model.ids import ServiceName
from turmericreel.model.server_crash import ServerProcess


class ColdDemand(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Requests of a gateway for a service with cold servers.

    Attributes
    ----------
    n_wanted : int
        Requests since the last report that a cold server could have got.
    n_waiting : int
        Requests that wait for a grant now.
    """

    service: ServiceName
    n_wanted: int
    n_waiting: int


class ColdReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What a gateway wants to send to cold servers.

    Attributes
    ----------
    number : int
        Increases with each report of a gateway process.
    """

    number: int
    demands: tuple[ColdDemand, ...]


class ColdGrant(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Additional requests that one gateway may send to a cold server process."""

    process: ServerProcess
    n_granted: int


class ColdAnswer(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The leader's answer to the newest report of one gateway.

    Attributes
    ----------
    number : int
        Number of that report; 0 if the leader has none.
    held_ms : int
        Time for which the leader has had the report, in milliseconds, at most.
    spare : tuple of ServiceName
        Services for which one more request is granted soon if it waits.
    """

    number: int
    held_ms: int
    grants: tuple[ColdGrant, ...] = ()
    spare: tuple[ServiceName, ...] = ()
