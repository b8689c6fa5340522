"""Exposure to a degraded version, and false suspensions of healthy versions."""

import heapq
from collections import defaultdict
from itertools import count
from random import Random

from turmericreel.decisions.change_detector import ScoreSums
from turmericreel.decisions.rating_sampler import RatingSampler
from turmericreel.decisions.rollout import stable_fraction, standings_of
from turmericreel.decisions.version_health import Evidence, VersionHealthTest
from turmericreel.experiments.answers import AnswerSimulator, SimulatedRatingService
from turmericreel.experiments.results import Report, Row, Target, percentile
from turmericreel.experiments.workload import OVENSLOT, VERSIONS, Mix, generate_arrivals
from turmericreel.model.health import HealthState
from turmericreel.model.ids import BackendServerId, VersionId

BAD_FACTOR = 2 / 3
DEGRADED_VERSION = VersionId("medium")
HEALTHY_VERSION = VersionId("strong")
N_SERVERS = 9
REPORT_LAG_S = 1.0
JUDGE_EVERY_S = 1.0
BROADCAST_LAG_S = 1.0
RATING_DELAY_S = 0.5
POOL_WINDOW_S = 60.0
N_WARM_UP_REQUESTS = 4_000
MAX_BAD_ANSWERS = 2_000
N_HEALTHY_ANSWERS = 120_000
MAX_EXPOSED_ANSWERS = 60
MAX_FALSE_SUSPENSION_RATE = 1e-5


class ExposureRun:
    """Simulation of two versions at several instances under the real health test.

    Parameters
    ----------
    mix : Mix
    seed : int
    n_instances : int
    sample : float
        Base fraction of the answers that are rated.
    share : float
        Fraction of the requests that the degraded version serves until it is
        suspended.
    """

    def __init__(
        self,
        *,
        mix: Mix,
        seed: int,
        n_instances: int,
        sample: float,
        share: float,
    ):
        self.mix = mix
        self.rng = Random(f"exposure/{seed}")
        self.simulator = AnswerSimulator(mix=mix, rng=Random(f"exposure/{seed}/world"))
        self.rating = SimulatedRatingService(rng=Random(f"exposure/{seed}/rating"))
        self.samplers = [
            RatingSampler(sample=sample, rng=self.rng) for _ in range(n_instances)
        ]
        self.share = share
        self.test = VersionHealthTest()
        self.events: list = []
        self.tie_breakers = count()
        self.pending: dict = defaultdict(ScoreSums)
        self.recent: list = []
        self.standings: dict = {}
        self.known_standings: dict = {}
        self.next_judge = JUDGE_EVERY_S
        self.n_rated = 0
        self.n_suspended = 0

    def answer(self, arrival) -> VersionId:
        """Serve one request and return the version that answered it."""
        now = arrival.at
        self._advance(now)
        request = arrival.request
        version = HEALTHY_VERSION
        standing = self.known_standings.get((self.mix.service, DEGRADED_VERSION))
        suspended = standing is not None and standing.state is HealthState.SUSPENDED
        if not suspended and stable_fraction(request, "experiment") < self.share:
            version = DEGRADED_VERSION
        n = self.rng.randrange(len(self.samplers))
        quality = self.simulator.quality(
            request.kind, version, self.simulator.difficulty()
        )
        server = BackendServerId(f"s{self.rng.randrange(N_SERVERS)}")
        key = (version, server, request.kind)
        self._push(now + REPORT_LAG_S, "evidence", (key, ScoreSums(n_answers=1)))
        if self.samplers[n].should_rate(self.mix.service, version, request.kind):
            score = self.rating.rate(quality, now=now)
            self._push(now + RATING_DELAY_S, "score", (n, key, score))
        return version

    def _push(self, at: float, event_type: str, value) -> None:
        heapq.heappush(self.events, (at, next(self.tie_breakers), event_type, value))

    def _advance(self, now: float) -> None:
        while self.events and self.events[0][0] <= now:
            at, _, event_type, value = heapq.heappop(self.events)
            while self.next_judge <= at:
                self._judge()
            match event_type:
                case "evidence":
                    key, sums = value
                    self.pending[key] = self.pending[key].plus(sums)
                case "score":
                    self._record_score(at, *value)
                case "standings":
                    self.known_standings = value
        while self.next_judge <= now:
            self._judge()

    def _record_score(self, at: float, n: int, key: tuple, score: float) -> None:
        version, _, kind = key
        self.n_rated += 1
        self.samplers[n].record_score(self.mix.service, version, kind, score)
        sums = ScoreSums(n_rated=1, score_sum=score, square_sum=score * score)
        self._push(at + REPORT_LAG_S, "evidence", (key, sums))
        self.recent.append((at, version, score))

    def _judge(self) -> None:
        now = self.next_judge
        self.next_judge += JUDGE_EVERY_S
        evidence = [
            Evidence(
                service=self.mix.service,
                version=version,
                server=server,
                kind=kind.value,
                sums=sums,
            )
            for (version, server, kind), sums in self.pending.items()
        ]
        self.pending = defaultdict(ScoreSums)
        priors = {
            (self.mix.service, v): VERSIONS[v].prior_quality
            for v in (DEGRADED_VERSION, HEALTHY_VERSION)
        }
        self.test.observe(evidence, priors)
        judged = self.test.judge(
            self.standings,
            {self.mix.service: {DEGRADED_VERSION, HEALTHY_VERSION}},
            now=now,
        )
        for judgement in judged:
            self.standings = self.standings | standings_of([judgement.standing])
            if judgement.standing.state is HealthState.SUSPENDED:
                self.n_suspended += 1
        if judged:
            self._push(now + BROADCAST_LAG_S, "standings", self.standings)
        self._update_samplers(now)

    def _update_samplers(self, now: float) -> None:
        self.recent = [r for r in self.recent if r[0] > now - POOL_WINDOW_S]
        by_version: dict = defaultdict(list)
        for _, version, score in self.recent:
            by_version[version].append(score)
        for version, scores in by_version.items():
            mean = sum(scores) / len(scores)
            for sampler in self.samplers:
                sampler.record_pooled(self.mix.service, version, mean, len(scores))


