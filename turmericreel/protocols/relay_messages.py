"""Messages between gateways that open connections to servers for each other.

After a `RelayOpened` the connection carries the bytes for the server as they are.
Those from the server come in blocks, each after its length; instead of a length,
`CLOSED` says that the server closed its connection, and `RESET` that it broke.  So the
end of a gateway is never taken for the end of a server or of its answer.
"""

import struct
from enum import Enum

import msgspec

BLOCK_LENGTH = struct.Struct(">I")
CLOSED = 0
RESET = 0xFFFF_FFFF


class RelayObstacle(Enum):
    """What kept a gateway from reaching a server.

    A `GATEWAY` can open no connections now, and a `PATH` leads to this server only.  A
    refused connection does not show that the server has ended, as a gateway that has
    just been cut off is refused too.
    """

    GATEWAY = "gateway"
    PATH = "path"


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
