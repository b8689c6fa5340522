"""Evacuations of a data centre in a soak, and their check from the servers' side.

Once an evacuation was acknowledged, no request reaches a server there until it is taken
back, whatever happens to coordinators and gateways.
"""

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from random import Random
from time import monotonic

from gevent import sleep

from test_long.soak_traffic import NETWORK_ERRORS, Caller, Findings
from turmericreel.fakes.routed_server import RoutedServer

EVACUATED_ZONE = "b"
# Time after its acknowledgement from which an order must be obeyed.
LEARNING_TIME_S = 5.0
EVACUATED_S = (6.0, 9.0)
# A frozen coordinator may carry out an order that it got before it froze.
CROSSING_S = 4.0
PAUSE_BETWEEN_TRIES_S = 0.2


@dataclass(frozen=True, kw_only=True)
class EvacuatedPeriod:
    """Time of an acknowledged evacuation, in seconds on the monotonic clock."""

    began: float
    ended: float


class EvacuationOperator:
    """Evacuates a data centre and takes it back, by turns.

    Parameters
    ----------
    addresses : sequence of str
        Addresses of all coordinators.
    is_running : callable
        Returns whether the soak goes on.
    findings : Findings
    rng : Random

    Attributes
    ----------
    periods : list of EvacuatedPeriod
    """

    def __init__(
        self,
        *,
        addresses: Sequence[str],
        is_running: Callable[[], bool],
        findings: Findings,
        rng: Random,
    ):
        self.addresses = addresses
        self.is_running = is_running
        self.findings = findings
        self.rng = rng
        self.caller = Caller()
        self.periods: list[EvacuatedPeriod] = []

    def run(self) -> None:
        """Send orders until the soak ends."""
        while self.is_running():
            if self._send_until_acknowledged("POST"):
                began = monotonic()
                # Repeated, as if the acknowledgement had been lost.
                self._send("POST")
                self._wait(self.rng.uniform(*EVACUATED_S))
                self.periods.append(EvacuatedPeriod(began=began, ended=monotonic()))
            self._send_until_acknowledged("DELETE")
            self._wait(CROSSING_S)
        self.caller.close()

    def _send_until_acknowledged(self, method: str) -> bool:
        while self.is_running():
            if self._send(method):
                return True
            sleep(PAUSE_BETWEEN_TRIES_S)
        return False

    def _send(self, method: str) -> bool:
        path = f"/-/evacuation/{EVACUATED_ZONE}"
        try:
            address = self.rng.choice(self.addresses)
            status, _ = self.caller.call(address, method, path)
        except NETWORK_ERRORS:
            return False
        if 400 <= status < 500:
            self.findings.faults.append(f"{method} {path} got status {status}")
        return status == 200

    def _wait(self, seconds: float) -> None:
        deadline = monotonic() + seconds
        while self.is_running() and monotonic() < deadline:
            sleep(PAUSE_BETWEEN_TRIES_S)


def check_evacuations(
    periods: Sequence[EvacuatedPeriod],
    servers: Sequence[RoutedServer],
    findings: Findings,
) -> None:
    """Check that the servers of the data centre got no request in time."""
    for period in periods:
        findings.outcomes["evacuations"] += 1
        for server in servers:
            late = [
                at - period.began
                for at in server.received_at
                if period.began + LEARNING_TIME_S < at < period.ended
            ]
            if late:
                findings.faults.append(
                    f"{server.server} got {len(late)} requests while evacuated, the "
                    f"first {late[0]:.2f} s after the acknowledgement"
                )
