"""Cost at the quality target: the real version policy against baselines."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count
from random import Random

from turmericreel.decisions.cascade_policy import CascadePolicy
from turmericreel.decisions.quality import N_BINS, bin_of
from turmericreel.decisions.rating_sampler import RatingSampler
from turmericreel.decisions.version_policy import (
    AnswerObserved,
    PooledScores,
    Stage,
    VersionPolicy,
)
from turmericreel.experiments.answers import (
    AnswerSimulator,
    SimulatedRatingService,
    cost_of_answer,
)
from turmericreel.experiments.results import Report, Row, Target, mean
from turmericreel.experiments.version_baselines import (
    FixedThreshold,
    FixedVersion,
    Oracle,
    RandomVersion,
)
from turmericreel.experiments.workload import (
    MIXES,
    OVENSLOT,
    VERSIONS,
    Mix,
    generate_arrivals,
)
from turmericreel.model.ids import BackendServerId, DataCentreId, VersionId
from turmericreel.model.request import Request, Usage

N_REQUESTS = 24_000
N_WINDOW_REQUESTS = 2_000
RATED_FRACTION = 0.2
POOL_WINDOW_S = 60.0
STRONG = VersionId("strong")
SMALL = VersionId("small")
LEARNED = "learned"

PolicyBuilder = Callable[[Mix, AnswerSimulator, Random], VersionPolicy]

POLICIES: dict[str, PolicyBuilder] = {
    LEARNED: lambda mix, simulator, rng: CascadePolicy(rng=rng),
    "oracle": lambda mix, simulator, rng: Oracle(mix=mix, simulator=simulator),
    "always strong": lambda mix, simulator, rng: FixedVersion(version=STRONG),
    "always cheap": lambda mix, simulator, rng: FixedVersion(version=SMALL),
    "fixed threshold": lambda mix, simulator, rng: FixedThreshold(),
    "random": lambda mix, simulator, rng: RandomVersion(rng=rng),
}


@dataclass(kw_only=True)
class Tally:
    """Costs and qualities of delivered answers."""

    costs: list[float] = field(default_factory=list)
    qualities: list[float] = field(default_factory=list)

    def window_qualities(self) -> list[float]:
        """Return the mean quality of each full window of requests."""
        return [
            mean(self.qualities[n : n + N_WINDOW_REQUESTS])
            for n in range(
                0, len(self.qualities) - N_WINDOW_REQUESTS + 1, N_WINDOW_REQUESTS
            )
        ]


class CostRun:
    """Simulation of one workload with one policy at several instances.

    Parameters
    ----------
    mix : Mix
    simulator : AnswerSimulator
    rating : SimulatedRatingService
    policies : list of VersionPolicy
        The policy of each instance.
    rng : Random
    sample : float
        Base fraction of the answers that are rated as a sample, in addition to those
        that a plan rates.
    """

    def __init__(
        self,
        *,
        mix: Mix,
        simulator: AnswerSimulator,
        rating: SimulatedRatingService,
        policies: list[VersionPolicy],
        rng: Random,
        sample: float = RATED_FRACTION,
    ):
        self.mix = mix
        self.simulator = simulator
        self.rating = rating
        self.policies = policies
        self.samplers = [RatingSampler(sample=sample, rng=rng) for _ in policies]
        self.rng = rng
        self.tally = Tally()
        self.pending_ratings: list = []
        self.tie_breakers = count()
        self.pooled: dict = {}
        self.pooled_at = 0.0
        self.bound: dict = {}

    def run(self, n_requests: int, rate: float | None = None) -> Tally:
        """Run the workload and return the costs and qualities."""
        for arrival in generate_arrivals(
            self.mix, self.rng, n_requests=n_requests, rate=rate
        ):
            self._deliver_ratings(arrival.at)
            self._share_pooled_scores(arrival.at)
            self._serve_request(arrival.request, arrival.at)
        return self.tally

    def _serve_request(self, request: Request, now: float) -> None:
        n = self.rng.randrange(len(self.policies))
        policy = self.policies[n]
        plan = policy.plan(
            request, VERSIONS, quality_target=self.mix.quality_target, now=now
        )
        stages = plan.stages
        if request.session is not None:
            bound = self.bound.setdefault(request.session, stages[0].version)
            stages = (Stage(version=bound),)
        difficulty = self.simulator.difficulty()
        cost = 0.0
        for number, stage in enumerate(stages):
            quality = self.simulator.quality(request.kind, stage.version, difficulty)
            cost += cost_of_answer(request, VERSIONS[stage.version])
            observed = _build_observation(request, stage.version, escalated=number > 0)
            policy.observe(observed, now=now)
            if stage.min_score is None or number == len(stages) - 1:
                self._sample_rating(n, observed, quality, now)
                break
            score = self.rating.rate(quality, now=now)
            if score is None:
                policy.record_rating_failure(now=now)
                if stage.deliver_unrated:
                    break
                continue
            self._record_score(n, observed, score, now)
            if score >= stage.min_score:
                break
        self.tally.costs.append(cost)
        self.tally.qualities.append(quality)

    def _sample_rating(
        self, n: int, observed: AnswerObserved, quality: float, now: float
    ) -> None:
        request = observed.request
        if not self.samplers[n].should_rate(
            request.service, observed.version, request.kind
        ):
            return
        score = self.rating.rate(quality, now=now)
        at = now + self.rating.delay_s
        heapq.heappush(
            self.pending_ratings, (at, next(self.tie_breakers), n, observed, score)
        )

    def _deliver_ratings(self, now: float) -> None:
        while self.pending_ratings and self.pending_ratings[0][0] <= now:
            at, _, n, observed, score = heapq.heappop(self.pending_ratings)
            if score is None:
                self.policies[n].record_rating_failure(now=at)
            else:
                self._record_score(n, observed, score, at)

    def _record_score(
        self, n: int, observed: AnswerObserved, score: float, now: float
    ) -> None:
        request = observed.request
        scored = _build_observation(
            request, observed.version, escalated=observed.escalated, score=score
        )
        self.policies[n].observe(scored, now=now)
        self.samplers[n].record_score(
            request.service, observed.version, request.kind, score
        )
        if not observed.escalated:
            key = (request.kind, observed.version)
            sums = self.pooled.setdefault(key, [0, 0.0, 0.0, [0] * N_BINS])
            sums[0] += 1
            sums[1] += score
            sums[2] += score * score
            sums[3][bin_of(score)] += 1

    def _share_pooled_scores(self, now: float) -> None:
        if now - self.pooled_at < POOL_WINDOW_S:
            return
        for (kind, version), sums in self.pooled.items():
            n_rated, score_sum, square_sum, counts = sums
            scores = PooledScores(
                service=self.mix.service,
                kind=kind,
                version=version,
                n_rated=n_rated,
                score_sum=score_sum,
                square_sum=square_sum,
                window_s=now - self.pooled_at,
                counts=tuple(counts),
            )
            for policy in self.policies:
                policy.record_pooled(scores, now=now)
        self.pooled = {}
        self.pooled_at = now


def _build_observation(
    request: Request,
    version: VersionId,
    *,
    escalated: bool,
    score: float | None = None,
) -> AnswerObserved:
    usage = Usage(
        prompt_tokens=request.prompt_tokens, completion_tokens=request.max_tokens
    )
    return AnswerObserved(
        request=request,
        version=version,
        server=BackendServerId("s"),
        data_centre=DataCentreId("a"),
        usage=usage,
        score=score,
        duration_s=1.0,
        escalated=escalated,
    )


@dataclass(frozen=True, kw_only=True)
class RatingCase:
    """Behaviour of the rating service.

    Parameters
    ----------
    down, biased : tuple of float
        Start and end of the period, as fractions of the run.
    bias : float
        Added to scores while biased.
    delay_s : float
        Delay of the sampled ratings, in seconds.
    """

    name: str
    down: tuple[float, float] = (0.0, 0.0)
    biased: tuple[float, float] = (0.0, 0.0)
    bias: float = 0.0
    delay_s: float = 0.5


RATING_CASES = (
    RatingCase(name="rating well"),
    RatingCase(name="rating down", down=(0.4, 0.7)),
    RatingCase(name="rating too high", biased=(0.4, 0.7), bias=0.15),
    RatingCase(name="rating too low", biased=(0.4, 0.7), bias=-0.15),
    RatingCase(name="rating late", delay_s=120.0),
)


def run_case(
    mix: Mix,
    case: RatingCase,
    policy: str,
    *,
    seed: int,
    n_instances: int = 12,
    n_requests: int = N_REQUESTS,
) -> Tally:
    """Run one workload with one policy and return its costs and qualities."""
    rng = Random(f"{mix.name}/{seed}")
    simulator = AnswerSimulator(mix=mix, rng=Random(f"{mix.name}/{seed}/world"))
    length_s = n_requests / mix.requests_per_second
    rating = SimulatedRatingService(
        rng=Random(f"{seed}/rating"),
        down=_scaled(case.down, length_s),
        biased=_scaled(case.biased, length_s),
        bias=case.bias,
        delay_s=case.delay_s,
    )
    policies = _build_policies(policy, mix, seed, n_instances)
    run = CostRun(
        mix=mix, simulator=simulator, rating=rating, policies=policies, rng=rng
    )
    return run.run(n_requests)


def _build_policies(policy: str, mix: Mix, seed: int, n_instances: int) -> list:
    # The oracle gets a simulator of its own: sampling from that of the run would
    # change the run's random numbers.
    simulator = AnswerSimulator(mix=mix, rng=Random(f"{mix.name}/{seed}/world"))
    if policy != LEARNED:
        one = POLICIES[policy](mix, simulator, Random(f"{seed}/one"))
        return [one] * n_instances
    return [
        POLICIES[policy](mix, simulator, Random(f"{seed}/{n}"))
        for n in range(n_instances)
    ]


def _scaled(span: tuple[float, float], length_s: float) -> tuple[float, float]:
    return span[0] * length_s, span[1] * length_s


def run_cost(seeds: tuple[int, ...], *, n_requests: int = N_REQUESTS) -> Report:
    """Compare all policies on both mixes, and the learned one in every rating case."""
    rows = []
    targets = []
    for mix in MIXES.values():
        for case in RATING_CASES:
            names = POLICIES if case is RATING_CASES[0] else (LEARNED, "oracle")
            tallies = {
                name: [
                    run_case(mix, case, name, seed=s, n_requests=n_requests)
                    for s in seeds
                ]
                for name in names
            }
            rows.extend(_rows(mix, case, tallies))
            targets.extend(_targets(mix, case, tallies))
    return Report(name="cost", seeds=seeds, rows=tuple(rows), targets=tuple(targets))


def _rows(mix: Mix, case: RatingCase, tallies: dict[str, list[Tally]]) -> list[Row]:
    oracle = _mean_cost(tallies["oracle"])
    return [
        Row(
            case=f"{mix.name}, {case.name}",
            policy=name,
            values={
                "cost/oracle": _mean_cost(policy_tallies) / oracle,
                "quality": mean(mean(t.qualities) for t in policy_tallies),
                "lowest window": min(min(t.window_qualities()) for t in policy_tallies),
                "target": mix.quality_target,
            },
        )
        for name, policy_tallies in tallies.items()
    ]


def _targets(
    mix: Mix, case: RatingCase, tallies: dict[str, list[Tally]]
) -> list[Target]:
    learned = tallies[LEARNED]
    ratio = _mean_cost(learned) / _mean_cost(tallies["oracle"])
    where = f"{mix.name}, {case.name}"
    targets = [
        Target(
            name=f"{where}: lowest window's quality",
            bound=mix.quality_target,
            measured=min(min(t.window_qualities()) for t in learned),
            at_most=False,
        )
    ]
    if case is RATING_CASES[0]:
        targets.append(Target(name=f"{where}: cost/oracle", bound=1.10, measured=ratio))
    if case is RATING_CASES[0] and mix is OVENSLOT:
        strong = _mean_cost(learned) / _mean_cost(tallies["always strong"])
        targets.append(
            Target(name=f"{where}: cost/always strong", bound=0.5, measured=strong)
        )
    return targets


def _mean_cost(tallies: list[Tally]) -> float:
    return mean(mean(t.costs) for t in tallies)
