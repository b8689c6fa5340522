"""Orders the cache events of backend servers and detects lost ones."""

from abc import ABC, abstractmethod
from collections.abc import Iterable
from dataclasses import dataclass

from turmericreel.model.ids import BackendServerId, Incarnation
from turmericreel.protocols.backend import CacheEvent, CacheEvents


class CacheListener(ABC):
    """Receives the changes of the prefix caches of backend servers."""

    @abstractmethod
    def apply(self, server: BackendServerId, events: tuple[CacheEvent, ...]) -> None:
        """Apply events that directly follow those applied before."""

    @abstractmethod
    def reset(self, server: BackendServerId) -> None:
        """Discard the cache state of a server that lost events, restarted or left."""


@dataclass(frozen=True, kw_only=True)
class CachePosition:
    """Position up to which the events of one server were read."""

    incarnation: Incarnation
    next_sequence: int


class CacheEventReader:
    """Delivers each event once and in order; a gap resets the cache state of a server.

    Attributes
    ----------
    listeners : list of CacheListener
    n_gaps : int
        Number of gaps, at each of which events were lost.
    """

    def __init__(self, *, listeners: Iterable[CacheListener] = ()):
        self.listeners = list(listeners)
        self.positions: dict[BackendServerId, CachePosition] = {}
        self.n_gaps = 0

    def read(self, received: CacheEvents) -> None:
        """Read one message; late and repeated events are dropped."""
        known = self.positions.get(received.server)
        if known is not None and received.incarnation < known.incarnation:
            return
        if known is None or received.incarnation > known.incarnation:
            self._reset(received.server)
        elif received.first_sequence > known.next_sequence:
            self.n_gaps += 1
            self._reset(received.server)
        else:
            n_known = known.next_sequence - received.first_sequence
            self._deliver(received, received.events[n_known:])
            return
        self._deliver(received, received.events)

    def remove_server(self, server: BackendServerId) -> None:
        """Remove a server that has left and reset its cache state."""
        if self.positions.pop(server, None) is not None:
            self._reset(server)

    def _deliver(
        self, received: CacheEvents, new_events: tuple[CacheEvent, ...]
    ) -> None:
        end = received.first_sequence + len(received.events)
        known = self.positions.get(received.server)
        if known is not None and known.incarnation == received.incarnation:
            end = max(end, known.next_sequence)
        self.positions[received.server] = CachePosition(
            incarnation=received.incarnation, next_sequence=end
        )
        if not new_events:
            return
        for listener in self.listeners:
            listener.apply(received.server, new_events)

    def _reset(self, server: BackendServerId) -> None:
        for listener in self.listeners:
            listener.reset(server)
