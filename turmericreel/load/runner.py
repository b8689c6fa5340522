"""Sends planned calls at their arrival times and records their outcomes."""

from collections.abc import Callable
from random import Random

from gevent import sleep, spawn
from gevent.pool import Group

from turmericreel.client import Completed
from turmericreel.load.arrivals import poisson_arrivals
from turmericreel.load.report import (
    LoadTestReport,
    TargetResult,
    build_report,
    record_duration,
)
from turmericreel.load.targets import Target, outcome_label
from turmericreel.load.workload import CallKind, PlannedCall, Workload
from turmericreel.util.clock import Clock

MAX_SPOILED_LABELS = 10


class LoadRunner:
    """A run of the load tool.

    Parameters
    ----------
    targets : list of Target
        Each receives calls at the full rate.
    workload : Workload
    rate : float
        Mean arrivals per second at each target.
    duration_s : float
    seed : int
        Determines the arrival times and the calls.
    clock : Clock
    progress : callable
        Called with the arrival time of each sent call, in seconds from the start.
    """

    def __init__(
        self,
        *,
        targets: list[Target],
        workload: Workload,
        rate: float,
        duration_s: float,
        seed: int,
        clock: Clock,
        progress: Callable[[float], None] = lambda seconds: None,
    ):
        self.targets = targets
        self.workload = workload
        self.rate = rate
        self.duration_s = duration_s
        self.seed = seed
        self.clock = clock
        self.progress = progress
        self.results = [TargetResult(name=target.name) for target in targets]
        self.calls = Group()

    def run(self) -> LoadTestReport:
        """Send all calls, wait until each has ended, and return the report."""
        started_at = self.clock.monotonic()
        senders = [
            spawn(self._send_calls, target, result, started_at, number)
            for number, (target, result) in enumerate(
                zip(self.targets, self.results, strict=True)
            )
        ]
        for task in senders:
            task.get()
        self.calls.join()
        return LoadTestReport(
            seed=self.seed,
            rate=self.rate,
            duration_s=self.duration_s,
            targets=[build_report(result) for result in self.results],
        )

    def _send_calls(
        self, target: Target, result: TargetResult, started_at: float, number: int
    ) -> None:
        rng = Random(f"{self.seed}/{number}")
        arrivals = poisson_arrivals(rate=self.rate, duration_s=self.duration_s, rng=rng)
        for index, offset in enumerate(arrivals):
            planned_at = started_at + offset
            sleep(max(0.0, planned_at - self.clock.monotonic()))
            planned = self.workload.plan(index, seed=self.seed, rng=rng)
            result.n_sent += 1
            self.calls.spawn(self._call, target, result, planned, planned_at)
            self.progress(offset)

    def _call(
        self,
        target: Target,
        result: TargetResult,
        planned: PlannedCall,
        planned_at: float,
    ) -> None:
        record_duration(result.lateness, self.clock.monotonic() - planned_at)
        call_result = target.send(
            planned,
            self.workload,
            lambda: record_duration(
                result.first_token, self.clock.monotonic() - planned_at
            ),
        )
        result.outcomes[outcome_label(call_result.outcome)] += 1
        if isinstance(call_result.outcome, Completed):
            record_duration(result.whole, self.clock.monotonic() - planned_at)
        if call_result.effect and planned.kind is CallKind.BOOKING:
            result.effects[call_result.effect] += 1
        if not call_result.is_correct:
            result.n_spoiled += 1
            if len(result.spoiled) < MAX_SPOILED_LABELS:
                result.spoiled.append(planned.label)
