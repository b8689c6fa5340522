"""Metrics of the spread, read from the running parts when they are asked for."""

from collections.abc import Iterator

from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from turmericreel.control.service import ControlService
from turmericreel.coordination.control_client import ControlClient
from turmericreel.coordination.load_exchange import LoadExchange


class SubscriptionMetrics(Collector):
    """Metrics of an entry instance's subscription and load exchange.

    Parameters
    ----------
    client : ControlClient
    exchange : LoadExchange
    """

    def __init__(self, *, client: ControlClient, exchange: LoadExchange):
        self.client = client
        self.exchange = exchange

    def collect(self) -> Iterator[Metric]:
        """Yield the metrics."""
        view = self.client.view
        left_s = max(0.0, view.lease_deadline - self.client.clock.monotonic())
        yield _gauge("lease_left_seconds", "Time left of the lease.", left_s)
        yield _gauge("revision", "Revision of the text held.", view.revision)
        yield _gauge("known_servers", "Backend servers known.", len(view.servers))
        yield _gauge("known_instances", "Instances listed.", len(view.instances))
        yield _counter(
            "streams", "Streams made to control instances.", self.client.n_streams
        )
        yield _counter(
            "load_sent_bytes", "Load reports sent.", self.exchange.sent_bytes
        )
        yield _counter(
            "load_received_bytes",
            "Load reports received.",
            self.exchange.received_bytes,
        )


class ControlServiceMetrics(Collector):
    """Metrics of a control instance or relay.

    Parameters
    ----------
    service : ControlService
    """

    def __init__(self, *, service: ControlService):
        self.service = service

    def collect(self) -> Iterator[Metric]:
        """Yield the metrics."""
        subscribers = self.service.subscribers
        streams = subscribers.streams
        n_relays = sum(subscriber.is_relay for subscriber in streams)
        counts = subscribers.holder_counts()
        yield _gauge("leader", "Whether this instance leads.", self.service.is_leader())
        yield _gauge("subscribers", "Entry instances served.", len(streams) - n_relays)
        yield _gauge("relays", "Relays served.", n_relays)
        yield _gauge(
            "lease_holders", "Live leases below.", sum(c.n_holders for c in counts)
        )
        yield _gauge(
            "oldest_revision",
            "Oldest revision that a live lease is held on.",
            min((c.revision for c in counts), default=0),
        )
        yield _gauge(
            "grantable_lease_seconds",
            "Longest lease that may be granted now.",
            self.service.source().lease_limit_ms() / 1_000,
        )


def _gauge(name: str, text: str, value: float) -> Metric:
    return GaugeMetricFamily(f"turmericreel_control_{name}", text, value=float(value))


def _counter(name: str, text: str, value: float) -> Metric:
    return CounterMetricFamily(f"turmericreel_control_{name}", text, value=float(value))
