"""Commands and results for the binding of sessions to versions."""

from turmericreel.model.ids import (
    ClientAccountId,
    ServiceName,
    SessionId,
    VersionId,
)
from turmericreel.state.commands.base import CommandStruct


class BindSession(CommandStruct):
    """Bind a session to a version; an existing binding keeps its version."""

    account: ClientAccountId
    service: ServiceName
    session: SessionId
    version: VersionId
    expires_ms: int


class SessionBound(CommandStruct):
    """The session is bound to this version."""

    version: VersionId
