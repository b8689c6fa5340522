"""The command that collects the log lines of one request."""

from pathlib import Path
from typing import Annotated

import typer
from rich.progress import Progress
from rich.table import Table

from turmericreel.model.failures import FailureError, FileUnreadable
from turmericreel.reports.explain import LogLine, explain, read_lines
from turmericreel.ui.options import JsonOption, console, print_json, progress_console

EXIT_NOT_FOUND = 4


def explain_request(
    request: Annotated[str, typer.Argument(help="request id of the client's attempt")],
    files: Annotated[
        list[Path], typer.Argument(help="log files of one or more processes")
    ],
    as_json: JsonOption = False,
) -> None:
    """Show the log lines of a request in order, with the state changes around it."""
    found = explain(request, _read_log_files(files))
    if as_json:
        print_json(found)
    else:
        table = Table(title=f"Request {request}")
        for name in ("time", "process", "what", "details"):
            table.add_column(name, overflow="fold")
        first = found.lines[0].timestamp if found.lines else 0.0
        for line in found.lines:
            details = ", ".join(f"{k}={v}" for k, v in line.fields.items())
            since = f"{line.timestamp - first:+.3f} s"
            table.add_row(since, line.source, line.message_type, details)
        console().print(table)
    if not found.found:
        typer.echo(f"no log line has the request id {request!r}", err=True)
        raise typer.Exit(EXIT_NOT_FOUND)


def _read_log_files(files: list[Path]) -> list[LogLine | None]:
    lines: list[LogLine | None] = []
    with Progress(console=progress_console(), transient=True) as progress:
        task = progress.add_task("reading", total=len(files))
        for path in files:
            try:
                with path.open("rb") as text:
                    lines += read_lines(path.name, text)
            except OSError as error:
                failure = FileUnreadable(path=str(path), detail=str(error))
                raise FailureError(failure) from error
            progress.advance(task)
    return lines
