"""Writes entries in the order of the log, beside the task or while it waits."""

from collections.abc import Callable
from dataclasses import dataclass

from turmericreel.coordination.raft.file_runner import FileRunner, Job
from turmericreel.model.failures import FailureError
from turmericreel.state.storage.entries import Entry, HardState
from turmericreel.state.storage.log_storage import LogStorage


@dataclass(frozen=True, kw_only=True)
class EntriesWritten:
    """What became of a write that ran beside the task."""

    number: int
    last: Entry
    outcome: None | FailureError


class LogWriter:
    """Owner of what is not yet written.

    Parameters
    ----------
    storage : LogStorage
    runner : FileRunner
    report : callable
        Told, from beside the task, of an `EntriesWritten` to hand to `finish_write`.
    """

    def __init__(
        self,
        *,
        storage: LogStorage,
        runner: FileRunner,
        report: Callable[[EntriesWritten], None],
    ):
        self.storage = storage
        self.runner = runner
        self.report = report
        self.pending_entries: list[Entry] = []
        self.job: Job | None = None
        self.number = 0

    def write_in_background(self, entries: list[Entry]) -> None:
        """Write entries without waiting; one write at a time is under way."""
        self.pending_entries += entries
        self._begin()

    def write_and_wait(
        self, hard_state: HardState | None, entries: list[Entry]
    ) -> None:
        """Wait for what is under way, and write all that is left."""
        self.wait()
        entries, self.pending_entries = self.pending_entries + entries, []
        if hard_state is not None or entries:
            self.runner.run(self.storage.save, hard_state, entries)

    def discard_pending(self) -> None:
        """Wait for what is under way, and forget what a snapshot replaces."""
        self.wait()
        self.pending_entries = []

    def wait(self) -> None:
        """Wait for what is under way."""
        if self.job is not None:
            self.job.wait()
            self.job = None

    def finish_write(self, message: EntriesWritten) -> None:
        """Begin the next write.

        Raises
        ------
        FailureError
            With `StorageFailed` when the write failed.
        """
        if message.outcome is not None:
            raise message.outcome
        if message.number == self.number:
            self.job = None
        self._begin()

    def _begin(self) -> None:
        if self.job is not None or not self.pending_entries:
            return
        entries, self.pending_entries = self.pending_entries, []
        self.number += 1
        number = self.number
        self.job = self.runner.begin(
            self.storage.save,
            None,
            entries,
            done=lambda outcome: self.report(
                EntriesWritten(number=number, last=entries[-1], outcome=outcome)
            ),
        )
