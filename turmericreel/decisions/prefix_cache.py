"""Index of the prompt prefixes that backend servers probably hold in their caches.

Engines publish cache events late and with gaps.  After a gap the entries of that
server are dropped and rebuilt from later events and from the prompts that this
instance sends there.
"""

from collections import OrderedDict
from dataclasses import dataclass, field

import xxhash

from turmericreel.model.ids import BackendServerId

BLOCK_BYTES = 1_024
MAX_BLOCKS = 64
MAX_PREFIXES_PER_SERVER = 4_096

PrefixKey = str


@dataclass(kw_only=True)
class ServerCache:
    """Prefixes that one server's cache probably holds, oldest first."""

    prefixes: OrderedDict[PrefixKey, None] = field(default_factory=OrderedDict)

    def add(self, keys: tuple[PrefixKey, ...]) -> None:
        """Add prefixes as the newest, and drop the oldest ones beyond the limit."""
        for key in keys:
            self.prefixes[key] = None
            self.prefixes.move_to_end(key)
        while len(self.prefixes) > MAX_PREFIXES_PER_SERVER:
            self.prefixes.popitem(last=False)


class PrefixIndex:
    """Index of cached prefixes by server."""

    def __init__(self):
        self.caches: dict[BackendServerId, ServerCache] = {}

    def record_sent(self, server: BackendServerId, keys: tuple[PrefixKey, ...]) -> None:
        """Record a prompt sent to a server, which is then assumed to cache it."""
        self.caches.setdefault(server, ServerCache()).add(keys)

    def apply_changes(
        self,
        server: BackendServerId,
        *,
        stored: tuple[PrefixKey, ...],
        removed: tuple[PrefixKey, ...],
    ) -> None:
        """Record the prefixes that a server stored and removed."""
        cache = self.caches.setdefault(server, ServerCache())
        for key in removed:
            cache.prefixes.pop(key, None)
        cache.add(stored)

    def clear(self, server: BackendServerId) -> None:
        """Drop all prefixes of a server."""
        self.caches.pop(server, None)

    def match_fraction(
        self, server: BackendServerId, keys: tuple[PrefixKey, ...]
    ) -> float:
        """Return the fraction of a prompt's blocks that the server holds."""
        cache = self.caches.get(server)
        if cache is None or not keys:
            return 0.0
        # The keys are chained, so the last one that is cached gives the match length.
        for n in range(len(keys), 0, -1):
            if keys[n - 1] in cache.prefixes:
                return n / len(keys)
        return 0.0

    def retain(self, present: set[BackendServerId]) -> None:
        """Drop servers that are not present."""
        for server in [s for s in self.caches if s not in present]:
            del self.caches[server]


def prefix_keys(body: bytes) -> tuple[PrefixKey, ...]:
    """Return the keys of a prompt's complete blocks.

    Each key is a hash of the prompt up to the end of its block.
    """
    keys = []
    hasher = xxhash.xxh64()
    n_blocks = min(len(body) // BLOCK_BYTES, MAX_BLOCKS)
    for n in range(n_blocks):
        hasher.update(body[n * BLOCK_BYTES : (n + 1) * BLOCK_BYTES])
        keys.append(hasher.hexdigest())
    return tuple(keys)
