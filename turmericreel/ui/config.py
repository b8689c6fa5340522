"""Commands that read the operators' text and its history."""

import difflib
from datetime import UTC, datetime
from typing import Annotated

import typer
from rich.table import Table

from turmericreel.ui.options import (
    DEFAULT_ADDRESS,
    AddressOption,
    JsonOption,
    KeyOption,
    console,
    operator_client,
    print_json,
)

config_app = typer.Typer(no_args_is_help=True, help="The operators' text.")


@config_app.command("show")
def show(
    key: KeyOption,
    address: AddressOption = DEFAULT_ADDRESS,
    revision: Annotated[
        int | None, typer.Option(help="revision to print (default: the one in force)")
    ] = None,
    as_json: JsonOption = False,
) -> None:
    """Print the text in force, or the text of a given revision.

    Without --json, the revision's number is printed to standard error.
    """
    client = operator_client(address, key)
    if revision is None:
        found = client.read("current_text")
    else:
        found = client.read("text_at", revision=str(revision))
    if as_json:
        print_json({"revision": found["revision"], "text": found["text"]})
        return
    typer.echo(f"revision {found['revision']}", err=True)
    typer.echo(found["text"], nl=False)


@config_app.command("history")
def history(
    key: KeyOption,
    address: AddressOption = DEFAULT_ADDRESS,
    as_json: JsonOption = False,
) -> None:
    """List the stored revisions, with the submitter and the time of each."""
    revisions = operator_client(address, key).read("revisions")
    if as_json:
        print_json(revisions)
        return
    table = Table(title="Revisions of the operators' text")
    table.add_column("revision", justify="right")
    table.add_column("accepted (UTC)")
    table.add_column("operator's key id")
    table.add_column("lines", justify="right")
    for stored_revision in revisions:
        accepted = datetime.fromtimestamp(stored_revision["time_ms"] / 1_000, tz=UTC)
        table.add_row(
            str(stored_revision["revision"]),
            f"{accepted:%Y-%m-%d %H:%M:%S}",
            stored_revision["operator"],
            str(stored_revision["n_lines"]),
        )
    console().print(table)


@config_app.command("diff")
def diff(
    old: int,
    new: int,
    key: KeyOption,
    address: AddressOption = DEFAULT_ADDRESS,
) -> None:
    """Print a unified diff of two stored revisions."""
    client = operator_client(address, key)
    texts = [client.read("text_at", revision=str(r))["text"] for r in (old, new)]
    lines = difflib.unified_diff(
        *(text.splitlines(keepends=True) for text in texts),
        fromfile=f"revision {old}",
        tofile=f"revision {new}",
    )
    typer.echo("".join(lines), nl=False)
