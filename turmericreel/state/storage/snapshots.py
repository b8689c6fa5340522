"""Snapshots on disk, written in chunks.

A snapshot is written to a temporary file and synced; then the file is renamed and the
folder is synced.  All chunks but the last have the same size, so that the offset of a
chunk in the file is computed without reading the others.
"""

from collections.abc import Iterator

import msgspec

from turmericreel.state.storage.disk import Disk
from turmericreel.state.storage.entries import SnapshotMeta
from turmericreel.state.storage.framing import (
    OVERHEAD_BYTES,
    FrameState,
    pack_frame,
    read_frame,
)
from turmericreel.state.storage.small_files import (
    PART_SUFFIX,
    decode_header,
    pack_header,
    storage_failed,
)

SNAPSHOT_SUFFIX = ".snapshot"
SNAPSHOT_KIND = "snapshot"
CHUNK_BYTES = 256 * 1024
MAX_HEAD_BYTES = 64 * 1024


def snapshot_name(index: int) -> str:
    """Return the file name of a snapshot."""
    return f"{index:020d}{SNAPSHOT_SUFFIX}"


class SnapshotStore:
    """Writes and reads snapshots, and keeps the newest one.

    Parameters
    ----------
    disk : Disk
    """

    def __init__(self, *, disk: Disk):
        self.disk = disk
        self.meta = SnapshotMeta()
        self.data_offset = 0

    def recover(self) -> bytes | None:
        """Return the newest snapshot's data, or None; remove older and partial ones."""
        names = self.disk.names()
        for name in names:
            if name.endswith(PART_SUFFIX):
                self.disk.remove(name)
        snapshot_names = [n for n in names if n.endswith(SNAPSHOT_SUFFIX)]
        if not snapshot_names:
            return None
        self.meta, data = self.read(snapshot_names[-1])
        for name in snapshot_names[:-1]:
            self.disk.remove(name)
        self.disk.sync_folder()
        return data

    def read(self, name: str) -> tuple[SnapshotMeta, bytes]:
        """Return the metadata and the verified data of a snapshot."""
        meta, self.data_offset = self._read_head(name)
        data = b"".join(self.chunks(name))
        if len(data) != meta.size_bytes:
            raise self._storage_failed(name, "snapshot data is incomplete")
        return meta, data

    def write(self, meta: SnapshotMeta, data: bytes) -> SnapshotMeta:
        """Durably write a snapshot and remove the previous one."""
        name = snapshot_name(meta.index)
        part_name = name + PART_SUFFIX
        if part_name in self.disk.names():
            self.disk.remove(part_name)
        meta = msgspec.structs.replace(meta, size_bytes=len(data))
        head = pack_header(SNAPSHOT_KIND) + pack_frame(msgspec.msgpack.encode(meta))
        self.disk.append(part_name, head)
        for offset in range(0, len(data), CHUNK_BYTES):
            chunk = data[offset : offset + CHUNK_BYTES]
            self.disk.append(part_name, pack_frame(chunk))
        self.disk.sync(part_name)
        self.disk.rename(part_name, name)
        self.disk.sync_folder()
        previous, self.meta, self.data_offset = self.meta, meta, len(head)
        if previous.index and previous.index != meta.index:
            self.disk.remove(snapshot_name(previous.index))
        return meta

    def chunk(self, offset: int) -> bytes:
        """Return the chunk of the newest snapshot's data that begins at `offset`."""
        name = snapshot_name(self.meta.index)
        n_before = offset // CHUNK_BYTES
        start = self.data_offset + n_before * (CHUNK_BYTES + OVERHEAD_BYTES)
        data = self.disk.read(name, offset=start, size=CHUNK_BYTES + OVERHEAD_BYTES)
        frame = read_frame(data, 0)
        if frame.state is not FrameState.WHOLE:
            raise self._storage_failed(name, f"corrupt chunk at {offset}")
        return frame.payload

    def chunks(self, name: str) -> Iterator[bytes]:
        """Yield all chunks of a snapshot's data, verified."""
        data = self.disk.read(name, offset=self.data_offset)
        offset = 0
        while offset < len(data):
            frame = read_frame(data, offset)
            if frame.state is not FrameState.WHOLE:
                raise self._storage_failed(name, f"corrupt chunk at {offset}")
            offset = frame.end
            yield frame.payload

    def _read_head(self, name: str) -> tuple[SnapshotMeta, int]:
        data = self.disk.read(name, size=MAX_HEAD_BYTES)
        header = read_frame(data, 0)
        if header.state is not FrameState.WHOLE:
            raise self._storage_failed(name, "corrupt header")
        decode_header(header.payload, kind=SNAPSHOT_KIND, path=name)
        body = read_frame(data, header.end)
        if body.state is not FrameState.WHOLE:
            raise self._storage_failed(name, "corrupt metadata")
        meta = msgspec.msgpack.decode(body.payload, type=SnapshotMeta)
        return meta, body.end

    def _storage_failed(self, name: str, detail: str):
        return storage_failed(f"{self.disk.path}/{name}", detail)
