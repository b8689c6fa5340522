"""Remembers which prompt parts servers recently answered without ending.

Intended workload: prompts that share most of their parts.  When a server ends, all
requests that it runs lose their connections, and most of their parts are innocent.  A
part that ends servers is never answered, so a recent answer clears a part.
"""

from collections.abc import Iterable

from turmericreel.model.ids import ContentDigest

# A new version of a server may end under a part that the former one answered.
SOUND_RETENTION_S = 30.0
MAX_PARTS = 4_096


class SoundParts:
    """Parts that were answered recently.

    Attributes
    ----------
    deadlines : dict of ContentDigest to float
        Until when each part counts as sound, in seconds on the monotonic clock; the
        earliest first.
    """

    def __init__(self):
        self.deadlines: dict[ContentDigest, float] = {}

    def record_answer(self, parts: Iterable[ContentDigest], *, now: float) -> None:
        """Record that a request with these parts was answered."""
        for part in parts:
            self.deadlines.pop(part, None)
            self.deadlines[part] = now + SOUND_RETENTION_S
        while len(self.deadlines) > MAX_PARTS:
            del self.deadlines[next(iter(self.deadlines))]

    def is_sound(self, part: ContentDigest, *, now: float) -> bool:
        """Return whether a part was answered recently."""
        return now < self.deadlines.get(part, 0.0)
