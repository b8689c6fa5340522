"""Applies committed entries to the state machine and answers their proposers."""

from collections.abc import Callable
from dataclasses import dataclass
from typing import Any

import msgspec
from gevent.event import AsyncResult

from turmericreel.model.failures import CommitUnknown, Failure, FailureError
from turmericreel.state.commands.union import LogRecord, Result
from turmericreel.state.replicated_machine import ReplicatedMachine
from turmericreel.state.storage.entries import Entry, EntryKind


@dataclass(frozen=True, kw_only=True)
class Waiter:
    """A proposer waiting for the entry that was appended in `term`."""

    term: int
    done: AsyncResult


class Applier:
    """Applies committed entries to one member's state machine.

    Parameters
    ----------
    machine : ReplicatedMachine
    command_type : type
        Type of the commands; msgspec must be able to decode it.
    notify : callable
        Called with each applied record and its result.
    """

    def __init__(
        self, *, machine: ReplicatedMachine, command_type: Any, notify: Callable
    ):
        self.machine = machine
        self.notify = notify
        self.waiters: dict[int, Waiter] = {}
        self.decoder = msgspec.msgpack.Decoder(command_type)
        self.bytes_since_snapshot = 0

    def load(self, snapshot: bytes) -> None:
        """Replace the state with that of a snapshot."""
        self.machine.load(snapshot)
        self.bytes_since_snapshot = 0

    def apply(self, entry: Entry) -> None:
        """Apply one entry, call `notify` and answer its proposer, if any."""
        command = None
        if entry.kind is EntryKind.COMMAND:
            command = self.decoder.decode(entry.data)
        record = LogRecord(
            index=entry.index, term=entry.term, time_ms=entry.time_ms, command=command
        )
        result = self.machine.apply(record)
        self.bytes_since_snapshot += entry.size_bytes
        self.notify(record, result)
        self._answer(entry, result)

    def fail_waiters(self, failure: Failure) -> None:
        """Fail all waiting proposers with `failure`.

        Whether their entries will be committed is not known.
        """
        waiters, self.waiters = self.waiters, {}
        for waiter in waiters.values():
            waiter.done.set_exception(FailureError(failure))

    def _answer(self, entry: Entry, result: Result) -> None:
        waiter = self.waiters.pop(entry.index, None)
        if waiter is None:
            return
        if waiter.term == entry.term:
            waiter.done.set(result)
        else:
            replaced = CommitUnknown(detail="replaced by another leader's entry")
            waiter.done.set_exception(FailureError(replaced))
