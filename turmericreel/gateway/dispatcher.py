"""Sends requests to servers, and retries them where that is safe."""

from collections.abc import Iterator
from dataclasses import replace

from eliot import log_message

from turmericreel.decisions.windowed_budget import WindowedBudget
from turmericreel.entry.answer_buffer import AnswerBuffer
from turmericreel.gateway.attempt_starter import AttemptStarter
from turmericreel.gateway.attempts import (
    MIN_SERVER_ERROR_STATUS,
    Answer,
    Attempt,
    AttemptEnd,
    LargerModelWanted,
    NoRetryReason,
    RequestProgress,
    final_failure,
    interrupted_failure,
    is_final,
    unknown_outcome_failure,
)
from turmericreel.gateway.client_request import ClientRequest
from turmericreel.gateway.crash_guard import is_quarantine_failure
from turmericreel.gateway.event_stream import EventSplitter, EventStreamError
from turmericreel.gateway.metrics import AttemptOutcome
from turmericreel.gateway.server_chooser import ServerChooser, is_no_server_failure
from turmericreel.gateway.server_exchange import ForwardedAnswer
from turmericreel.model.failures import FailureError, NotRun
from turmericreel.model.ids import ServiceName
from turmericreel.model.registered_server import RegisteredServer
from turmericreel.model.routing import RouteKind
from turmericreel.util.clock import Clock

MAX_BODY_BYTES = 8 * 1024 * 1024
# Of all incomplete answers; a gateway has 128 MB in total.
MAX_BUFFERED_BYTES = 16 * 1024 * 1024
EVENT_STREAM = "text/event-stream"
# Another attempt is not worthwhile with less time left before the deadline.
MIN_TIME_LEFT_S = 0.03
# Connections that fail cause no work at a server, so they have a separate limit instead
# of counting as attempts.
MAX_UNREACHED = 3
# Silence within a stream after which it is resumed at another server. Streams pause for
# about a second at a busy engine, and clients give up after several seconds.
RESUMABLE_STREAM_IDLE_TIMEOUT_S = 2.5
# Long enough that a silent stream that may not be resumed ends at its deadline.
STREAM_IDLE_TIMEOUT_S = 3_600.0


