"""Interface of a replicated log, for proposing commands and reading the state."""

from abc import ABC, abstractmethod
from collections.abc import Callable
from typing import TypeVar

from turmericreel.model.failures import FailureError, NotLeader
from turmericreel.model.ids import FencingToken
from turmericreel.state.commands.union import Command, LogRecord, Result
from turmericreel.state.replicated_machine import ReplicatedMachine

AppliedCallback = Callable[[LogRecord, Result], None]

T = TypeVar("T")


class ReplicatedLog(ABC):
    """Commits commands in a total order and applies them to a state machine.

    Attributes
    ----------
    machine : ReplicatedMachine
        State after the last record that was applied on this member.
    """

    machine: ReplicatedMachine

    def __init__(self):
        self.applied_callbacks: list[AppliedCallback] = []

    @abstractmethod
    def start(self) -> None:
        """Recover the state and start the tasks."""

    @abstractmethod
    def stop(self) -> None:
        """Transfer leadership if possible and stop the tasks."""

    @abstractmethod
    def propose(self, command: Command, *, timeout: float) -> Result:
        """Commit a command durably and return its result.

        Raises
        ------
        FailureError
            With `NotLeader`, `ControlUnavailable` or `CommandTooLarge` if nothing was
            appended, or with `CommitUnknown`.
        """

    @abstractmethod
    def is_leader(self) -> bool:
        """Return whether this instance may serve linearizable reads now."""

    @abstractmethod
    def leader_hint(self) -> str:
        """Return the leader's control address by the local view, or ``""``."""

    @abstractmethod
    def fencing_token(self) -> FencingToken:
        """Return the fencing token for orders that are issued now."""

    @abstractmethod
    def orders_allowed_at(self) -> float:
        """Return when orders may first be sent to servers that check no fencing token.

        Returns
        -------
        float
            Seconds on the monotonic clock; by then an earlier leader's lease, and
            what that leader sent under it, has expired.
        """

    def read_current(self, read: Callable[[ReplicatedMachine], T]) -> T:
        """Return the result of a linearizable read of the state machine.

        The lease is checked again after the read, because the process may have been
        paused in between.

        Raises
        ------
        FailureError
            With `NotLeader` if this instance does not hold the lease.
        """
        self._require_lease()
        value = read(self.machine)
        self._require_lease()
        return value

    def notify_applied(self, record: LogRecord, result: Result) -> None:
        """Call the registered callbacks for an applied record."""
        for callback in self.applied_callbacks:
            callback(record, result)

    def _require_lease(self) -> None:
        if not self.is_leader():
            raise FailureError(NotLeader(leader=self.leader_hint()))
