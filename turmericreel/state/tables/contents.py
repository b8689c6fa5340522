"""Request contents that are running, that crashed servers, or are in quarantine.

Some requests crash every backend server that runs them, and callers retry them.  Each
copy of a content must be admitted here before it is dispatched.  Until a content is
proven harmless, its crashes and its copies in flight together never exceed
`MAX_CRASHES`, so it can crash no more servers than that, however many copies arrive
at the same time.  A content that was running when a server crashed is a suspect: its
copies run one at a time, and no two suspects run on the same server, so that the next
crash can be attributed to one content.  Requests unlike each other may crash servers by
a part of their prompts, which is quarantined as well.
"""

from collections.abc import Callable
from typing import Any

import msgspec

from turmericreel.model.ids import (
    BackendServerId,
    ContentDigest,
    Incarnation,
    VersionId,
)
from turmericreel.model.server_crash import ServerProcess
from turmericreel.state.commands.base import Done
from turmericreel.state.commands.contents import (
    AdmitContent,
    ContentAdmitted,
    ContentEnd,
    ContentQuarantined,
    ContentWaits,
    EndContent,
    RefuteCrash,
)
from turmericreel.state.commands.union import Command, LogRecord, Result
from turmericreel.state.tables.part_quarantine import PartQuarantine, PartRecords
from turmericreel.state.tables.table import Table

MAX_CRASHES = 2
MIN_PROOFS_AFTER_CRASH = 3
PROOF_RETENTION_MS = 60_000
QUARANTINE_MS = 600_000
MAX_QUARANTINE_MS = 86_400_000
MAX_ENDED_COPIES = 64
MAX_CRASHED_PROCESSES = 8
MAX_EXPIRED_PER_COMMAND = 4
PROMPT_PARTS = "prompt_parts"


class Copy(msgspec.Struct, frozen=True, kw_only=True):
    """A copy of a content in flight."""

    version: VersionId
    server: BackendServerId
    incarnation: Incarnation
    deadline_ms: int
    parts: tuple[ContentDigest, ...] = ()

    @property
    def process(self) -> str:
        """Identifier of the server process; each process crashes only once."""
        return _process_name(self.server, self.incarnation)


class Content(msgspec.Struct, kw_only=True):
    """Crash history and running copies of one content.

    Attributes
    ----------
    n_crashes : int
        Crashes currently counted against the content.
    n_proofs : int
        Complete runs since the last crash.
    crashed : list of str
        Newest server processes that crashed while running the content.
    counted : list of str
        Those of them that no complete run has cleared since.
    proven : set of VersionId
        Versions on which the content ran to completion.
    ended : list of str
        Newest copies that ended, so that a resent command changes nothing.
    quarantined_until_ms, expires_ms : int
        Wall-clock times in milliseconds.
    """

    expires_ms: int
    n_crashes: int = 0
    n_proofs: int = 0
    n_quarantines: int = 0
    quarantined_until_ms: int = 0
    proven: set[VersionId] = set()
    copies: dict[str, Copy] = {}
    ended: list[str] = []
    crashed: list[str] = []
    counted: list[str] = []

    def can_admit(self, version: VersionId) -> bool:
        """Return whether one more copy keeps the limit on crashes."""
        if self.n_crashes > 0:
            return not self.copies
        unproven = [c for c in self.copies.values() if c.version not in self.proven]
        return version in self.proven or len(unproven) < MAX_CRASHES

    def last_deadline_ms(self) -> int:
        """Return the latest deadline of the copies in milliseconds; 0 if none."""
        return max((c.deadline_ms for c in self.copies.values()), default=0)


class ContentRecords(msgspec.Struct, frozen=True, kw_only=True):
    """Snapshot of a `ContentTable`."""

    contents: dict[ContentDigest, Content]
    prompt_parts: PartRecords


