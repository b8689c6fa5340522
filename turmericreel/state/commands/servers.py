"""Commands and results of the registry of backend servers."""

import msgspec

from turmericreel.model.ids import (
    BackendServerId,
    Incarnation,
    InstanceId,
)
from turmericreel.model.servers import BackendServer
from turmericreel.state.commands.base import CommandStruct


class AnnounceServer(CommandStruct):
    """Register a backend server that joined or changed its announcement."""

    server: BackendServer
    home: InstanceId


class ServerLeft(CommandStruct):
    """Deregister a backend server that announced its departure."""

    server: BackendServerId
    incarnation: Incarnation


class ExpiredServer(msgspec.Struct, frozen=True, kw_only=True):
    """One incarnation of a backend server that no longer sends heartbeats."""

    server: BackendServerId
    incarnation: Incarnation


class ExpireServers(CommandStruct):
    """Expire backend servers that their home no longer receives heartbeats from.

    Servers that have another home by now are ignored.  Unlike a server that left, an
    expired one may return under the same incarnation.
    """

    home: InstanceId
    servers: tuple[ExpiredServer, ...]


class ServerStale(CommandStruct):
    """The announcement is stale: a later incarnation is known, or this one left."""

    incarnation: Incarnation
    left: bool
