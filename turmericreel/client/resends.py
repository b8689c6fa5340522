"""Decides whether and when a failed call is sent again."""

from dataclasses import dataclass

from turmericreel.model.failures import (
    Interrupted,
    NotRun,
    NotRunReason,
    OutcomeUnknown,
    ProofKind,
)

# Reasons that concern one instance only, so another instance may be tried immediately.
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
    """Decision to send a call again after a pause.

    Parameters
    ----------
    pause_s : float
        Seconds; 0 to send immediately.
    """

    pause_s: float


def next_send(
    failure: NotRun | OutcomeUnknown | Interrupted,
    *,
    has_key: bool,
    n_sends: int,
    n_addresses_left: int,
) -> NextSend | None:
    """Return when to send a call again, or None if it must not be sent again.

    A call that did not run may be sent again.  A call that may have run is sent again
    only with its idempotency key, so that the system returns the recorded answer.
    Pauses grow exponentially with the number of sends.

    Parameters
    ----------
    failure : NotRun, OutcomeUnknown or Interrupted
        How the last send ended.
    has_key : bool
        Whether the call carries an idempotency key.
    n_sends : int
        Number of sends so far.
    n_addresses_left : int
        Number of listed instances not yet tried in the current pass over the list.
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
            # The connection was lost.  A failure with a request id was reported by
            # the system and is final.
            return NextSend(pause_s=pause_s)
    return None
