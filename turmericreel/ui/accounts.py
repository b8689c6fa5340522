"""Commands for accounts: statements, totals and reconciliation."""

from collections.abc import Iterator
from typing import Annotated, Any

import msgspec
import typer

from turmericreel.reports.reconciliation import Reconciliation, compare, merge
from turmericreel.state.bill import LedgerTotals
from turmericreel.ui.operator_client import OperatorClient
from turmericreel.ui.options import operator_client

accounts_app = typer.Typer(no_args_is_help=True, help="Accounts.")

AddressOption = Annotated[
    str, typer.Option("--address", envvar="TURMERICREEL_ADDRESS", help="ip:port")
]
KeyOption = Annotated[
    str, typer.Option("--key", envvar="TURMERICREEL_KEY", help="operator's key")
]
DEFAULT_ADDRESS = "127.0.0.1:7080"


@accounts_app.command("statement")
def statement(
    account: str,
    key: KeyOption,
    address: AddressOption = DEFAULT_ADDRESS,
    json: Annotated[bool, typer.Option(help="print one JSON object per line")] = False,
) -> None:
    """Print the bill lines of a client account."""
    client = operator_client(address, key)
    _print_lines(_iter_lines(client, "statement", account=account), json)
    _check_complete(client)


@accounts_app.command("neighbour")
def neighbour_statement(
    neighbour: str,
    key: KeyOption,
    address: AddressOption = DEFAULT_ADDRESS,
    json: Annotated[bool, typer.Option(help="print one JSON object per line")] = False,
) -> None:
    """Print the bill lines of work that a neighbour's servers did."""
    client = operator_client(address, key)
    _print_lines(_iter_lines(client, "neighbour_statement", neighbour=neighbour), json)
    _check_complete(client)


@accounts_app.command("totals")
def totals(key: KeyOption, address: AddressOption = DEFAULT_ADDRESS) -> None:
    """Print the totals by client account and by neighbour."""
    answer = operator_client(address, key).read("account_totals")
    typer.echo(msgspec.json.format(msgspec.json.encode(answer)).decode())


@accounts_app.command("reconcile")
def reconcile(key: KeyOption, address: AddressOption = DEFAULT_ADDRESS) -> None:
    """Compare counted with billed work; exit with code 1 if they differ."""
    client = operator_client(address, key)
    faults, n_lines = reconcile_all(client)
    for fault in faults:
        typer.echo(
            f"{fault.kind} {fault.where}: expected {fault.expected}, "
            f"found {fault.found}"
        )
    typer.echo(f"{n_lines} lines, {len(faults)} faults")
    if faults:
        raise typer.Exit(code=1)


def reconcile_all(client: OperatorClient):
    """Return the faults over all final lines, and the number of lines.

    Lines that become final during the run are excluded by their number.
    """
    account_totals = client.read("account_totals")
    pages = []
    after = -1
    while after is not None:
        arguments = {"after": str(after), "before": str(account_totals["n_final"])}
        page = client.read("reconcile", **arguments)
        pages.append(msgspec.convert(page, type=Reconciliation))
        after = pages[-1].next_after
    merged = merge(pages)
    faults = compare(
        merged,
        msgspec.convert(account_totals["totals"], type=LedgerTotals),
        n_final=account_totals["n_final"],
        gaps=account_totals["gaps"],
    )
    return faults, merged.n_lines


def _iter_lines(
    client: OperatorClient, query: str, **arguments: str
) -> Iterator[dict[str, Any]]:
    after = -1
    while True:
        page = client.read(query, after=str(after), **arguments)
        yield from page
        final = [line["number"] for line in page if line["number"] >= 0]
        # Provisional lines come last: a page with one, or without any final line,
        # is the last page.
        if len(final) < len(page) or not final:
            return
        after = final[-1]


def _check_complete(client: OperatorClient) -> None:
    """Exit with code 1 if lines are missing from the leader's archive."""
    gaps = client.read("account_totals")["gaps"]
    for first, end in gaps:
        typer.echo(
            f"incomplete: lines {first} to {end - 1} are missing from this archive",
            err=True,
        )
    if gaps:
        raise typer.Exit(code=1)


def _print_lines(lines: Iterator[dict[str, Any]], json: bool) -> None:
    n_lines = 0
    cost = 0
    for line in lines:
        n_lines += 1
        cost += line["cost"]
        if json:
            typer.echo(msgspec.json.encode(line).decode())
            continue
        state = "provisional" if line["number"] < 0 else line["number"]
        typer.echo(f"{state} {line['request']} {line['outcome']} {line['cost']}")
    if not json:
        typer.echo(f"{n_lines} lines, {cost} micro-credits")
