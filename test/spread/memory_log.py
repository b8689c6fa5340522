"""A fake of the replicated log, whose commits all instances see immediately."""

from turmericreel.coordination.replicated_log import ReplicatedLog
from turmericreel.model.failures import FailureError, NotLeader
from turmericreel.model.ids import (
    FencingToken,
)
from turmericreel.state.commands.union import Command, LogRecord, Result
from turmericreel.state.machine import StateMachine
from turmericreel.util.clock import Clock


class SharedLog:
    """Committed state and current leader, shared by all instances."""

    def __init__(self):
        self.machine = StateMachine()
        self.index = 0
        self.leader = ""
        self.token = FencingToken(0)


class MemoryLog(ReplicatedLog):
    """The fake log of one control instance.

    Parameters
    ----------
    name : str
    shared : SharedLog
    clock : Clock
    """

    def __init__(self, *, name: str, shared: SharedLog, clock: Clock):
        super().__init__()
        self.name = name
        self.shared = shared
        self.clock = clock
        self.machine = shared.machine

    def start(self) -> None:
        """Do nothing."""

    def stop(self) -> None:
        """Do nothing."""

    def propose(self, command: Command, *, timeout: float) -> Result:
        """Commit immediately if this instance is the leader.

        Raises
        ------
        FailureError
            With `NotLeader` otherwise.
        """
        if not self.is_leader():
            raise FailureError(NotLeader(leader=self.leader_hint()))
        self.shared.index += 1
        record = LogRecord(
            index=self.shared.index,
            term=self.shared.token,
            time_ms=self.clock.wall_ms(),
            command=command,
        )
        result = self.machine.apply(record)
        self.notify_applied(record, result)
        return result

    def is_leader(self) -> bool:
        """Return whether the test made this instance the leader."""
        return self.shared.leader == self.name

    def leader_hint(self) -> str:
        """Return the leader's name in place of an address."""
        return self.shared.leader

    def fencing_token(self) -> FencingToken:
        """Return the fencing token of the current term."""
        return self.shared.token

    def orders_allowed_at(self) -> float:
        """Return 0.0: orders are allowed from the start."""
        return 0.0
