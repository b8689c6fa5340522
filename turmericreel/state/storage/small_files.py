"""Small files that are replaced as a whole.

The new content is written to a temporary file and synced; then the file is renamed and
the folder is synced.
"""

from typing import Any

import msgspec

from turmericreel.model.failures import FailureError, StorageFailed
from turmericreel.state.storage.disk import Disk
from turmericreel.state.storage.framing import FrameState, pack_frame, read_frame

FORMAT_VERSION = 1
PART_SUFFIX = ".part"


class FileHeader(msgspec.Struct, frozen=True, kw_only=True):
    """First frame of every file, with the kind of the file and its format version.

    Parameters
    ----------
    number : int
        Sequence number of a segment; 0 in other files.
    """

    kind: str
    version: int = FORMAT_VERSION
    number: int = 0


def pack_header(kind: str, *, number: int = 0) -> bytes:
    """Return the header frame, which is the first frame of a file."""
    header = FileHeader(kind=kind, number=number)
    return pack_frame(msgspec.msgpack.encode(header))


def decode_header(payload: bytes, *, kind: str, path: str) -> FileHeader:
    """Decode and check the payload of a header frame.

    Raises
    ------
    FailureError
        With `StorageFailed` when the file is of another kind or of a newer format.
    """
    try:
        header = msgspec.msgpack.decode(payload, type=FileHeader)
    except msgspec.MsgspecError as error:
        raise storage_failed(path, str(error)) from error
    if header.kind != kind:
        raise storage_failed(path, f"file of kind {header.kind!r}, expected {kind!r}")
    if header.version > FORMAT_VERSION:
        detail = (
            f"format {header.version} is newer than {FORMAT_VERSION}, the newest known"
        )
        raise storage_failed(path, detail)
    return header


def storage_failed(path: str, detail: str) -> FailureError:
    """Return the error for a file or folder that is damaged or can't be used."""
    return FailureError(StorageFailed(path=path, detail=detail))


def replace_file(disk: Disk, name: str, kind: str, value: msgspec.Struct) -> None:
    """Durably and atomically replace a small file."""
    part_name = name + PART_SUFFIX
    if part_name in disk.names():
        disk.remove(part_name)
    payload = pack_frame(msgspec.msgpack.encode(value))
    disk.append(part_name, pack_header(kind) + payload)
    disk.sync(part_name)
    disk.rename(part_name, name)
    disk.sync_folder()


def read_file(disk: Disk, name: str, kind: str, value_type: Any) -> Any:
    """Read a small file and decode its content as `value_type`.

    A file is complete before it is renamed, so any damage is corruption.

    Raises
    ------
    FailureError
        With `StorageFailed` when the file is damaged.
    """
    data = disk.read(name)
    path = f"{disk.path}/{name}"
    header = read_frame(data, 0)
    if header.state is not FrameState.WHOLE:
        raise storage_failed(path, "corrupt header")
    decode_header(header.payload, kind=kind, path=path)
    body = read_frame(data, header.end)
    if body.state is not FrameState.WHOLE or body.end != len(data):
        raise storage_failed(path, "corrupt content")
    return msgspec.msgpack.decode(body.payload, type=value_type)