def exposure(
    *,
    seed: int,
    n_instances: int,
    sample: float,
    share: float = 0.5,
    rate: float | None = None,
    mix: Mix = OVENSLOT,
) -> int:
    """Return the number of answers from a degraded version until it is detected.

    Answers count from the drop of the version's quality until the instances receive
    its standing.
    """
    run = ExposureRun(
        mix=mix, seed=seed, n_instances=n_instances, sample=sample, share=share
    )
    n_bad = 0
    arrivals = generate_arrivals(
        mix, run.rng, n_requests=N_WARM_UP_REQUESTS + 4 * MAX_BAD_ANSWERS, rate=rate
    )
    for number, arrival in enumerate(arrivals):
        if number == N_WARM_UP_REQUESTS:
            run.simulator.quality_factors[DEGRADED_VERSION] = BAD_FACTOR
        version = run.answer(arrival)
        n_bad += number >= N_WARM_UP_REQUESTS and version == DEGRADED_VERSION
        standing = run.known_standings.get((mix.service, DEGRADED_VERSION))
        if number > N_WARM_UP_REQUESTS and standing is not None:
            break
    return n_bad


def false_suspensions(*, seed: int, n_answers: int) -> tuple[int, int]:
    """Return the numbers of suspensions of healthy versions and of rated answers."""
    run = ExposureRun(mix=OVENSLOT, seed=seed, n_instances=12, sample=1.0, share=0.5)
    for arrival in generate_arrivals(OVENSLOT, run.rng, n_requests=n_answers):
        run.answer(arrival)
    return run.n_suspended, run.n_rated


def run_exposure(
    seeds: tuple[int, ...], *, n_healthy: int = N_HEALTHY_ANSWERS, repeats: int = 10
) -> Report:
    """Measure exposure by rated fraction and instance count, and false suspensions."""
    rows = []
    targets = []
    for n_instances in (1, 12):
        for sample in (0.05, 0.2, 0.5, 1.0):
            n_bad_answers = [
                exposure(seed=1_000 * seed + n, n_instances=n_instances, sample=sample)
                for seed in seeds
                for n in range(repeats)
            ]
            case = f"{n_instances} instances, {sample:.0%} rated"
            rows.append(
                Row(
                    case=case,
                    policy="pooled test",
                    values={
                        "median": percentile(n_bad_answers, 0.5),
                        "p95": percentile(n_bad_answers, 0.95),
                        "most": max(n_bad_answers),
                    },
                )
            )
            targets.append(
                Target(
                    name=f"{case}: p95 of bad answers",
                    bound=MAX_EXPOSED_ANSWERS,
                    measured=percentile(n_bad_answers, 0.95),
                )
            )
    counted = [false_suspensions(seed=seed, n_answers=n_healthy) for seed in seeds]
    n_false = sum(n for n, _ in counted)
    n_rated = sum(n for _, n in counted)
    rows.append(
        Row(
            case="healthy versions",
            policy="pooled test",
            values={"suspensions": n_false, "rated answers": n_rated},
        )
    )
    targets.append(
        Target(
            name="false suspensions per healthy rated answer",
            bound=MAX_FALSE_SUSPENSION_RATE,
            measured=n_false / n_rated,
        )
    )
    return Report(
        name="exposure", seeds=seeds, rows=tuple(rows), targets=tuple(targets)
    )
