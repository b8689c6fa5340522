"""Builds pushes of the operators' text: as edits if they are smaller, else whole."""

import msgspec

from turmericreel.control.sources import StateSource
from turmericreel.model.ids import Revision
from turmericreel.protocols.control_messages import (
    ConfigurationDelta,
    ConfigurationPush,
)
from turmericreel.util.text_edits import make_edits, text_checksum

MAX_CACHED_DELTAS = 32

TextMessage = ConfigurationDelta | ConfigurationPush


class TextPushes:
    """Builds text pushes, and caches the edits between two revisions."""

    def __init__(self):
        self.edits: dict[tuple[Revision, Revision], tuple | None] = {}

    def push(self, source: StateSource, base: Revision) -> TextMessage | None:
        """Return the message that brings a subscriber from `base` to the current text.

        Returns None if no revision is newer than `base`.
        """
        revision = source.revision()
        if base >= revision:
            return None
        edits = self._edits(source, base, revision)
        text = source.text_of(revision) or ""
        if edits is None:
            return ConfigurationPush(
                revision=revision, text=text, fencing_token=source.fencing_token()
            )
        return ConfigurationDelta(
            revision=revision,
            base_revision=base,
            edits=edits,
            checksum=text_checksum(text),
            fencing_token=source.fencing_token(),
        )

    def _edits(
        self, source: StateSource, base: Revision, revision: Revision
    ) -> tuple | None:
        key = (base, revision)
        if key not in self.edits:
            self.edits[key] = _edits_if_smaller(source, base, revision)
            if len(self.edits) > MAX_CACHED_DELTAS:
                del self.edits[next(iter(self.edits))]
        return self.edits[key]


def _edits_if_smaller(
    source: StateSource, base: Revision, revision: Revision
) -> tuple | None:
    old = source.text_of(base)
    new = source.text_of(revision)
    if old is None or new is None:
        return None
    edits = make_edits(old, new)
    if len(msgspec.msgpack.encode(edits)) >= len(new.encode()):
        return None
    return edits