class ContentTable(Table):
    """Limits how many servers one content can crash.

    Parameters
    ----------
    is_registered : callable
        Returns whether a server process is registered.  It must depend on the
        replicated state only.

    Attributes
    ----------
    contents : dict of ContentDigest to Content
        Least recently used first.
    suspects : dict of BackendServerId to set of str
        Copies of suspects that run on each server.
    """

    commands = (AdmitContent, EndContent, RefuteCrash)

    def __init__(
        self,
        *,
        is_registered: Callable[[BackendServerId, Incarnation], bool] = (
            lambda server, incarnation: False
        ),
    ):
        self.is_registered = is_registered
        self.contents: dict[ContentDigest, Content] = {}
        self.suspects: dict[BackendServerId, set[str]] = {}
        self.parts = PartQuarantine()

    def apply(self, command: Command, record: LogRecord) -> Result:
        """Admit a copy, record its end, or take a crash back."""
        self._remove_expired(record.time_ms)
        match command:
            case AdmitContent():
                return self._admit(command, record.time_ms)
            case RefuteCrash():
                return self._refute(command)
        return self._end(command, record.time_ms)

    def _admit(self, command: AdmitContent, now_ms: int) -> Result:
        content = self._get_or_create(command.digest, now_ms)
        if command.copy in content.copies:
            return ContentAdmitted()
        if command.copy in content.ended:
            return ContentWaits(other_server=False)
        self._end_overdue(content, now_ms)
        if content.quarantined_until_ms > now_ms:
            return ContentQuarantined(until_ms=content.quarantined_until_ms)
        until_ms = self.parts.refused_until_ms(command.parts, now_ms=now_ms)
        if until_ms is not None:
            return ContentQuarantined(until_ms=until_ms)
        if not content.can_admit(command.version):
            return ContentWaits(other_server=False)
        if content.n_crashes > 0:
            if command.server in self.suspects:
                return ContentWaits(other_server=True)
            self._mark_suspect(command.server, command.copy)
        content.copies[command.copy] = Copy(
            version=command.version,
            server=command.server,
            incarnation=command.incarnation,
            deadline_ms=command.deadline_ms,
            parts=command.parts,
        )
        self.parts.begin(command.parts)
        self._touch(command.digest, content, now_ms)
        return ContentAdmitted()

    def _end(self, command: EndContent, now_ms: int) -> Result:
        content = self.contents.get(command.digest)
        if content is None or command.copy not in content.copies:
            return Done(changed=False)
        copy = self._drop_copy(content, command.copy)
        match command.end:
            case ContentEnd.CRASHED:
                self._record_crash(content, copy, now_ms)
            case ContentEnd.PROVED:
                self.parts.record_answer(copy.parts, now_ms=now_ms)
                self._record_proof(content, copy)
        self._touch(command.digest, content, now_ms)
        return Done()

    def _refute(self, command: RefuteCrash) -> Result:
        if not self.is_registered(command.server, command.incarnation):
            return Done(changed=False)
        process = ServerProcess(command.server, command.incarnation)
        self.parts.refute(command.parts, process)
        content = self.contents.get(command.digest)
        name = _process_name(command.server, command.incarnation)
        if content is None or name not in content.counted:
            return Done(changed=bool(command.parts))
        # Each crash from the last one that is allowed on starts a quarantine.
        if len(content.counted) >= MAX_CRASHES:
            content.n_quarantines = max(content.n_quarantines - 1, 0)
        content.crashed.remove(name)
        content.counted.remove(name)
        content.n_crashes = min(content.n_crashes, len(content.counted))
        if len(content.counted) < MAX_CRASHES:
            content.quarantined_until_ms = 0
        return Done()

    def _drop_copy(self, content: Content, name: str) -> Copy:
        copy = content.copies.pop(name)
        self.parts.end(copy.parts)
        content.ended.append(name)
        del content.ended[:-MAX_ENDED_COPIES]
        names = self.suspects.get(copy.server, set())
        names.discard(name)
        if not names:
            self.suspects.pop(copy.server, None)
        return copy

    def _mark_suspect(self, server: BackendServerId, name: str) -> None:
        self.suspects.setdefault(server, set()).add(name)

    def _record_crash(self, content: Content, copy: Copy, now_ms: int) -> None:
        process = ServerProcess(copy.server, copy.incarnation)
        self.parts.record_crash(copy.parts, process, now_ms=now_ms)
        if copy.process in content.crashed:
            return
        content.crashed.append(copy.process)
        del content.crashed[:-MAX_CRASHED_PROCESSES]
        for name, other in content.copies.items():
            self._mark_suspect(other.server, name)
        content.counted.append(copy.process)
        del content.counted[:-MAX_CRASHED_PROCESSES]
        content.n_crashes += 1
        content.n_proofs = 0
        content.proven = set()
        if content.n_crashes < MAX_CRASHES:
            return
        length_ms = QUARANTINE_MS * 2**content.n_quarantines
        content.n_quarantines += 1
        content.quarantined_until_ms = now_ms + min(length_ms, MAX_QUARANTINE_MS)
        # One more crash after the quarantine starts the next, longer quarantine.
        content.n_crashes = MAX_CRASHES - 1

    def _record_proof(self, content: Content, copy: Copy) -> None:
        content.n_proofs += 1
        if content.n_crashes > 0 and content.n_proofs < MIN_PROOFS_AFTER_CRASH:
            return
        content.n_crashes = 0
        content.counted = []
        content.proven.add(copy.version)

    def _end_overdue(self, content: Content, now_ms: int) -> None:
        # The instance that dispatched the copy is lost.  A server that ended under it
        # has expired or registered again as another process by now.
        overdue = [n for n, c in content.copies.items() if c.deadline_ms <= now_ms]
        for name in overdue:
            copy = self._drop_copy(content, name)
            if not self.is_registered(copy.server, copy.incarnation):
                self._record_crash(content, copy, now_ms)
        if overdue:
            content.expires_ms = max(content.expires_ms, now_ms + MAX_QUARANTINE_MS)

    def _get_or_create(self, digest: ContentDigest, now_ms: int) -> Content:
        content = self.contents.get(digest)
        if content is None:
            content = Content(expires_ms=now_ms + PROOF_RETENTION_MS)
            self.contents[digest] = content
        return content

    def _touch(self, digest: ContentDigest, content: Content, now_ms: int) -> None:
        retention_ms = PROOF_RETENTION_MS
        if content.n_crashes > 0 or content.n_quarantines > 0:
            retention_ms = MAX_QUARANTINE_MS
        content.expires_ms = max(
            now_ms + retention_ms,
            content.last_deadline_ms() + PROOF_RETENTION_MS,
            content.quarantined_until_ms + QUARANTINE_MS,
        )
        # Move the content to the end: the least recently used ones come first.
        self.contents[digest] = self.contents.pop(digest)

    def _remove_expired(self, now_ms: int) -> None:
        for _ in range(min(MAX_EXPIRED_PER_COMMAND, len(self.contents))):
            digest, content = next(iter(self.contents.items()))
            self._end_overdue(content, now_ms)
            if content.copies or content.n_crashes or content.n_quarantines:
                # Stored much longer than others, so it must not block their removal.
                self.contents[digest] = self.contents.pop(digest)
            if content.copies:
                continue
            if content.expires_ms > now_ms:
                return
            del self.contents[digest]

    def dump(self) -> Any:
        """Return all contents, least recently used first, and the prompt parts."""
        return ContentRecords(contents=self.contents, prompt_parts=self.parts.dump())

    def load(self, dumped: Any) -> None:
        """Replace the table by a decoded dump."""
        if PROMPT_PARTS not in dumped:
            # Dumps of earlier versions are the contents alone.
            dumped = {"contents": dumped, PROMPT_PARTS: {}}
        records = msgspec.convert(dumped, type=ContentRecords)
        self.contents = records.contents
        self.parts.load(records.prompt_parts)
        for content in self.contents.values():
            for copy in content.copies.values():
                self.parts.begin(copy.parts)
        self.suspects = {}
        for content in self.contents.values():
            if content.n_crashes > 0:
                for name, copy in content.copies.items():
                    self._mark_suspect(copy.server, name)


def _process_name(server: BackendServerId, incarnation: Incarnation) -> str:
    return f"{server}#{incarnation}"
