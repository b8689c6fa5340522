"""Short seeded runs of the experiments meet their targets; broken policies do not."""

from turmericreel.decisions.cascade_policy import CascadePolicy, Option, PlanChoice
from turmericreel.decisions.version_health import VersionHealthTest
from turmericreel.decisions.version_policy import Plan, Stage
from turmericreel.experiments.cost_experiment import (
    N_WINDOW_REQUESTS,
    RATING_CASES,
    run_case,
)
from turmericreel.experiments.exposure_experiment import (
    MAX_EXPOSED_ANSWERS,
    exposure,
    false_suspensions,
)
from turmericreel.experiments.latency_experiment import (
    INFORMED,
    MAX_RETRY_FRACTION,
    lost_data_centre,
    lost_third,
    run_fleet,
    worst_retry_fraction,
)
from turmericreel.experiments.overload_experiment import (
    FAIR,
    MIN_GOODPUT_FRACTION,
    goodput,
    run_overload,
)
from turmericreel.experiments.results import mean
from turmericreel.experiments.workload import MIXES, OVENSLOT, TURRIALBA

SEED = 201
N_SHORT = 6_000


def test_quality_target_is_met_in_every_window_below_the_strong_versions_cost():
    learned = run_case(
        OVENSLOT, RATING_CASES[0], "learned", seed=SEED, n_requests=N_SHORT
    )
    strong = run_case(
        OVENSLOT, RATING_CASES[0], "always strong", seed=SEED, n_requests=N_SHORT
    )
    assert min(learned.window_qualities()) >= OVENSLOT.quality_target
    assert mean(learned.costs[-N_WINDOW_REQUESTS:]) < mean(
        strong.costs[-N_WINDOW_REQUESTS:]
    )


def test_always_cheap_misses_the_target():
    cheap = run_case(
        TURRIALBA, RATING_CASES[0], "always cheap", seed=SEED, n_requests=N_SHORT
    )
    assert min(cheap.window_qualities()) < TURRIALBA.quality_target


def test_policy_that_ignores_quality_misses_the_target(monkeypatch):
    case = RATING_CASES[0]
    monkeypatch.setattr(CascadePolicy, "_choose", _choose_first)
    broken = run_case(TURRIALBA, case, "learned", seed=SEED, n_requests=N_SHORT)
    assert min(broken.window_qualities()) < TURRIALBA.quality_target


def _choose_first(policy, key, candidates, target, *, now):
    plan = Plan(stages=(Stage(version=next(iter(candidates))),))
    option = Option(plan=plan, quality=1.0, cost=0.0, duration_s=0.0)
    return PlanChoice(options=(option,), exploration_plan=None, valid_until=now)


def test_exposure_stays_within_the_bound_on_one_and_twelve_instances():
    found = [
        exposure(seed=SEED + n, n_instances=n_instances, sample=0.2)
        for n_instances in (1, 12)
        for n in range(3)
    ]
    assert max(found) <= MAX_EXPOSED_ANSWERS


def test_disabled_health_test_exceeds_the_exposure_bound(monkeypatch):
    monkeypatch.setattr(VersionHealthTest, "judge", lambda *args, **kwargs: [])
    found = exposure(seed=SEED, n_instances=1, sample=0.2)
    assert found > MAX_EXPOSED_ANSWERS


def test_healthy_versions_are_not_suspended():
    n_suspended, n_rated = false_suspensions(seed=SEED, n_answers=10_000)
    assert n_rated > 9_000
    assert n_suspended == 0


def test_retries_stay_within_their_budget_in_losses():
    for select_lost in (lost_third, lost_data_centre):
        fleet = run_fleet(
            MIXES["ovenslot"],
            INFORMED,
            seed=SEED,
            utilisation=0.5,
            select_lost=select_lost,
        )
        assert fleet.attempts.n_retries > 0
        assert worst_retry_fraction(fleet) <= MAX_RETRY_FRACTION


def test_goodput_holds_above_capacity_and_collapses_without_admission():
    fair = goodput(run_overload(OVENSLOT, FAIR, seed=SEED), OVENSLOT)
    without_admission = goodput(
        run_overload(OVENSLOT, "admit all", seed=SEED), OVENSLOT
    )
    assert fair >= MIN_GOODPUT_FRACTION
    assert without_admission < MIN_GOODPUT_FRACTION


def test_same_seed_gives_the_same_run():
    runs = [
        run_case(OVENSLOT, RATING_CASES[0], "learned", seed=7, n_requests=500).costs
        for _ in range(2)
    ]
    assert runs[0] == runs[1]