class Dispatcher:
    """Chooses servers for requests, sends attempts, and retries failed ones.

    Parameters
    ----------
    chooser : ServerChooser
    starter : AttemptStarter
    budget : WindowedBudget
    clock : Clock
    """

    def __init__(
        self,
        *,
        chooser: ServerChooser,
        starter: AttemptStarter,
        budget: WindowedBudget,
        clock: Clock,
    ):
        self.chooser = chooser
        self.starter = starter
        self.budget = budget
        self.clock = clock
        self.buffer = AnswerBuffer(limit_bytes=MAX_BUFFERED_BYTES)

    def run(self, request: ClientRequest) -> Answer:
        """Return the answer to a request.

        Raises
        ------
        FailureError
            With `NotRun` or `OutcomeUnknown`.
        """
        self.budget.count_request(now=self.clock.monotonic())
        service = self.chooser.service_for(request)
        progress = RequestProgress()
        while True:
            try:
                server = self.chooser.choose(request, service, progress.tried)
                answer = self._attempt(request, service, server, progress)
            except LargerModelWanted as wanted:
                request = replace(request, model=wanted.model)
                # The same server may have prefilled the start of the prompt already.
                progress.tried.discard(server.server)
                continue
            except FailureError as error:
                if not self._may_retry_after(request, progress, error):
                    if progress.fallback is not None:
                        return progress.fallback
                    if is_final(error.failure, progress):
                        # As its own cause it would form a cycle, which keeps all that
                        # its traceback refers to until the next garbage collection.
                        raise
                    raise final_failure(request, progress, error.failure) from error
                continue
            if answer.status < MIN_SERVER_ERROR_STATUS or not self._may_retry(
                request, progress
            ):
                return answer
            progress.fallback = answer
            progress.has_failed = True

    def _attempt(
        self,
        request: ClientRequest,
        service: ServiceName,
        server: RegisteredServer,
        progress: RequestProgress,
    ) -> Answer:
        attempt, server_answer = self.starter.begin(request, server, progress)
        # A client disconnect does not count as a failure of the server.
        how = AttemptEnd.CANCELLED
        try:
            if _is_stream(request, server_answer):
                self._check_larger_model(request, attempt, server_answer, progress)
                # From here on the stream is responsible for ending the attempt.
                streamed, attempt = attempt, None
                return self._start_stream(
                    request, service, streamed, server_answer, progress
                )
            answer = self._read_whole_answer(request, server_answer)
            if server_answer.status >= MIN_SERVER_ERROR_STATUS:
                how = AttemptEnd.FAILED
                self._record_failure(server)
            else:
                how = AttemptEnd.ANSWERED
                attempt.counter.record_events(1, now=self.clock.monotonic())
                self.chooser.loads.record_success(server.server)
                self.starter.count_answer(request, server)
            return answer
        except LargerModelWanted:
            how = AttemptEnd.DROPPED
            attempt.counter.record_events(1, now=self.clock.monotonic())
            raise
        except FailureError:
            how = AttemptEnd.BROKEN
            if attempt is not None:
                self._record_failure(server)
            raise
        finally:
            if attempt is not None:
                attempt.end(how)

    def _record_failure(self, server: RegisteredServer) -> None:
        self.chooser.loads.record_failure(server.server, now=self.clock.monotonic())

    def _check_larger_model(
        self,
        request: ClientRequest,
        attempt: Attempt,
        server_answer: ForwardedAnswer,
        progress: RequestProgress,
    ) -> None:
        """Raise `LargerModelWanted` if a larger model should answer instead."""
        larger = self.starter.choose_larger_model(request, server_answer, progress)
        if larger is None or not self._may_retry(request, progress):
            return
        log_message(
            "gateway:larger_model",
            request=request.attempt_id,
            server=attempt.server.server,
            asked=request.model,
            confidence=server_answer.header(self.starter.names.confidence),
            larger=larger,
        )
        self.starter.metrics.record_attempt_end(AttemptOutcome.DROPPED_FOR_MODEL)
        raise LargerModelWanted(model=larger)

    def _read_whole_answer(
        self, request: ClientRequest, server_answer: ForwardedAnswer
    ) -> Answer:
        try:
            body = server_answer.read_body(
                limit_bytes=MAX_BODY_BYTES, buffer=self.buffer
            )
        except FailureError as error:
            raise unknown_outcome_failure(request, error.failure.describe()) from error
        headers = server_answer.forwarded_headers()
        return Answer(
            status=server_answer.status,
            reason=server_answer.parser.status_message or "",
            headers=headers,
            body=body,
        )

    def _start_stream(
        self,
        request: ClientRequest,
        service: ServiceName,
        attempt: Attempt,
        server_answer: ForwardedAnswer,
        progress: RequestProgress,
    ) -> Answer:
        headers = server_answer.forwarded_headers()
        events = self._iterate_events(
            request, service, attempt, server_answer, progress
        )
        first = next(events, b"")
        return Answer(
            status=server_answer.status,
            reason=server_answer.parser.status_message or "",
            headers=headers,
            events=_prepend(first, events),
        )

    def _iterate_events(
        self,
        request: ClientRequest,
        service: ServiceName,
        attempt: Attempt,
        server_answer: ForwardedAnswer,
        progress: RequestProgress,
    ) -> Iterator[bytes]:
        """Yield complete events, resuming at another server if a stream fails."""
        splitter = EventSplitter()
        resumable = request.route.is_idempotent
        delivered = False
        while True:
            share = self.buffer.open(on_evicted=server_answer.give_up)
            # A client disconnect does not count as a failure of the server.
            how = AttemptEnd.CANCELLED
            try:
                server_answer.set_idle_timeout(
                    RESUMABLE_STREAM_IDLE_TIMEOUT_S
                    if resumable
                    else STREAM_IDLE_TIMEOUT_S
                )
                for block in server_answer.blocks(idle_timeout_s=STREAM_IDLE_TIMEOUT_S):
                    events = splitter.feed(block)
                    if not share.resize(len(splitter.pending)):
                        raise EventStreamError("the buffer is full within an event")
                    if events is not None:
                        delivered = True
                        attempt.record_progress()
                        attempt.counter.record_events(
                            events.count, now=self.clock.monotonic()
                        )
                        self.starter.count_events(request, attempt.server, events.count)
                        yield events.data
                if splitter.pending:
                    raise EventStreamError("the stream ended inside an event")
                self.chooser.loads.record_success(attempt.server.server)
                self.starter.count_answer(request, attempt.server)
                how = AttemptEnd.ANSWERED
                return
            except (FailureError, EventStreamError) as error:
                how = AttemptEnd.BROKEN
                detail = str(error)
            finally:
                share.release()
                attempt.end(how)
            self._record_failure(attempt.server)
            if not delivered:
                raise unknown_outcome_failure(request, detail)
            attempt, server_answer = self._resume(
                request, service, progress, splitter, detail
            )
            splitter = EventSplitter(after_id=splitter.last_id)

    def _resume(
        self,
        request: ClientRequest,
        service: ServiceName,
        progress: RequestProgress,
        splitter: EventSplitter,
        detail: str,
    ) -> tuple[Attempt, ForwardedAnswer]:
        while True:
            if splitter.last_id is None or not self._may_retry(request, progress):
                raise interrupted_failure(request, detail)
            try:
                server = self.chooser.choose(request, service, progress.tried)
                attempt, server_answer = self.starter.begin(
                    request, server, progress, last_event_id=splitter.last_id
                )
            except FailureError as error:
                detail = error.failure.describe()
                progress.n_unreached += 1
                is_final = is_quarantine_failure(error.failure)
                if is_final or progress.n_unreached > MAX_UNREACHED:
                    raise interrupted_failure(request, detail) from error
                continue
            log_message(
                "gateway:resumed",
                request=request.attempt_id,
                server=server.server,
                after=splitter.last_id,
                reason=detail,
            )
            if _is_stream(request, server_answer):
                return attempt, server_answer
            attempt.end(AttemptEnd.BROKEN)
            content_type = server_answer.header("Content-Type")
            detail = f"status {server_answer.status} {content_type!r} when resuming"

    def _may_retry_after(
        self, request: ClientRequest, progress: RequestProgress, error: FailureError
    ) -> bool:
        now = self.clock.monotonic()
        log_message(
            "gateway:attempt_failed",
            request=request.attempt_id,
            route=request.route.name,
            tried=sorted(progress.tried),
            left_ms=int((request.deadline - now) * 1_000),
            failure=error.failure.describe(),
        )
        progress.has_failed |= not isinstance(error.failure, NotRun)
        if not progress.tried or is_no_server_failure(error.failure):
            return False
        if is_quarantine_failure(error.failure):
            return False
        return self._may_retry(request, progress)

    def _may_retry(self, request: ClientRequest, progress: RequestProgress) -> bool:
        no_retry_reason = self._no_retry_reason(request, progress)
        if no_retry_reason is None:
            return True
        log_message(
            "gateway:not_repeated",
            request=request.attempt_id,
            reason=no_retry_reason.value,
            n_sent=progress.n_sent,
            n_unreached=progress.n_unreached,
        )
        return False

    def _no_retry_reason(
        self, request: ClientRequest, progress: RequestProgress
    ) -> NoRetryReason | None:
        """Return why not to retry, or None after taking a retry from the budget."""
        now = self.clock.monotonic()
        if self.starter.guard.is_quarantined(request.content, request.part_digests):
            return NoRetryReason.QUARANTINED
        if request.deadline - now < MIN_TIME_LEFT_S:
            return NoRetryReason.DEADLINE
        if progress.may_have_run and not request.route.is_idempotent:
            return NoRetryReason.MAY_HAVE_RUN
        if progress.n_sent >= request.route.max_attempts:
            return NoRetryReason.ATTEMPTS
        if progress.n_unreached > MAX_UNREACHED:
            return NoRetryReason.UNREACHED
        return None if self.budget.take(now=now) else NoRetryReason.BUDGET


def _is_stream(request: ClientRequest, server_answer: ForwardedAnswer) -> bool:
    is_stream = request.route.kind is RouteKind.STREAM and server_answer.status == 200
    return is_stream and EVENT_STREAM in server_answer.header("Content-Type")


def _prepend(first: bytes, pending: Iterator[bytes]) -> Iterator[bytes]:
    try:
        if first:
            yield first
        yield from pending
    finally:
        pending.close()
