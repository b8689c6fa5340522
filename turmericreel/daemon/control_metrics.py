"""Metrics of configuration distribution, read from the tasks at collection time."""

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
        yield _gauge(
            "lease_left_seconds", "Time until the lease expires, in seconds.", left_s
        )
        yield _gauge(
            "revision", "Revision of the operators' text in this view.", view.revision
        )
        yield _gauge(
            "known_servers", "Backend servers in this view.", len(view.servers)
        )
        yield _gauge("known_instances", "Instances in this view.", len(view.instances))
        yield _counter(
            "streams", "Streams opened to control instances.", self.client.n_streams
        )
        yield _counter(
            "load_sent_bytes", "Bytes of load reports sent.", self.exchange.sent_bytes
        )
        yield _counter(
            "load_received_bytes",
            "Bytes of load reports received.",
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
        yield _gauge(
            "leader",
            "1 if this instance is the leader, else 0.",
            self.service.is_leader(),
        )
        yield _gauge(
            "subscribers", "Entry instances subscribed here.", len(streams) - n_relays
        )
        yield _gauge("relays", "Relays subscribed here.", n_relays)
        yield _gauge(
            "lease_holders",
            "Live leases of subscribers, relayed ones included.",
            sum(c.n_holders for c in counts),
        )
        yield _gauge(
            "oldest_revision",
            "Oldest revision with a live lease.",
            min((c.revision for c in counts), default=0),
        )
        yield _gauge(
            "grantable_lease_seconds",
            "Longest lease that can be granted now, in seconds.",
            self.service.source().lease_limit_ms() / 1_000,
        )


def _gauge(name: str, text: str, value: float) -> Metric:
    return GaugeMetricFamily(f"turmericreel_control_{name}", text, value=float(value))


def _counter(name: str, text: str, value: float) -> Metric:
    return CounterMetricFamily(f"turmericreel_control_{name}", text, value=float(value))
