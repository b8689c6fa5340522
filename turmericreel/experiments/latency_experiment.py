"""Time to first token under load: the real server policy against baselines."""

from collections.abc import Callable
from random import Random

from turmericreel.decisions.informed_server_policy import InformedServerPolicy
from turmericreel.decisions.server_policy import LeastOutstanding
from turmericreel.experiments.engines import (
    Engine,
    EventLoop,
    Job,
    decode_time,
    make_engines,
    prefill_time,
)
from turmericreel.experiments.fleet import Fleet
from turmericreel.experiments.results import Report, Row, Target, mean, percentile
from turmericreel.experiments.server_baselines import (
    LeastReported,
    RandomServer,
    RoundRobin,
)
from turmericreel.experiments.workload import MIXES, Mix, generate_arrivals

UTILISATION = 0.8
WARM_UP_S = 60.0
LENGTH_S = 360.0
N_SERVERS = 9
N_SLOTS_PER_SERVER = 8
INFORMED = "informed"
PROBING = "informed, with probes"
CENTRAL = "central queue"
MAX_LATENCY_RATIO = 1.3
MAX_RETRY_FRACTION = 0.1
REPORT_LAGS_S = (0.5, 1.0, 5.0, 10.0)
CRASH_AT_S = 150.0

SERVER_POLICIES: dict[str, Callable] = {
    INFORMED: lambda rng, centre: InformedServerPolicy(rng=rng, data_centre=centre),
    PROBING: lambda rng, centre: InformedServerPolicy(rng=rng, data_centre=centre),
    "random": lambda rng, centre: RandomServer(rng=rng),
    "round robin": lambda rng, centre: RoundRobin(rng=rng),
    "least reported load": lambda rng, centre: LeastReported(rng=rng),
    "own outstanding": lambda rng, centre: LeastOutstanding(rng=rng),
}


def rate_at_utilisation(mix: Mix, utilisation: float, *, n_slots: int) -> float:
    """Return the requests per second that keep this fraction of all slots busy."""
    sample = generate_arrivals(mix, Random(0), n_requests=4_000)
    busy_s = mean(
        prefill_time(a.request) + decode_time(a.request, utilisation) for a in sample
    )
    return utilisation * n_slots / busy_s


def run_fleet(
    mix: Mix,
    policy: str,
    *,
    seed: int,
    utilisation: float = UTILISATION,
    report_lag_s: float = 0.5,
    select_lost: Callable[[dict], list] | None = None,
    length_s: float = LENGTH_S,
) -> Fleet:
    """Simulate a workload at instances that use one server policy.

    Parameters
    ----------
    mix : Mix
    policy : str
        Key of `SERVER_POLICIES`.
    seed : int
    utilisation : float
        Mean fraction of busy slots.
    report_lag_s : float
        Delay of the load reports.
    select_lost : callable or None
        Returns the engines that crash `CRASH_AT_S` seconds into the run.
    length_s : float
        Seconds during which requests arrive.
    """
    rng = Random(f"latency/{seed}")
    loop = EventLoop()
    engines = make_engines(
        loop,
        mix.service,
        n_servers=N_SERVERS,
        capacity=N_SLOTS_PER_SERVER,
        answers_probes=policy == PROBING,
    )
    fleet = Fleet(
        loop=loop,
        engines=engines,
        rng=rng,
        build_server_policy=SERVER_POLICIES[policy],
        report_lag_s=report_lag_s,
        report_every_s=max(1.0, report_lag_s),
    )
    rate = rate_at_utilisation(mix, utilisation, n_slots=N_SERVERS * N_SLOTS_PER_SERVER)
    for arrival in generate_arrivals(
        mix, rng, n_requests=int(rate * length_s), rate=rate
    ):
        request = arrival.request
        loop.at(arrival.at, lambda request=request: fleet.arrive(request))
    if select_lost is not None:
        loop.at(CRASH_AT_S, lambda: [engine.crash() for engine in select_lost(engines)])
    loop.run(length_s + WARM_UP_S)
    return fleet


