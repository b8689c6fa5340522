"""Logs an alert when an error budget is consumed too fast."""

from eliot import log_message
from gevent import sleep, spawn

from turmericreel.coordination.replicated_log import ReplicatedLog
from turmericreel.model.check_text import parse_text
from turmericreel.reports.burn import ObjectiveBurn, burn_report
from turmericreel.util.clock import Clock

CHECK_INTERVAL_S = 30.0


class BurnAlerts:
    """Task that checks all service level objectives while this instance leads.

    An alert is logged when it begins and when it ends, not at every check.

    Parameters
    ----------
    log : ReplicatedLog
    clock : Clock
    """

    def __init__(self, *, log: ReplicatedLog, clock: Clock):
        self.log = log
        self.clock = clock
        self.active: set[str] = set()
        self.task = None

    def start(self) -> None:
        """Start the periodic check."""
        self.task = spawn(self._check_loop)

    def stop(self) -> None:
        """Stop the periodic check."""
        if self.task is not None:
            self.task.kill()

    def check(self) -> list[ObjectiveBurn]:
        """Evaluate the alert rules for all objectives, and log what changed.

        Returns
        -------
        list of ObjectiveBurn
            Objectives with at least one active alert.
        """
        machine = self.log.machine
        report = burn_report(
            machine.service_levels.series,
            parse_text(machine.configuration.text),
            time_ms=self.clock.wall_ms(),
        )
        burning = {
            f"{burn.service}/{burn.account}/{burn.indicator.value}/{alert}": burn
            for burn in report.objectives
            for alert in burn.alerts
        }
        for name in burning.keys() - self.active:
            _log_alert_began(name, burning[name])
        for name in self.active - burning.keys():
            log_message("slo:alert_ended", alert=name)
        self.active = set(burning)
        return list(burning.values())

    def _check_loop(self) -> None:
        while True:
            sleep(CHECK_INTERVAL_S)
            if self.log.is_leader():
                self.check()


def _log_alert_began(name: str, burn: ObjectiveBurn) -> None:
    log_message(
        "slo:alert_began",
        alert=name,
        budget_left=burn.budget_left,
        rates={window.window: window.rate for window in burn.windows},
        blames=[f"{b.version}/{b.data_centre}/{b.server}" for b in burn.blames],
    )
