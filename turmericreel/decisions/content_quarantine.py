"""Quarantines contents and prompt parts that end the servers that run them.

Intended workload: clients that repeat a request which crashes its servers, or send
requests unlike each other with a prompt part that does, through any gateway.  Each
client attempt is limited by its route, but the attempts together are not, so all
gateways and coordinators keep the crashes of each content and part.  Records merge in
any order, so one surviving process is enough to restore them.

A content that ends servers for one client account may be sound for others.  Only
crashes under several accounts count against it for all of them.

The requests that a server runs when it ends are all suspects.  A crash is explained by
a part under which more processes ended; it does not count against the others then.  A
content explains the crashes of a part if it explains all of them.  A part that nothing
explains or clears is tried again after a time that grows with its crashes.

A broken connection counts as a crash until the server process is seen alive afterwards,
because confirming a crash takes longer than a client needs to send the request again.
"""

from collections import defaultdict
from collections.abc import Iterable, Sequence
from dataclasses import dataclass

import xxhash
from msgspec.structs import replace

from turmericreel.model.ids import ContentDigest, InstanceId, VersionId
from turmericreel.model.server_crash import (
    CRASH_RETENTION_MS,
    ServerCrash,
    ServerProcess,
    is_part,
    shared_content,
)

MAX_CRASHES = 3
# Heartbeats that were sent before the crash may still arrive after it, several together
# when a partition ends.  Only a process that is alive goes on sending them.
HEARTBEAT_DELAY_S = 3.0
MIN_HEARTBEATS = 3
MIN_HEARTBEAT_SPAN_S = 2.0
# Crashes that are older than this were not refuted by any heartbeat.
REFUTATION_DELAY_MS = 6_000
UNCONFIRMED_RETRY_AFTER_MS = 2_000
# Time from the last crash of a part to its next trial; each further one takes longer.
FIRST_TRIAL_DELAY_MS = 5_000
TRIAL_DELAY_FACTOR = 4
ANY_VERSION = VersionId("")
# Bounds the memory, and the message that a gateway gets when it connects.
MAX_CONTENTS = 1_024


@dataclass(kw_only=True)
class LaterHeartbeats:
    """Heartbeats of a process since its crash; `began` in seconds."""

    began: float
    n_received: int = 0