def central_queue(mix: Mix, *, seed: int, utilisation: float = UTILISATION) -> list:
    """Return the times to first token with one queue for all slots: the best possible.

    Each request goes to the engine with the least true load, without delay; it waits
    only while all slots are taken.
    """
    rng = Random(f"latency/{seed}")
    loop = EventLoop()
    engines = make_engines(
        loop, mix.service, n_servers=N_SERVERS, capacity=N_SLOTS_PER_SERVER
    )
    waiting: list = []
    times: list = []

    def free_engine() -> Engine | None:
        best = min(engines.values(), key=lambda e: len(e.running))
        return best if len(best.running) < N_SLOTS_PER_SERVER else None

    def start(engine: Engine, request, arrived: float) -> None:
        job = Job(
            request=request,
            on_first_token=lambda: times.append((arrived, loop.now - arrived)),
            on_end=lambda whole: start_next(),
        )
        engine.submit(job)

    def start_next() -> None:
        engine = free_engine()
        if waiting and engine is not None:
            start(engine, *waiting.pop(0))

    def arrive(request) -> None:
        engine = free_engine()
        if engine is None:
            waiting.append((request, loop.now))
        else:
            start(engine, request, loop.now)

    rate = rate_at_utilisation(mix, utilisation, n_slots=N_SERVERS * N_SLOTS_PER_SERVER)
    for arrival in generate_arrivals(
        mix, rng, n_requests=int(rate * LENGTH_S), rate=rate
    ):
        request = arrival.request
        loop.at(arrival.at, lambda request=request: arrive(request))
    loop.run(LENGTH_S + WARM_UP_S)
    return [t for at, t in times if WARM_UP_S < at < LENGTH_S]


def first_token_latencies_s(fleet: Fleet, since: float = WARM_UP_S) -> list[float]:
    """Return the times to first token of requests that arrived after `since`."""
    return [
        o.first_token_s
        for o in fleet.outcomes
        if since < o.arrived_at < LENGTH_S and o.first_token_s is not None
    ]


def lost_third(engines: dict) -> list[Engine]:
    """Return a third of the engines, distributed over the data centres."""
    return list(engines.values())[: len(engines) // 3]


def lost_data_centre(engines: dict) -> list[Engine]:
    """Return the engines of one data centre."""
    return [e for e in engines.values() if e.server.data_centre == "a"]


def run_latency(seeds: tuple[int, ...]) -> Report:
    """Compare server policies under delayed load reports and losses of servers."""
    rows = []
    targets = []
    for mix in MIXES.values():
        best = mean(percentile(central_queue(mix, seed=seed), 0.95) for seed in seeds)
        rows.append(Row(case=mix.name, policy=CENTRAL, values={"p95 ms": best * 1_000}))
        for lag in REPORT_LAGS_S:
            for policy in SERVER_POLICIES:
                fleets = [
                    run_fleet(mix, policy, seed=seed, report_lag_s=lag)
                    for seed in seeds
                ]
                p95 = mean(percentile(first_token_latencies_s(f), 0.95) for f in fleets)
                case = f"{mix.name}, reports {lag:g} s late"
                values = {"p95 ms": p95 * 1_000, "p95/best": p95 / best}
                rows.append(Row(case=case, policy=policy, values=values))
                if policy in (INFORMED, PROBING):
                    targets.append(
                        Target(
                            name=f"{case}, {policy}: p95/best",
                            bound=MAX_LATENCY_RATIO,
                            measured=p95 / best,
                        )
                    )
    rows_lost, targets_lost = _measure_losses(seeds)
    return Report(
        name="latency",
        seeds=seeds,
        rows=(*rows, *rows_lost),
        targets=(*targets, *targets_lost),
    )


def _measure_losses(seeds: tuple[int, ...]) -> tuple[list[Row], list[Target]]:
    rows = []
    targets = []
    cases = {"a third crashes": lost_third, "a data centre is lost": lost_data_centre}
    for mix in MIXES.values():
        for name, select_lost in cases.items():
            fleets = [
                run_fleet(
                    mix, INFORMED, seed=seed, utilisation=0.5, select_lost=select_lost
                )
                for seed in seeds
            ]
            added = mean(f.attempts.n_retries / f.attempts.n_first for f in fleets)
            worst = max(worst_retry_fraction(f) for f in fleets)
            failed = mean(_failure_fraction(f) for f in fleets)
            case = f"{mix.name}, {name}"
            values = {
                "retries/requests": added,
                "worst 30 s": worst,
                "failed": failed,
            }
            rows.append(Row(case=case, policy=INFORMED, values=values))
            targets.append(
                Target(
                    name=f"{case}: retries added in the worst 30 s",
                    bound=MAX_RETRY_FRACTION,
                    measured=worst,
                )
            )
    return rows, targets


def worst_retry_fraction(fleet: Fleet, span_s: float = 30.0) -> float:
    """Return the largest ratio of retries to arrivals in a window after a retry.

    A window of `span_s` seconds begins at each retry.
    """
    arrivals = [o.arrived_at for o in fleet.outcomes]
    worst = 0.0
    for began in fleet.attempts.retried_at:
        n_retries = sum(began <= t < began + span_s for t in fleet.attempts.retried_at)
        n_first = sum(began <= t < began + span_s for t in arrivals)
        worst = max(worst, n_retries / max(1, n_first))
    return worst


def _failure_fraction(fleet: Fleet) -> float:
    ended = [o for o in fleet.outcomes if o.arrived_at < LENGTH_S - WARM_UP_S]
    return mean(o.finished_s is None for o in ended)
