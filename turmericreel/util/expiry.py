"""Index of keys by deadline that finds expired keys without scanning all."""

import heapq
from collections.abc import Iterable

BUCKET_MS = 1_000


class ExpiryIndex:
    """Keys by deadline, in buckets of one second.

    Keys are returned in an order that does not depend on the order of insertion, so
    replicas that expire keys at the same time expire the same keys in the same order.
    """

    def __init__(self):
        self.buckets: dict[int, set] = {}
        self.heap: list[int] = []

    def add(self, key, deadline_ms: int) -> None:
        """Add a key with its deadline, rounded up to whole seconds."""
        number = -(-deadline_ms // BUCKET_MS)
        bucket = self.buckets.get(number)
        if bucket is None:
            bucket = self.buckets[number] = set()
            heapq.heappush(self.heap, number)
        bucket.add(key)

    def discard(self, key, deadline_ms: int) -> None:
        """Remove a key; `deadline_ms` must be the deadline it was added with."""
        bucket = self.buckets.get(-(-deadline_ms // BUCKET_MS))
        if bucket is not None:
            bucket.discard(key)

    def has_due(self, now_ms: int) -> bool:
        """Return whether `pop_due` may return keys."""
        return bool(self.heap) and self.heap[0] * BUCKET_MS <= now_ms

    def pop_due(self, now_ms: int) -> Iterable:
        """Remove and return the keys that are due, oldest bucket first."""
        due = []
        while self.heap and self.heap[0] * BUCKET_MS <= now_ms:
            due.extend(sorted(self.buckets.pop(heapq.heappop(self.heap))))
        return due
