"""Refusals of requests that found no server."""

from turmericreel.model.failures import (
    FailureError,
    NotRun,
    NotRunReason,
    ProofKind,
)


def no_server_refusal(detail: str, *, wait_s: float) -> FailureError:
    """Return the refusal of a request that no server got.

    Parameters
    ----------
    detail : str
    wait_s : float
        Seconds after which the client may try again.
    """
    return FailureError(
        NotRun(
            reason=NotRunReason.NO_HEALTHY_SERVER,
            proof=ProofKind.NOT_DISPATCHED,
            retry_after_ms=max(int(wait_s * 1_000), 1),
            detail=detail,
        )
    )
