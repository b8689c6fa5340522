"""Union types of all commands and results, and the log record of a command."""

import msgspec

from turmericreel.state.commands.base import CommandStruct, Done, Rejected, Tick
from turmericreel.state.commands.claims import (
    ClaimGranted,
    ClaimHeld,
    CloseClaim,
    OpenClaim,
)
from turmericreel.state.commands.configuration import SubmitEdits, Submitted, SubmitText
from turmericreel.state.commands.contents import (
    AdmitContent,
    ContentAdmitted,
    ContentQuarantined,
    ContentWaits,
    EndContent,
    RefuteCrash,
)
from turmericreel.state.commands.health import SetVersionHealth
from turmericreel.state.commands.ledger import OpenIntent, ReportUsage, SettleIntent
from turmericreel.state.commands.orders import EndOrder, IssueOrder, PlaceOrder
from turmericreel.state.commands.servers import (
    AnnounceServer,
    ExpireServers,
    ServerLeft,
    ServerStale,
)
from turmericreel.state.commands.service_levels import RecordServiceLevels
from turmericreel.state.commands.sessions import BindSession, SessionBound


class Batch(CommandStruct):
    """Commands applied together in one log record, in order.

    A command that results in `ClaimHeld` or `Rejected` ends the batch: later commands
    are not applied and have no result.
    """

    commands: tuple[
        BindSession
        | OpenClaim
        | CloseClaim
        | OpenIntent
        | SettleIntent
        | AdmitContent
        | EndContent
        | ReportUsage,
        ...,
    ]


Command = (
    SubmitText
    | SubmitEdits
    | BindSession
    | OpenClaim
    | CloseClaim
    | OpenIntent
    | SettleIntent
    | ReportUsage
    | AnnounceServer
    | ServerLeft
    | AdmitContent
    | EndContent
    | RefuteCrash
    | SetVersionHealth
    | ExpireServers
    | PlaceOrder
    | IssueOrder
    | EndOrder
    | RecordServiceLevels
    | Tick
    | Batch
)


class BatchApplied(CommandStruct):
    """Results of a batch, in the order of its commands."""

    results: tuple[
        Submitted
        | SessionBound
        | ClaimGranted
        | ClaimHeld
        | ContentAdmitted
        | ContentWaits
        | ContentQuarantined
        | Done
        | Rejected,
        ...,
    ]


Result = (
    Submitted
    | SessionBound
    | ClaimGranted
    | ClaimHeld
    | ContentAdmitted
    | ContentWaits
    | ContentQuarantined
    | Done
    | ServerStale
    | Rejected
    | BatchApplied
)


class LogRecord(msgspec.Struct, frozen=True, kw_only=True):
    """One entry of the replicated log.

    Parameters
    ----------
    time_ms : int
        Wall time in milliseconds that the leader assigned to the entry; it never
        decreases along the log.
    """

    index: int
    term: int
    time_ms: int
    command: Command | None
