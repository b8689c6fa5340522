"""Stops an instance gracefully: requests finish, and callers move to other instances.

The instance leaves the address list immediately.  It keeps serving until every address
list that names it has expired, refuses new requests while running ones end and their
settlements become durable, and stops.
"""

from dataclasses import dataclass
from math import inf

import msgspec
from eliot import log_message
from gevent import sleep

from turmericreel.daemon.instance import Instance
from turmericreel.entry.address_handlers import ADDRESS_VALIDITY_MS
from turmericreel.util.clock import Clock
from turmericreel.util.statechart import Chart

POLL_S = 0.05
IDLE_PERIOD_S = 0.25
# Answers that end at the deadline take this time to reach their callers.
ANSWER_S = 0.2
# Time to refuse the callers that were accepted last.
FINISH_TIMEOUT_S = 0.1
CHART_PACKAGE = "turmericreel.daemon"


@dataclass(frozen=True, kw_only=True)
class DrainReport:
    """Result of a graceful stop.

    Parameters
    ----------
    n_cut : int
        Requests still running at the deadline, which were cut off.
    n_unsettled : int
        Requests whose settlement was not durable; they are settled when the
        deadlines of their intents pass.
    took_ms : int
        Duration of the stop in milliseconds.
    """

    n_cut: int
    n_unsettled: int
    took_ms: int

    def describe(self) -> str:
        """Return the report as one line of text."""
        return (
            f"stopped after {self.took_ms} ms: {self.n_cut} requests cut off, "
            f"{self.n_unsettled} not settled"
        )


class Drain:
    """Performs one graceful stop.

    Parameters
    ----------
    instance : Instance
    deadline_ms : int
        Time limit of the stop in milliseconds.
    clock : Clock
    validity_ms : int
        How long callers may use an address list, in milliseconds.
    """

    def __init__(
        self,
        *,
        instance: Instance,
        deadline_ms: int,
        clock: Clock,
        validity_ms: int = ADDRESS_VALIDITY_MS,
    ):
        self.instance = instance
        self.clock = clock
        self.validity_ms = validity_ms
        self.started_at = clock.monotonic()
        self.deadline = self.started_at + deadline_ms / 1_000
        self.chart = Chart(package=CHART_PACKAGE, name="drain")

    def run(self) -> DrainReport:
        """Drain and stop the instance, and return what was cut off."""
        if self.instance.request_path is not None:
            self._leave()
            self._wait_for_address_lists()
            self._finish_requests()
            self._settle()
            self.instance.http_server.finish(timeout_s=FINISH_TIMEOUT_S)
        report = self._report()
        self.instance.stop()
        self._fire_event("stopped")
        log_message("drain:stopped", **_fields(report))
        return report

    def _leave(self) -> None:
        self._fire_event("leave")
        control = self.instance.control_client
        control.leaving = True
        # A new control stream must not put the instance back on the address list.
        control.hello = msgspec.structs.replace(control.hello, leaving=True)
        control.renew_now()
        self.instance.request_path.admission.deadline = self.deadline - ANSWER_S
        # Close persistent connections, as their callers would not fetch the list again.
        self.instance.http_server.application.closing = True

    def _wait_for_address_lists(self) -> None:
        """Keep serving while callers may hold a list that names this instance."""
        self._fire_event("wait_for_answers")
        # Other instances may hand out their current list for the length of a lease.
        lease_ms = self.instance.settings.control.lease_ms
        wait_s = (self.validity_ms + lease_ms) / 1_000
        last_listed_at = self.clock.monotonic()
        while not self._deadline_passed():
            now = self.clock.monotonic()
            if self._is_listed():
                last_listed_at = now
            if now >= last_listed_at + wait_s:
                return
            sleep(POLL_S)

    def _is_listed(self) -> bool:
        control = self.instance.control_client
        own = control.hello.instance
        # Without a lease the view may be stale, so assume that it is still listed.
        if not control.lease_valid():
            return True
        return any(i.instance == own for i in control.view.instances)

    def _finish_requests(self) -> None:
        self._fire_event("answers_ran_out")
        # The listener stays open: callers with an old list are refused at once.
        self.instance.request_path.admission.deadline = -inf
        idle_until = self.clock.monotonic() + IDLE_PERIOD_S
        while not self._deadline_passed():
            now = self.clock.monotonic()
            if self._n_open():
                idle_until = now + IDLE_PERIOD_S
            if now >= idle_until:
                return
            sleep(POLL_S)
            self.instance.http_server.close_idle()

    def _n_open(self) -> int:
        return self.instance.http_server.application.n_open

    def _settle(self) -> None:
        self._fire_event("requests_ended")
        left_s = max(self.deadline - self.clock.monotonic(), 0.0)
        self.instance.settlements.drain(timeout=left_s)
        self._fire_event("settled")

    def _deadline_passed(self) -> bool:
        return self.clock.monotonic() >= self.deadline

    def _fire_event(self, event: str) -> None:
        self.chart.fire(event)
        log_message("drain:state", state=self.chart.state)

    def _report(self) -> DrainReport:
        path = self.instance.request_path
        settlements = self.instance.settlements
        return DrainReport(
            n_cut=self._n_open() if path is not None else 0,
            n_unsettled=settlements.n_pending if settlements is not None else 0,
            took_ms=int((self.clock.monotonic() - self.started_at) * 1_000),
        )


def _fields(report: DrainReport) -> dict[str, int]:
    return {name: getattr(report, name) for name in report.__dataclass_fields__}
