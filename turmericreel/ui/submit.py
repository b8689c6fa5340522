"""The command that submits the operators' text and waits until it is in force."""

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any
from uuid import uuid4

import typer
from gevent import sleep
from rich.status import Status

from turmericreel.model.check_settings import read_source
from turmericreel.model.check_text import parse_text
from turmericreel.model.failures import (
    CommitUnknown,
    ControlUnavailable,
    FailureError,
    NotInForce,
    NotLeader,
    OutcomeUnknown,
    PeerUnreachable,
)
from turmericreel.model.ids import Revision
from turmericreel.ui.operator_client import OperatorClient
from turmericreel.ui.options import (
    DEFAULT_ADDRESS,
    JsonOption,
    KeyOption,
    operator_client,
    print_json,
    progress_console,
)
from turmericreel.util.clock import Clock, SystemClock

RESEND_PAUSE_S = 0.2
IN_FORCE_POLL_S = 0.1
RESENDABLE_FAILURES = (
    CommitUnknown,
    ControlUnavailable,
    NotLeader,
    OutcomeUnknown,
    PeerUnreachable,
)


@dataclass(kw_only=True)
class Submitter:
    """Submits the operators' text through the instances in turn until one answers.

    Parameters
    ----------
    clients : list of OperatorClient
    deadline : float
        Seconds on the monotonic clock.
    clock : Clock
    """

    clients: list[OperatorClient]
    deadline: float
    clock: Clock
    sleep: Callable[[float], None] = sleep

    def submit(self, *, submission: str, base_revision: int, text: str) -> Revision:
        """Submit the text, and resend it under the same id while no answer arrives.

        Raises
        ------
        FailureError
            With the failure that the system answered, or the last one at the deadline.
        """
        return self._call_until_answered(
            lambda client: client.submit(
                submission=submission, base_revision=base_revision, text=text
            )
        )

    def wait_in_force(
        self, revision: Revision, on_progress: Callable[[dict[str, Any]], None]
    ) -> dict[str, Any]:
        """Wait until no live instance acts on an older revision.

        `on_progress` is called with each propagation status.

        Raises
        ------
        FailureError
            With `NotInForce` at the deadline.
        """
        while True:
            propagation = self._call_until_answered(
                lambda client: client.read("in_force", revision=str(revision))
            )
            on_progress(propagation)
            if propagation["waiting"] == 0:
                return propagation
            if self.clock.monotonic() >= self.deadline:
                failure = NotInForce(
                    revision=revision,
                    confirmed=propagation["confirmed"],
                    waiting=propagation["waiting"],
                )
                raise FailureError(failure)
            self.sleep(IN_FORCE_POLL_S)

    def _call_until_answered(self, call: Callable[[OperatorClient], Any]) -> Any:
        while True:
            try:
                return call(self.clients[0])
            except FailureError as error:
                is_resendable = isinstance(error.failure, RESENDABLE_FAILURES)
                if not is_resendable or self.clock.monotonic() >= self.deadline:
                    raise
            self.clients.append(self.clients.pop(0))
            self.sleep(RESEND_PAUSE_S)


def submit(
    path: Annotated[Path, typer.Argument(help="the operators' text")],
    key: KeyOption,
    base: Annotated[int, typer.Option(help="revision that the text was edited from")],
    address: Annotated[
        list[str] | None,
        typer.Option(
            envvar="TURMERICREEL_ADDRESS", help="instance, ip:port; may be repeated"
        ),
    ] = None,
    submission: Annotated[
        str, typer.Option(help="submission id; reuse it to resend")
    ] = "",
    timeout: Annotated[float, typer.Option(help="seconds to wait")] = 30.0,
    as_json: JsonOption = False,
) -> None:
    """Submit the operators' text and wait until it is in force everywhere.

    If the answer is lost, the text is resent under the same submission id, which is
    applied at most once.
    """
    text = read_source(path)
    parse_text(text)
    submission = submission or uuid4().hex
    clock = SystemClock()
    submitter = Submitter(
        clients=[operator_client(a, key) for a in address or [DEFAULT_ADDRESS]],
        deadline=clock.monotonic() + timeout,
        clock=clock,
    )
    progress = progress_console()
    progress.print(f"submission {submission}")
    with progress.status("submitting") as status_line:
        revision = submitter.submit(
            submission=submission, base_revision=base, text=text
        )
        progress.print(f"revision {revision} is durable")
        propagation = submitter.wait_in_force(
            revision, lambda s: _show_propagation(status_line, s)
        )
    if as_json:
        print_json({"submission": submission, "revision": revision, **propagation})
    else:
        confirmed = propagation["confirmed"]
        typer.echo(f"revision {revision} is in force: {confirmed} instances confirmed")


def _show_propagation(status_line: Status, propagation: dict[str, Any]) -> None:
    left_s = propagation.get("left_ms", 0) / 1_000
    status_line.update(
        f"{propagation['confirmed']} instances confirmed, "
        f"{propagation['waiting']} yet to confirm; unconfirmed leases expire "
        f"within {left_s:.1f} s"
    )
