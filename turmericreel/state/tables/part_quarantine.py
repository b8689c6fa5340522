"""Prompt parts under which servers ended, among the requests of all instances."""

from collections import Counter
from collections.abc import Sequence

import msgspec

from turmericreel.decisions.content_quarantine import MAX_CRASHES, ContentQuarantine
from turmericreel.decisions.sound_parts import SoundParts
from turmericreel.model.ids import ContentDigest
from turmericreel.model.server_crash import ServerCrash, ServerProcess


class PartRecords(msgspec.Struct, frozen=True, kw_only=True):
    """Snapshot of a `PartQuarantine`."""

    crashes: list[ServerCrash] = []
    answered: dict[ContentDigest, float] = {}


class PartQuarantine:
    """Refuses prompt parts that end the servers that answer them.

    It is part of the replicated state: times are those of the log's records.

    Attributes
    ----------
    n_running : Counter of ContentDigest
        Copies in flight by part.
    """

    def __init__(self):
        self.quarantine = ContentQuarantine()
        self.sound_parts = SoundParts()
        self.n_running: Counter[ContentDigest] = Counter()

    def refused_until_ms(
        self, parts: Sequence[ContentDigest], *, now_ms: int
    ) -> int | None:
        """Return until when requests with these parts are refused; None if admitted.

        A refused part that shares all its crashes with parts that the request does not
        have, or had its last crash long ago, is tried, one request at a time.
        """
        refused = [p for p in parts if self._is_refused(p, now_ms)]
        if all(self._may_try(part, parts, now_ms) for part in refused):
            return None
        retry_after_ms = self.quarantine.retry_after_ms(refused[0], now_ms=now_ms)
        return now_ms + retry_after_ms

    def begin(self, parts: Sequence[ContentDigest]) -> None:
        """Count a copy that was admitted."""
        self.n_running.update(parts)

    def end(self, parts: Sequence[ContentDigest]) -> None:
        """Count the end of a copy."""
        self.n_running -= Counter(parts)

    def record_answer(self, parts: Sequence[ContentDigest], *, now_ms: int) -> None:
        """Record that a request with these parts was answered."""
        self.sound_parts.record_answer(parts, now=now_ms / 1_000)
        for part in parts:
            self.quarantine.record_completion(part)

    def record_crash(
        self, parts: Sequence[ContentDigest], process: ServerProcess, *, now_ms: int
    ) -> None:
        """Record that a server process ended while it ran these parts."""
        now = now_ms / 1_000
        self.quarantine.drop_expired(now_ms=now_ms)
        for part in parts:
            if not self.sound_parts.is_sound(part, now=now):
                self.quarantine.record_crash(part, process, now=now, now_ms=now_ms)

    def refute(self, parts: Sequence[ContentDigest], process: ServerProcess) -> None:
        """Take back the crash of a server process under these parts."""
        for part in parts:
            self.quarantine.refute(part, process)

    def dump(self) -> PartRecords:
        """Return a snapshot without the copies in flight."""
        return PartRecords(
            crashes=list(self.quarantine.records()),
            answered=self.sound_parts.deadlines,
        )

    def load(self, records: PartRecords, *, now_ms: int = 0) -> None:
        """Replace the state by a snapshot; copies in flight are counted again."""
        self.__init__()
        self.quarantine.merge(records.crashes, now=0.0, now_ms=now_ms)
        self.sound_parts.deadlines = dict(records.answered)

    def _is_refused(self, part: ContentDigest, now_ms: int) -> bool:
        n_crashes = self.quarantine.n_unexplained(part, now_ms=now_ms)
        return bool(n_crashes) and n_crashes + self.n_running[part] >= MAX_CRASHES

    def _may_try(
        self, part: ContentDigest, parts: Sequence[ContentDigest], now_ms: int
    ) -> bool:
        if self.n_running[part]:
            return False
        is_due = self.quarantine.is_trial_due(part, now_ms=now_ms)
        return is_due or self.quarantine.shares_all_crashes(part, parts, now_ms=now_ms)
