"""Decodes failures in the responses of instances."""

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
    """Decode the failure in a response body; None if it holds no valid failure.

    A failure of any other type is returned as `OutcomeUnknown`.
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
