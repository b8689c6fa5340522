"""The log on disk: numbered segment files of frames, each frame a batch of entries.

Segments are append-only.  An entry whose index is already in the log replaces that
entry and all later ones, so a conflicting suffix is overridden without truncation.
"""

from dataclasses import dataclass

import msgspec

from turmericreel.state.storage.disk import Disk
from turmericreel.state.storage.entries import Entry, SnapshotMeta
from turmericreel.state.storage.framing import FrameState, pack_frame, read_frame
from turmericreel.state.storage.small_files import (
    decode_header,
    pack_header,
    storage_failed,
)

SEGMENT_SUFFIX = ".log"
SEGMENT_KIND = "segment"
SEGMENT_LIMIT_BYTES = 4 * 1024 * 1024


@dataclass(kw_only=True)
class Segment:
    """One segment file; `first_index` is None while it holds no entry."""

    number: int
    size_bytes: int = 0
    first_index: int | None = None

    @property
    def name(self) -> str:
        """Name of the file."""
        return f"{self.number:012d}{SEGMENT_SUFFIX}"


class SegmentedLog:
    """The log's entries after the compacted prefix.

    Parameters
    ----------
    disk : Disk
    limit_bytes : int
        Size from which a new segment is started.
    """

    def __init__(self, *, disk: Disk, limit_bytes: int = SEGMENT_LIMIT_BYTES):
        self.disk = disk
        self.limit_bytes = limit_bytes
        self.segments: list[Segment] = []
        self.first_number = 1
        self.is_torn = False
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(list[Entry])

    def recover(self, snapshot: SnapshotMeta) -> list[Entry]:
        """Return all intact entries, and truncate a torn tail.

        Raises
        ------
        FailureError
            With `StorageFailed` when anything but the tail is damaged.
        """
        self.segments = []
        names = [n for n in self.disk.names() if n.endswith(SEGMENT_SUFFIX)]
        entries: list[Entry] = []
        for position, name in enumerate(names):
            is_last = position == len(names) - 1
            self._recover_segment(name, entries, is_last=is_last)
        if self._is_superseded(entries, snapshot):
            self.discard()
            return []
        if entries and entries[0].index > snapshot.index + 1:
            raise self._storage_failed(
                "log", f"entries before {entries[0].index} are missing"
            )
        if self.segments:
            # The content read may be only in the file system's cache, not yet durable.
            self.disk.sync(self.segments[-1].name)
            self.disk.sync_folder()
        return entries

    def append(self, entries: list[Entry]) -> None:
        """Durably append entries as one frame."""
        if not self.segments or self.segments[-1].size_bytes >= self.limit_bytes:
            self._begin_segment()
        segment = self.segments[-1]
        if self.is_torn:
            # A full disk took a part of a frame.
            self.disk.truncate(segment.name, segment.size_bytes)
        frame = pack_frame(self.encoder.encode(entries))
        self.is_torn = True
        self.disk.append(segment.name, frame)
        self.disk.sync(segment.name)
        self.is_torn = False
        segment.size_bytes += len(frame)
        if segment.first_index is None:
            segment.first_index = entries[0].index

    def compact(self, index: int) -> None:
        """Remove the oldest segments whose entries after `index` were all replaced.

        Segments without entries after `index` are removed, too; the last is kept.
        """
        removed = False
        while len(self.segments) > 1:
            next_first_index = self.segments[1].first_index
            if next_first_index is None or next_first_index > index + 1:
                break
            self.disk.remove(self.segments[0].name)
            del self.segments[0]
            removed = True
        if removed:
            self.disk.sync_folder()

    def discard(self) -> None:
        """Remove all entries, as a snapshot replaces them."""
        # The numbers go on, also if a full disk interrupts this.
        self.first_number = self._next_number()
        while self.segments:
            self.disk.remove(self.segments[0].name)
            del self.segments[0]
        self.disk.sync_folder()
        self.is_torn = False
        self._begin_segment()

    @property
    def size_bytes(self) -> int:
        """Total size of all segments."""
        return sum(segment.size_bytes for segment in self.segments)

    def _next_number(self) -> int:
        return self.segments[-1].number + 1 if self.segments else self.first_number

    def _begin_segment(self) -> None:
        segment = Segment(number=self._next_number())
        if segment.name in self.disk.names():
            # Created before, when the disk became full.
            self.disk.remove(segment.name)
        header = pack_header(SEGMENT_KIND, number=segment.number)
        self.disk.append(segment.name, header)
        self.disk.sync(segment.name)
        self.disk.sync_folder()
        segment.size_bytes = len(header)
        self.segments.append(segment)

    def _recover_segment(
        self, name: str, entries: list[Entry], *, is_last: bool
    ) -> None:
        data = self.disk.read(name)
        header = read_frame(data, 0)
        if header.state is FrameState.TORN and is_last:
            # A crash interrupted the creation of the segment; it has no entries yet.
            self.disk.remove(name)
            self.disk.sync_folder()
            return
        if header.state is not FrameState.WHOLE:
            raise self._storage_failed(name, "corrupt header")
        file_header = decode_header(header.payload, kind=SEGMENT_KIND, path=name)
        if self.segments and file_header.number != self._next_number():
            raise self._storage_failed(
                name, f"segment {self._next_number()} is missing"
            )
        segment = Segment(number=file_header.number, size_bytes=header.end)
        if segment.name != name:
            raise self._storage_failed(
                name,
                f"file name does not match its segment number {file_header.number}",
            )
        self.segments.append(segment)
        self._read_frames(segment, data, entries, is_last=is_last)

    def _read_frames(
        self, segment: Segment, data: bytes, entries: list[Entry], *, is_last: bool
    ) -> None:
        while segment.size_bytes < len(data):
            frame = read_frame(data, segment.size_bytes)
            if frame.state is FrameState.TORN and is_last:
                self.disk.truncate(segment.name, segment.size_bytes)
                self.disk.sync(segment.name)
                return
            if frame.state is not FrameState.WHOLE:
                detail = f"corrupt frame at {segment.size_bytes}"
                raise self._storage_failed(segment.name, detail)
            segment.size_bytes = frame.end
            for entry in self.decoder.decode(frame.payload):
                self._replay(segment, entry, entries)

    def _replay(self, segment: Segment, entry: Entry, entries: list[Entry]) -> None:
        if segment.first_index is None:
            segment.first_index = entry.index
        if entries:
            n_kept = max(0, entry.index - entries[0].index)
            if n_kept > len(entries):
                raise self._storage_failed(
                    segment.name, f"gap before entry {entry.index}"
                )
            del entries[n_kept:]
        entries.append(entry)

    def _is_superseded(self, entries: list[Entry], snapshot: SnapshotMeta) -> bool:
        if not entries or snapshot.index == 0:
            return False
        if entries[-1].index < snapshot.index:
            return True
        position = snapshot.index - entries[0].index
        return position >= 0 and entries[position].term != snapshot.term

    def _storage_failed(self, name: str, detail: str):
        return storage_failed(f"{self.disk.path}/{name}", detail)
