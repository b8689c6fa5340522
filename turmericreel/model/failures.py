"""All failure types, and their form on the wire.

A failure is a frozen dataclass with the data that its receiver needs to react.  Every
`FailureError` carries one instead of a bare string.
"""

from abc import ABC
from dataclasses import asdict, dataclass, fields
from enum import Enum

import msgspec

from turmericreel.model.ids import Revision


class NotRunReason(Enum):
    """Why a request was not run."""

    UNAUTHENTICATED = "unauthenticated"
    BAD_REQUEST = "bad_request"
    UNKNOWN_SERVICE = "unknown_service"
    VERSION_NOT_ALLOWED = "version_not_allowed"
    NO_CONFIGURATION = "no_configuration"
    LEASE_EXPIRED = "lease_expired"
    NO_HEALTHY_SERVER = "no_healthy_server"
    DEPENDENCY_DOWN = "dependency_down"
    SESSION_ENDED = "session_ended"
    OVER_LIMIT = "over_limit"
    DEADLINE_TOO_NEAR = "deadline_too_near"
    OVERLOADED = "overloaded"
    KEY_REQUIRED = "key_required"
    KEY_EXPIRED = "key_expired"
    KEY_REUSED = "key_reused"
    IN_PROGRESS = "in_progress"
    QUARANTINED = "quarantined"
    CONTROL_UNAVAILABLE = "control_unavailable"
    STOPPING = "stopping"
    BODY_TOO_LARGE = "body_too_large"
    BODY_TIMEOUT = "body_timeout"
    REFUSED_BY_SERVER = "refused_by_server"


class ProofKind(Enum):
    """Evidence that a request did not run."""

    NOT_DISPATCHED = "not_dispatched"
    CONNECTION_REFUSED = "connection_refused"
    REFUSED_BY_PROTOCOL = "refused_by_protocol"


@dataclass(frozen=True, kw_only=True)
class Failure(ABC):  # noqa: B024
    """Base class of all failures."""

    @property
    def tag(self) -> str:
        """Name of the failure on the wire and in logs."""
        return type(self).__name__

    def describe(self) -> str:
        """Return a one-line description for logs and error messages."""
        parts = [
            f"{key}={value.value if isinstance(value, Enum) else value}"
            for key, value in asdict(self).items()
            if value not in ("", None, ())
        ]
        return f"{self.tag}: {', '.join(parts)}" if parts else self.tag


@dataclass(frozen=True, kw_only=True)
class NotRun(Failure):
    """The request was not run by any backend server.

    Parameters
    ----------
    reason : NotRunReason
    proof : ProofKind
    retry_after_ms : int or None
        Delay in milliseconds after which a retry may succeed; None when a retry
        cannot help.
    addresses : tuple of str
        Other instances that may serve the request.
    detail : str
    """

    reason: NotRunReason
    proof: ProofKind = ProofKind.NOT_DISPATCHED
    retry_after_ms: int | None = None
    addresses: tuple[str, ...] = ()
    detail: str = ""


@dataclass(frozen=True, kw_only=True)
class OutcomeUnknown(Failure):
    """The request was dispatched, and it is unknown whether it took effect."""

    request_id: str
    detail: str = ""


@dataclass(frozen=True, kw_only=True)
class Interrupted(Failure):
    """The request ran, but its answer was not delivered completely."""

    request_id: str
    delivered_tokens: int = 0
    detail: str = ""


@dataclass(frozen=True, kw_only=True)
class FrameBroken(Failure):
    """A peer sent a frame that is truncated, oversized or not decodable."""

    detail: str


@dataclass(frozen=True, kw_only=True)
class PeerUnreachable(Failure):
    """The connection to the peer could not be opened, or was lost."""

    address: str
    detail: str = ""


@dataclass(frozen=True, kw_only=True)
class NotLeader(Failure):
    """The control instance is not the leader; `leader` is the one it knows, if any."""

    leader: str = ""


@dataclass(frozen=True, kw_only=True)
class CommitUnknown(Failure):
    """The command may have been committed; it can be resent with the same id."""

    detail: str = ""


