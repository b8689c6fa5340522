"""Sends an attempt to a backend server and checks that the answer belongs to it."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass
from random import Random
from urllib.parse import quote

import msgspec
from eliot import log_message

from turmericreel.decisions.gateway_rates import GatewayRates
from turmericreel.decisions.rate_limits import parse_rate
from turmericreel.entry.answer_buffer import AnswerBuffer
from turmericreel.entry.pieces import Finished, Piece, Started, Tokens, WholeAnswer
from turmericreel.entry.server_answer import ServerAnswer
from turmericreel.entry.server_connections import ServerConnection, ServerConnections
from turmericreel.entry.server_events import EventChecker
from turmericreel.model.failures import (
    FailureError,
    Interrupted,
    NotRun,
    NotRunReason,
    OutcomeUnknown,
    ProofKind,
)
from turmericreel.model.ids import AttemptNumber, FencingToken, Revision, VersionId
from turmericreel.model.request import Request, RequestKind
from turmericreel.model.server_crash import process_of
from turmericreel.model.servers import BackendServer
from turmericreel.protocols import headers
from turmericreel.protocols.addresses import parse_address
from turmericreel.protocols.chat import ChatCompletion
from turmericreel.util.clock import Clock

CONNECT_TIMEOUT_S = 0.5
RETRY_AFTER_MS = 1_000
IDLE_TIMEOUT_S = 10.0
EVENT_STREAM = "text/event-stream"
MAX_LOGGED_HEADER = 64
MAX_BODY_BYTES = 16 * 1024 * 1024
# Of all incomplete answers.
MAX_BUFFERED_BYTES = 32 * 1024 * 1024


@dataclass(frozen=True, kw_only=True)
class Dispatch:
    """One attempt: the request, the backend server and the parameters of the call.

    Parameters
    ----------
    deadline : float
        Seconds on the monotonic clock.
    resume_from : int
        Number of tokens that the caller already has; 0 for a new answer.
    """

    request: Request
    attempt: AttemptNumber
    server: BackendServer
    version: VersionId
    revision: Revision
    fencing_token: FencingToken
    deadline: float
    resume_from: int = 0


class ServerClient:
    """Sends attempts to backend servers.

    Parameters
    ----------
    clock : Clock
    idle_timeout_s : float
        Seconds without a byte, after the first token, before a stream fails.

    Attributes
    ----------
    rates : GatewayRates
        Rates that servers name in their answers.
    on_brittle : callable
        Called with each server that answered, and what it says of the refusals that it
        bears; empty if nothing.
    """

    def __init__(self, *, clock: Clock, idle_timeout_s: float = IDLE_TIMEOUT_S):
        self.clock = clock
        self.idle_timeout_s = idle_timeout_s
        self.rates = GatewayRates(rng=Random())
        self.on_brittle: Callable[[BackendServer, str], None] = lambda server, text: (
            None
        )
        self.connections = ServerConnections(clock=clock)
        self.buffer = AnswerBuffer(limit_bytes=MAX_BUFFERED_BYTES)

    def run(self, dispatch: Dispatch) -> Iterator[Piece]:
        """Send an attempt and yield the pieces of its answer.

        Closing the iterator closes the connection, which cancels the attempt at the
        server.

        Raises
        ------
        FailureError
            With `NotRun` when the call provably had no effect, `OutcomeUnknown`
            when it was dispatched but has no valid answer, `Interrupted` when a
            streamed answer broke off.
        """
        connection = self._connect(dispatch)
        reusable = False
        try:
            _send(dispatch, connection, self.clock)
            answer = ServerAnswer(
                connection=connection,
                method=dispatch.request.method,
                clock=self.clock,
                deadline=dispatch.deadline,
            )
            try:
                yield from self._read(dispatch, answer)
            finally:
                answer.close()
            reusable = answer.reusable
        finally:
            if reusable:
                self.connections.release(connection)
            else:
                connection.close()

    def _connect(self, dispatch: Dispatch) -> ServerConnection:
        address = parse_address(dispatch.server.address)
        remaining_s = dispatch.deadline - self.clock.monotonic()
        timeout = min(CONNECT_TIMEOUT_S, max(remaining_s, 0.001))
        try:
            if dispatch.request.repeatable:
                return self.connections.acquire(address, timeout=timeout)
            # An idle connection may turn out to be dead only after the request was
            # written.  Nothing then proves that the call did not run.
            return self.connections.connect(address, timeout=timeout)
        except OSError as error:
            self.connections.close_idle(address)
            raise _not_run(
                NotRunReason.NO_HEALTHY_SERVER,
                ProofKind.CONNECTION_REFUSED,
                str(error),
            ) from error

    def _read(self, dispatch: Dispatch, answer: ServerAnswer) -> Iterator[Piece]:
        try:
            answer.read_header()
        except FailureError as error:
            raise _unknown(dispatch, error.failure.describe()) from error
        _check_identity(dispatch, answer)
        self._record_rate(dispatch, answer)
        self.on_brittle(dispatch.server, answer.header(headers.BRITTLE))
        refused = answer.header(headers.REFUSED)
        if refused:
            raise _not_run(
                NotRunReason.REFUSED_BY_SERVER, ProofKind.REFUSED_BY_PROTOCOL, refused
            )
        content_type = answer.header("Content-Type", "application/octet-stream")
        if dispatch.request.kind is RequestKind.PLAIN:
            yield self._read_whole_answer(dispatch, answer, content_type)
        elif answer.status >= 500:
            raise _unknown(dispatch, f"status {answer.status}")
        elif answer.status != 200:
            yield self._read_whole_answer(dispatch, answer, content_type)
        elif content_type.startswith(EVENT_STREAM):
            blocks = answer.blocks(idle_timeout_s=self.idle_timeout_s)
            yield from self._read_stream(dispatch, answer, blocks)
        else:
            yield from self._read_completion(dispatch, answer)

    def _read_stream(
        self, dispatch: Dispatch, answer: ServerAnswer, blocks: Iterator[bytes]
    ) -> Iterator[Piece]:
        request_id = dispatch.request.request_id
        next_sequence = dispatch.resume_from
        resumed = answer.header(headers.RESUME_FROM, "0") == str(next_sequence)
        restarted = not resumed and dispatch.server.deterministic
        checker = EventChecker(
            chunk_id=f"{request_id}-{dispatch.attempt}",
            sequence=next_sequence,
            n_skip=next_sequence if restarted else 0,
            requires_sequence=not (resumed or restarted),
            share=self.buffer.open(on_evicted=answer.give_up),
        )
        try:
            yield Started(request_id=request_id, version=dispatch.version)
            yield from checker.pieces(blocks)
        except FailureError as error:
            detail = error.failure.describe()
            raise _interrupted(dispatch, checker.sequence, detail) from error
        finally:
            checker.share.release()

    def _read_completion(
        self, dispatch: Dispatch, answer: ServerAnswer
    ) -> Iterator[Piece]:
        """Yield the pieces of a completion that the server did not stream."""
        if dispatch.resume_from:
            raise _interrupted(
                dispatch, dispatch.resume_from, "the server did not resume"
            )
        body = self._read_body(dispatch, answer)
        try:
            completion = msgspec.json.decode(body, type=ChatCompletion)
            choice = completion.choices[0]
        except (msgspec.MsgspecError, UnicodeDecodeError, IndexError) as error:
            raise _unknown(dispatch, f"malformed answer: {error}") from error
        yield Started(request_id=dispatch.request.request_id, version=dispatch.version)
        yield Tokens(sequence=0, texts=(choice.message.content,))
        yield Finished(
            usage=completion.usage.to_usage(), finish_reason=choice.finish_reason
        )

    def _read_whole_answer(
        self, dispatch: Dispatch, answer: ServerAnswer, content_type: str
    ) -> WholeAnswer:
        body = self._read_body(dispatch, answer)
        return WholeAnswer(
            request_id=dispatch.request.request_id,
            version=dispatch.version,
            status=answer.status,
            content_type=content_type,
            body=body,
        )

    def _read_body(self, dispatch: Dispatch, answer: ServerAnswer) -> bytes:
        try:
            return answer.read_body(limit_bytes=MAX_BODY_BYTES, buffer=self.buffer)
        except FailureError as error:
            raise _unknown(dispatch, error.failure.describe()) from error

    def _record_rate(self, dispatch: Dispatch, answer: ServerAnswer) -> None:
        """Record the limit that the answer names, or that it names none."""
        text = answer.header(headers.RATE_LIMIT)
        rate = parse_rate(text) if text else None
        if text and rate is None:
            log_message(
                "entry:rate_limit_invalid",
                server=dispatch.server.server,
                named=text[:MAX_LOGGED_HEADER],
            )
            return
        process = process_of(dispatch.server)
        if self.rates.record_answer(process, rate, now=self.clock.monotonic()):
            log_message(
                "entry:rate_limit", server=dispatch.server.server, rate=rate, named=text
            )


def _send(dispatch: Dispatch, connection: ServerConnection, clock: Clock) -> None:
    remaining_s = dispatch.deadline - clock.monotonic()
    data = memoryview(_encode_request(dispatch))
    n_sent = 0
    try:
        while n_sent < len(data):
            n_sent += connection.send(data[n_sent:], timeout=max(remaining_s, 0.001))
    except OSError as error:
        if n_sent == 0:
            # The operating system accepted no byte, so none can have reached the
            # server.
            raise _not_run(
                NotRunReason.NO_HEALTHY_SERVER, ProofKind.NOT_DISPATCHED, str(error)
            ) from error
        raise _unknown(dispatch, str(error)) from error


def _encode_request(dispatch: Dispatch) -> bytes:
    request = dispatch.request
    lines = [f"{request.method} {_request_target(request.path)} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in _request_headers(dispatch).items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + request.body


def _request_target(path: str) -> str:
    # Quoting prevents header injection by line breaks in the caller's path.
    return quote(path.encode("latin-1", "replace"), safe="/:@!$&'()*+,;=-._~?%")


def _request_headers(dispatch: Dispatch) -> dict[str, str]:
    request = dispatch.request
    sent = {
        "Host": dispatch.server.address,
        "Content-Type": request.headers.get("Content-Type", "application/json"),
        "Content-Length": str(len(request.body)),
        headers.REQUEST_ID: request.request_id,
        headers.ATTEMPT: str(dispatch.attempt),
        headers.VERSION: dispatch.version,
        headers.REVISION: str(dispatch.revision),
        headers.FENCING_TOKEN: str(dispatch.fencing_token),
        headers.PRIORITY: str(request.priority),
    }
    if dispatch.resume_from:
        sent[headers.RESUME_FROM] = str(dispatch.resume_from)
    return sent


def _check_identity(dispatch: Dispatch, answer: ServerAnswer) -> None:
    expected = (dispatch.request.request_id, str(dispatch.attempt))
    received = (answer.header(headers.REQUEST_ID), answer.header(headers.ATTEMPT))
    if received != expected:
        raise _unknown(
            dispatch, f"the answer is for another request or attempt: {received}"
        )


def _not_run(reason: NotRunReason, proof: ProofKind, detail: str) -> FailureError:
    # The retry hint says that the request may succeed later or elsewhere.
    return FailureError(
        NotRun(
            reason=reason,
            proof=proof,
            retry_after_ms=RETRY_AFTER_MS,
            detail=detail,
        )
    )


def _unknown(dispatch: Dispatch, detail: str) -> FailureError:
    return FailureError(
        OutcomeUnknown(request_id=dispatch.request.request_id, detail=detail)
    )


def _interrupted(dispatch: Dispatch, delivered: int, detail: str) -> FailureError:
    return FailureError(
        Interrupted(
            request_id=dispatch.request.request_id,
            delivered_tokens=delivered,
            detail=detail,
        )
    )
