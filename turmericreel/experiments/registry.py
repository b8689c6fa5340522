"""The experiments by name, and the seeds for tuning and for reported results."""

from collections.abc import Callable

from turmericreel.experiments.cost_experiment import run_cost
from turmericreel.experiments.decision_cost import run_decision_cost
from turmericreel.experiments.exposure_experiment import run_exposure
from turmericreel.experiments.latency_experiment import run_latency
from turmericreel.experiments.overload_experiment import run_overloads
from turmericreel.experiments.results import Report

# Parameters are tuned on TUNING_SEEDS; results are reported on REPORT_SEEDS.
TUNING_SEEDS = (1, 2, 3)
REPORT_SEEDS = (101, 102, 103)

EXPERIMENTS: dict[str, Callable[[tuple[int, ...]], Report]] = {
    "cost": run_cost,
    "exposure": run_exposure,
    "latency": run_latency,
    "overload": run_overloads,
    "decision-cost": run_decision_cost,
}
