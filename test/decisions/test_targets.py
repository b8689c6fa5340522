"""Performance targets on short seeded runs; KNOWN-RED.txt lists those missed."""

from turmericreel.experiments.cost_experiment import LEARNED, RATING_CASES, run_case
from turmericreel.experiments.latency_experiment import (
    INFORMED,
    MAX_LATENCY_RATIO,
    PROBING,
    central_queue,
    first_token_latencies_s,
    run_fleet,
)
from turmericreel.experiments.overload_experiment import (
    FAIR_PROBING,
    MAX_FAIRNESS_RATIO,
    run_overload,
    small_accounts_p95_s,
)
from turmericreel.experiments.results import mean, percentile
from turmericreel.experiments.workload import MIXES, OVENSLOT

SEED = 201
N_REQUESTS = 12_000
COST_BOUND = 1.10
STRONG_BOUND = 0.5


def test_first_token_is_near_optimal_where_servers_answer_probes():
    for mix in MIXES.values():
        best = percentile(central_queue(mix, seed=SEED), 0.95)
        fleet = run_fleet(mix, PROBING, seed=SEED)
        assert (
            percentile(first_token_latencies_s(fleet), 0.95) <= MAX_LATENCY_RATIO * best
        )


def test_first_token_is_near_optimal_with_load_reports_only():
    best = percentile(central_queue(OVENSLOT, seed=SEED), 0.95)
    fleet = run_fleet(OVENSLOT, INFORMED, seed=SEED)
    assert percentile(first_token_latencies_s(fleet), 0.95) <= MAX_LATENCY_RATIO * best


def test_small_account_keeps_its_first_token_latency_beside_large_ones():
    beside = small_accounts_p95_s(run_overload(OVENSLOT, FAIR_PROBING, seed=SEED))
    alone = small_accounts_p95_s(
        run_overload(OVENSLOT, FAIR_PROBING, seed=SEED, small_only=True)
    )
    assert beside <= MAX_FAIRNESS_RATIO * alone


def test_cost_is_near_the_oracle_and_below_half_of_always_strong():
    costs = {
        policy: mean(
            run_case(
                OVENSLOT, RATING_CASES[0], policy, seed=SEED, n_requests=N_REQUESTS
            ).costs
        )
        for policy in (LEARNED, "oracle", "always strong")
    }
    assert costs[LEARNED] <= COST_BOUND * costs["oracle"]
    assert costs[LEARNED] <= STRONG_BOUND * costs["always strong"]
