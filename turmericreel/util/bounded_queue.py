"""A queue between tasks that is bounded by the number and the size of its items."""

from collections.abc import Callable
from typing import Generic, TypeVar

from gevent.queue import Queue

T = TypeVar("T")


class BoundedQueue(Generic[T]):
    """First-in, first-out queue that refuses items while it is full.

    An item that is larger than the limit by itself is accepted while the queue is
    empty.

    Parameters
    ----------
    max_items : int
    max_bytes : int
        Maximum total size of the items.
    size_of : callable
        Returns the approximate size of an item in bytes.

    Attributes
    ----------
    n_bytes : int
        Total size of the items in the queue.
    """

    def __init__(self, *, max_items: int, max_bytes: int, size_of: Callable[[T], int]):
        self.max_items = max_items
        self.max_bytes = max_bytes
        self.size_of = size_of
        self.n_bytes = 0
        self.items: Queue = Queue()

    def __len__(self) -> int:
        return self.items.qsize()

    def put(self, item: T) -> bool:
        """Append an item and return True, or return False if the queue is full."""
        has_room = self.n_bytes + self.size_of(item) <= self.max_bytes
        if len(self) > 0 and not (has_room and len(self) < self.max_items):
            return False
        self.put_always(item)
        return True

    def put_always(self, item: T) -> None:
        """Append an item even if the queue is full."""
        size = self.size_of(item)
        self.n_bytes += size
        self.items.put_nowait((size, item))

    def get(self, *, timeout: float | None = None) -> T:
        """Wait for the first item, remove and return it.

        Parameters
        ----------
        timeout : float or None
            Seconds; None waits without a limit.

        Raises
        ------
        gevent.queue.Empty
            If no item arrived in time.
        """
        size, item = self.items.get(timeout=timeout)
        self.n_bytes -= size
        return item

    def clear(self) -> None:
        """Drop all items."""
        while len(self):
            self.get()
