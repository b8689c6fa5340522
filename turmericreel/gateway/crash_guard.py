"""Refuses requests that end servers, and reports servers that end under requests.

Every attempt at a server, whether first, retried or resumed, is admitted here.  A
quarantined part that shares all its crashes with other parts, or had its last crash
long ago, may be innocent: one gateway then admits one request at a time that has it
without the others.
"""

from collections import Counter
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass

from eliot import log_message

from turmericreel.decisions.content_quarantine import MAX_CRASHES, ContentQuarantine
from turmericreel.decisions.server_paths import LOST_PATH_S
from turmericreel.decisions.sound_parts import SoundParts
from turmericreel.model.failures import (
    Failure,
    FailureError,
    NotRun,
    NotRunReason,
    ProofKind,
)
from turmericreel.model.ids import ContentDigest
from turmericreel.model.registered_server import RegisteredServer
from turmericreel.model.server_crash import (
    CrashRefutation,
    CrashReport,
    ServerCrash,
    ServerProcess,
    is_part,
    process_of,
    shared_content,
)
from turmericreel.util.clock import Clock

# A silent server expires, or registers again, within this time after it ended.
UNRESOLVED_RETENTION_S = 10.0
# Answers that a server sent before it ended may be read after its connections closed.
ANSWER_DELAY_S = 0.5
# Bounds the memory while many attempts at one server time out.
MAX_UNRESOLVED_PER_SERVER = 256
# A copy that is running may prove the content sound soon.
BUSY_RETRY_AFTER_MS = 250
OK_STATUS = 200


@dataclass(frozen=True, kw_only=True)
class UnresolvedAttempt:
    """An attempt after which the server process may have ended.

    Attributes
    ----------
    ended_at, deadline : float
        When the attempt ended, and until when it counts against its content if the
        process ends; in seconds on the monotonic clock.
    is_answered : bool
        Whether it clears its content if the process went on.
    """

    ended_at: float
    deadline: float
    is_answered: bool


