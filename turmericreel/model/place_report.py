"""Reports of gateways on places of brittle servers, and the leader's answers."""

import msgspec

from turmericreel.model.ids import BackendServerId, ClientAccountId, ServiceName


class PlaceAsk(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A request that waits at a gateway for a place.

    Attributes
    ----------
    number : int
        Number of the ask, unique at its gateway.
    service : ServiceName
    servers : tuple of BackendServerId
        Servers of the service that may get the request.
    prefers_first : bool
        Whether the first of them suits the request best.
    priority : int
        0 is the most urgent.
    account : ClientAccountId
        Empty if the request has none.
    wait_ms : int
        Time that the request may still wait, in milliseconds.
    """

    number: int
    service: ServiceName
    servers: tuple[BackendServerId, ...]
    prefers_first: bool
    priority: int
    account: ClientAccountId
    wait_ms: int


class PlaceReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Places of brittle servers that a gateway holds, and requests that wait for one.

    It is complete, and replaces what the gateway reported before.

    Attributes
    ----------
    asks : tuple of PlaceAsk
    held : dict of BackendServerId to int
        Places that running requests hold.
    term, number : int
        Of the last answer that the gateway received; 0 without any.
    refused : tuple of BackendServerId
        Servers that had no room for a request, once for each since the last report.
    held_ms : dict of ServiceName to float
        Mean time for which a request holds a place.
    """

    asks: tuple[PlaceAsk, ...]
    held: dict[BackendServerId, int]
    term: int
    number: int
    refused: tuple[BackendServerId, ...] = ()
    held_ms: dict[ServiceName, float] = {}


class PlaceAnswer(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The leader's answer to some asks of a gateway.

    Attributes
    ----------
    term : int
        Term of the leader.
    number : int
        Increases with each answer of the term.
    granted : dict of int to BackendServerId
        Server whose place a request gets, by the number of its ask.
    refused : dict of int to int
        Time in milliseconds after which there may be a place, by the number of the ask.
    """

    term: int
    number: int
    granted: dict[int, BackendServerId] = {}
    refused: dict[int, int] = {}
