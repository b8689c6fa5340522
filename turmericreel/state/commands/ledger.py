"""Commands of the ledger, which records the work and the bills of requests."""

import msgspec

from turmericreel.model.ids import (
    AttemptNumber,
    BackendServerId,
    ClientAccountId,
    InstanceId,
    RequestId,
    ServiceName,
    VersionId,
)
from turmericreel.state.commands.base import CommandStruct


class AttemptRecord(msgspec.Struct, frozen=True, kw_only=True):
    """Work of one attempt, in tokens; `cost` is in micro-credits."""

    attempt: AttemptNumber
    server: BackendServerId
    neighbour: str
    version: VersionId
    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int
    cost: int
    outcome: str
    estimated: bool = False


class OpenIntent(CommandStruct):
    """Record the intent to begin work for a request.

    Parameters
    ----------
    open_until_ms : int
        Log time from which this command is refused, so that a delayed duplicate can't
        reopen a settled request.
    deadline_ms : int
        Log time at which the intent is settled automatically if it is still open.
    """

    request: RequestId
    account: ClientAccountId
    service: ServiceName
    instance: InstanceId
    open_until_ms: int
    deadline_ms: int


class SettleIntent(CommandStruct):
    """Settle a request's bill with all its attempts."""

    request: RequestId
    outcome: str
    attempts: tuple[AttemptRecord, ...]


class ReportUsage(CommandStruct):
    """Record a backend server's report of an attempt; it may be late or repeated."""

    request: RequestId
    work: AttemptRecord
