"""The attempts of one request at servers, and their failures."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from enum import Enum

from eliot import log_message

from turmericreel.gateway.brittle_servers import BrittleServers
from turmericreel.gateway.client_request import ClientRequest, Headers
from turmericreel.gateway.crash_guard import CrashGuard
from turmericreel.gateway.evidence import AttemptCounter
from turmericreel.gateway.server_exchange import ServerExchange
from turmericreel.gateway.server_loads import ServerLoads
from turmericreel.model.failures import (
    Failure,
    FailureError,
    Interrupted,
    NotRun,
    OutcomeUnknown,
    ProofKind,
)
from turmericreel.model.ids import BackendServerId
from turmericreel.model.registered_server import RegisteredServer
from turmericreel.model.routing import ModelName

# Delay before a refused client retries; a server may have become free by then.
RETRY_AFTER_MS = 250
OK_STATUS = 200
MIN_SERVER_ERROR_STATUS = 500
# Time after its first event in which a server that a part ends would have ended.
PROGRESS_S = 0.5


@dataclass(kw_only=True)
class Answer:
    """Response to a client, with a complete body or a stream of events.

    Attributes
    ----------
    events : iterator of bytes or None
        None if the body is complete.
    """

    status: int
    reason: str
    headers: Headers
    body: bytes = b""
    events: Iterator[bytes] | None = None


@dataclass(kw_only=True)
class RequestProgress:
    """Attempts that were made for one request.

    Attributes
    ----------
    tried : set of BackendServerId
        Servers that are not chosen again.
    n_sent : int
        Attempts that were sent to a server.
    n_unreached : int
        Attempts of which no byte reached a server, and failed attempts to resume a
        stream.
    may_have_run : bool
        Whether a server may have run the request.
    has_failed : bool
        Whether an attempt that may have run failed.
    fallback : Answer or None
        Error response of a server, returned if no other attempt succeeds.
    """

    tried: set[BackendServerId] = field(default_factory=set)
    n_sent: int = 0
    n_unreached: int = 0
    may_have_run: bool = False
    has_failed: bool = False
    fallback: Answer | None = None

    def count_failure(self, failure: Failure) -> None:
        """Count an attempt that failed before its answer began."""
        if not isinstance(failure, NotRun):
            self.n_sent += 1
            self.may_have_run = True
        elif was_refused(failure):
            self.n_sent += 1
        else:
            self.n_unreached += 1


class AttemptEnd(Enum):
    """How an attempt ended.

    `ANSWERED` and `FAILED` have a complete answer; `FAILED` has the status of a server
    error.  `BROKEN` has none although the request may have run, `DROPPED` began well
    but a larger model is to answer, `CANCELLED` was given up by the client, and
    `NOT_RUN` was not run by the server.
    """

    ANSWERED = "answered"
    FAILED = "failed"
    BROKEN = "broken"
    DROPPED = "dropped"
    CANCELLED = "cancelled"
    NOT_RUN = "not_run"


# A server may not have noticed yet that its answer is not read to the end.
UNFINISHED = {AttemptEnd.BROKEN, AttemptEnd.DROPPED, AttemptEnd.CANCELLED}


class NoRetryReason(Enum):
    """Why a request is not retried."""

    QUARANTINED = "quarantined"
    DEADLINE = "deadline"
    MAY_HAVE_RUN = "may_have_run"
    ATTEMPTS = "attempts"
    UNREACHED = "unreached"
    BUDGET = "budget"


class LargerModelWanted(Exception):  # noqa: N818
    """The answer is to be replaced by one of a larger model; not a failure."""

    def __init__(self, *, model: ModelName):
        super().__init__(model)
        self.model = model


class Attempt:
    """One attempt of a request at a server, with its counters.

    Parameters
    ----------
    exchange : ServerExchange
    counter : AttemptCounter
    loads : ServerLoads
    guard : CrashGuard
        Has admitted the attempt.
    brittle : BrittleServers
    has_ended : callable
        Returns whether a server process is known to have ended.
    """

    def __init__(
        self,
        *,
        exchange: ServerExchange,
        counter: AttemptCounter,
        loads: ServerLoads,
        guard: CrashGuard,
        brittle: BrittleServers,
        has_ended: Callable[[RegisteredServer], bool],
    ):
        self.exchange = exchange
        self.server = exchange.server
        self.counter = counter
        self.loads = loads
        self.guard = guard
        self.brittle = brittle
        self.has_ended = has_ended
        self.was_refused = False
        self.is_open = True
        self.first_event_at: float | None = None
        self.parts_are_answered = False
        loads.of(self.server.server).begin_attempt(now=exchange.clock.monotonic())

    def end(self, how: AttemptEnd) -> None:
        """Count the end and release the connection; later calls do nothing."""
        if not self.is_open:
            return
        self.is_open = False
        self.loads.of(self.server.server).n_running -= 1
        self.counter.record_end(
            failed=how in (AttemptEnd.FAILED, AttemptEnd.BROKEN),
            ran=how is not AttemptEnd.NOT_RUN,
            now=self.exchange.clock.monotonic(),
        )
        self.brittle.record_end(
            self.server,
            held_s=self.exchange.clock.monotonic() - self.counter.began,
            was_refused=self.was_refused,
            may_still_run=how in UNFINISHED,
        )
        self._tell_guard(how)
        self.exchange.end()

    def record_progress(self) -> None:
        """Record that events of a stream arrived.

        A server that goes on for a while after the first one has begun to answer all
        parts of the prompt.
        """
        now = self.exchange.clock.monotonic()
        if self.first_event_at is None:
            self.first_event_at = now
        elif not self.parts_are_answered and now >= self.first_event_at + PROGRESS_S:
            self._record_answered_parts()

    def _record_answered_parts(self) -> None:
        self.parts_are_answered = True
        parts = self.exchange.request.part_digests
        if parts:
            self.guard.record_answered_parts(parts)

    def _tell_guard(self, how: AttemptEnd) -> None:
        content = self.exchange.request.content
        parts = self.exchange.request.part_digests
        match how:
            case AttemptEnd.ANSWERED | AttemptEnd.FAILED:
                self._record_answer()
            case AttemptEnd.BROKEN if self.exchange.connection_lost:
                self._log_connection_lost()
                is_direct = not self.exchange.is_relayed
                self.guard.record_lost_connection(
                    content, self.server, parts, is_direct=is_direct
                )
                self.exchange.connections.record_lost(
                    self.exchange.address, is_direct=is_direct
                )
            case AttemptEnd.BROKEN | AttemptEnd.CANCELLED:
                self.guard.record_unresolved(
                    content, self.server, parts, ended=self.has_ended(self.server)
                )
        self.guard.end_attempt(content, parts)

    def _record_answer(self) -> None:
        """Tell the guard what a complete answer shows.

        A server that ends closes its connections too, so an answer that ends with its
        connection does not show that the server went on.
        """
        answer, request = self.exchange.answer, self.exchange.request
        # Any other status may be sent without running the request.
        if not is_success(answer.status):
            return
        if answer.ended_with_connection:
            self.guard.record_unresolved(
                request.content,
                self.server,
                request.part_digests,
                ended=self.has_ended(self.server),
                is_answered=True,
            )
            return
        if answer.status == OK_STATUS:
            self._record_answered_parts()
        self.guard.record_completion(request.content, self.server, status=answer.status)

    def _log_connection_lost(self) -> None:
        log_message(
            "gateway:connection_lost",
            request=self.exchange.request.attempt_id,
            content=self.exchange.request.content,
            parts=list(self.exchange.request.shared_parts),
            server=self.server.server,
            incarnation=self.server.incarnation,
        )


def is_success(status: int) -> bool:
    """Return whether only a request that was run gets this status."""
    return status // 100 == 2


def was_refused(failure: Failure) -> bool:
    """Return whether a server stated that it did not run the request."""
    refused = ProofKind.REFUSED_BY_PROTOCOL
    return isinstance(failure, NotRun) and failure.proof is refused


def is_unreached(failure: Failure) -> bool:
    """Return whether no byte of a request reached a server."""
    return isinstance(failure, NotRun) and not was_refused(failure)


def unknown_outcome_failure(request: ClientRequest, detail: str) -> FailureError:
    """Return the failure of a request that may have run."""
    return FailureError(OutcomeUnknown(request_id=request.attempt_id, detail=detail))


def interrupted_failure(request: ClientRequest, detail: str) -> FailureError:
    """Return the failure of a stream that cannot be resumed."""
    return FailureError(Interrupted(request_id=request.attempt_id, detail=detail))


def is_final(failure: Failure, progress: RequestProgress) -> bool:
    """Return whether the failure of the last attempt is that of the whole request."""
    return progress.may_have_run and not isinstance(failure, NotRun)


def final_failure(
    request: ClientRequest, progress: RequestProgress, failure: Failure
) -> FailureError:
    """Return the failure of a request whose last attempt was not run.

    It is `NotRun` only if none of the attempts may have run the request.
    """
    if progress.may_have_run:
        return unknown_outcome_failure(request, failure.describe())
    return FailureError(
        NotRun(
            reason=failure.reason,
            proof=failure.proof,
            retry_after_ms=failure.retry_after_ms or RETRY_AFTER_MS,
            detail=failure.detail,
        )
    )
