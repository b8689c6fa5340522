"""Commands and results for submitting the operators' text."""

from turmericreel.model.ids import (
    Revision,
    SubmissionId,
)
from turmericreel.state.commands.base import CommandStruct
from turmericreel.util.text_edits import LineEdit


class SubmitText(CommandStruct):
    """Replace the operators' text if `base_revision` is still the current one."""

    submission: SubmissionId
    base_revision: Revision
    text: str
    operator: str = ""


class SubmitEdits(CommandStruct):
    """Like `SubmitText`, with the text as edits to the text of `base_revision`."""

    submission: SubmissionId
    base_revision: Revision
    edits: tuple[LineEdit, ...]
    checksum: str
    operator: str = ""


class Submitted(CommandStruct):
    """The submitted text is stored durably as this revision."""

    revision: Revision