class CrashGuard:
    """Admits attempts by the crashes of their contents.

    Parameters
    ----------
    report : callable
        Called with new and changed records, to be sent to the coordinators.
    tries_part : callable
        Returns whether this gateway is the one that tries a part.
    clock : Clock

    Attributes
    ----------
    sound_parts : SoundParts
        Parts that were answered through this gateway.
    sound_contents : SoundParts
        Contents that were answered here for any account.
    n_running : Counter of ContentDigest
        Attempts in progress at this gateway, by content and by part.
    trials : set of ContentDigest
        Quarantined parts of the attempts that try them now.
    failed_trials : set of ContentDigest
        Parts under which a server ended again when they were tried.
    lost : dict of ServerProcess to dict of ContentDigest to float
        Contents whose direct connections were lost lately, and when, in seconds on the
        monotonic clock.
    unresolved : dict of ServerProcess to dict of ContentDigest to UnresolvedAttempt
        Contents whose last attempts count as crashes if the process ends in time.
    """

    def __init__(
        self,
        *,
        report: Callable[[list[CrashReport]], None],
        clock: Clock,
        tries_part: Callable[[ContentDigest], bool] = lambda part: True,
    ):
        self.report = report
        self.tries_part = tries_part
        self.clock = clock
        self.quarantine = ContentQuarantine()
        self.sound_parts = SoundParts()
        self.sound_contents = SoundParts()
        self.n_running: Counter[ContentDigest] = Counter()
        self.trials: set[ContentDigest] = set()
        self.failed_trials: set[ContentDigest] = set()
        self.lost: dict[ServerProcess, dict[ContentDigest, float]] = {}
        self.unresolved: dict[
            ServerProcess, dict[ContentDigest, UnresolvedAttempt]
        ] = {}

    def begin_attempt(
        self, content: ContentDigest, parts: Sequence[ContentDigest] = ()
    ) -> None:
        """Admit an attempt, which `end_attempt` must end.

        The crashes and the running attempts of a content or part that ended a server
        never exceed `MAX_CRASHES` together.

        Parameters
        ----------
        content : ContentDigest
        parts : sequence of ContentDigest
            Digests of the prompt parts that other requests may share.

        Raises
        ------
        FailureError
            With `NotRun` if the content or a part is refused.
        """
        now_ms = self._now_ms()
        refused = [key for key in (content, *parts) if self._is_refused(key, now_ms)]
        if refused and not self._is_trial(refused, parts, now_ms):
            raise self._refusal(refused[0], now_ms)
        self.trials.update(refused)
        self.n_running.update({content, *parts})

    def end_attempt(
        self, content: ContentDigest, parts: Sequence[ContentDigest] = ()
    ) -> None:
        """Count the end of an attempt."""
        self.trials.difference_update(parts)
        for key in {content, *parts}:
            self.n_running[key] -= 1
            if self.n_running[key] <= 0:
                del self.n_running[key]

    def is_quarantined(
        self, content: ContentDigest, parts: Sequence[ContentDigest] = ()
    ) -> bool:
        """Return whether no more copies of a content may be sent."""
        now_ms = self._now_ms()
        return any(
            self._n_crashes(key, now_ms) >= MAX_CRASHES for key in (content, *parts)
        )

    def n_quarantined(self) -> int:
        """Return the number of contents that are refused."""
        return self.quarantine.n_quarantined(now_ms=self._now_ms())

    def record_completion(
        self, content: ContentDigest, server: RegisteredServer, *, status: int
    ) -> None:
        """Record that an attempt got a complete answer with this status."""
        now = self.clock.monotonic()
        self.sound_contents.record_answer([shared_content(content)], now=now)
        refuted = self.quarantine.record_completion(content, version=server.version)
        self._log_refuted(refuted, CrashRefutation.ANSWER, status=status)
        self._report(refuted)

    def record_answered_parts(self, parts: Sequence[ContentDigest]) -> None:
        """Record that a server went on after it began to answer these parts."""
        self.sound_parts.record_answer(parts, now=self.clock.monotonic())
        self.failed_trials.difference_update(parts)
        refuted = [c for p in parts for c in self.quarantine.record_completion(p)]
        self._log_refuted(refuted, CrashRefutation.ANSWER, status=OK_STATUS)
        self._report(refuted)

    def record_lost_connection(
        self,
        content: ContentDigest,
        server: RegisteredServer,
        parts: Sequence[ContentDigest] = (),
        *,
        is_direct: bool = False,
    ) -> None:
        """Record that a server closed or reset the connection of an attempt.

        Parameters
        ----------
        content : ContentDigest
        server : RegisteredServer
        parts : sequence of ContentDigest
        is_direct : bool
            Whether the connection would have been lost with the path to the server too.
        """
        self.failed_trials |= self.trials.intersection(parts)
        keys = [content, *self._suspected(parts)]
        self._record_crashes(keys, server)
        if is_direct:
            lost = self.lost.setdefault(process_of(server), {})
            lost.update(dict.fromkeys(keys, self.clock.monotonic()))

    def record_cut_path(self, process: ServerProcess) -> None:
        """Record that only this gateway has lost its path to a process.

        The connections that it lost just before show no end of the process; if it ends
        nevertheless, they count.
        """
        now = self.clock.monotonic()
        keys = [
            key
            for key, lost_at in self.lost.pop(process, {}).items()
            if now < lost_at + LOST_PATH_S
        ]
        if not keys:
            return
        refuted = [c for key in keys for c in self.quarantine.refute(key, process)]
        self._log_refuted(refuted, CrashRefutation.CUT_PATH)
        self._report(refuted)
        contents = self.unresolved.setdefault(process, {})
        for key in keys:
            contents[key] = UnresolvedAttempt(
                ended_at=now,
                deadline=now + UNRESOLVED_RETENTION_S,
                is_answered=False,
            )

    def record_unresolved(
        self,
        content: ContentDigest,
        server: RegisteredServer,
        parts: Sequence[ContentDigest] = (),
        *,
        ended: bool,
        is_answered: bool = False,
    ) -> None:
        """Record that an attempt ended and left open whether the server did.

        Parameters
        ----------
        content : ContentDigest
        server : RegisteredServer
        parts : sequence of ContentDigest
        ended : bool
            Whether the server process is known to have ended.
        is_answered : bool
            Whether there was an answer that clears the content if the server went on.
        """
        process = process_of(server)
        if ended:
            self.record_lost_connection(content, server, parts)
            return
        contents = self.unresolved.setdefault(process, {})
        now = self.clock.monotonic()
        for key in (content, *parts):
            contents[key] = UnresolvedAttempt(
                ended_at=now,
                deadline=now + UNRESOLVED_RETENTION_S,
                is_answered=is_answered,
            )
        while len(contents) > MAX_UNRESOLVED_PER_SERVER:
            del contents[next(iter(contents))]

    def record_ended_server(self, server: RegisteredServer) -> None:
        """Count crashes of the contents whose attempts at the server are unresolved."""
        now = self.clock.monotonic()
        contents = self.unresolved.pop(process_of(server), {})
        pending = [key for key, attempt in contents.items() if now < attempt.deadline]
        self._record_crashes(self._suspected(pending), server)

    def record_later_answer(
        self, server: RegisteredServer, *, opened_at: float
    ) -> None:
        """Resolve the attempts that ended before a server answered another one.

        Parameters
        ----------
        server : RegisteredServer
        opened_at : float
            When the connection of the answer was opened, in seconds on the monotonic
            clock.  Only the same process can answer on an earlier connection.
        """
        process = process_of(server)
        contents = self.unresolved.get(process, {})
        sent_before = self.clock.monotonic() - ANSWER_DELAY_S
        survived = [
            key
            for key, attempt in contents.items()
            if opened_at <= attempt.ended_at <= sent_before
        ]
        answered = [key for key in survived if contents.pop(key).is_answered]
        if not contents:
            self.unresolved.pop(process, None)
        parts = [key for key in answered if is_part(key)]
        if parts:
            self.record_answered_parts(parts)
        for key in answered:
            if not is_part(key):
                self.record_completion(key, server, status=OK_STATUS)

    def reports(self) -> tuple[CrashReport, ...]:
        """Return all records for other instances."""
        now_ms = self._now_ms()
        return tuple(c.report(now_ms=now_ms) for c in self.quarantine.records())

    def receive(self, reports: Iterable[CrashReport]) -> None:
        """Merge records of other gateways, and refute those of sound parts."""
        now, now_ms = self.clock.monotonic(), self._now_ms()
        crashes = [report.record(now_ms=now_ms) for report in reports]
        changed = self.quarantine.merge(crashes, now=now, now_ms=now_ms)
        reported = [crash for crash in changed if crash.refuted]
        self._log_refuted(reported, CrashRefutation.REPORT)
        for crash in changed:
            if self.sound_parts.is_sound(crash.content, now=now):
                refuted = self.quarantine.record_completion(crash.content)
                self._log_refuted(refuted, CrashRefutation.EARLIER_ANSWER)
                self._report(refuted)
        self._log_quarantined(changed)

    def drop_expired(self) -> None:
        """Drop records that no longer count."""
        now_ms = self._now_ms()
        for content in self.quarantine.drop_expired(now_ms=now_ms):
            log_message("gateway:crashes_expired", content=content)
        self.failed_trials.intersection_update(self.quarantine.crashes)
        now = self.clock.monotonic()
        for process, lost in list(self.lost.items()):
            if all(lost_at + LOST_PATH_S <= now for lost_at in lost.values()):
                del self.lost[process]
        for process, contents in list(self.unresolved.items()):
            if all(attempt.deadline <= now for attempt in contents.values()):
                del self.unresolved[process]

    def _suspected(self, keys: Sequence[ContentDigest]) -> list[ContentDigest]:
        now = self.clock.monotonic()
        return [key for key in keys if not self.sound_parts.is_sound(key, now=now)]

    def _is_refused(self, key: ContentDigest, now_ms: int) -> bool:
        n_crashes = self._n_crashes(key, now_ms)
        return bool(n_crashes) and n_crashes + self.n_running[key] >= MAX_CRASHES

    def _n_crashes(self, key: ContentDigest, now_ms: int) -> int:
        """Return the number of crashes that count against a content or part."""
        n_crashes = self.quarantine.n_unexplained(key, now_ms=now_ms)
        is_sound = self.sound_contents.is_sound(
            shared_content(key), now=self.clock.monotonic()
        )
        if is_part(key) or is_sound:
            return n_crashes
        return max(n_crashes, self.quarantine.n_crashes_of_accounts(key, now_ms=now_ms))

    def _is_trial(
        self,
        refused: Sequence[ContentDigest],
        parts: Sequence[ContentDigest],
        now_ms: int,
    ) -> bool:
        """Return whether the request may show that the refused parts are innocent."""
        return all(
            is_part(key)
            and not self.n_running[key]
            and self.tries_part(key)
            and self._is_trial_worthwhile(key, parts, now_ms)
            for key in refused
        )

    def _is_trial_worthwhile(
        self, key: ContentDigest, parts: Sequence[ContentDigest], now_ms: int
    ) -> bool:
        if self.quarantine.is_trial_due(key, now_ms=now_ms):
            return True
        shared = self.quarantine.shares_all_crashes(key, parts, now_ms=now_ms)
        return shared and key not in self.failed_trials

    def _record_crashes(
        self, keys: Iterable[ContentDigest], server: RegisteredServer
    ) -> None:
        now, now_ms = self.clock.monotonic(), self._now_ms()
        changed = [
            crash
            for key in keys
            for crash in self.quarantine.record_crash(
                key,
                process_of(server),
                now=now,
                now_ms=now_ms,
                version=server.version,
            )
        ]
        self._log_quarantined(changed)
        self._report(changed)

    def _report(self, changed: list[ServerCrash]) -> None:
        if changed:
            now_ms = self._now_ms()
            self.report([crash.report(now_ms=now_ms) for crash in changed])

    def _now_ms(self) -> int:
        # Steps of the wall clock must neither expire nor extend records.
        return int(self.clock.monotonic() * 1_000)

    def _log_quarantined(self, changed: list[ServerCrash]) -> None:
        for crash in changed:
            if not crash.refuted and self.is_quarantined(crash.content):
                log_message(
                    "gateway:quarantined",
                    content=crash.content,
                    server=crash.process.server,
                    incarnation=crash.process.incarnation,
                )

    def _log_refuted(
        self,
        refuted: Iterable[ServerCrash],
        refutation: CrashRefutation,
        *,
        status: int | None = None,
    ) -> None:
        now_ms = self._now_ms()
        for crash in refuted:
            log_message(
                "gateway:crash_refuted",
                content=crash.content,
                server=crash.process.server,
                incarnation=crash.process.incarnation,
                refutation=refutation.value,
                status=status,
                age_ms=crash.age_ms(now_ms=now_ms),
            )

    def _refusal(self, key: ContentDigest, now_ms: int) -> FailureError:
        n_crashes = self._n_crashes(key, now_ms)
        retry_after_ms = BUSY_RETRY_AFTER_MS
        if n_crashes >= MAX_CRASHES:
            retry_after_ms = self.quarantine.retry_after_ms(key, now_ms=now_ms)
        what = key if is_part(key) else "this content"
        return FailureError(
            NotRun(
                reason=NotRunReason.QUARANTINED,
                proof=ProofKind.NOT_DISPATCHED,
                retry_after_ms=retry_after_ms,
                detail=f"{n_crashes} servers ended while they ran {what}",
            )
        )


def is_quarantine_failure(failure: Failure) -> bool:
    """Return whether the failure is that a content is refused."""
    return isinstance(failure, NotRun) and failure.reason is NotRunReason.QUARANTINED