@dataclass(frozen=True, kw_only=True)
class ControlUnavailable(Failure):
    """No control instance answered in time."""

    detail: str = ""


@dataclass(frozen=True, kw_only=True)
class ControlOverloaded(Failure):
    """A call was rejected unprocessed; its subscriber has too many in progress."""

    retry_after_ms: int


@dataclass(frozen=True, kw_only=True)
class QueryInvalid(Failure):
    """The query does not exist, or its arguments are missing or malformed."""

    detail: str


@dataclass(frozen=True, kw_only=True)
class NotInForce(Failure):
    """A revision is durable, but not all instances applied it in time."""

    revision: Revision
    confirmed: int
    waiting: int


@dataclass(frozen=True, kw_only=True)
class ListenFailed(Failure):
    """A listener could not be opened."""

    detail: str


@dataclass(frozen=True, kw_only=True)
class SubmitConflict(Failure):
    """The base revision of a submission is not the current one."""

    current_revision: Revision


@dataclass(frozen=True, kw_only=True)
class TextFault:
    """One fault in settings or in the operators' text."""

    line: int
    key: str
    detail: str


@dataclass(frozen=True, kw_only=True)
class TextRejected(Failure):
    """The operators' text or the settings are invalid; nothing was changed."""

    faults: tuple[TextFault, ...]

    def describe(self) -> str:
        """Return one line per fault."""
        return "\n".join(f"line {f.line}: {f.key}: {f.detail}" for f in self.faults)


@dataclass(frozen=True, kw_only=True)
class RoutingRejected(Failure):
    """A routing configuration is invalid and nothing was changed."""

    faults: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class Unauthenticated(Failure):
    """The presented key is unknown."""


@dataclass(frozen=True, kw_only=True)
class StorageFailed(Failure):
    """Durable storage is no longer reliable; the process must stop."""

    path: str
    detail: str


@dataclass(frozen=True, kw_only=True)
class LogDiverged(Failure):
    """A leader tried to overwrite a committed log entry; the process must stop."""

    index: int
    commit_index: int


@dataclass(frozen=True, kw_only=True)
class InternalFault(Failure):
    """An internal error of the program; the process must stop."""

    detail: str


@dataclass(frozen=True, kw_only=True)
class FileUnreadable(Failure):
    """A file given by a setting or an argument cannot be read."""

    path: str
    detail: str


@dataclass(frozen=True, kw_only=True)
class CommandTooLarge(Failure):
    """A command exceeds the size limit of a log entry; nothing was appended."""

    size_bytes: int
    limit_bytes: int


@dataclass(frozen=True, kw_only=True)
class PlatformRefused(Failure):
    """The process runs with a platform setting that the program does not support."""

    detail: str


class FailureError(Exception):
    """Exception that carries a `Failure`.

    Parameters
    ----------
    failure : Failure
    """

    def __init__(self, failure: Failure):
        super().__init__(failure.describe())
        self.failure = failure


class FailureWire(msgspec.Struct, frozen=True, kw_only=True):
    """A failure as it is encoded on the wire."""

    tag: str
    fields: dict


def _failure_types() -> dict[str, type[Failure]]:
    return {cls.__name__: cls for cls in Failure.__subclasses__()}


def failure_to_wire(failure: Failure) -> FailureWire:
    """Return the wire form of a failure."""
    values = {f.name: getattr(failure, f.name) for f in fields(failure)}
    return FailureWire(tag=failure.tag, fields=msgspec.to_builtins(values))


def failure_from_wire(wire: FailureWire) -> Failure:
    """Decode the failure that a peer sent.

    Raises
    ------
    FailureError
        With `FrameBroken` when the tag or a field is unknown.
    """
    cls = _failure_types().get(wire.tag)
    if cls is None:
        raise FailureError(FrameBroken(detail=f"unknown failure tag {wire.tag!r}"))
    try:
        return msgspec.convert(wire.fields, type=cls)
    except msgspec.ValidationError as error:
        raise FailureError(FrameBroken(detail=str(error))) from error