class ContentQuarantine:
    """Crashes of server processes by content.

    Attributes
    ----------
    crashes : dict of ContentDigest to dict of ServerProcess to ServerCrash
        Refuted crashes are kept until they expire, so that older copies of a record
        do not restore them.
    contents : dict of ServerProcess to set of ContentDigest
    variants : dict of ContentDigest to set of ContentDigest
        Contents by what those of several accounts have in common.
    earliest_refutation : dict of ServerProcess to float
        When a heartbeat is first known to be newer than the crash, in seconds on the
        monotonic clock.
    later_heartbeats : dict of ServerProcess to LaterHeartbeats
    """

    def __init__(self):
        self.crashes: dict[ContentDigest, dict[ServerProcess, ServerCrash]] = {}
        self.contents: dict[ServerProcess, set[ContentDigest]] = defaultdict(set)
        self.variants: dict[ContentDigest, set[ContentDigest]] = defaultdict(set)
        self.earliest_refutation: dict[ServerProcess, float] = {}
        self.later_heartbeats: dict[ServerProcess, LaterHeartbeats] = {}

    def merge(
        self, crashes: Iterable[ServerCrash], *, now: float, now_ms: int
    ) -> list[ServerCrash]:
        """Add records of another process; return those that changed anything here.

        Parameters
        ----------
        crashes : iterable of ServerCrash
        now : float
            Seconds on the monotonic clock.
        now_ms : int
            Milliseconds on the clock of the records.
        """
        return [crash for crash in crashes if self._merge_one(crash, now, now_ms)]

    def record_crash(
        self,
        content: ContentDigest,
        process: ServerProcess,
        *,
        now: float,
        now_ms: int,
        version: VersionId = ANY_VERSION,
    ) -> list[ServerCrash]:
        """Record that a process ended while it ran a content; return the new record."""
        known = self.crashes.get(content, {}).get(process)
        revision = 0
        if known is not None:
            # Connections that break together show one end.
            is_same_end = known.age_ms(now_ms=now_ms) < HEARTBEAT_DELAY_S * 1_000
            if is_same_end and not known.refuted:
                return []
            revision = known.revision + 1
        crash = ServerCrash(
            content=content,
            process=process,
            expires_ms=now_ms + CRASH_RETENTION_MS,
            revision=revision,
            version=version,
        )
        return self.merge([crash], now=now, now_ms=now_ms)

    def record_completion(
        self, content: ContentDigest, *, version: VersionId = ANY_VERSION
    ) -> list[ServerCrash]:
        """Refute the crashes of a content that ran to its end; return the changes.

        Those of other versions are kept, as versions may differ in what ends them.
        """
        return self._refute(
            [
                crash
                for crash in self.crashes.get(content, {}).values()
                if ANY_VERSION in (version, crash.version) or crash.version == version
            ]
        )

    def refute(
        self, content: ContentDigest, process: ServerProcess
    ) -> list[ServerCrash]:
        """Refute one crash, and return the change."""
        crash = self.crashes.get(content, {}).get(process)
        return self._refute([crash]) if crash is not None else []

    def record_heartbeat(
        self, process: ServerProcess, *, now: float
    ) -> list[ServerCrash]:
        """Refute the crashes of a process that goes on sending heartbeats.

        Returns the changes.

        Parameters
        ----------
        process : ServerProcess
        now : float
            Seconds on the monotonic clock.
        """
        contents = self.contents.get(process)
        if not contents or now < self.earliest_refutation.get(process, 0.0):
            return []
        later = self.later_heartbeats.setdefault(process, LaterHeartbeats(began=now))
        later.n_received += 1
        lasted = now >= later.began + MIN_HEARTBEAT_SPAN_S
        if not lasted or later.n_received < MIN_HEARTBEATS:
            return []
        return self._refute([self.crashes[c][process] for c in contents])

    def n_crashes(self, content: ContentDigest, *, now_ms: int) -> int:
        """Return the number of crashes that count against a content."""
        return len(self._counted(content, now_ms))

    def n_unexplained(self, content: ContentDigest, *, now_ms: int) -> int:
        """Return the number of crashes that no quarantined part explains."""
        counted = self._counted(content, now_ms)
        if is_part(content) and self._one_content_explains(counted, now_ms):
            return 0
        return sum(
            not any(
                self.n_crashes(part, now_ms=now_ms) > len(counted)
                for part in self._quarantined_parts(crash.process, now_ms)
            )
            for crash in counted
        )

    def n_crashes_of_accounts(self, content: ContentDigest, *, now_ms: int) -> int:
        """Return the number of crashes under a content of any account.

        It is 0 while the crashes under one account explain all others.
        """
        variants = self.variants.get(shared_content(content), ())
        crashed = [
            {crash.process for crash in self._counted(variant, now_ms)}
            for variant in variants
        ]
        processes = set().union(*crashed)
        return 0 if processes in crashed else len(processes)

    def is_trial_due(self, part: ContentDigest, *, now_ms: int) -> bool:
        """Return whether a refused part may be tried, as its last crash is long ago."""
        counted = self._counted(part, now_ms)
        if len(counted) < MAX_CRASHES:
            return False
        newest_ms = max(crash.expires_ms for crash in counted) - CRASH_RETENTION_MS
        n_trials = len(counted) - MAX_CRASHES
        delay_ms = FIRST_TRIAL_DELAY_MS * TRIAL_DELAY_FACTOR**n_trials
        return now_ms >= newest_ms + delay_ms

    def shares_all_crashes(
        self,
        content: ContentDigest,
        others: Iterable[ContentDigest],
        *,
        now_ms: int,
    ) -> bool:
        """Return whether a quarantined part not in `others` may explain each crash."""
        excluded = {content, *others}
        return all(
            self._quarantined_parts(crash.process, now_ms) - excluded
            for crash in self._counted(content, now_ms)
        )

    def retry_after_ms(self, content: ContentDigest, *, now_ms: int) -> int:
        """Return after how many milliseconds a refused content may be sent again."""
        variants = self.variants.get(shared_content(content), ())
        expiries = sorted(
            crash.expires_ms for v in variants for crash in self._counted(v, now_ms)
        )
        newest_ms = expiries[-1] - CRASH_RETENTION_MS
        if now_ms - newest_ms < REFUTATION_DELAY_MS:
            return UNCONFIRMED_RETRY_AFTER_MS
        return expiries[-MAX_CRASHES] - now_ms

    def n_quarantined(self, *, now_ms: int) -> int:
        """Return the number of contents that are refused."""
        return sum(
            self.n_crashes(content, now_ms=now_ms) >= MAX_CRASHES
            for content in self.crashes
        )

    def records(self) -> tuple[ServerCrash, ...]:
        """Return all records, including refuted ones."""
        return tuple(c for known in self.crashes.values() for c in known.values())

    def drop_expired(self, *, now_ms: int) -> list[ContentDigest]:
        """Drop and return the contents of which all records have expired."""
        expired = [
            content
            for content, known in self.crashes.items()
            if all(crash.expires_ms <= now_ms for crash in known.values())
        ]
        for content in expired:
            self._drop(content)
        return expired

    def _merge_one(self, crash: ServerCrash, now: float, now_ms: int) -> bool:
        if crash.expires_ms <= now_ms:
            return False
        known = self.crashes.get(crash.content, {}).get(crash.process)
        if known is not None and _recency(crash) <= _recency(known):
            if _recency(crash) == _recency(known):
                # Copies that other instances passed on expire later than the first.
                expires_ms = min(crash.expires_ms, known.expires_ms)
                self.crashes[crash.content][crash.process] = replace(
                    known, expires_ms=expires_ms
                )
            return False
        if crash.content not in self.crashes:
            self._make_room()
        self.crashes.setdefault(crash.content, {})[crash.process] = crash
        self.contents[crash.process].add(crash.content)
        self.variants[shared_content(crash.content)].add(crash.content)
        if not crash.refuted:
            self.earliest_refutation[crash.process] = now + HEARTBEAT_DELAY_S
            self.later_heartbeats.pop(crash.process, None)
        return True

    def _refute(self, crashes: list[ServerCrash]) -> list[ServerCrash]:
        refuted = [
            replace(crash, refuted=True) for crash in crashes if not crash.refuted
        ]
        for crash in refuted:
            self.crashes[crash.content][crash.process] = crash
        return refuted

    def _counted(self, content: ContentDigest, now_ms: int) -> list[ServerCrash]:
        return [
            crash
            for crash in self.crashes.get(content, {}).values()
            if not crash.refuted and crash.expires_ms > now_ms
        ]

    def _one_content_explains(
        self, crashes: Sequence[ServerCrash], now_ms: int
    ) -> bool:
        """Return whether all these processes ended under one quarantined content.

        Several contents that ended servers are explained by the part they share.  A
        content with more crashes than it takes to refuse it was admitted nevertheless,
        so that it may have run beside anything.
        """
        processes = {crash.process for crash in crashes}
        suspects = self.contents.get(next(iter(processes)), ()) if processes else ()
        return any(
            not is_part(suspect)
            and self.n_crashes(suspect, now_ms=now_ms) == MAX_CRASHES
            and processes <= {c.process for c in self._counted(suspect, now_ms)}
            for suspect in suspects
        )

    def _quarantined_parts(
        self, process: ServerProcess, now_ms: int
    ) -> set[ContentDigest]:
        """Return the parts that may have ended a process, and enough others."""
        return {
            content
            for content in self.contents.get(process, ())
            if is_part(content)
            and not self.crashes[content][process].refuted
            and len(counted := self._counted(content, now_ms)) >= MAX_CRASHES
            and not self._one_content_explains(counted, now_ms)
        }

    def _make_room(self) -> None:
        """Drop the content with the fewest crashes, and of these the oldest."""
        if len(self.crashes) >= MAX_CONTENTS:
            self._drop(min(self.crashes, key=self._n_unrefuted))

    def _n_unrefuted(self, content: ContentDigest) -> int:
        return sum(not crash.refuted for crash in self.crashes[content].values())

    def _drop(self, content: ContentDigest) -> None:
        variants = self.variants[shared_content(content)]
        variants.discard(content)
        if not variants:
            del self.variants[shared_content(content)]
        for process in self.crashes.pop(content):
            self.contents[process].discard(content)
            if not self.contents[process]:
                del self.contents[process]
                self.earliest_refutation.pop(process, None)
                self.later_heartbeats.pop(process, None)


def choose_trying_instance(
    part: ContentDigest, instances: Iterable[InstanceId]
) -> InstanceId | None:
    """Return the one gateway that may try a quarantined part; None without any."""
    return max(
        instances,
        key=lambda instance: xxhash.xxh3_64_intdigest(f"{part}/{instance}".encode()),
        default=None,
    )


def _recency(crash: ServerCrash) -> tuple[int, bool]:
    # The same process may lose its connection again after an earlier crash of it was
    # refuted; then the newer record counts.
    return (crash.revision, crash.refuted)
