"""Commands that report service levels."""

from pathlib import Path
from typing import Annotated

import msgspec
import typer
from rich.console import Console
from rich.table import Table

from turmericreel.model.check_text import parse_text
from turmericreel.reports.burn import BurnReport, ObjectiveBurn, burn_report
from turmericreel.reports.burn_html import burn_html
from turmericreel.state.tables.service_levels import LevelKey, LevelSeries
from turmericreel.ui.options import operator_client
from turmericreel.util.clock import SystemClock

slo_app = typer.Typer(no_args_is_help=True, help="Service levels.")

DEFAULT_ADDRESS = "127.0.0.1:7080"


@slo_app.command("report")
def report(
    key: Annotated[str, typer.Option(envvar="TURMERICREEL_KEY")],
    address: Annotated[
        str, typer.Option(envvar="TURMERICREEL_ADDRESS")
    ] = DEFAULT_ADDRESS,
    as_json: Annotated[bool, typer.Option("--json", help="print JSON")] = False,
    html: Annotated[
        Path | None, typer.Option(help="write an HTML page to this file")
    ] = None,
) -> None:
    """Show the burn rates of error budgets, and the sources of bad events."""
    client = operator_client(address, key)
    series = msgspec.convert(
        client.read("service_levels"), type=dict[LevelKey, LevelSeries], strict=False
    )
    text = parse_text(client.read("current_text")["text"])
    burns = burn_report(series, text, time_ms=SystemClock().wall_ms())
    if html is not None:
        html.write_text(burn_html(burns))
    if as_json:
        typer.echo(msgspec.json.encode(burns).decode())
    else:
        _print_tables(burns)


def _print_tables(burns: BurnReport) -> None:
    console = Console()
    table = Table(title="Burn rate of error budgets")
    for name in ("service", "account", "indicator"):
        table.add_column(name)
    names = [w.window for w in burns.objectives[0].windows] if burns.objectives else []
    for name in [*names, "budget left"]:
        table.add_column(name, justify="right")
    table.add_column("alerts")
    for burn in burns.objectives:
        table.add_row(*_row(burn))
    console.print(table)
    for burn in burns.objectives:
        _print_blames(console, burn)


def _row(burn: ObjectiveBurn) -> list[str]:
    return [
        burn.service,
        burn.account,
        burn.indicator.value,
        *(f"{window.rate:.2f}" for window in burn.windows),
        f"{burn.budget_left:.1%}",
        " ".join(burn.alerts),
    ]


def _print_blames(console: Console, burn: ObjectiveBurn) -> None:
    if not burn.blames:
        return
    table = Table(title=f"{burn.service}, {burn.account}: {burn.indicator.value}")
    for name in ("version", "data centre", "backend server"):
        table.add_column(name)
    table.add_column("bad events", justify="right")
    table.add_column("share", justify="right")
    for blame in burn.blames:
        table.add_row(
            blame.version,
            blame.data_centre,
            blame.server,
            str(blame.n_bad),
            f"{blame.share:.0%}",
        )
    console.print(table)
