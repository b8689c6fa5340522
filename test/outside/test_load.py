"""Load tool: seeded, open loop, with verified answers."""

from dataclasses import replace
from random import Random

from test.library import CALLER_KEY, SmallSystem, wait_until
from turmericreel.client import Caller, Completed, NotRun, Outcome
from turmericreel.fakes.behaviour import FakeFault
from turmericreel.load.arrivals import poisson_arrivals
from turmericreel.load.runner import LoadRunner
from turmericreel.load.targets import (
    CallResult,
    RouterTarget,
    ServerTarget,
    Target,
    is_correct_answer,
)
from turmericreel.load.workload import Workload
from turmericreel.model.failures import NotRunReason
from turmericreel.model.ids import RequestId, VersionId
from turmericreel.model.request import Usage
from turmericreel.util.clock import SystemClock

WORKLOAD = Workload(
    service="helper-llm", booking_service="booking-app", booking_share=0.3
)


def build_runner(targets: list[Target], **options) -> LoadRunner:
    values = {"rate": 200.0, "duration_s": 0.5, "seed": 1} | options
    return LoadRunner(targets=targets, workload=WORKLOAD, clock=SystemClock(), **values)


def test_same_seed_gives_same_arrivals_at_the_rate():
    first = list(poisson_arrivals(rate=50, duration_s=100, rng=Random(3)))
    again = list(poisson_arrivals(rate=50, duration_s=100, rng=Random(3)))
    assert first == again
    assert 4_500 < len(first) < 5_500
    assert first == sorted(first)


def test_load_on_the_router_and_directly(system: SmallSystem):
    control = system.instance.control_client
    wait_until(lambda: control.view.instances, what="instances known")
    caller = Caller(bootstrap=[system.address], key=CALLER_KEY)
    direct = ServerTarget(address=system.fakes[0].server.address)
    report = build_runner([RouterTarget(caller=caller), direct]).run()
    router, server = report.targets
    assert report.n_faults == 0
    assert router.outcomes == {"Completed": router.n_sent}
    assert server.outcomes == {"Completed": server.n_sent}
    assert router.whole.count == router.n_sent > 50
    assert system.fakes[2].record.effects > 10


def test_broken_answers_are_counted_as_interrupted(system: SmallSystem):
    for fake in system.fakes[:2]:
        fake.behaviour = replace(fake.behaviour, fault=FakeFault.TRUNCATED)
    caller = Caller(bootstrap=[system.address], key=CALLER_KEY)
    report = build_runner([RouterTarget(caller=caller)], duration_s=0.1).run()
    assert set(report.targets[0].outcomes) <= {
        "Completed",
        "Interrupted",
        "OutcomeUnknown",
    }
    assert report.n_faults == 0


class ScriptedTarget(Target):
    """Ends calls with the given outcomes and errors, in turn."""

    name = "scripted"

    def __init__(self, outcomes: list[Outcome | Exception]):
        self.script = outcomes
        self.n_sent = 0

    def send(self, planned, workload, on_first_token) -> CallResult:
        """Return the next outcome, or raise the next error."""
        outcome = self.script[self.n_sent % len(self.script)]
        self.n_sent += 1
        if isinstance(outcome, Exception):
            raise outcome
        return CallResult(
            outcome=outcome, is_correct=is_correct_answer(outcome, planned.label)
        )


def test_foreign_and_lost_answers_are_faults():
    foreign = Completed(
        request_id=RequestId("r"),
        version=VersionId("v"),
        text="other:0 ",
        usage=Usage(completion_tokens=1),
    )
    refused = NotRun(reason=NotRunReason.OVER_LIMIT)
    target = ScriptedTarget([foreign, refused, ValueError("lost")])
    report = build_runner([target], duration_s=0.1).run()
    result = report.targets[0]
    assert result.n_spoiled == result.outcomes["Completed"] > 0
    assert result.outcomes["NotRun/over_limit"] > 0
    n_lost = result.n_sent - result.n_ended
    assert n_lost > 0
    assert report.n_faults == n_lost + result.n_spoiled
