"""Binds the session of a caller to one version through the replicated state."""

from turmericreel.coordination.control_client import ControlClient
from turmericreel.decisions.version_policy import Plan, Stage
from turmericreel.model.failures import FailureError, NotRun, NotRunReason
from turmericreel.model.ids import VersionId
from turmericreel.model.request import Request
from turmericreel.state.commands.sessions import BindSession
from turmericreel.util.clock import Clock


def bind_session(
    request: Request, proposed_version: VersionId, control: ControlClient, clock: Clock
) -> BindSession | None:
    """Return the command that binds a request's session, or None without a session.

    Parameters
    ----------
    request : Request
    proposed_version : VersionId
        Version to bind the session to if it is not bound yet.
    control : ControlClient
    clock : Clock
    """
    if request.session is None:
        return None
    service = control.view.text.services[request.service]
    return BindSession(
        account=request.account,
        service=request.service,
        session=request.session,
        version=proposed_version,
        expires_ms=clock.wall_ms() + service.session_ttl_s * 1_000,
    )


def plan_for_session(plan: Plan, bound_version: VersionId | None, allowed) -> Plan:
    """Return a plan that keeps the session on its version.

    Parameters
    ----------
    plan : Plan
    bound_version : VersionId or None
        Version that the session is bound to; None when the request has no session.
    allowed : collection of VersionId
        Versions that accept new requests.

    Raises
    ------
    FailureError
        With `NotRun` when the session's version no longer accepts new requests.
    """
    if bound_version is None:
        return plan
    if bound_version not in allowed:
        raise FailureError(NotRun(reason=NotRunReason.SESSION_ENDED))
    # A session stays on one version, so its turns are not escalated.
    return Plan(stages=(Stage(version=bound_version),))
