"""Baseline version policies, and an oracle, to compare the real policy with."""

from random import Random

from turmericreel.decisions.version_policy import (
    AnswerObserved,
    Plan,
    Stage,
    VersionPolicy,
)
from turmericreel.experiments.answers import RATING_SD, AnswerSimulator
from turmericreel.experiments.workload import VERSIONS, Mix
from turmericreel.model.ids import VersionId
from turmericreel.model.request import Request, RequestKind
from turmericreel.model.text import VersionText

N_ORACLE_SAMPLES = 2_000
THRESHOLDS = [n / 40 for n in range(20, 40)]


class FixedVersion(VersionPolicy):
    """Always chooses the same version."""

    def __init__(self, *, version: VersionId):
        self.fixed_plan = Plan(stages=(Stage(version=version),))

    def plan(self, request, candidates, *, quality_target: float, now: float) -> Plan:
        """Return the plan of the fixed version."""
        return self.fixed_plan

    def observe(self, observed: AnswerObserved, *, now: float) -> None:
        """Ignore the answer."""


class RandomVersion(VersionPolicy):
    """Chooses a random version."""

    def __init__(self, *, rng: Random):
        self.rng = rng

    def plan(
        self,
        request: Request,
        candidates: dict[VersionId, VersionText],
        *,
        quality_target: float,
        now: float,
    ) -> Plan:
        """Return a plan of one random version."""
        return Plan(stages=(Stage(version=self.rng.choice(list(candidates))),))

    def observe(self, observed: AnswerObserved, *, now: float) -> None:
        """Ignore the answer."""


class FixedThreshold(VersionPolicy):
    """Escalates to the strongest version if the cheapest scores below the target.

    Requests of a session use the strongest version only.
    """

    def plan(
        self,
        request: Request,
        candidates: dict[VersionId, VersionText],
        *,
        quality_target: float,
        now: float,
    ) -> Plan:
        """Return the plan."""
        cheap, *_, strong = candidates
        if request.session is not None:
            return Plan(stages=(Stage(version=strong),))
        first = Stage(version=cheap, min_score=quality_target, deliver_unrated=False)
        return Plan(stages=(first, Stage(version=strong)))

    def observe(self, observed: AnswerObserved, *, now: float) -> None:
        """Ignore the answer."""


class Oracle(VersionPolicy):
    """Chooses the cheapest plan that meets the target, from the true qualities.

    Parameters
    ----------
    mix : Mix
    simulator : AnswerSimulator
    """

    def __init__(self, *, mix: Mix, simulator: AnswerSimulator):
        self.plans = {kind: _best_plan(mix, simulator, kind) for kind in mix.kinds}

    def plan(self, request, candidates, *, quality_target: float, now: float) -> Plan:
        """Return the plan of the request's kind."""
        return self.plans[request.kind]

    def observe(self, observed: AnswerObserved, *, now: float) -> None:
        """Ignore the answer; the true qualities are known."""


def _best_plan(mix: Mix, simulator: AnswerSimulator, kind: RequestKind) -> Plan:
    samples = [_sample_answers(simulator, kind) for _ in range(N_ORACLE_SAMPLES)]
    sizes = mix.kinds[kind]
    costs = {
        version: (
            sizes.prompt_tokens * text.input_price
            + sizes.completion_tokens * text.output_price
        )
        for version, text in VERSIONS.items()
    }
    best_cost = float("inf")
    best = Plan(stages=(Stage(version=list(VERSIONS)[-1]),))
    for plan in _candidate_plans(in_session=sizes.in_session):
        quality, cost = _expected_quality_and_cost(plan, samples, costs)
        if quality >= mix.quality_target and cost < best_cost:
            best, best_cost = plan, cost
    return best


def _candidate_plans(*, in_session: bool) -> list[Plan]:
    versions = list(VERSIONS)
    plans = [Plan(stages=(Stage(version=v),)) for v in versions]
    if in_session:
        return plans
    for n, cheap in enumerate(versions):
        for strong in versions[n + 1 :]:
            for threshold in THRESHOLDS:
                first = Stage(version=cheap, min_score=threshold, deliver_unrated=False)
                plans.append(Plan(stages=(first, Stage(version=strong))))
    return plans


def _sample_answers(
    simulator: AnswerSimulator, kind: RequestKind
) -> dict[VersionId, tuple]:
    difficulty = simulator.difficulty()
    answers = {}
    for version in VERSIONS:
        quality = simulator.quality(kind, version, difficulty)
        answers[version] = (quality, quality + simulator.rng.gauss(0.0, RATING_SD))
    return answers


def _expected_quality_and_cost(
    plan: Plan, samples: list, costs: dict
) -> tuple[float, float]:
    first = plan.stages[0]
    quality = 0.0
    cost = 0.0
    for answers in samples:
        delivered, score = answers[first.version]
        cost += costs[first.version]
        if first.min_score is not None and score < first.min_score:
            second = plan.stages[1].version
            delivered = answers[second][0]
            cost += costs[second]
        quality += delivered
    return quality / len(samples), cost / len(samples)
