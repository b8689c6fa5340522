"""Sends a call to one instance and interprets the HTTP response."""

from dataclasses import dataclass, field

import msgspec
from gevent.ssl import SSLContext
from geventhttpclient.response import HTTPParseError

from turmericreel.client.outcomes import Completed, Outcome
from turmericreel.client.streams import AnswerStream
from turmericreel.client.wire import decode_failure
from turmericreel.model.failures import (
    NotRun,
    NotRunReason,
    OutcomeUnknown,
    ProofKind,
)
from turmericreel.model.ids import RequestId, VersionId
from turmericreel.protocols import headers
from turmericreel.protocols.chat import ChatCompletion
from turmericreel.protocols.http_client import build_http_client, open_connection

ANSWERED = (headers.COMPLETED, headers.STREAMING)

CONNECT_TIMEOUT_S = 1.0
DEADLINE_GRACE_S = 2.0
# A stream is complete only with its end marker, which `AnswerStream` checks.
ANSWERED = ("Completed", "Streaming")


@dataclass(frozen=True, kw_only=True)
class Call:
    """HTTP request of a call.

    Parameters
    ----------
    chat : bool
        Whether this is a chat request, whose answer is a chat completion.
    streaming : bool
        Whether the answer is requested as a stream.
    """

    method: str
    path: str
    body: bytes
    chat: bool = False
    streaming: bool = False
    header: dict[str, str] = field(default_factory=dict)


def exchange(
    call: Call, address: str, *, left_s: float, context: SSLContext | None
) -> Outcome | AnswerStream:
    """Send a call once and return its outcome, or the stream of its answer.

    Parameters
    ----------
    left_s : float
        Seconds until the call's deadline.
    """
    client = build_http_client(
        address, timeout_s=min(CONNECT_TIMEOUT_S, left_s), context=context
    )
    try:
        open_connection(client)
    except OSError as error:
        client.close()
        return NotRun(
            reason=NotRunReason.NO_HEALTHY_SERVER,
            proof=ProofKind.CONNECTION_REFUSED,
            detail=str(error),
        )
    stream = None
    try:
        stream = _send(call, client, left_s)
        return stream
    except (OSError, HTTPParseError) as error:
        return OutcomeUnknown(request_id="", detail=str(error) or type(error).__name__)
    finally:
        if not isinstance(stream, AnswerStream):
            client.close()


def _send(call: Call, client, left_s: float) -> Outcome | AnswerStream:
    sock = client._connection_pool.get_socket()
    # The instance enforces the deadline; this timeout covers an instance that failed.
    sock.settimeout(left_s + DEADLINE_GRACE_S)
    client._connection_pool.return_socket(sock)
    deadline_ms = str(max(1, int(left_s * 1_000)))
    sent = {**call.header, headers.DEADLINE_MS: deadline_ms}
    response = client.request(call.method, call.path, body=call.body, headers=sent)
    request_id = RequestId(response.get(headers.REQUEST_ID, ""))
    version = VersionId(response.get(headers.VERSION, ""))
    if response.get(headers.OUTCOME) not in ANSWERED:
        failure = decode_failure(bytes(response.read()))
        detail = f"status {response.status_code} without an outcome"
        return failure or OutcomeUnknown(request_id="", detail=detail)
    content_type = response.get("Content-Type", "")
    if call.chat and content_type.startswith("text/event-stream"):
        return AnswerStream(
            response=response, request_id=request_id, version=version, client=client
        )
    body = bytes(response.read())
    if call.chat and response.status_code == 200:
        return _completed_chat(body, request_id, version)
    return Completed(
        request_id=request_id,
        version=version,
        status=response.status_code,
        content_type=content_type,
        body=body,
    )


def _completed_chat(body: bytes, request_id: RequestId, version: VersionId) -> Outcome:
    try:
        completion = msgspec.json.decode(body, type=ChatCompletion)
        choice = completion.choices[0]
    except (msgspec.MsgspecError, IndexError) as error:
        return OutcomeUnknown(request_id=request_id, detail=str(error))
    if completion.id != request_id:
        detail = f"answer of another request {completion.id!r}"
        return OutcomeUnknown(request_id=request_id, detail=detail)
    return Completed(
        request_id=request_id,
        version=version,
        text=choice.message.content,
        usage=completion.usage.to_usage(),
        finish_reason=choice.finish_reason,
    )
