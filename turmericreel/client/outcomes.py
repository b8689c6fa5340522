"""Outcomes of a call that the client library reports."""

from dataclasses import dataclass, field

from turmericreel.model.failures import Interrupted, NotRun, OutcomeUnknown
from turmericreel.model.ids import RequestId, VersionId
from turmericreel.model.request import Usage

__all__ = ["Completed", "Interrupted", "NotRun", "Outcome", "OutcomeUnknown"]


@dataclass(frozen=True, kw_only=True)
class Completed:
    """The complete answer to this call.

    Parameters
    ----------
    text : str
        Content of a chat completion; ``""`` for a plain service.
    status : int
        HTTP status of a plain service's answer.
    body : bytes
        Body of a plain service's answer.
    """

    request_id: RequestId
    version: VersionId
    text: str = ""
    usage: Usage = field(default_factory=Usage)
    finish_reason: str = ""
    status: int = 200
    content_type: str = ""
    body: bytes = b""


Outcome = Completed | NotRun | OutcomeUnknown | Interrupted
