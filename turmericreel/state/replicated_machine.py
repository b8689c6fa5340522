"""Interface of the state machines that a replicated log applies records to."""

from abc import ABC, abstractmethod
from typing import Any


class ReplicatedMachine(ABC):
    """State machine that every member applies the same records to.

    Subclass it to replicate other state.

    Attributes
    ----------
    applied_index : int
        Index of the last record applied; 0 initially.
    """

    applied_index: int = 0

    @abstractmethod
    def apply(self, record: Any) -> Any:
        """Apply one `LogRecord`, store its index, and return its result.

        The result must depend on the state and the record only.  The record's command
        is None for entries that the log itself created.
        """

    @abstractmethod
    def dump(self) -> bytes:
        """Return a snapshot of the state, including the applied index."""

    @abstractmethod
    def load(self, snapshot: bytes) -> None:
        """Replace the state with a snapshot."""

    def has_due(self, now_ms: int) -> bool:
        """Return whether the log should append a `Tick` to advance the log time."""
        return False
