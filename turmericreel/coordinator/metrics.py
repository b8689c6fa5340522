"""Metrics of a coordinator, computed from its state on each scrape."""

from collections.abc import Iterator

from prometheus_client.core import (
    CounterMetricFamily,
    GaugeMetricFamily,
    Metric,
)
from prometheus_client.registry import Collector

from turmericreel.coordinator.cold_distributor import ColdDistributor
from turmericreel.state.routing_machine import RoutingMachine

LABELS = ("account", "service", "version", "model")


class UsageCollector(Collector):
    """Usage of client accounts, as applied by this coordinator.

    Parameters
    ----------
    machine : RoutingMachine
    """

    def __init__(self, *, machine: RoutingMachine):
        self.machine = machine

    def collect(self) -> Iterator[Metric]:
        """Yield one counter family for each kind of total."""
        for name, text in (
            ("n_runs", "Runs of requests on backend servers."),
            ("n_answers", "Answers that were forwarded completely."),
            ("n_prompt_tokens", "Prompt tokens of all runs."),
            ("n_events", "Stream events that were forwarded."),
        ):
            family = CounterMetricFamily(
                f"turmericreel_usage_{name.removeprefix('n_')}", text, labels=LABELS
            )
            for key, amounts in self.machine.usage.items():
                values = [str(getattr(key, label)) for label in LABELS]
                family.add_metric(values, getattr(amounts, name))
            yield family


class EvacuationCollector(Collector):
    """Evacuated data centres, as applied by this coordinator.

    Parameters
    ----------
    machine : RoutingMachine
    """

    def __init__(self, *, machine: RoutingMachine):
        self.machine = machine

    def collect(self) -> Iterator[Metric]:
        """Yield one gauge for each data centre that was ever evacuated."""
        family = GaugeMetricFamily(
            "turmericreel_coordinator_evacuated",
            "1 while a data centre is evacuated, and 0 once that was withdrawn.",
            labels=["data_centre"],
        )
        for evacuation in self.machine.evacuations.values():
            value = int(evacuation.is_evacuated)
            family.add_metric([evacuation.data_centre], value)
        yield family


class ColdCollector(Collector):
    """Cold servers and the requests that this coordinator granted of them.

    Parameters
    ----------
    cold : ColdDistributor
    """

    def __init__(self, *, cold: ColdDistributor):
        self.cold = cold

    def collect(self) -> Iterator[Metric]:
        """Yield the gauge and the counter."""
        yield GaugeMetricFamily(
            "turmericreel_coordinator_cold_servers",
            "Servers that are cold.",
            value=self.cold.n_cold(),
        )
        yield CounterMetricFamily(
            "turmericreel_coordinator_cold_granted",
            "Requests of cold servers that were granted since the start.",
            value=self.cold.n_granted,
        )
