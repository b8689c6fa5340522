"""Refuses requests that end servers, and reports servers that end under requests.

Every attempt at a server, whether first, retried or resumed, is admitted here.
"""

from collections import Counter
from collections.abc import Callable, Iterable

from eliot import log_message

from turmericreel.decisions.content_quarantine import MAX_CRASHES, ContentQuarantine
from turmericreel.model.failures import (
    Failure,
    FailureError,
    NotRun,
    NotRunReason,
    ProofKind,
)
from turmericreel.model.ids import ContentDigest
from turmericreel.model.registered_server import RegisteredServer
from turmericreel.model.server_crash import ServerCrash, ServerProcess, process_of
from turmericreel.util.clock import Clock

# A silent server expires, or registers again, within this time after it ended.
UNRESOLVED_RETENTION_S = 10.0
# Bounds the memory while many attempts at one server time out.
MAX_UNRESOLVED_PER_SERVER = 256
# A copy that is running may prove the content sound soon.
BUSY_RETRY_AFTER_MS = 250


class CrashGuard:
    """Admits attempts by the crashes of their contents.

    Parameters
    ----------
    report : callable
        Called with new and changed records, to be sent to the coordinators.
    clock : Clock

    Attributes
    ----------
    n_running : Counter of ContentDigest
        Attempts in progress at this gateway.
    unresolved : dict of ServerProcess to dict of ContentDigest to float
        Contents whose attempts ended without an answer, until the given deadlines on
        the monotonic clock.  They count as crashes if the process ends meanwhile.
    """

    def __init__(self, *, report: Callable[[list[ServerCrash]], None], clock: Clock):
        self.report = report
        self.clock = clock
        self.quarantine = ContentQuarantine()
        self.n_running: Counter[ContentDigest] = Counter()
        self.unresolved: dict[ServerProcess, dict[ContentDigest, float]] = {}

    def begin_attempt(self, content: ContentDigest) -> None:
        """Admit an attempt, which `end_attempt` must end.

        The crashes and the running attempts of a content that ended a server never
        exceed `MAX_CRASHES` together.

        Raises
        ------
        FailureError
            With `NotRun` if the content is refused.
        """
        now_ms = self.clock.wall_ms()
        n_crashes = self.quarantine.n_crashes(content, now_ms=now_ms)
        if n_crashes and n_crashes + self.n_running[content] >= MAX_CRASHES:
            raise self._refusal(content, n_crashes, now_ms)
        self.n_running[content] += 1

    def end_attempt(self, content: ContentDigest) -> None:
        """Count the end of an attempt."""
        self.n_running[content] -= 1
        if self.n_running[content] <= 0:
            del self.n_running[content]

    def is_quarantined(self, content: ContentDigest) -> bool:
        """Return whether no more copies of a content may be sent."""
        now_ms = self.clock.wall_ms()
        return self.quarantine.n_crashes(content, now_ms=now_ms) >= MAX_CRASHES

    def n_quarantined(self) -> int:
        """Return the number of contents that are refused."""
        return self.quarantine.n_quarantined(now_ms=self.clock.wall_ms())

    def record_completion(self, content: ContentDigest) -> None:
        """Record that an attempt got a complete answer."""
        self._report(self.quarantine.record_completion(content))

    def record_lost_connection(
        self, content: ContentDigest, server: RegisteredServer
    ) -> None:
        """Record that a server closed or reset the connection of an attempt."""
        self._record_crash(content, process_of(server))

    def record_unresolved(
        self, content: ContentDigest, server: RegisteredServer, *, ended: bool
    ) -> None:
        """Record that an attempt ended without an answer or a closed connection.

        Parameters
        ----------
        content : ContentDigest
        server : RegisteredServer
        ended : bool
            Whether the server process is known to have ended.
        """
        process = process_of(server)
        if ended:
            self._record_crash(content, process)
            return
        contents = self.unresolved.setdefault(process, {})
        contents[content] = self.clock.monotonic() + UNRESOLVED_RETENTION_S
        if len(contents) > MAX_UNRESOLVED_PER_SERVER:
            del contents[next(iter(contents))]

    def record_ended_server(self, server: RegisteredServer) -> None:
        """Count crashes of the contents whose attempts at the server are unresolved."""
        now = self.clock.monotonic()
        contents = self.unresolved.pop(process_of(server), {})
        for content, deadline in contents.items():
            if now < deadline:
                self._record_crash(content, process_of(server))

    def receive(self, crashes: Iterable[ServerCrash]) -> None:
        """Merge records of other gateways."""
        changed = self.quarantine.merge(
            crashes, now=self.clock.monotonic(), now_ms=self.clock.wall_ms()
        )
        self._log_quarantined(changed)

    def drop_expired(self) -> None:
        """Drop records that no longer count."""
        self.quarantine.drop_expired(now_ms=self.clock.wall_ms())
        now = self.clock.monotonic()
        for process, contents in list(self.unresolved.items()):
            if max(contents.values(), default=0.0) <= now:
                del self.unresolved[process]

    def _record_crash(self, content: ContentDigest, process: ServerProcess) -> None:
        changed = self.quarantine.record_crash(
            content,
            process,
            now=self.clock.monotonic(),
            now_ms=self.clock.wall_ms(),
        )
        self._log_quarantined(changed)
        self._report(changed)

    def _report(self, changed: list[ServerCrash]) -> None:
        if changed:
            self.report(changed)

    def _log_quarantined(self, changed: list[ServerCrash]) -> None:
        for crash in changed:
            if not crash.refuted and self.is_quarantined(crash.content):
                log_message(
                    "gateway:quarantined",
                    content=crash.content,
                    server=crash.process.server,
                    incarnation=crash.process.incarnation,
                )

    def _refusal(
        self, content: ContentDigest, n_crashes: int, now_ms: int
    ) -> FailureError:
        retry_after_ms = BUSY_RETRY_AFTER_MS
        if n_crashes >= MAX_CRASHES:
            retry_after_ms = self.quarantine.retry_after_ms(content, now_ms=now_ms)
        return FailureError(
            NotRun(
                reason=NotRunReason.QUARANTINED,
                proof=ProofKind.NOT_DISPATCHED,
                retry_after_ms=retry_after_ms,
                detail=f"{n_crashes} servers ended while they ran this content",
            )
        )


def is_quarantine_failure(failure: Failure) -> bool:
    """Return whether the failure is that a content is refused."""
    return isinstance(failure, NotRun) and failure.reason is NotRunReason.QUARANTINED
