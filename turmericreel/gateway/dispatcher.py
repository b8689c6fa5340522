"""Carries out a request: sends it, and repeats it where that is safe."""

from collections.abc import Iterator
from dataclasses import replace

from eliot import log_message

from turmericreel.decisions.windowed_budget import WindowedBudget
from turmericreel.gateway.attempt_starter import AttemptStarter
from turmericreel.gateway.attempts import (
    SERVER_FAULT,
    Answer,
    Attempt,
    LargerModelWanted,
    Progress,
    RepeatObstacle,
    final_failure,
    interrupted,
    unknown_outcome,
)
from turmericreel.gateway.client_request import ClientRequest
from turmericreel.gateway.event_stream import EventSplitter, EventStreamError
from turmericreel.gateway.metrics import AttemptOutcome
from turmericreel.gateway.server_chooser import ServerChooser, is_no_server_failure
from turmericreel.gateway.server_exchange import ForwardedAnswer
from turmericreel.model.failures import FailureError
from turmericreel.model.ids import ServiceName
from turmericreel.model.registered_server import RegisteredServer
from turmericreel.model.routing import RouteKind
from turmericreel.util.clock import Clock

BODY_LIMIT_BYTES = 8 * 1024 * 1024
EVENT_STREAM = "text/event-stream"
# Less time than this is not worth another attempt.
LEAST_LEFT_S = 0.03
# Connections that fail do no work at a server, so that more of them may be tried.
CONNECT_LIMIT = 3
# Silence within a stream after which another server goes on; streams pause for about a
# second at a busy engine, and clients give up after several.
EVENT_SILENCE_S = 2.5
# Streams that may not be resumed are left to their deadline.
STREAM_LIMIT_S = 3_600.0


