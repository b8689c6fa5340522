"""A map that can list the values changed since an index."""

from collections import OrderedDict
from collections.abc import Iterator
from typing import Generic, TypeVar

Key = TypeVar("Key")
Value = TypeVar("Value")


class ChangeFeed(Generic[Key, Value]):
    """Values by key, in the order in which they last changed.

    A removed key is kept as a tombstone value, which the owner recognises, until
    `forget` deletes it.  `since` then returns None for indices before that change, as
    its result would be incomplete.

    Attributes
    ----------
    index : int
        Index of the newest change.
    floor : int
        Changes up to this index may have been deleted by `forget`.
    """

    def __init__(self):
        self.values: dict[Key, Value] = {}
        self.changed: OrderedDict[Key, int] = OrderedDict()
        self.index = 0
        self.floor = 0

    def put(self, key: Key, value: Value, *, index: int) -> None:
        """Set a value as of `index`; indices must not decrease."""
        self.values[key] = value
        self.changed[key] = index
        self.changed.move_to_end(key)
        self.index = max(self.index, index)

    def forget(self, key: Key) -> None:
        """Delete a value and its change."""
        index = self.changed.pop(key, 0)
        self.floor = max(self.floor, index)
        self.values.pop(key, None)

    def since(self, index: int) -> list[Value] | None:
        """Return the values changed after `index`, oldest change first.

        Returns None if some of these changes may have been deleted.
        """
        if index < self.floor:
            return None
        changes = [self.values[key] for key in self._keys_since(index)]
        changes.reverse()
        return changes

    def _keys_since(self, index: int) -> Iterator[Key]:
        for key, changed in reversed(self.changed.items()):
            if changed <= index:
                return
            yield key
