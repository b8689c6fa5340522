"""Targets of the load: the router, through the caller library, or a backend server."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from dataclasses import dataclass
from uuid import uuid4

import msgspec
from geventhttpclient.response import HTTPParseError

from turmericreel.client import Caller, Completed, NotRun, Outcome, OutcomeUnknown
from turmericreel.client.streams import AnswerStream
from turmericreel.load.workload import CallKind, PlannedCall, Workload
from turmericreel.model.failures import NotRunReason
from turmericreel.model.ids import RequestId
from turmericreel.protocols import headers
from turmericreel.protocols.chat import ChatMessage, ChatRequest
from turmericreel.protocols.http_client import build_http_client

CHAT_PATH = "/v1/chat/completions"


@dataclass(frozen=True, kw_only=True)
class CallResult:
    """Result of one call.

    Parameters
    ----------
    is_correct : bool
        Whether the answer is complete and has the call's label in every token; True
        if the call was not completed.
    effect : str
        Body of a booking's answer; ``""`` for none.
    """

    outcome: Outcome
    is_correct: bool = True
    effect: str = ""


class Target(ABC):
    """Destination of calls."""

    name: str

    @abstractmethod
    def send(
        self,
        planned: PlannedCall,
        workload: Workload,
        on_first_token: Callable[[], None],
    ) -> CallResult:
        """Send one call.

        `on_first_token` is called when the first token of a stream is received.
        """


class RouterTarget(Target):
    """Sends through the caller library.

    Parameters
    ----------
    caller : Caller
    """

    name = "router"

    def __init__(self, *, caller: Caller):
        self.caller = caller

    def send(
        self,
        planned: PlannedCall,
        workload: Workload,
        on_first_token: Callable[[], None],
    ) -> CallResult:
        """Send one call."""
        if planned.kind is CallKind.BOOKING:
            return self._book(planned, workload)
        options = {
            "max_tokens": workload.max_tokens,
            "deadline_s": workload.deadline_s,
        }
        if planned.kind is CallKind.CHAT:
            outcome = self.caller.chat(workload.service, planned.content, **options)
        else:
            stream = self.caller.stream(workload.service, planned.content, **options)
            outcome = read_stream(stream, on_first_token)
        return CallResult(
            outcome=outcome, is_correct=is_correct_answer(outcome, planned.label)
        )

    def _book(self, planned: PlannedCall, workload: Workload) -> CallResult:
        outcome = self.caller.call(
            workload.booking_service,
            "POST",
            "/book",
            body=planned.label.encode(),
            idempotency_key=planned.label,
            deadline_s=workload.deadline_s,
        )
        effect = outcome.body.decode() if isinstance(outcome, Completed) else ""
        return CallResult(outcome=outcome, effect=effect)


class ServerTarget(Target):
    """Sends directly to a backend server, to measure the router's overhead.

    Parameters
    ----------
    address : str
        ``ip:port``.
    """

    name = "direct"

    def __init__(self, *, address: str):
        self.address = address

    def send(
        self,
        planned: PlannedCall,
        workload: Workload,
        on_first_token: Callable[[], None],
    ) -> CallResult:
        """Send the call as a streamed chat call, whatever its kind is."""
        request_id = uuid4().hex
        client = build_http_client(self.address, timeout_s=workload.deadline_s)
        request = ChatRequest(
            model=workload.service,
            messages=[ChatMessage(role="user", content=planned.content)],
            stream=True,
            max_tokens=workload.max_tokens,
        )
        sent = {headers.REQUEST_ID: request_id, headers.ATTEMPT: "1"}
        try:
            response = client.post(
                CHAT_PATH, body=msgspec.json.encode(request), headers=sent
            )
            stream = AnswerStream(
                response=response, request_id=RequestId(f"{request_id}-1")
            )
            outcome = read_stream(stream, on_first_token)
        except (OSError, HTTPParseError) as error:
            outcome = OutcomeUnknown(request_id=request_id, detail=str(error))
        finally:
            client.close()
        return CallResult(
            outcome=outcome, is_correct=is_correct_answer(outcome, planned.label)
        )


def read_stream(stream: AnswerStream, on_first_token: Callable[[], None]) -> Outcome:
    """Read a stream to its end and return its outcome."""
    for number, _ in enumerate(stream):
        if number == 0:
            on_first_token()
    return stream.outcome


def is_correct_answer(outcome: Outcome, label: str) -> bool:
    """Return whether a completed answer has all its tokens, each with the label.

    It is True for every other outcome.
    """
    if not isinstance(outcome, Completed):
        return True
    n_tokens = outcome.usage.completion_tokens
    return outcome.text == "".join(f"{label}:{n} " for n in range(n_tokens))


def outcome_label(outcome: Outcome) -> str:
    """Return the name under which an outcome is counted."""
    if isinstance(outcome, NotRun):
        reason: NotRunReason = outcome.reason
        return f"NotRun/{reason.value}"
    return type(outcome).__name__
