"""Forwards the cache events of backend servers to the server policy."""

from turmericreel.decisions.server_policy import ServerPolicy
from turmericreel.entry.cache_events import CacheListener
from turmericreel.model.ids import BackendServerId
from turmericreel.protocols.backend import CacheEvent, CacheEventKind


class CacheEventForwarder(CacheListener):
    """Forwards cache events to a server policy.

    Parameters
    ----------
    servers : ServerPolicy
    """

    def __init__(self, *, servers: ServerPolicy):
        self.servers = servers

    def apply(self, server: BackendServerId, events: tuple[CacheEvent, ...]) -> None:
        """Apply events that directly follow those applied before."""
        for event in events:
            match event.kind:
                case CacheEventKind.STORED:
                    self.servers.record_cache_change(
                        server, stored=(event.block,), removed=()
                    )
                case CacheEventKind.REMOVED:
                    self.servers.record_cache_change(
                        server, stored=(), removed=(event.block,)
                    )
                case CacheEventKind.CLEARED:
                    self.servers.record_cache_loss(server)

    def reset(self, server: BackendServerId) -> None:
        """Discard the cache state of a server."""
        self.servers.record_cache_loss(server)
