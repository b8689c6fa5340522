"""At-most-once calls: the claim of an idempotency key, and the call's outcome."""

from collections.abc import Iterator

import msgspec

from turmericreel.coordination.control_client import ControlClient
from turmericreel.entry.pieces import Finished, Piece, Started, Tokens, WholeAnswer
from turmericreel.model.failures import (
    Failure,
    FailureError,
    NotRun,
    NotRunReason,
    OutcomeUnknown,
)
from turmericreel.model.ids import InstanceId, RequestId
from turmericreel.model.request import Request, Usage
from turmericreel.state.commands.claims import (
    ClaimHeld,
    ClaimState,
    CloseClaim,
    OpenClaim,
    RecordedAnswer,
)
from turmericreel.state.tables.claims import CLAIM_RETENTION_MS
from turmericreel.util.clock import Clock

CLAIM_GRACE_MS = 30_000
MAX_RECORDED_BYTES = 65_536
STREAMED_CONTENT_TYPE = "application/vnd.turmericreel.streamed"


class RecordedStream(msgspec.Struct, kw_only=True):
    """A streamed answer as it is recorded for resends."""

    text: str
    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int
    finish_reason: str


class CallClaim:
    """The claim of a call with an idempotency key.

    Parameters
    ----------
    request : Request
        Must have an idempotency key.
    control : ControlClient
    clock : Clock
    """

    def __init__(self, *, request: Request, control: ControlClient, clock: Clock):
        self.request = request
        self.control = control
        self.clock = clock
        self.state = ClaimState.NOT_RUN
        self.expires_ms: int | None = None
        self.answer: RecordedAnswer | None = None
        self.texts: list[str] = []
        self.started: Started | None = None

    def open(self) -> OpenClaim:
        """Return the command that claims the key."""
        request = self.request
        now_ms = self.clock.wall_ms()
        left_ms = int((request.deadline - self.clock.monotonic()) * 1_000)
        return OpenClaim(
            account=request.account,
            service=request.service,
            key=request.idempotency_key,
            request=request.request_id,
            digest=request.digest,
            instance=InstanceId(self.control.hello.instance),
            expires_ms=now_ms + CLAIM_RETENTION_MS,
            deadline_ms=now_ms + left_ms + CLAIM_GRACE_MS,
            created_ms=request.key_created_ms,
            releasable=request.repeatable,
        )

    def close(self) -> CloseClaim:
        """Return the command that records how the call ended."""
        return CloseClaim(
            account=self.request.account,
            service=self.request.service,
            key=self.request.idempotency_key,
            request=self.request.request_id,
            state=self.state,
            answer=self.answer,
        )

    def record_dispatch(self) -> None:
        """Record that from here on the call may have run."""
        self.state = self._state_after_failure()

    def record_failure(self, failure: Failure) -> None:
        """Record the failure; `NotRun` proves that the call has not run."""
        if isinstance(failure, NotRun):
            self.state = ClaimState.NOT_RUN

    def record_piece(self, piece: Piece) -> None:
        """Record a piece of the answer; the last one completes the call."""
        match piece:
            case Started():
                self.started = piece
            case Tokens(texts=texts):
                self.texts.extend(texts)
            case Finished():
                self._complete(self._recorded_stream(piece))
            case WholeAnswer():
                self._complete(
                    RecordedAnswer(
                        status=piece.status,
                        content_type=piece.content_type,
                        body=piece.body,
                        version=piece.version,
                    )
                )

    def _state_after_failure(self) -> ClaimState:
        # A repeatable call releases its key.
        return ClaimState.NOT_RUN if self.request.repeatable else ClaimState.UNKNOWN

    def _complete(self, answer: RecordedAnswer) -> None:
        self.state = ClaimState.COMPLETED
        if len(answer.body) <= MAX_RECORDED_BYTES:
            self.answer = answer

    def _recorded_stream(self, finished: Finished) -> RecordedAnswer:
        recorded = RecordedStream(
            text="".join(self.texts),
            prompt_tokens=finished.usage.prompt_tokens,
            completion_tokens=finished.usage.completion_tokens,
            cached_tokens=finished.usage.cached_tokens,
            finish_reason=finished.finish_reason,
        )
        return RecordedAnswer(
            status=200,
            content_type=STREAMED_CONTENT_TYPE,
            body=msgspec.json.encode(recorded),
            version=self.started.version,
        )


def replay_answer(held: ClaimHeld) -> Iterator[Piece]:
    """Yield the recorded answer of an earlier call with the same key.

    Raises
    ------
    FailureError
        With `NotRun` if the key was used for other content, or with
        `OutcomeUnknown` if no answer is recorded.
    """
    if not held.same_content:
        raise FailureError(NotRun(reason=NotRunReason.KEY_REUSED))
    if held.state is not ClaimState.COMPLETED or held.answer is None:
        detail = f"the call with this key is {held.state.value}, without an answer"
        raise FailureError(OutcomeUnknown(request_id=held.request, detail=detail))
    answer = held.answer
    if answer.content_type == STREAMED_CONTENT_TYPE:
        yield from _replay_stream(held.request, answer)
        return
    yield WholeAnswer(
        request_id=held.request,
        version=answer.version,
        status=answer.status,
        content_type=answer.content_type,
        body=answer.body,
    )


def _replay_stream(request_id: RequestId, answer: RecordedAnswer) -> Iterator[Piece]:
    recorded = msgspec.json.decode(answer.body, type=RecordedStream)
    usage = Usage(
        prompt_tokens=recorded.prompt_tokens,
        completion_tokens=recorded.completion_tokens,
        cached_tokens=recorded.cached_tokens,
    )
    yield Started(request_id=request_id, version=answer.version)
    yield Tokens(sequence=0, texts=(recorded.text,))
    yield Finished(usage=usage, finish_reason=recorded.finish_reason)
