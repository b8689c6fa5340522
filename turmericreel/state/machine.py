"""Replicated state machine that dispatches each command to its table."""

import msgspec

from turmericreel.state.commands.base import Done, Rejected, Tick
from turmericreel.state.commands.claims import ClaimHeld
from turmericreel.state.commands.union import (
    Batch,
    BatchApplied,
    Command,
    LogRecord,
    Result,
)
from turmericreel.state.replicated_machine import ReplicatedMachine
from turmericreel.state.tables.claims import ClaimTable
from turmericreel.state.tables.configuration import ConfigurationTable
from turmericreel.state.tables.contents import ContentTable
from turmericreel.state.tables.health import HealthTable
from turmericreel.state.tables.ledger import LedgerTable
from turmericreel.state.tables.orders import OrderTable
from turmericreel.state.tables.servers import ServerTable
from turmericreel.state.tables.service_levels import ServiceLevelTable
from turmericreel.state.tables.sessions import SessionTable
from turmericreel.state.tables.table import Table


class StateMachine(ReplicatedMachine):
    """All tables, and the index of the last record applied."""

    def __init__(self):
        self.configuration = ConfigurationTable()
        self.servers = ServerTable()
        self.sessions = SessionTable()
        self.claims = ClaimTable()
        self.ledger = LedgerTable()
        self.contents = ContentTable(is_registered=self.servers.is_registered)
        self.health = HealthTable()
        self.service_levels = ServiceLevelTable()
        self.orders = OrderTable()
        self.applied_index = 0
        self.tables: dict[str, Table] = {
            "configuration": self.configuration,
            "servers": self.servers,
            "sessions": self.sessions,
            "claims": self.claims,
            "ledger": self.ledger,
            "contents": self.contents,
            "health": self.health,
            "service_levels": self.service_levels,
            "orders": self.orders,
        }
        self.handlers: dict[type[Command], Table] = {
            command: table
            for table in self.tables.values()
            for command in table.commands
        }

    def apply(self, record: LogRecord) -> Result:
        """Apply one log record and return its result."""
        self.applied_index = record.index
        for table in self.tables.values():
            table.advance(record.time_ms)
        if record.command is None or isinstance(record.command, Tick):
            return Done(changed=False)
        if isinstance(record.command, Batch):
            return self._apply_batch(record.command, record)
        return self._apply_one(record.command, record)

    def _apply_batch(self, batch: Batch, record: LogRecord) -> BatchApplied:
        results = []
        for command in batch.commands:
            results.append(self._apply_one(command, record))
            # Later commands depend on this one, so a refusal ends the batch.
            if isinstance(results[-1], ClaimHeld | Rejected):
                break
        return BatchApplied(results=tuple(results))

    def _apply_one(self, command: Command, record: LogRecord) -> Result:
        return self.handlers[type(command)].apply(command, record)

    def has_due(self, now_ms: int) -> bool:
        """Return whether a `Tick` at `now_ms` would remove something."""
        return any(table.has_due(now_ms) for table in self.tables.values())

    def dump(self) -> bytes:
        """Return a snapshot of all tables."""
        parts = {name: table.dump() for name, table in self.tables.items()}
        parts["applied_index"] = self.applied_index
        return msgspec.msgpack.encode(parts)

    def load(self, snapshot: bytes) -> None:
        """Replace all tables with those of a snapshot."""
        parts = msgspec.msgpack.decode(snapshot)
        self.applied_index = parts.pop("applied_index")
        for name, dumped in parts.items():
            self.tables[name].load(dumped)
