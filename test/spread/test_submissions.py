"""Texts submitted as edits have the same effect as whole texts, also when resent."""

import pytest

from test.spread.library import small_text
from turmericreel.coordination.control_view import ControlView
from turmericreel.coordination.submissions import submission_command
from turmericreel.model.failures import SubmitConflict, TextRejected, failure_from_wire
from turmericreel.model.ids import FencingToken, OperatorId, Revision, SubmissionId
from turmericreel.protocols.control_messages import ConfigurationPush
from turmericreel.state.commands.base import Rejected
from turmericreel.state.commands.configuration import SubmitEdits, Submitted, SubmitText
from turmericreel.state.commands.union import LogRecord
from turmericreel.state.tables.configuration import ConfigurationTable


@pytest.fixture
def table() -> ConfigurationTable:
    table = ConfigurationTable()
    apply(table, submit(ControlView(), "first", 0, small_text(1)))
    return table


def apply(table: ConfigurationTable, command):
    record = LogRecord(index=1, term=1, time_ms=1, command=command)
    return table.apply(command, record)


def view_of(revision: int, text: str) -> ControlView:
    view = ControlView()
    view.apply_text(
        ConfigurationPush(
            revision=Revision(revision), text=text, fencing_token=FencingToken(1)
        )
    )
    return view


def submit(view: ControlView, name: str, base: int, text: str):
    return submission_command(
        view,
        submission=SubmissionId(name),
        base_revision=Revision(base),
        text=text,
        operator=OperatorId("ana"),
    )


def test_text_is_sent_as_edits_if_base_is_known(table):
    command = submit(view_of(1, small_text(1)), "s", 1, small_text(2))
    assert isinstance(command, SubmitEdits)
    assert apply(table, command) == Submitted(revision=Revision(2))
    assert table.text == small_text(2)
    assert table.history[-1].operator == "ana"


def test_text_is_sent_whole_if_base_is_unknown(table):
    command = submit(ControlView(), "s", 1, small_text(2))
    assert isinstance(command, SubmitText)


def test_resend_in_the_other_form_gets_the_first_answer(table):
    edits = submit(view_of(1, small_text(1)), "s", 1, small_text(2))
    first = apply(table, edits)
    apply(table, submit(ControlView(), "t", 2, small_text(3)))
    whole = submit(ControlView(), "s", 1, small_text(2))
    assert isinstance(whole, SubmitText)
    assert apply(table, whole) == first
    assert table.text == small_text(3)


def test_edits_of_an_older_revision_conflict(table):
    apply(table, submit(ControlView(), "t", 1, small_text(3)))
    edits = submit(view_of(1, small_text(1)), "s", 1, small_text(2))
    refused = apply(table, edits)
    assert isinstance(refused, Rejected)
    assert failure_from_wire(refused.failure) == SubmitConflict(
        current_revision=Revision(2)
    )


def test_edits_of_another_base_are_refused(table):
    # The edits apply to this base too and give a valid text, but not the submitted one.
    note = "# note\n"
    view = view_of(1, small_text(1) + note)
    edits = submit(view, "s", 1, small_text(2) + note)
    assert isinstance(edits, SubmitEdits)
    refused = apply(table, edits)
    assert isinstance(failure_from_wire(refused.failure), TextRejected)
    assert table.text == small_text(1)
