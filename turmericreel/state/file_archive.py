"""Archive of bill lines in the files of a folder."""

from bisect import bisect_right
from pathlib import Path

from turmericreel.model.ids import ClientAccountId
from turmericreel.state.archive import LineArchive, LineGap, LinePage
from turmericreel.state.archive_segment import ALL_LINES, Segment
from turmericreel.state.bill import BillLine

N_SEGMENT_LINES = 50_000


class FileArchive(LineArchive):
    """Archive in append-only segment files.

    A file is synced when it is full and whenever the ledger is dumped.  Lines lost in a
    crash before that are appended again from the log, which is kept until a dump.

    Parameters
    ----------
    folder : Path
    n_segment_lines : int
        Maximum number of lines in one file.
    """

    def __init__(self, *, folder: Path, n_segment_lines: int = N_SEGMENT_LINES):
        self.folder = folder
        self.n_segment_lines = n_segment_lines
        self.segments: list[Segment] = []
        folder.mkdir(parents=True, exist_ok=True)
        paths = sorted(folder.glob("lines-*.bin"))
        for path in paths:
            self._add_segment(path)
        for segment in self.segments[:-1]:
            segment.load()
        if self.segments:
            self.segments[-1].open_for_append()

    @property
    def next_number(self) -> int:
        """Number of the next line."""
        return self.segments[-1].end if self.segments else 0

    def append(self, line: BillLine) -> None:
        """Store a line unless it is stored already."""
        if line.number < self.next_number:
            return
        if not self.segments or self._must_roll(line):
            self._roll(line.number)
        self.segments[-1].append(line)

    def sync(self) -> None:
        """Block until all appended lines are durable."""
        if self.segments:
            self.segments[-1].sync()

    def close(self) -> None:
        """Sync and close the current segment."""
        if self.segments and self.segments[-1].file is not None:
            self.sync()
            self.segments[-1].file.close()

    def page(
        self,
        *,
        account: ClientAccountId | None = None,
        neighbour: str | None = None,
        after: int = -1,
        limit: int,
    ) -> LinePage:
        """Return one page of lines, see `LineArchive.page`."""
        key = ALL_LINES
        if account is not None:
            key = f"a/{account}"
        elif neighbour is not None:
            key = f"n/{neighbour}"
        found: list[BillLine] = []
        for segment in self.segments:
            if segment.end <= after + 1:
                continue
            wanted = limit + 1 - len(found)
            found += segment.read(_find_offsets(segment, key, after)[:wanted])
            if len(found) > limit:
                lines = found[:limit]
                return LinePage(lines=lines, next_after=lines[-1].number)
        return LinePage(lines=found, next_after=None)

    def gaps(self) -> list[LineGap]:
        """Return the ranges of missing line numbers."""
        gaps = []
        expected = 0
        for segment in self.segments:
            if segment.first > expected:
                gaps.append(LineGap(first=expected, end=segment.first))
            expected = segment.end
        return gaps

    def _must_roll(self, line: BillLine) -> bool:
        last = self.segments[-1]
        return last.n_lines >= self.n_segment_lines or line.number > last.end

    def _roll(self, first: int) -> None:
        if self.segments:
            self.segments[-1].seal()
        segment = self._add_segment(self.folder / f"lines-{first:012d}.bin")
        segment.open_for_append()

    def _add_segment(self, path: Path) -> Segment:
        first = int(path.stem.removeprefix("lines-"))
        segment = Segment(path=path, first=first)
        self.segments.append(segment)
        return segment


def _find_offsets(segment: Segment, key: str, after: int) -> list[int]:
    index = segment.current_index()
    if key not in index.ordinals:
        return []
    start = bisect_right(index.ordinals[key], after - segment.first)
    return list(index.offsets[key][start:])
