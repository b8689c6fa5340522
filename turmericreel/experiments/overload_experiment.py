"""Goodput and fairness at 1.3 times the capacity, with and without admission."""

from collections.abc import Callable
from dataclasses import replace
from random import Random

from turmericreel.decisions.admission_policy import AdmissionPolicy, AdmitAll
from turmericreel.decisions.fair_admission import FairAdmission
from turmericreel.decisions.informed_server_policy import InformedServerPolicy
from turmericreel.experiments.engines import EventLoop, make_engines
from turmericreel.experiments.fleet import Fleet
from turmericreel.experiments.latency_experiment import (
    LENGTH_S,
    N_SERVERS,
    N_SLOTS_PER_SERVER,
    WARM_UP_S,
    rate_at_utilisation,
)
from turmericreel.experiments.results import Report, Row, Target, mean, percentile
from turmericreel.experiments.workload import MIXES, Mix, generate_arrivals

OVERLOAD_FACTOR = 1.3
DEADLINE_S = 30.0
MIN_GOODPUT_FRACTION = 0.95
MAX_FAIRNESS_RATIO = 1.5
FAIR = "fair admission"

FAIR_PROBING = "fair admission, with probes"

ADMISSIONS: dict[str, Callable[[], AdmissionPolicy]] = {
    FAIR: FairAdmission,
    FAIR_PROBING: FairAdmission,
    "admit all": AdmitAll,
}


def run_overload(
    mix: Mix,
    admission: str,
    *,
    seed: int,
    small_only: bool = False,
    load: float = OVERLOAD_FACTOR,
) -> Fleet:
    """Run a workload above capacity; `small_only` omits the large accounts."""
    rng = Random(f"overload/{seed}")
    loop = EventLoop()
    engines = make_engines(
        loop,
        mix.service,
        n_servers=N_SERVERS,
        capacity=N_SLOTS_PER_SERVER,
        answers_probes=admission == FAIR_PROBING,
    )
    fleet = Fleet(
        loop=loop,
        engines=engines,
        rng=rng,
        build_server_policy=lambda r, centre: InformedServerPolicy(
            rng=r, data_centre=centre
        ),
        build_admission_policy=ADMISSIONS[admission],
    )
    full = rate_at_utilisation(mix, 1.0, n_slots=N_SERVERS * N_SLOTS_PER_SERVER)
    rate = load * full
    arrivals = Random(f"overload/{seed}/arrivals")
    for arrival in generate_arrivals(
        mix, arrivals, n_requests=int(rate * LENGTH_S), rate=rate
    ):
        if small_only and arrival.request.account.startswith("large"):
            continue
        request = replace(arrival.request, deadline=arrival.at + DEADLINE_S)
        loop.at(arrival.at, lambda request=request: fleet.arrive(request))
    loop.run(LENGTH_S)
    return fleet


def goodput(fleet: Fleet, mix: Mix) -> float:
    """Return answers within their deadline as a fraction of the fleet's capacity."""
    done = [
        o
        for o in fleet.outcomes
        if o.finished_s is not None
        and o.finished_s <= DEADLINE_S
        and WARM_UP_S < o.arrived_at + o.finished_s < LENGTH_S
    ]
    capacity = rate_at_utilisation(mix, 1.0, n_slots=N_SERVERS * N_SLOTS_PER_SERVER)
    return len(done) / (LENGTH_S - WARM_UP_S) / capacity


def small_accounts_p95_s(fleet: Fleet) -> float:
    """Return the small accounts' 95th percentile time to first token in seconds.

    Requests without a first token count as infinite.
    """
    times = [
        o.first_token_s if o.first_token_s is not None else float("inf")
        for o in fleet.outcomes
        if o.account.startswith("small")
        and WARM_UP_S < o.arrived_at < LENGTH_S - DEADLINE_S
    ]
    return percentile(times, 0.95)


def run_overloads(seeds: tuple[int, ...]) -> Report:
    """Measure every admission policy on both mixes."""
    rows = []
    targets = []
    for mix in MIXES.values():
        for admission in ADMISSIONS:
            full = [run_overload(mix, admission, seed=s) for s in seeds]
            alone = [
                run_overload(mix, admission, seed=s, small_only=True) for s in seeds
            ]
            good = mean(goodput(fleet, mix) for fleet in full)
            p95 = mean(small_accounts_p95_s(fleet) for fleet in full)
            p95_alone = mean(small_accounts_p95_s(fleet) for fleet in alone)
            case = f"{mix.name}, 1.3 times capacity"
            values = {
                "goodput/capacity": good,
                "small p95 ms": p95 * 1_000,
                "alone p95 ms": p95_alone * 1_000,
                "refused": mean(
                    mean(o.refused for o in fleet.outcomes) for fleet in full
                ),
            }
            rows.append(Row(case=case, policy=admission, values=values))
            if admission in (FAIR, FAIR_PROBING):
                targets.append(
                    Target(
                        name=f"{case}, {admission}: goodput/capacity",
                        bound=MIN_GOODPUT_FRACTION,
                        measured=good,
                        at_most=False,
                    )
                )
                targets.append(
                    Target(
                        name=f"{case}, {admission}: small p95 / without large",
                        bound=MAX_FAIRNESS_RATIO,
                        measured=p95 / p95_alone,
                    )
                )
    return Report(
        name="overload", seeds=seeds, rows=tuple(rows), targets=tuple(targets)
    )
