"""Opens a request in the replicated state with one log record before any dispatch.

The record holds the claim of the idempotency key, the binding of the session and the
intent in the ledger; it leaves out those that the request does not need.
"""

from dataclasses import dataclass

from turmericreel.coordination.control_client import ControlClient
from turmericreel.model.failures import (
    CommitUnknown,
    ControlUnavailable,
    Failure,
    FailureError,
    NotRun,
    NotRunReason,
    failure_from_wire,
)
from turmericreel.model.ids import VersionId
from turmericreel.model.request import Request
from turmericreel.state.commands.base import Rejected
from turmericreel.state.commands.claims import ClaimGranted, ClaimHeld, OpenClaim
from turmericreel.state.commands.ledger import OpenIntent
from turmericreel.state.commands.sessions import BindSession, SessionBound
from turmericreel.state.commands.union import Batch
from turmericreel.util.clock import Clock

OPEN_TIMEOUT_S = 5.0
RETRY_AFTER_MS = 1_000

OpeningCommand = OpenClaim | BindSession | OpenIntent


@dataclass(frozen=True, kw_only=True)
class OpenedRequest:
    """Result of the record that opens a request.

    Parameters
    ----------
    held : ClaimHeld or None
        An earlier claim of the idempotency key; if set, nothing else was opened.
    version : VersionId or None
        Version that the session is bound to; None without a session.
    key_expires_ms : int or None
        Unix milliseconds until which a resend under the key gets the recorded outcome.
    """

    held: ClaimHeld | None = None
    version: VersionId | None = None
    key_expires_ms: int | None = None


class RequestOpener:
    """Proposes the log records that open requests.

    Parameters
    ----------
    control : ControlClient
    clock : Clock
    """

    def __init__(self, *, control: ControlClient, clock: Clock):
        self.control = control
        self.clock = clock

    def open(self, request: Request, commands: list[OpeningCommand]) -> OpenedRequest:
        """Commit the commands in one log record and return their results.

        Raises
        ------
        FailureError
            With `NotRun`: nothing was dispatched, whether or not the record was
            committed.
        """
        remaining_s = request.deadline - self.clock.monotonic()
        batch = Batch(commands=tuple(commands))
        try:
            applied = self.control.propose(
                batch, timeout=min(remaining_s, OPEN_TIMEOUT_S)
            )
        except FailureError as error:
            if not isinstance(error.failure, CommitUnknown | ControlUnavailable):
                raise
            raise opening_failure(error.failure, self.control) from error
        return _read_results(applied.results)


def opening_failure(failure: Failure, control: ControlClient) -> FailureError:
    """Return the caller's error when the control group did not confirm the opening.

    The request was not run: whether or not the record was committed, nothing was
    dispatched under it.
    """
    return FailureError(
        NotRun(
            reason=NotRunReason.CONTROL_UNAVAILABLE,
            retry_after_ms=RETRY_AFTER_MS,
            addresses=other_addresses(control),
            detail=failure.describe(),
        )
    )


def other_addresses(control: ControlClient) -> tuple[str, ...]:
    """Return the HTTP addresses of the other entry instances."""
    own = control.hello.instance
    instances = control.view.instances
    return tuple(i.http_address for i in instances if i.instance != own)


def _read_results(results: tuple) -> OpenedRequest:
    held = None
    version = None
    key_expires_ms = None
    for result in results:
        match result:
            case ClaimHeld():
                held = result
                key_expires_ms = result.expires_ms
            case ClaimGranted():
                key_expires_ms = result.expires_ms
            case SessionBound():
                version = result.version
            case Rejected():
                raise FailureError(failure_from_wire(result.failure))
    return OpenedRequest(held=held, version=version, key_expires_ms=key_expires_ms)
