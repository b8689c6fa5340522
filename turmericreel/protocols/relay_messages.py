"""Messages between gateways that open connections to servers for each other.

After a `RelayOpened` the connection carries the bytes of the server's connection in
both directions, without frames, until either end closes.
"""

from enum import Enum

import msgspec


class RelayObstacle(Enum):
    """What kept a gateway from reaching a server.

    A `GATEWAY` can open no connections now, a `PATH` leads to this server only, and a
    `SERVER` refused the connection itself.
    """

    GATEWAY = "gateway"
    PATH = "path"
    SERVER = "server"


class OpenRelay(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Request to open a connection to a registered server.

    Attributes
    ----------
    server_address : str
        ``ip:port``.
    timeout_ms : int
        Time for which the sender waits.
    """

    server_address: str
    timeout_ms: int


class RelayOpened(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """The connection to the server is open."""


class RelayFailed(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """No connection to the server could be opened.

    Attributes
    ----------
    obstacle : RelayObstacle
    detail : str
    """

    obstacle: RelayObstacle
    detail: str


RelayAnswer = RelayOpened | RelayFailed
