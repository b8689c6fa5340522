"""Decodes what instances answer."""

import msgspec

from turmericreel.model.failures import (
    Failure,
    FailureError,
    FailureWire,
    Interrupted,
    NotRun,
    OutcomeUnknown,
    failure_from_wire,
)


def decode_failure(body: bytes) -> NotRun | OutcomeUnknown | Interrupted | None:
    """Return the failure that a body tells of, or None if it tells of none.

    A failure of another type than the three leaves the outcome unknown.
    """
    try:
        error = msgspec.json.decode(body, type=dict[str, dict])["error"]
        tag = error.pop("type")
        error.pop("message", None)
        failure: Failure = failure_from_wire(FailureWire(tag=tag, fields=error))
    except (msgspec.MsgspecError, KeyError, FailureError):
        return None
    if isinstance(failure, NotRun | OutcomeUnknown | Interrupted):
        return failure
    return OutcomeUnknown(request_id="", detail=failure.describe())
