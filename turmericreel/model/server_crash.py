"""Record of a server that ended while it ran a request."""

import msgspec

from turmericreel.model.ids import BackendServerId, ContentDigest, Incarnation
from turmericreel.model.registered_server import RegisteredServer


class ServerProcess(msgspec.Struct, frozen=True, array_like=True):
    """One start of a server; a restarted server is another process."""

    server: BackendServerId
    incarnation: Incarnation


class ServerCrash(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A server process that ended while it ran a content.

    Attributes
    ----------
    expires_ms : int
        Wall time until which the crash counts against the content.
    refuted : bool
        Whether the process or the content was later proven sound.
    """

    content: ContentDigest
    process: ServerProcess
    expires_ms: int
    refuted: bool = False


def process_of(server: RegisteredServer) -> ServerProcess:
    """Return the process that a registration describes."""
    return ServerProcess(server.server, server.incarnation)