class Dispatcher:
    """Gets answers from servers.

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

    def run(self, request: ClientRequest) -> Answer:
        """Return the answer of a server.

        Raises
        ------
        FailureError
            With `NotRun` or `OutcomeUnknown`.
        """
        self.budget.count_request(now=self.clock.monotonic())
        service = self.chooser.service_for(request)
        progress = Progress()
        while True:
            try:
                server = self.chooser.choose(request, service, progress.tried)
                answer = self._attempt(request, service, server, progress)
            except LargerModelWanted as wanted:
                request = replace(request, model=wanted.model)
                # The same server may have read the prompt's beginning already.
                progress.tried.discard(server.server)
                continue
            except FailureError as error:
                if not self._may_go_on(request, progress, error):
                    if progress.fallback is not None:
                        return progress.fallback
                    raise final_failure(request, progress, error) from error
                continue
            if answer.status < SERVER_FAULT or not self._may_repeat(request, progress):
                return answer
            progress.fallback = answer

    def _attempt(
        self,
        request: ClientRequest,
        service: ServiceName,
        server: RegisteredServer,
        progress: Progress,
    ) -> Answer:
        attempt, passed = self.starter.begin(request, server, progress)
        # A client that leaves says nothing about the server.
        failed = False
        try:
            if _is_stream(request, passed):
                self._consider_model(request, attempt, passed, progress)
                # From here on the stream ends the attempt.
                streamed, attempt = attempt, None
                return self._first_events(request, service, streamed, passed, progress)
            answer = self._whole(request, passed)
            failed = passed.status >= SERVER_FAULT
            if failed:
                self._leave_alone(server)
            else:
                self.chooser.loads.record_success(server.server)
                self.starter.count_answer(request, server)
            return answer
        except FailureError:
            failed = True
            if attempt is not None:
                self._leave_alone(server)
            raise
        finally:
            if attempt is not None:
                attempt.end(failed=failed)

    def _leave_alone(self, server: RegisteredServer) -> None:
        self.chooser.loads.record_failure(server.server, now=self.clock.monotonic())

    def _consider_model(
        self,
        request: ClientRequest,
        attempt: Attempt,
        passed: ForwardedAnswer,
        progress: Progress,
    ) -> None:
        """Raise `LargerModelWanted` when the answer should be dropped for a better."""
        larger = self.starter.larger_model(request, passed, progress)
        if larger is None or not self._may_repeat(request, progress):
            return
        log_message(
            "gateway:larger_model",
            request=request.attempt_id,
            server=attempt.server.server,
            asked=request.model,
            confidence=passed.header(self.starter.names.confidence),
            larger=larger,
        )
        self.starter.metrics.record_attempt_end(AttemptOutcome.DROPPED_FOR_MODEL)
        raise LargerModelWanted(model=larger)

    def _whole(self, request: ClientRequest, passed: ForwardedAnswer) -> Answer:
        try:
            body = passed.read_body(BODY_LIMIT_BYTES)
        except FailureError as error:
            raise unknown_outcome(request, error.failure.describe()) from error
        headers = passed.forwarded_headers()
        return Answer(
            status=passed.status,
            reason=passed.parser.status_message or "",
            headers=headers,
            body=body,
        )

    def _first_events(
        self,
        request: ClientRequest,
        service: ServiceName,
        attempt: Attempt,
        passed: ForwardedAnswer,
        progress: Progress,
    ) -> Answer:
        headers = passed.forwarded_headers()
        events = self._events(request, service, attempt, passed, progress)
        first = next(events, b"")
        return Answer(
            status=passed.status,
            reason=passed.parser.status_message or "",
            headers=headers,
            events=_chain(first, events),
        )

    def _events(
        self,
        request: ClientRequest,
        service: ServiceName,
        attempt: Attempt,
        passed: ForwardedAnswer,
        progress: Progress,
    ) -> Iterator[bytes]:
        """Yield whole events, going on at another server when one breaks off."""
        splitter = EventSplitter()
        resumable = request.route.is_idempotent
        delivered = False
        while True:
            # A client that leaves says nothing about the server.
            failed = False
            try:
                passed.set_idle_timeout(
                    EVENT_SILENCE_S if resumable else STREAM_LIMIT_S
                )
                for block in passed.blocks(idle_timeout=STREAM_LIMIT_S):
                    events = splitter.feed(block)
                    if events is not None:
                        delivered = True
                        self.starter.count_events(request, attempt.server, events.count)
                        yield events.data
                if splitter.rest:
                    raise EventStreamError("the stream ended inside an event")
                self.chooser.loads.record_success(attempt.server.server)
                self.starter.count_answer(request, attempt.server)
                return
            except (FailureError, EventStreamError) as error:
                failed = True
                detail = str(error)
            finally:
                attempt.end(failed=failed)
            self._leave_alone(attempt.server)
            if not delivered:
                raise unknown_outcome(request, detail)
            attempt, passed = self._resume(request, service, progress, splitter, detail)
            splitter = EventSplitter(after_id=splitter.last_id)

    def _resume(
        self,
        request: ClientRequest,
        service: ServiceName,
        progress: Progress,
        splitter: EventSplitter,
        detail: str,
    ) -> tuple[Attempt, ForwardedAnswer]:
        while True:
            if splitter.last_id is None or not self._may_repeat(request, progress):
                raise interrupted(request, detail)
            try:
                server = self.chooser.choose(request, service, progress.tried)
                attempt, passed = self.starter.begin(
                    request, server, progress, last_event_id=splitter.last_id
                )
            except FailureError as error:
                detail = error.failure.describe()
                progress.n_unreached += 1
                if progress.n_unreached > CONNECT_LIMIT:
                    raise interrupted(request, detail) from error
                continue
            log_message(
                "gateway:resumed",
                request=request.attempt_id,
                server=server.server,
                after=splitter.last_id,
                reason=detail,
            )
            if passed.status == 200:
                return attempt, passed
            attempt.end(failed=True)
            detail = f"status {passed.status} on resuming"

    def _may_go_on(
        self, request: ClientRequest, progress: Progress, error: FailureError
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
        if not progress.tried or is_no_server_failure(error.failure):
            return False
        return self._may_repeat(request, progress)

    def _may_repeat(self, request: ClientRequest, progress: Progress) -> bool:
        obstacle = self._obstacle(request, progress)
        if obstacle is None:
            return True
        log_message(
            "gateway:not_repeated",
            request=request.attempt_id,
            reason=obstacle.value,
            n_sent=progress.n_sent,
            n_unreached=progress.n_unreached,
        )
        return False

    def _obstacle(
        self, request: ClientRequest, progress: Progress
    ) -> RepeatObstacle | None:
        """Return why a request must not be repeated; None takes from the budget."""
        now = self.clock.monotonic()
        if request.deadline - now < LEAST_LEFT_S:
            return RepeatObstacle.DEADLINE
        if progress.may_have_run and not request.route.is_idempotent:
            return RepeatObstacle.MAY_HAVE_RUN
        if progress.n_sent >= request.route.max_attempts:
            return RepeatObstacle.ATTEMPTS
        if progress.n_unreached > CONNECT_LIMIT:
            return RepeatObstacle.UNREACHED
        return None if self.budget.take(now=now) else RepeatObstacle.BUDGET


def _is_stream(request: ClientRequest, passed: ForwardedAnswer) -> bool:
    is_stream = request.route.kind is RouteKind.STREAM and passed.status == 200
    return is_stream and EVENT_STREAM in passed.header("Content-Type")


def _chain(first: bytes, rest: Iterator[bytes]) -> Iterator[bytes]:
    try:
        if first:
            yield first
        yield from rest
    finally:
        rest.close()
