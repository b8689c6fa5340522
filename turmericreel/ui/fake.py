"""Commands that run stand-ins for external systems."""

from pathlib import Path
from random import Random
from typing import Annotated

import msgspec
import typer

from turmericreel.fakes.backend_server import FakeBackendServer
from turmericreel.fakes.behaviour import FakeBehaviour
from turmericreel.fakes.rating_service import FakeRatingService, RatingBehaviour
from turmericreel.fakes.weight_store import FakeWeightStore
from turmericreel.model.check_settings import read_source
from turmericreel.model.failures import FailureError, TextFault, TextRejected
from turmericreel.model.ids import (
    BackendServerId,
    DataCentreId,
    Incarnation,
    ServiceName,
    VersionId,
)
from turmericreel.model.servers import BackendServer
from turmericreel.ui.options import tls_context, wait_for_stop_signal
from turmericreel.util.clock import SystemClock

fake_app = typer.Typer(no_args_is_help=True, help="Stand-ins for external systems.")

ListenOption = Annotated[str, typer.Option(help="ip:port; port 0 picks a free port")]
SeedOption = Annotated[int, typer.Option(help="seed of the random source")]
BehaviourOption = Annotated[
    str, typer.Option(help="JSON object, or @FILE, with fields of the behaviour")
]


@fake_app.command("backend")
def backend(
    name: Annotated[str, typer.Option()],
    service: Annotated[str, typer.Option()],
    version: Annotated[list[str], typer.Option(help="may be repeated")],
    home: Annotated[
        list[str] | None,
        typer.Option(help="instance to announce to; may be repeated"),
    ] = None,
    listen: ListenOption = "127.0.0.1:0",
    data_centre: Annotated[str, typer.Option()] = "local",
    neighbour: Annotated[str, typer.Option(help="neighbour that owns the server")] = "",
    server_key: Annotated[
        str,
        typer.Option(envvar="TURMERICREEL_SERVER_KEY", help="backend server's key"),
    ] = "",
    capacity: Annotated[int, typer.Option()] = 8,
    checks_fencing: Annotated[bool, typer.Option()] = False,
    n_tokens: Annotated[int, typer.Option(help="tokens per answer")] = 16,
    between_tokens_ms: Annotated[float, typer.Option()] = 0.0,
    behaviour: BehaviourOption = "{}",
    seed: SeedOption = 0,
) -> None:
    """Run a stand-in backend server until SIGTERM, then deregister it.

    While it runs, ``GET /fake/record`` returns what it recorded of the requests, and
    ``POST /fake/behaviour`` changes its behaviour.
    """
    values = {"n_tokens": n_tokens, "between_tokens_ms": between_tokens_ms}
    values |= _read_behaviour(behaviour)
    fake = FakeBackendServer(
        server=BackendServer(
            server=BackendServerId(name),
            incarnation=Incarnation(SystemClock().wall_ms()),
            service=ServiceName(service),
            versions=tuple(VersionId(v) for v in version),
            data_centre=DataCentreId(data_centre),
            address=listen,
            capacity=capacity,
            checks_fencing=checks_fencing,
            neighbour=neighbour,
        ),
        homes=list(home or []),
        behaviour=_convert(values, FakeBehaviour),
        rng=Random(seed),
        context=tls_context(),
        key=server_key,
    )
    fake.start()
    typer.echo(f"serving on {fake.server.address}")
    wait_for_stop_signal()
    fake.leave()
    fake.stop()


@fake_app.command("rating")
def rating(
    listen: ListenOption = "127.0.0.1:0",
    behaviour: BehaviourOption = "{}",
    seed: SeedOption = 0,
) -> None:
    """Run a stand-in rating service until SIGTERM."""
    service = FakeRatingService(
        address=listen,
        behaviour=_convert(_read_behaviour(behaviour), RatingBehaviour),
        rng=Random(seed),
    )
    service.start()
    typer.echo(f"serving on {service.address}")
    wait_for_stop_signal()
    service.stop()


@fake_app.command("weights")
def weights(
    listen: ListenOption = "127.0.0.1:0",
    fetches_per_second: Annotated[float, typer.Option()] = 0.5,
    burst: Annotated[int, typer.Option()] = 1,
    fetch_ms: Annotated[float, typer.Option()] = 0.0,
) -> None:
    """Run a stand-in weight store until SIGTERM."""
    store = FakeWeightStore(
        address=listen,
        fetches_per_second=fetches_per_second,
        burst=burst,
        fetch_ms=fetch_ms,
        clock=SystemClock(),
    )
    store.start()
    typer.echo(f"serving on {store.address}")
    wait_for_stop_signal()
    store.stop()


def _read_behaviour(argument: str) -> dict:
    source = argument
    if argument.startswith("@"):
        source = read_source(Path(argument[1:]))
    try:
        return msgspec.json.decode(source, type=dict)
    except msgspec.MsgspecError as error:
        raise _rejected(str(error)) from error


def _convert(values: dict, behaviour_type: type):
    try:
        return msgspec.convert(values, type=behaviour_type)
    except msgspec.ValidationError as error:
        raise _rejected(str(error)) from error


def _rejected(detail: str) -> FailureError:
    fault = TextFault(line=1, key="behaviour", detail=detail)
    return FailureError(TextRejected(faults=(fault,)))
