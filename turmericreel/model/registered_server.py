"""Registration of a backend server, as described by its heartbeats."""

from enum import Enum

import msgspec

from turmericreel.model.ids import (
    BackendServerId,
    DataCentreId,
    Incarnation,
    ServiceName,
    VersionId,
)


class ServerState(Enum):
    """State that a server reports, or that is inferred from missing heartbeats."""

    READY = "ready"
    DRAINING = "draining"
    EXPIRED = "expired"
    GONE = "gone"


class RegisteredServer(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """The latest known registration of one server.

    Attributes
    ----------
    incarnation : Incarnation
        Start time of the server in Unix milliseconds; 0 if it does not report one.
    sequence : int
        Increases with each heartbeat of an incarnation.
    warmup_left_ms : int
        Remaining warm-up time, during which the server is slow.
    """

    server: BackendServerId
    service: ServiceName
    address: str
    data_centre: DataCentreId
    version: VersionId
    n_slots: int
    state: ServerState
    incarnation: Incarnation = Incarnation(0)
    sequence: int = 0
    warmup_left_ms: int = 0

    @property
    def is_usable(self) -> bool:
        """Whether the server may get new requests."""
        return self.state is ServerState.READY

    def supersedes(self, other: "RegisteredServer") -> bool:
        """Return whether this registration is newer than another of the same server."""
        return self._order > other._order

    @property
    def _order(self) -> tuple:
        # Within an incarnation a deregistration supersedes all heartbeats, including
        # those that arrive after it.
        is_gone = self.state is ServerState.GONE
        is_expired = self.state is ServerState.EXPIRED
        return (self.incarnation, is_gone, self.sequence, is_expired)
