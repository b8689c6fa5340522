"""Commands for the operators of coordinators.

python3 -m turmericreel.platform.operator evacuate DATA_CENTRE --coordinator IP:PORT
"""

import sys
from collections.abc import Callable
from typing import Annotated
from urllib.parse import quote, urlsplit

import typer
from gevent import sleep
from geventhttpclient.response import HTTPParseError

from turmericreel.model.failures import (
    CommitUnknown,
    FailureError,
    PeerUnreachable,
    QueryInvalid,
)
from turmericreel.model.ids import DataCentreId
from turmericreel.platform.control_handlers import EVACUATION_PATH
from turmericreel.platform.process import EXIT_FAILED
from turmericreel.protocols.http_client import build_http_client
from turmericreel.util.clock import Clock, SystemClock

# Coordinators answer within a second, or another one is asked.
CALL_TIMEOUT_S = 1.5
RESEND_PAUSE_S = 0.2
MAX_REDIRECTS = 2

app = typer.Typer(
    no_args_is_help=True,
    help="Orders to the coordinators.",
    pretty_exceptions_enable=False,
)
CoordinatorOption = Annotated[
    list[str], typer.Option(help="address of a coordinator, ip:port; may be repeated")
]
TimeoutOption = Annotated[float, typer.Option(help="seconds to wait")]


class EvacuationCaller:
    """Sends an order through the coordinators in turn until one acknowledges it.

    Parameters
    ----------
    coordinators : list of str
        Addresses ``ip:port``.
    deadline : float
        Seconds on the monotonic clock.
    clock : Clock
    """

    def __init__(
        self,
        *,
        coordinators: list[str],
        deadline: float,
        clock: Clock,
        sleep: Callable[[float], None] = sleep,
    ):
        self.coordinators = coordinators
        self.deadline = deadline
        self.clock = clock
        self.sleep = sleep

    def order(self, data_centre: DataCentreId, *, is_evacuated: bool) -> None:
        """Evacuate a data centre, or withdraw that; it is durable afterwards.

        Raises
        ------
        FailureError
            With `QueryInvalid` when the order is refused, and with `PeerUnreachable`
            or `CommitUnknown` when the deadline passes without an acknowledgement.
        """
        method = "POST" if is_evacuated else "DELETE"
        path = EVACUATION_PATH + quote(data_centre, safe="")
        while True:
            try:
                return self._send(self.coordinators[0], method, path)
            except FailureError as error:
                is_final = isinstance(error.failure, QueryInvalid)
                if is_final or self.clock.monotonic() >= self.deadline:
                    raise
            self.coordinators.append(self.coordinators.pop(0))
            self.sleep(RESEND_PAUSE_S)

    def _send(self, address: str, method: str, path: str) -> None:
        for _ in range(1 + MAX_REDIRECTS):
            client = build_http_client(address, timeout_s=CALL_TIMEOUT_S)
            try:
                response = client.request(method, path)
                status, body = response.status_code, bytes(response.read())
                location = response.get("Location") or ""
            except (OSError, HTTPParseError) as error:
                failure = PeerUnreachable(address=address, detail=str(error))
                raise FailureError(failure) from error
            finally:
                client.close()
            if status != 307:
                return _check(status, body)
            address = urlsplit(location).netloc
        raise FailureError(CommitUnknown())


def _check(status: int, body: bytes) -> None:
    if status == 400:
        raise FailureError(QueryInvalid(detail=body.decode(errors="replace")))
    if status // 100 != 2:
        raise FailureError(CommitUnknown())


def _order(
    data_centre: str, *, coordinators: list[str], timeout_s: float, is_evacuated: bool
) -> None:
    clock = SystemClock()
    caller = EvacuationCaller(
        coordinators=list(coordinators),
        deadline=clock.monotonic() + timeout_s,
        clock=clock,
    )
    caller.order(DataCentreId(data_centre), is_evacuated=is_evacuated)


@app.command()
def evacuate(
    data_centre: str, coordinator: CoordinatorOption, timeout: TimeoutOption = 30.0
) -> None:
    """Send no more requests to the servers of a data centre."""
    _order(data_centre, coordinators=coordinator, timeout_s=timeout, is_evacuated=True)
    typer.echo(f"{data_centre} is evacuated")


@app.command("end-evacuation")
def end_evacuation(
    data_centre: str, coordinator: CoordinatorOption, timeout: TimeoutOption = 30.0
) -> None:
    """Send requests to the servers of an evacuated data centre again."""
    _order(data_centre, coordinators=coordinator, timeout_s=timeout, is_evacuated=False)
    typer.echo(f"{data_centre} is in use again")


def main() -> None:
    """Run the command line; on a failure, print it and exit with `EXIT_FAILED`."""
    try:
        app()
    except FailureError as error:
        typer.echo(error.failure.describe(), err=True)
        sys.exit(EXIT_FAILED)


if __name__ == "__main__":
    main()
