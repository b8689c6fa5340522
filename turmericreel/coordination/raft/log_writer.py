"""Writes entries in the order of the log, in the background or synchronously."""

from collections.abc import Callable
from dataclasses import dataclass

from turmericreel.coordination.raft.file_runner import FileRunner, Job
from turmericreel.model.failures import FailureError
from turmericreel.state.storage.entries import Entry, HardState, MemberId
from turmericreel.state.storage.log_storage import LogStorage


@dataclass(frozen=True, kw_only=True)
class EntriesWritten:
    """Outcome of a background write.

    Attributes
    ----------
    member : MemberId
        Member that wrote the entries, which may since have joined anew.
    number : int
        Sequence number of the write.
    last : Entry
        Last entry of the write.
    outcome : FailureError or None
        None when the write succeeded.
    """

    member: MemberId
    number: int
    last: Entry
    outcome: None | FailureError


class LogWriter:
    """Queues entries and writes them in order, one background write at a time.

    Parameters
    ----------
    member : MemberId
    storage : LogStorage
    runner : FileRunner
    report : callable
        Called outside the member's task with an `EntriesWritten`, which the task must
        pass to `finish_write`.
    """

    def __init__(
        self,
        *,
        member: MemberId,
        storage: LogStorage,
        runner: FileRunner,
        report: Callable[[EntriesWritten], None],
    ):
        self.member = member
        self.storage = storage
        self.runner = runner
        self.report = report
        self.pending_entries: list[Entry] = []
        self.job: Job | None = None
        self.number = 0

    def write_in_background(self, entries: list[Entry]) -> None:
        """Write entries without waiting, after a write that is in progress."""
        self.pending_entries += entries
        self._begin()

    def write_and_wait(
        self, hard_state: HardState | None, entries: list[Entry]
    ) -> None:
        """Wait for the write in progress, then write all pending entries and wait."""
        self.wait()
        entries, self.pending_entries = self.pending_entries + entries, []
        if hard_state is not None or entries:
            self.runner.run(self.storage.save, hard_state, entries)

    def discard_pending(self) -> None:
        """Wait for the write in progress and drop the pending entries."""
        self.wait()
        self.pending_entries = []

    def wait(self) -> None:
        """Wait for the write in progress."""
        if self.job is not None:
            self.job.wait()
            self.job = None

    def finish_write(self, message: EntriesWritten) -> None:
        """Handle the end of a background write and start the next one.

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
                EntriesWritten(
                    member=self.member,
                    number=number,
                    last=entries[-1],
                    outcome=outcome,
                )
            ),
        )
