"""Commands that run experiments on the router's decisions and print the results."""

from pathlib import Path
from typing import Annotated

import msgspec
import typer
from rich.console import Console
from rich.table import Table

from turmericreel.experiments.registry import (
    EXPERIMENTS,
    REPORT_SEEDS,
    TUNING_SEEDS,
)
from turmericreel.experiments.results import Report

experiment_app = typer.Typer(
    no_args_is_help=True, help="Seeded experiments on the router's decisions."
)
DEFAULT_RESULTS = Path("bench/results/decisions.json")
N_BAR_CHARS_AT_BOUND = 10
MAX_BAR_RATIO = 4.0


@experiment_app.command("list")
def list_experiments() -> None:
    """Print the names of the experiments."""
    for name, run in EXPERIMENTS.items():
        typer.echo(f"{name}: {run.__doc__.splitlines()[0]}")


@experiment_app.command("run")
def run_experiments(
    names: Annotated[list[str] | None, typer.Argument(help="default: all")] = None,
    results: Annotated[
        Path, typer.Option(help="JSON file to update")
    ] = DEFAULT_RESULTS,
    tuning: Annotated[bool, typer.Option(help="use the tuning seeds")] = False,
) -> None:
    """Run experiments, print their tables and store the results as JSON."""
    unknown = [name for name in names or [] if name not in EXPERIMENTS]
    if unknown:
        raise typer.BadParameter(f"no experiment {', '.join(unknown)}")
    seeds = TUNING_SEEDS if tuning else REPORT_SEEDS
    for name in names or EXPERIMENTS:
        report = EXPERIMENTS[name](seeds)
        _store_report(report, results)
        _print_report(report)


@experiment_app.command("report")
def report_results(
    results: Annotated[
        Path, typer.Option(help="JSON file of results")
    ] = DEFAULT_RESULTS,
    plot: Annotated[bool, typer.Option(help="draw the targets as bars")] = True,
) -> None:
    """Print stored results, and whether each target was met."""
    reports = list(_read_reports(results).values())
    for report in reports:
        _print_report(report)
    if plot:
        _plot(reports)


def _read_reports(path: Path) -> dict[str, Report]:
    if not path.exists():
        return {}
    return msgspec.json.decode(path.read_bytes(), type=dict[str, Report])


def _store_report(report: Report, path: Path) -> None:
    stored = _read_reports(path)
    stored[report.name] = report
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_bytes(msgspec.json.format(msgspec.json.encode(stored)) + b"\n")


def _print_report(report: Report) -> None:
    console = Console()
    columns = list(dict.fromkeys(k for row in report.rows for k in row.values))
    table = Table("case", "policy", *columns, title=f"{report.name} {report.seeds}")
    for row in report.rows:
        cells = [_format_number(row.values.get(column)) for column in columns]
        table.add_row(row.case, row.policy, *cells)
    console.print(table)
    targets = Table("target", "bound", "measured", "", title="targets")
    for target in report.targets:
        sign = "at most" if target.at_most else "at least"
        verdict = "met" if target.met else "MISSED"
        targets.add_row(
            target.name,
            f"{sign} {_format_number(target.bound)}",
            _format_number(target.measured),
            verdict,
        )
    console.print(targets)


def _format_number(value: float | None) -> str:
    return "" if value is None else f"{value:.4g}"


def _plot(reports: list[Report]) -> None:
    """Draw the ratio of measured value to bound as a bar for each target."""
    table = Table("target", "measured / bound", title="the mark | is the bound")
    for report in reports:
        for target in report.targets:
            if target.bound > 0:
                ratio = target.measured / target.bound
                table.add_row(target.name, _bar(ratio))
    Console().print(table)


def _bar(ratio: float) -> str:
    length = int(min(ratio, MAX_BAR_RATIO) * N_BAR_CHARS_AT_BOUND)
    bar = "█" * length
    if length < N_BAR_CHARS_AT_BOUND:
        bar = bar.ljust(N_BAR_CHARS_AT_BOUND) + "|"
    return f"{bar} {ratio:.2f}"
