"""Prefix cache of a stand-in model engine, and the cache events it publishes."""

from collections import OrderedDict
from random import Random

import xxhash

from turmericreel.model.servers import BackendServer
from turmericreel.protocols.backend import CacheEvent, CacheEventKind, CacheEvents

BLOCK_BYTES = 1_024
BYTES_PER_TOKEN = 4


class FakePrefixCache:
    """LRU cache of prompt blocks.

    Parameters
    ----------
    n_blocks : int
        Capacity.
    loss_rate : float
        Fraction of the event messages that are lost.
    rng : Random
    """

    def __init__(self, *, n_blocks: int, loss_rate: float, rng: Random):
        self.n_blocks = n_blocks
        self.loss_rate = loss_rate
        self.rng = rng
        self.blocks: OrderedDict[str, None] = OrderedDict()
        self.unsent: list[CacheEvent] = []
        self.next_sequence = 0

    def match_and_store(self, body: bytes) -> int:
        """Store a prompt's blocks; return the number of its tokens already cached."""
        keys = block_keys(body)
        n_matched = 0
        for key in keys:
            if key not in self.blocks:
                break
            n_matched += 1
        for key in keys:
            self._store(key)
        return n_matched * BLOCK_BYTES // BYTES_PER_TOKEN

    def collect_message(self, server: BackendServer) -> CacheEvents | None:
        """Return and clear the pending events.

        The result is None if there are no events, or if the message is drawn as lost.
        """
        if not self.unsent:
            return None
        message = CacheEvents(
            server=server.server,
            incarnation=server.incarnation,
            first_sequence=self.next_sequence,
            events=tuple(self.unsent),
        )
        self.next_sequence += len(self.unsent)
        self.unsent.clear()
        return None if self.rng.random() < self.loss_rate else message

    def _store(self, key: str) -> None:
        if key not in self.blocks:
            self.unsent.append(CacheEvent(kind=CacheEventKind.STORED, block=key))
        self.blocks[key] = None
        self.blocks.move_to_end(key)
        if len(self.blocks) > self.n_blocks:
            oldest, _ = self.blocks.popitem(last=False)
            self.unsent.append(CacheEvent(kind=CacheEventKind.REMOVED, block=oldest))


def block_keys(body: bytes) -> list[str]:
    """Return the keys of a prompt's complete blocks.

    Each key hashes the prompt up to the end of its block.
    """
    hasher = xxhash.xxh64()
    keys = []
    for start in range(0, len(body) - BLOCK_BYTES + 1, BLOCK_BYTES):
        hasher.update(body[start : start + BLOCK_BYTES])
        keys.append(hasher.hexdigest())
    return keys
