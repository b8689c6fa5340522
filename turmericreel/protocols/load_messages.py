"""Datagrams that carry load reports to the instances that use a backend server."""

import msgspec

from turmericreel.model.ids import BackendServerId, Incarnation, InstanceId


class LoadInterest(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Subscription to the load of some servers at their home, for a limited time."""

    instance: InstanceId
    servers: tuple[BackendServerId, ...]


class ServerLoad(msgspec.Struct, frozen=True, array_like=True):
    """One load report, with its age in milliseconds when the digest was sent."""

    server: BackendServerId
    incarnation: Incarnation
    running: int
    waiting: int
    cache_blocks_used: float
    age_ms: int


class LoadDigest(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Latest load reports of the servers that the receiver subscribed to."""

    loads: tuple[ServerLoad, ...]


LoadMessage = LoadInterest | LoadDigest
