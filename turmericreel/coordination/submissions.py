"""Builds the command for a submitted text: as edits if that is smaller."""

import msgspec

from turmericreel.coordination.control_view import ControlView
from turmericreel.model.ids import OperatorId, Revision, SubmissionId
from turmericreel.state.commands.configuration import SubmitEdits, SubmitText
from turmericreel.util.text_edits import make_edits, text_checksum


def submission_command(
    view: ControlView,
    *,
    submission: SubmissionId,
    base_revision: Revision,
    text: str,
    operator: OperatorId,
) -> SubmitText | SubmitEdits:
    """Return the command that submits a text.

    It holds edits if the base text is known and they are smaller than the text.  Both
    forms have the same effect and, under the same submission id, the same answer.

    Parameters
    ----------
    view : ControlView
        Holds the newest texts, the possible bases of edits.
    submission : SubmissionId
    base_revision : Revision
    text : str
    operator : OperatorId
    """
    base = view.source_texts.get(base_revision)
    if base is not None:
        edits = make_edits(base, text)
        if len(msgspec.msgpack.encode(edits)) < len(text.encode()):
            return SubmitEdits(
                submission=submission,
                base_revision=base_revision,
                edits=edits,
                checksum=text_checksum(text),
                operator=operator,
            )
    return SubmitText(
        submission=submission,
        base_revision=base_revision,
        text=text,
        operator=operator,
    )
