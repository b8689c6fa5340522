"""Prints failures as one line and maps them to exit codes."""

import sys

import typer

from turmericreel.model.failures import (
    CommitUnknown,
    ControlUnavailable,
    Failure,
    FailureError,
    FileUnreadable,
    NotInForce,
    PeerUnreachable,
    StorageFailed,
    SubmitConflict,
    TextRejected,
    Unauthenticated,
)
from turmericreel.ui.commands import app

EXIT_OTHER_FAILURE = 1
EXIT_REJECTED = 3
EXIT_CONFLICT = 4
EXIT_UNAUTHENTICATED = 5
EXIT_UNREACHABLE = 6
EXIT_NOT_IN_FORCE = 7
EXIT_OUTCOME_UNKNOWN = 8
EXIT_STORAGE = 9

# Exit code 2 is not used here: the command line library exits with it on usage errors.
EXIT_CODES: dict[type[Failure], int] = {
    TextRejected: EXIT_REJECTED,
    FileUnreadable: EXIT_REJECTED,
    SubmitConflict: EXIT_CONFLICT,
    Unauthenticated: EXIT_UNAUTHENTICATED,
    PeerUnreachable: EXIT_UNREACHABLE,
    ControlUnavailable: EXIT_UNREACHABLE,
    NotInForce: EXIT_NOT_IN_FORCE,
    CommitUnknown: EXIT_OUTCOME_UNKNOWN,
    StorageFailed: EXIT_STORAGE,
}


def run() -> None:
    """Run the command line; on a failure, print it and exit with its code."""
    try:
        app()
    except FailureError as error:
        typer.echo(error.failure.describe(), err=True)
        sys.exit(EXIT_CODES.get(type(error.failure), EXIT_OTHER_FAILURE))
