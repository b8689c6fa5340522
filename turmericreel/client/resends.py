"""Whether and when a call is sent again after it failed."""

from dataclasses import dataclass

from turmericreel.model.failures import (
    Interrupted,
    NotRun,
    NotRunReason,
    OutcomeUnknown,
    ProofKind,
)

# Reasons that lie with one instance, so that another one may serve at once.
INSTANCE_SPECIFIC_REASONS = frozenset(
    {
        NotRunReason.NO_CONFIGURATION,
        NotRunReason.LEASE_EXPIRED,
        NotRunReason.OVERLOADED,
        NotRunReason.STOPPING,
        NotRunReason.CONTROL_UNAVAILABLE,
    }
)
FIRST_PAUSE_S = 0.2
MAX_PAUSE_S = 5.0
MAX_DOUBLINGS = 10


@dataclass(frozen=True, kw_only=True)
class NextSend:
    """Send again after a pause.

    Parameters
    ----------
    pause_s : float
        Seconds; 0 to send at once.
    """

    pause_s: float


def next_send(
    failure: NotRun | OutcomeUnknown | Interrupted,
    *,
    has_key: bool,
    n_sends: int,
    n_addresses_left: int,
) -> NextSend | None:
    """Return when to send a call again, or None if it must not be.

    What did not run may be sent again; what may have run only under the idempotency
    key of the first time, so that the system answers with what it recorded.

    Parameters
    ----------
    failure : NotRun, OutcomeUnknown or Interrupted
        How the last send ended.
    has_key : bool
        Whether the call carries an idempotency key.
    n_sends : int
        Sends so far.
    n_addresses_left : int
        Instances that have not been tried since the last pause.
    """
    doublings = min(n_sends - 1, MAX_DOUBLINGS)
    pause_s = min(FIRST_PAUSE_S * 2**doublings, MAX_PAUSE_S)
    match failure:
        case NotRun(proof=ProofKind.CONNECTION_REFUSED):
            return NextSend(pause_s=0.0 if n_addresses_left else pause_s)
        case NotRun(retry_after_ms=None):
            return None
        case NotRun(reason=reason) if reason in INSTANCE_SPECIFIC_REASONS:
            if n_addresses_left:
                return NextSend(pause_s=0.0)
            return NextSend(pause_s=max(pause_s, failure.retry_after_ms / 1_000))
        case NotRun():
            return NextSend(pause_s=max(pause_s, failure.retry_after_ms / 1_000))
        case OutcomeUnknown() if has_key and not failure.request_id:
            # The connection was lost; an answer that names the request is final.
            return NextSend(pause_s=pause_s)
    return None
