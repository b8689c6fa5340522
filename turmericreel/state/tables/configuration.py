"""Revisions of the operators' text, and the answers to submissions."""

from typing import Any

import msgspec

from turmericreel.model.failures import (
    FailureError,
    SubmitConflict,
    TextFault,
    TextRejected,
    failure_to_wire,
)
from turmericreel.model.ids import Revision, SubmissionId
from turmericreel.state.commands.base import Rejected
from turmericreel.state.commands.configuration import SubmitEdits, Submitted, SubmitText
from turmericreel.state.commands.union import Command, LogRecord, Result
from turmericreel.state.tables.table import Table
from turmericreel.util.text_edits import apply_edits, text_checksum

MAX_REVISIONS = 64
# Of all stored texts; the newest is stored whatever its size.
MAX_HISTORY_CHARACTERS = 8 * 1024 * 1024
MAX_SUBMISSION_ANSWERS = 100_000


class TextRevision(msgspec.Struct, frozen=True, kw_only=True):
    """An accepted revision of the operators' text."""

    revision: Revision
    text: str
    operator: str
    time_ms: int


class _Dump(msgspec.Struct, kw_only=True):
    history: list[TextRevision]
    answers: dict[SubmissionId, Result]


class ConfigurationTable(Table):
    """Accepts at most one submission for each base revision.

    Attributes
    ----------
    history : list of TextRevision
        Newest revisions, oldest first: `MAX_REVISIONS` and `MAX_HISTORY_CHARACTERS`
        at most.
    answers : dict of SubmissionId to Result
        Answers to the newest `MAX_SUBMISSION_ANSWERS` submissions, for resends.
    """

    commands = (SubmitText, SubmitEdits)

    def __init__(self):
        self.history: list[TextRevision] = []
        self.answers: dict[SubmissionId, Result] = {}

    @property
    def revision(self) -> Revision:
        """Current revision; 0 before the first submission."""
        return self.history[-1].revision if self.history else Revision(0)

    @property
    def text(self) -> str:
        """Operators' text of the current revision; empty before the first."""
        return self.history[-1].text if self.history else ""

    def text_of(self, revision: Revision) -> str | None:
        """Return the text of a revision, or None if it is no longer stored."""
        if not self.history:
            return None
        # Revision numbers are consecutive.
        position = revision - self.history[0].revision
        if 0 <= position < len(self.history):
            return self.history[position].text
        return None

    def apply(self, command: Command, record: LogRecord) -> Result:
        """Apply a submission; a resent one gets the first answer again."""
        known = self.answers.get(command.submission)
        if known is not None:
            return known
        answer = self._decide(command, record)
        self.answers[command.submission] = answer
        if len(self.answers) > MAX_SUBMISSION_ANSWERS:
            self.answers.pop(next(iter(self.answers)))
        return answer

    def _decide(self, command: SubmitText | SubmitEdits, record: LogRecord) -> Result:
        if command.base_revision != self.revision:
            conflict = SubmitConflict(current_revision=self.revision)
            return Rejected(failure=failure_to_wire(conflict))
        # The text was validated before it was proposed.  Validation here could make a
        # later version of the program reject a text that was accepted before.
        try:
            text = self._submitted_text(command)
        except FailureError as error:
            return Rejected(failure=failure_to_wire(error.failure))
        accepted = TextRevision(
            revision=Revision(self.revision + 1),
            text=text,
            operator=command.operator,
            time_ms=record.time_ms,
        )
        self.history.append(accepted)
        self._drop_oldest()
        return Submitted(revision=accepted.revision)

    def _drop_oldest(self) -> None:
        del self.history[:-MAX_REVISIONS]
        n_characters = sum(len(revision.text) for revision in self.history)
        while n_characters > MAX_HISTORY_CHARACTERS and len(self.history) > 1:
            n_characters -= len(self.history.pop(0).text)

    def _submitted_text(self, command: SubmitText | SubmitEdits) -> str:
        if isinstance(command, SubmitText):
            return command.text
        text = apply_edits(self.text, command.edits)
        if text_checksum(text) != command.checksum:
            fault = TextFault(line=1, key="", detail="edits do not match their base")
            raise FailureError(TextRejected(faults=(fault,)))
        return text

    def dump(self) -> Any:
        """Return the stored revisions and submission answers."""
        return _Dump(history=self.history, answers=self.answers)

    def load(self, dumped: Any) -> None:
        """Replace the table by a decoded dump."""
        parts = msgspec.convert(dumped, type=_Dump)
        self.history = parts.history
        self.answers = parts.answers
