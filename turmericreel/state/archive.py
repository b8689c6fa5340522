"""Archive of final bill lines, stored outside the replicated state.

Every control instance derives the same archive from the same log.  The ledger numbers
the lines, so that a line appended again while the log is replayed is ignored.
"""

from abc import ABC, abstractmethod
from bisect import bisect_right
from dataclasses import dataclass

from turmericreel.model.ids import ClientAccountId
from turmericreel.state.bill import BillLine


@dataclass(frozen=True, kw_only=True)
class LinePage:
    """One page of bill lines.

    Attributes
    ----------
    lines : list of BillLine
    next_after : int or None
        Line number after which the next page begins; None on the last page.
    """

    lines: list[BillLine]
    next_after: int | None


@dataclass(frozen=True, kw_only=True)
class LineGap:
    """Range of line numbers missing from the archive; `end` is exclusive."""

    first: int
    end: int


class LineArchive(ABC):
    """Append-only store of final bill lines."""

    @abstractmethod
    def append(self, line: BillLine) -> None:
        """Store a line unless it is stored already."""

    @abstractmethod
    def sync(self) -> None:
        """Block until all appended lines are durable.

        Raises
        ------
        FailureError
            With `StorageFailed`.
        """

    @abstractmethod
    def page(
        self,
        *,
        account: ClientAccountId | None = None,
        neighbour: str | None = None,
        after: int = -1,
        limit: int,
    ) -> LinePage:
        """Return lines of an account, lines with attempts by a neighbour, or all lines.

        Parameters
        ----------
        account : ClientAccountId or None
        neighbour : str or None
        after : int
            Line number after which the page begins.
        limit : int
            Maximum number of lines to return.
        """

    @abstractmethod
    def gaps(self) -> list[LineGap]:
        """Return the missing ranges, for instance after a snapshot was installed."""


class MemoryArchive(LineArchive):
    """Archive in memory, for instances without a disk and for tests."""

    def __init__(self):
        self.lines: list[BillLine] = []
        self.numbers: list[int] = []

    def append(self, line: BillLine) -> None:
        """Store a line unless it is stored already."""
        if self.numbers and line.number <= self.numbers[-1]:
            return
        self.lines.append(line)
        self.numbers.append(line.number)

    def sync(self) -> None:
        """Do nothing: lines in memory are never durable."""

    def page(
        self,
        *,
        account: ClientAccountId | None = None,
        neighbour: str | None = None,
        after: int = -1,
        limit: int,
    ) -> LinePage:
        """Return one page of lines, see `LineArchive.page`."""
        found = []
        for line in self.lines[bisect_right(self.numbers, after) :]:
            if account is not None and line.account != account:
                continue
            if neighbour is not None and not has_neighbour(line, neighbour):
                continue
            if len(found) == limit:
                return LinePage(lines=found, next_after=found[-1].number)
            found.append(line)
        return LinePage(lines=found, next_after=None)

    def gaps(self) -> list[LineGap]:
        """Return the ranges of missing line numbers."""
        gaps = []
        expected = 0
        for number in self.numbers:
            if number > expected:
                gaps.append(LineGap(first=expected, end=number))
            expected = number + 1
        return gaps


def has_neighbour(line: BillLine, neighbour: str) -> bool:
    """Return whether a line has an attempt by a neighbour's servers."""
    return any(attempt.neighbour == neighbour for attempt in line.attempts)
