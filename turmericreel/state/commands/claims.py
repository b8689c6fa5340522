"""Commands and results of claims, which keep calls from running more than once."""

from enum import Enum

import msgspec

from turmericreel.model.ids import (
    ClientAccountId,
    ContentDigest,
    IdempotencyKey,
    InstanceId,
    RequestId,
    ServiceName,
    VersionId,
)
from turmericreel.state.commands.base import CommandStruct


class ClaimState(Enum):
    """State of the claim of a call."""

    OPEN = "open"
    COMPLETED = "completed"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


class OpenClaim(CommandStruct):
    """Claim the right to run a call under its idempotency key, before dispatch.

    Parameters
    ----------
    created_ms : int or None
        Wall time at which the caller created the key; None if the key has no time.
    expires_ms : int
        Log time from which the claim and its recorded answer may be deleted.
    deadline_ms : int
        Log time at which the claim is closed as unknown if it is still open.
    releasable : bool
        Whether the call may be repeated.  If so, the key is free again when the claim
        reaches its deadline.
    """

    account: ClientAccountId
    service: ServiceName
    key: IdempotencyKey
    request: RequestId
    digest: ContentDigest
    instance: InstanceId
    expires_ms: int
    deadline_ms: int = 0
    created_ms: int | None = None
    releasable: bool = False


class RecordedAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Recorded answer of a call, returned when the call is sent again."""

    status: int
    content_type: str
    body: bytes
    version: VersionId = VersionId("")


class CloseClaim(CommandStruct):
    """Record how a claimed call ended."""

    account: ClientAccountId
    service: ServiceName
    key: IdempotencyKey
    request: RequestId
    state: ClaimState
    answer: RecordedAnswer | None = None


class ClaimGranted(CommandStruct):
    """The proposer of the command may dispatch the call."""

    expires_ms: int = 0


class ClaimHeld(CommandStruct):
    """The call is already claimed, by `request`."""

    request: RequestId
    state: ClaimState
    answer: RecordedAnswer | None
    same_content: bool
    expires_ms: int = 0
