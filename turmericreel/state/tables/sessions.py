"""Bindings of sessions to versions."""

from typing import Any, NewType

import msgspec

from turmericreel.model.ids import VersionId
from turmericreel.state.commands.sessions import BindSession, SessionBound
from turmericreel.state.commands.union import Command, LogRecord, Result
from turmericreel.state.tables.table import Table
from turmericreel.util.expiry import ExpiryIndex

SessionKey = NewType("SessionKey", str)


class Binding(msgspec.Struct, kw_only=True):
    """Version of a session, and the log time at which the binding expires."""

    version: VersionId
    expires_ms: int


def session_key(command: BindSession) -> SessionKey:
    """Return the key of a session, unique across all accounts and services."""
    return SessionKey(f"{command.account}\0{command.service}\0{command.session}")


class SessionTable(Table):
    """Binds each session to the first version proposed for it."""

    commands = (BindSession,)

    def __init__(self):
        self.bindings: dict[SessionKey, Binding] = {}
        self.expiries = ExpiryIndex()

    def advance(self, now_ms: int) -> None:
        """Delete the expired bindings."""
        for key in self.expiries.pop_due(now_ms):
            del self.bindings[key]

    def has_due(self, now_ms: int) -> bool:
        """Return whether a binding has expired, so that a log record is needed."""
        return self.expiries.has_due(now_ms)

    def apply(self, command: Command, record: LogRecord) -> Result:
        """Bind a session, or extend its earlier binding and return that version."""
        key = session_key(command)
        known = self.bindings.get(key)
        if known is not None and known.expires_ms >= command.expires_ms:
            return SessionBound(version=known.version)
        version = command.version
        if known is not None:
            version = known.version
            self.expiries.discard(key, known.expires_ms)
        self.bindings[key] = Binding(version=version, expires_ms=command.expires_ms)
        self.expiries.add(key, command.expires_ms)
        return SessionBound(version=version)

    def dump(self) -> Any:
        """Return all bindings."""
        return self.bindings

    def load(self, dumped: Any) -> None:
        """Replace the table by a decoded dump."""
        self.bindings = msgspec.convert(dumped, type=dict[SessionKey, Binding])
        self.expiries = ExpiryIndex()
        for key, binding in self.bindings.items():
            self.expiries.add(key, binding.expires_ms)
