"""Compresses the entries of large messages between the members of a group.

A configuration of many routes is several hundred kilobytes of repetitive text, which
the leader sends to every other member.  A member says in its answers that it unpacks
such messages, because members of an earlier build do not.
"""

import zlib

import msgspec

from turmericreel.state.storage.entries import Entry

# Smaller messages are not worth the processor time.
PACK_FROM_BYTES = 2_048
COMPRESSION_LEVEL = 1
DECODER = msgspec.msgpack.Decoder(list[Entry])


class EntryPacker:
    """Compresses entries, and keeps the last result for the other members.

    Attributes
    ----------
    packed_entries : list of Entry
        Entries of the last result.
    packed : bytes
    """

    def __init__(self):
        self.packed_entries: list[Entry] = []
        self.packed = b""

    def pack(self, entries: list[Entry]) -> bytes:
        """Return the compressed entries; empty if they are too small for it."""
        if sum(len(entry.data) for entry in entries) < PACK_FROM_BYTES:
            return b""
        if entries != self.packed_entries:
            encoded = msgspec.msgpack.encode(entries)
            self.packed = zlib.compress(encoded, COMPRESSION_LEVEL)
            self.packed_entries = entries
        return self.packed


def unpack_entries(packed: bytes) -> list[Entry]:
    """Return the entries that `EntryPacker.pack` compressed."""
    return DECODER.decode(zlib.decompress(packed)) if packed else []
