"""Base class of the tables that make up the replicated state."""

from abc import ABC, abstractmethod
from typing import Any

from turmericreel.state.commands.union import Command, LogRecord, Result


class Table(ABC):
    """A part of the replicated state that handles some types of command.

    Attributes
    ----------
    commands : tuple of type
        Command types that the table applies.
    """

    commands: tuple[type, ...] = ()

    @abstractmethod
    def apply(self, command: Command, record: LogRecord) -> Result:
        """Apply one command and return its result; must be deterministic."""

    def advance(self, now_ms: int) -> None:  # noqa: B027
        """Expire the entries due at a log time; called for every applied record."""

    @abstractmethod
    def dump(self) -> Any:
        """Return the whole table as values that msgspec can encode."""

    @abstractmethod
    def load(self, dumped: Any) -> None:
        """Replace the table with one that `dump` returned, after decoding."""

    def has_due(self, now_ms: int) -> bool:
        """Return whether `advance` would expire something at a log time."""
        return False
