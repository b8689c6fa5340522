"""The command that sends load to a system and checks every answer."""

from typing import Annotated

import typer
from rich.progress import Progress, TextColumn, TimeElapsedColumn
from rich.table import Table

from turmericreel.client import Caller
from turmericreel.load.report import LoadTestReport, TargetReport
from turmericreel.load.runner import LoadRunner
from turmericreel.load.targets import RouterTarget, ServerTarget, Target
from turmericreel.load.workload import Workload
from turmericreel.ui.options import (
    DEFAULT_ADDRESS,
    JsonOption,
    console,
    print_json,
    progress_console,
    tls_context,
)
from turmericreel.util.clock import SystemClock


def load(
    key: Annotated[
        str, typer.Option(envvar="TURMERICREEL_CALLER_KEY", help="caller's key")
    ],
    service: Annotated[str, typer.Option(help="assistant service to call")],
    address: Annotated[
        list[str] | None,
        typer.Option(help="instance to connect to first; may be repeated"),
    ] = None,
    rate: Annotated[float, typer.Option(help="mean calls per second")] = 10.0,
    duration: Annotated[float, typer.Option(help="seconds")] = 10.0,
    seed: Annotated[int, typer.Option(help="seed of the generated calls")] = 0,
    stream_share: Annotated[float, typer.Option(help="share of streamed calls")] = 0.5,
    booking_service: Annotated[
        str, typer.Option(help="plain service for bookings")
    ] = "",
    booking_share: Annotated[float, typer.Option(help="share of booking calls")] = 0.2,
    max_tokens: Annotated[int, typer.Option()] = 256,
    prompt_bytes: Annotated[int, typer.Option()] = 200,
    deadline: Annotated[
        float, typer.Option(help="deadline of each call in seconds")
    ] = 30.0,
    data_centre: Annotated[str, typer.Option(help="data centre of the callers")] = "",
    direct: Annotated[
        str,
        typer.Option(help="backend server to also call directly, without the router"),
    ] = "",
    as_json: JsonOption = False,
) -> None:
    """Send seeded open-loop load and check every answer.

    An answer must be complete and belong to its call. This needs the stand-in backend
    servers, which echo the call's label in every token.  The exit code is 1 if a call
    was lost, spoiled or doubled.
    """
    caller = Caller(
        bootstrap=address or [DEFAULT_ADDRESS],
        key=key,
        data_centre=data_centre,
        context=tls_context(),
    )
    targets: list[Target] = [RouterTarget(caller=caller)]
    if direct:
        targets.append(ServerTarget(address=direct))
    workload = Workload(
        service=service,
        booking_service=booking_service,
        stream_share=stream_share,
        booking_share=booking_share,
        max_tokens=max_tokens,
        prompt_bytes=prompt_bytes,
        deadline_s=deadline,
    )
    report = _run(targets, workload, rate=rate, duration=duration, seed=seed)
    if as_json:
        print_json(report)
    else:
        _print_report(report)
    if report.n_faults:
        raise typer.Exit(code=1)


def _run(
    targets: list[Target],
    workload: Workload,
    *,
    rate: float,
    duration: float,
    seed: int,
) -> LoadTestReport:
    columns = (*Progress.get_default_columns()[:3], TimeElapsedColumn())
    with Progress(
        TextColumn("load"), *columns, console=progress_console(), transient=True
    ) as progress:
        task = progress.add_task("load", total=duration)
        runner = LoadRunner(
            targets=targets,
            workload=workload,
            rate=rate,
            duration_s=duration,
            seed=seed,
            clock=SystemClock(),
            progress=lambda seconds: progress.update(task, completed=seconds),
        )
        return runner.run()


def _print_report(report: LoadTestReport) -> None:
    for target in report.targets:
        _print_times(target)
        _print_outcomes(target)
    verdict = "every call ended in a typed outcome; none was spoiled or doubled"
    if report.n_faults:
        verdict = f"{report.n_faults} calls were lost, spoiled or doubled"
    typer.echo(verdict)


def _print_times(target: TargetReport) -> None:
    table = Table(title=f"{target.name}: milliseconds since the planned arrival")
    table.add_column("what")
    for name in ("count", "mean", *target.whole.at_ms, "max"):
        table.add_column(name, justify="right")
    rows = {
        "first token": target.first_token,
        "whole answer": target.whole,
        "lateness of the tool": target.lateness,
    }
    for name, times in rows.items():
        values = [times.mean_ms, *times.at_ms.values(), times.max_ms]
        table.add_row(name, str(times.count), *(f"{v:.2f}" for v in values))
    console().print(table)


def _print_outcomes(target: TargetReport) -> None:
    table = Table(title=f"{target.name}: outcomes of {target.n_sent} calls")
    table.add_column("outcome")
    table.add_column("calls", justify="right")
    for outcome, n_calls in target.outcomes.items():
        table.add_row(outcome, str(n_calls))
    table.add_row("spoiled", str(target.n_spoiled))
    table.add_row("doubled", str(target.n_doubled))
    console().print(table)
