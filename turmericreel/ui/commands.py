"""The command line application, with its top-level commands."""

import sys
from pathlib import Path
from typing import Annotated

import typer
from eliot import to_file
from rich.table import Table

from turmericreel.daemon.drain import Drain
from turmericreel.daemon.instance import Instance
from turmericreel.model.check_settings import load_settings
from turmericreel.model.failures import FailureError, ListenFailed
from turmericreel.ui.accounts import accounts_app
from turmericreel.ui.check import check_app
from turmericreel.ui.config import config_app
from turmericreel.ui.experiment import experiment_app
from turmericreel.ui.explain import explain_request
from turmericreel.ui.fake import fake_app
from turmericreel.ui.key import key_app
from turmericreel.ui.load import load
from turmericreel.ui.options import (
    AUTHORITY,
    DEFAULT_ADDRESS,
    AddressOption,
    AuthorityOption,
    JsonOption,
    KeyOption,
    console,
    operator_client,
    print_json,
    stop_on_signals,
)
from turmericreel.ui.settings import settings_app
from turmericreel.ui.slo import slo_app
from turmericreel.ui.snapshot import snapshot_app
from turmericreel.ui.submit import submit
from turmericreel.util.clock import SystemClock

app = typer.Typer(
    no_args_is_help=True,
    help="Model-aware router with auditable accounts.",
    pretty_exceptions_enable=False,
)
app.command()(submit)
app.command()(load)
app.command("explain")(explain_request)
app.add_typer(check_app, name="check")
app.add_typer(config_app, name="config")
app.add_typer(accounts_app, name="accounts")
app.add_typer(slo_app, name="slo")
app.add_typer(key_app, name="key")
app.add_typer(settings_app, name="settings")
app.add_typer(snapshot_app, name="snapshot")
app.add_typer(fake_app, name="fake")
app.add_typer(experiment_app, name="experiment")


@app.callback()
def set_common_options(authority: AuthorityOption = None) -> None:
    """Model-aware router with auditable accounts."""
    AUTHORITY.set(authority)


@app.command()
def serve(
    settings: Annotated[
        Path | None, typer.Option(help="settings file (default: the shipped settings)")
    ] = None,
) -> None:
    """Run an instance until SIGTERM or SIGINT, then stop gracefully."""
    to_file(sys.stderr)
    loaded = load_settings(settings)
    instance = Instance(settings=loaded, clock=SystemClock())
    try:
        instance.start()
    except OSError as error:
        raise FailureError(ListenFailed(detail=str(error))) from error
    stop_on_signals(instance.stop_requested.set)
    if instance.http_server is not None:
        typer.echo(f"serving on {instance.http_address}")
    instance.stop_requested.wait()
    if instance.failure is not None:
        instance.stop()
        raise FailureError(instance.failure)
    report = Drain(
        instance=instance, deadline_ms=loaded.drain.deadline_ms, clock=SystemClock()
    ).run()
    typer.echo(report.describe())


@app.command()
def status(
    key: KeyOption,
    address: AddressOption = DEFAULT_ADDRESS,
    as_json: JsonOption = False,
) -> None:
    """Show the state of the system as the leader knows it."""
    answer = operator_client(address, key).read("status")
    if as_json:
        print_json(answer)
        return
    counts = Table(title="System")
    counts.add_column("what")
    counts.add_column("value", justify="right")
    for name, value in answer.items():
        if not isinstance(value, list):
            counts.add_row(name.replace("_", " "), str(value))
    console().print(counts)
    _print_instances(answer["instances"])
    _print_servers(answer["servers"])


def _print_instances(instances: list[dict]) -> None:
    table = Table(title="Entry instances that callers may use")
    for name in ("instance", "data centre", "address"):
        table.add_column(name)
    for row in instances:
        table.add_row(row["instance"], row["data_centre"], row["http_address"])
    console().print(table)


def _print_servers(servers: list[dict]) -> None:
    table = Table(title="Backend servers")
    for name in ("server", "service", "versions", "data centre", "address"):
        table.add_column(name)
    table.add_column("capacity", justify="right")
    for row in servers:
        table.add_row(
            row["server"],
            row["service"],
            " ".join(row["versions"]),
            row["data_centre"],
            row["address"],
            str(row["capacity"]),
        )
    console().print(table)
