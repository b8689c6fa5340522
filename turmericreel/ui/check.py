"""Commands that check files without a running system."""

from collections.abc import Callable
from pathlib import Path

import typer

from turmericreel.model.check_settings import parse_settings, read_source
from turmericreel.model.check_text import parse_text
from turmericreel.model.failures import FailureError, TextRejected
from turmericreel.ui.options import JsonOption, print_json

check_app = typer.Typer(no_args_is_help=True, help="Check files and report all faults.")


@check_app.command("settings")
def check_settings(path: Path, as_json: JsonOption = False) -> None:
    """Check an instance's settings file."""
    _check(path, parse_settings, as_json)


@check_app.command("text")
def check_text(path: Path, as_json: JsonOption = False) -> None:
    """Check a file with the operators' text."""
    _check(path, parse_text, as_json)


def _check(path: Path, parse: Callable[[str], object], as_json: bool) -> None:
    source = read_source(path)
    try:
        parse(source)
    except FailureError as error:
        if as_json and isinstance(error.failure, TextRejected):
            print_json({"faults": error.failure.faults})
        raise
    if as_json:
        print_json({"faults": []})
    else:
        typer.echo(f"{path}: no faults")
