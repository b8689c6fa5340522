"""The part of the log kept in memory: all entries after the compacted ones."""

from bisect import bisect_left
from itertools import accumulate

from turmericreel.state.storage.entries import Entry, EntryKind, Membership

MEMBERSHIP = EntryKind.MEMBERSHIP


class LogTail:
    """Log entries after `start_index`.

    Attributes
    ----------
    start_index, start_term : int
        Index and term of the last compacted entry.
    ends : list of int
        For each entry, the total size of all entries up to and including it, in bytes
        from `start_bytes` on.
    start_bytes : int
    """

    def __init__(self, *, start_index: int, start_term: int, entries: list[Entry]):
        self.start_index = start_index
        self.start_term = start_term
        self.entries = entries
        self.start_bytes = 0
        self.ends = list(accumulate(entry.size_bytes for entry in entries))

    @property
    def last_index(self) -> int:
        """Index of the last entry."""
        return self.start_index + len(self.entries)

    @property
    def last_term(self) -> int:
        """Term of the last entry."""
        return self.entries[-1].term if self.entries else self.start_term

    @property
    def last_time_ms(self) -> int:
        """Time stamp of the last entry in milliseconds, 0 without entries."""
        return self.entries[-1].time_ms if self.entries else 0

    @property
    def size_bytes(self) -> int:
        """Total size of the entries in bytes."""
        return self._end_of(self.last_index) - self.start_bytes

    def size_after(self, index: int, last: int) -> int:
        """Return the total size of the entries after `index` up to `last`, in bytes."""
        return max(0, self._end_of(last) - self._end_of(index))

    def index_before(self, last: int, *, limit_bytes: int) -> int:
        """Return the index after which the entries up to `last` fit into a size.

        Parameters
        ----------
        limit_bytes : int
        """
        lowest_end = self._end_of(last) - limit_bytes
        if lowest_end <= self.start_bytes:
            return self.start_index
        return self.start_index + bisect_left(self.ends, lowest_end) + 1

    def term_at(self, index: int) -> int | None:
        """Return the term of an entry, or None if it is compacted or missing."""
        if index == self.start_index:
            return self.start_term
        if self.start_index < index <= self.last_index:
            return self.entries[index - self.start_index - 1].term
        return None

    def append(self, entry: Entry) -> None:
        """Append the next entry."""
        assert entry.index == self.last_index + 1
        self.ends.append(self._end_of(self.last_index) + entry.size_bytes)
        self.entries.append(entry)

    def truncate_from(self, index: int) -> None:
        """Drop the entry at `index` and all after it."""
        position = index - self.start_index - 1
        del self.entries[position:]
        del self.ends[position:]

    def slice(self, first: int, last: int) -> list[Entry]:
        """Return the entries from `first` to `last`, both included."""
        offset = self.start_index + 1
        return self.entries[first - offset : last - offset + 1]

    def batch(self, first: int, *, limit_bytes: int, limit: int) -> list[Entry]:
        """Return a batch of entries from `first` on.

        Parameters
        ----------
        limit_bytes : int
            Largest total size of the entries' data; one entry may exceed it alone.
        limit : int
            Largest number of entries.
        """
        taken: list[Entry] = []
        n_bytes = 0
        position = first - self.start_index - 1
        for entry in self.entries[position : position + limit]:
            n_bytes += len(entry.data)
            if taken and n_bytes > limit_bytes:
                break
            taken.append(entry)
        return taken

    def compact(self, index: int) -> None:
        """Drop the entries up to and including `index`."""
        if index <= self.start_index:
            return
        term = self.term_at(index)
        assert term is not None
        self.start_bytes = self._end_of(index)
        del self.entries[: index - self.start_index]
        del self.ends[: index - self.start_index]
        self.start_index = index
        self.start_term = term

    def reset(self, index: int, term: int) -> None:
        """Drop all entries, since a snapshot up to `index` replaced them."""
        self.start_index = index
        self.start_term = term
        self.entries = []
        self.start_bytes = 0
        self.ends = []

    def first_of_term(self, index: int) -> int:
        """Return the first index in memory that has the same term as `index`."""
        term = self.term_at(index)
        while index - 1 > self.start_index and self.term_at(index - 1) == term:
            index -= 1
        return index

    def _end_of(self, index: int) -> int:
        position = min(index, self.last_index) - self.start_index - 1
        return self.ends[position] if position >= 0 else self.start_bytes


class MembershipHistory:
    """Membership changes by log index.

    Truncating the log also reverts the changes in the dropped entries.
    """

    def __init__(self, *, index: int, membership: Membership):
        self.changes: list[tuple[int, Membership]] = [(index, membership)]

    @property
    def current(self) -> Membership:
        """The newest membership, committed or not."""
        return self.changes[-1][1]

    @property
    def current_index(self) -> int:
        """Index of the entry that set the newest membership."""
        return self.changes[-1][0]

    def at(self, index: int) -> Membership:
        """Return the membership in effect at `index`."""
        for changed, membership in reversed(self.changes):
            if changed <= index:
                return membership
        return self.changes[0][1]

    def add(self, index: int, membership: Membership) -> None:
        """Add the membership set by the entry at `index`."""
        self.changes.append((index, membership))

    def truncate_from(self, index: int) -> None:
        """Drop the changes at and after `index`."""
        while len(self.changes) > 1 and self.changes[-1][0] >= index:
            self.changes.pop()

    def compact(self, index: int) -> None:
        """Drop the changes that were superseded at or before `index`."""
        while len(self.changes) > 1 and self.changes[1][0] <= index:
            del self.changes[0]
