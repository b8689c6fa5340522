"""Metrics of a gateway.

Labels take only a few values, so that clients cannot add time series.
"""

from collections import Counter as Tally
from collections.abc import Callable, Iterator
from enum import Enum

from prometheus_client import CollectorRegistry, Counter, Histogram
from prometheus_client.core import CounterMetricFamily, GaugeMetricFamily, Metric
from prometheus_client.registry import Collector

from turmericreel.gateway.view import GatewayView

LATENCY_BUCKETS_S = (0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0, 10.0, 20.0)


class RequestOutcome(Enum):
    """Outcome of a client's request."""

    ANSWERED = "answered"
    SERVER_FAILED = "server_failed"
    REFUSED = "refused"
    TIMED_OUT = "timed_out"
    BROKEN = "broken"
    CLIENT_LEFT = "client_left"


class AttemptOutcome(Enum):
    """Outcome of one attempt of a request at a server."""

    ANSWERED = "answered"
    FAILED = "failed"
    REFUSED = "refused"
    UNREACHED = "unreached"
    BROKEN = "broken"
    DROPPED_FOR_MODEL = "dropped_for_model"


class GatewayMetrics:
    """Counters and histograms of a gateway.

    Parameters
    ----------
    registry : CollectorRegistry
    """

    def __init__(self, *, registry: CollectorRegistry):
        self.requests = Counter(
            "turmericreel_gateway_requests",
            "Client requests by outcome.",
            ["kind", "outcome"],
            registry=registry,
        )
        self.seconds = Histogram(
            "turmericreel_gateway_seconds",
            "Time from a request's arrival to its end.",
            ["kind"],
            buckets=LATENCY_BUCKETS_S,
            registry=registry,
        )
        self.attempts = Counter(
            "turmericreel_gateway_attempts",
            "Attempts at servers by outcome.",
            ["outcome"],
            registry=registry,
        )

    def record_end(self, kind: str, outcome: RequestOutcome, *, seconds: float) -> None:
        """Count a finished request and record its duration.

        Parameters
        ----------
        kind : str
        outcome : RequestOutcome
        seconds : float
            Time from the request's arrival to its end.
        """
        self.requests.labels(kind=kind, outcome=outcome.value).inc()
        self.seconds.labels(kind=kind).observe(seconds)

    def record_attempt_end(self, outcome: AttemptOutcome) -> None:
        """Count a finished attempt."""
        self.attempts.labels(outcome=outcome.value).inc()


class GatewayCollector(Collector):
    """Gauges whose values are computed when the metrics are read.

    Parameters
    ----------
    view : GatewayView
    n_running : callable
        Returns the number of requests in progress.
    n_quarantined : callable
        Returns the number of contents that are refused because servers ended.
    n_suspended : callable
        Returns the number of suspended servers.
    n_unavailable : callable
        Returns the number of servers that are leaving or asked for a pause.
    n_evacuated : callable
        Returns the number of ready servers in evacuated data centres.
    n_refused_by_evacuation : callable
        Returns the number of attempts refused, since the start, because no server was
        left outside evacuated data centres.
    n_rate_limited : callable
        Returns the number of servers that name a limit on their requests.
    n_refused_by_rates : callable
        Returns the number of requests refused because of such limits since the start.
    n_cold : callable
        Returns the number of server processes that are cold.
    n_refused_for_cold : callable
        Returns the number of attempts refused, since the start, because only cold
        servers were left and these had got what they take.
    n_brittle : callable
        Returns the number of services whose servers are brittle.
    n_refused_for_places : callable
        Returns the number of attempts refused, since the start, because all places of
        this gateway at brittle servers were taken.
    n_refused_by_brittle : callable
        Returns the number of attempts that brittle servers refused since the start.
    n_relayed : callable
        Returns the number of servers that are reached through other gateways.
    n_relays : callable
        Returns the number of connections that are open for other gateways.
    n_opened_through_others : callable
        Returns the number of connections opened through other gateways since the start.
    n_held_bytes : callable
        Returns the bytes that are held for clients.
    n_log_lines_dropped : callable
        Returns the number of log lines dropped since the start.
    """

    def __init__(
        self,
        *,
        view: GatewayView,
        n_running: Callable[[], int],
        n_quarantined: Callable[[], int],
        n_suspended: Callable[[], int],
        n_unavailable: Callable[[], int],
        n_evacuated: Callable[[], int],
        n_refused_by_evacuation: Callable[[], int],
        n_rate_limited: Callable[[], int],
        n_refused_by_rates: Callable[[], int],
        n_cold: Callable[[], int],
        n_refused_for_cold: Callable[[], int],
        n_brittle: Callable[[], int],
        n_refused_for_places: Callable[[], int],
        n_refused_by_brittle: Callable[[], int],
        n_relayed: Callable[[], int],
        n_relays: Callable[[], int],
        n_opened_through_others: Callable[[], int],
        n_held_bytes: Callable[[], int],
        n_log_lines_dropped: Callable[[], int],
    ):
        self.view = view
        self.n_running = n_running
        self.n_quarantined = n_quarantined
        self.n_suspended = n_suspended
        self.n_unavailable = n_unavailable
        self.n_evacuated = n_evacuated
        self.n_refused_by_evacuation = n_refused_by_evacuation
        self.n_rate_limited = n_rate_limited
        self.n_refused_by_rates = n_refused_by_rates
        self.n_cold = n_cold
        self.n_refused_for_cold = n_refused_for_cold
        self.n_brittle = n_brittle
        self.n_refused_for_places = n_refused_for_places
        self.n_refused_by_brittle = n_refused_by_brittle
        self.n_relayed = n_relayed
        self.n_relays = n_relays
        self.n_opened_through_others = n_opened_through_others
        self.n_held_bytes = n_held_bytes
        self.n_log_lines_dropped = n_log_lines_dropped

    def collect(self) -> Iterator[Metric]:
        """Yield the gauges."""
        yield GaugeMetricFamily(
            "turmericreel_gateway_running",
            "Requests in progress.",
            value=self.n_running(),
        )
        yield GaugeMetricFamily(
            "turmericreel_gateway_revision",
            "Revision of the configuration in force at this gateway; 0 without one.",
            value=self.view.revision,
        )
        yield GaugeMetricFamily(
            "turmericreel_gateway_gateways",
            "Gateways that accept clients, by the local view.",
            value=sum(g.takes_clients for g in self.view.gateways),
        )
        yield GaugeMetricFamily(
            "turmericreel_gateway_quarantined",
            "Contents that are refused because servers ended while running them.",
            value=self.n_quarantined(),
        )
        yield GaugeMetricFamily(
            "turmericreel_gateway_suspended",
            "Servers suspended because they fail at several gateways.",
            value=self.n_suspended(),
        )
        yield GaugeMetricFamily(
            "turmericreel_gateway_unavailable",
            "Ready servers that are leaving or asked for a pause.",
            value=self.n_unavailable(),
        )
        yield GaugeMetricFamily(
            "turmericreel_gateway_evacuated_data_centres",
            "Data centres whose servers get no requests.",
            value=len(self.view.evacuations.evacuated),
        )
        yield GaugeMetricFamily(
            "turmericreel_gateway_evacuated_servers",
            "Ready servers in evacuated data centres.",
            value=self.n_evacuated(),
        )
        yield CounterMetricFamily(
            "turmericreel_gateway_refused_by_evacuation",
            "Attempts refused because all servers are in evacuated data centres.",
            value=self.n_refused_by_evacuation(),
        )
        yield GaugeMetricFamily(
            "turmericreel_gateway_rate_limited",
            "Servers that name a limit on the requests a second.",
            value=self.n_rate_limited(),
        )
        yield CounterMetricFamily(
            "turmericreel_gateway_refused_by_rates",
            "Attempts refused because all servers had got as many as they take.",
            value=self.n_refused_by_rates(),
        )
        yield GaugeMetricFamily(
            "turmericreel_gateway_cold_servers",
            "Servers that are cold.",
            value=self.n_cold(),
        )
        yield CounterMetricFamily(
            "turmericreel_gateway_refused_for_cold",
            "Attempts refused because only cold servers were left.",
            value=self.n_refused_for_cold(),
        )
        yield GaugeMetricFamily(
            "turmericreel_gateway_brittle_services",
            "Services whose servers fall over when they refuse many requests.",
            value=self.n_brittle(),
        )
        yield CounterMetricFamily(
            "turmericreel_gateway_refused_for_places",
            "Attempts refused because all places at brittle servers were taken.",
            value=self.n_refused_for_places(),
        )
        yield CounterMetricFamily(
            "turmericreel_gateway_refused_by_brittle",
            "Attempts that brittle servers refused.",
            value=self.n_refused_by_brittle(),
        )
        yield GaugeMetricFamily(
            "turmericreel_gateway_relayed_servers",
            "Servers that are reached through other gateways.",
            value=self.n_relayed(),
        )
        yield GaugeMetricFamily(
            "turmericreel_gateway_relays",
            "Connections to servers that are open for other gateways.",
            value=self.n_relays(),
        )
        yield CounterMetricFamily(
            "turmericreel_gateway_opened_through_others",
            "Connections to servers that were opened through other gateways.",
            value=self.n_opened_through_others(),
        )
        servers = GaugeMetricFamily(
            "turmericreel_gateway_servers",
            "Registered servers by state.",
            labels=["state"],
        )
        tally = Tally(s.state.value for s in self.view.servers.values())
        for state, n_servers in tally.items():
            servers.add_metric([state], n_servers)
        yield servers
        rollouts = GaugeMetricFamily(
            "turmericreel_gateway_rollouts",
            "Roll-outs by stage.",
            labels=["stage"],
        )
        stages = Tally(r.stage.value for r in self.view.rollouts.values())
        for stage, n_rollouts in stages.items():
            rollouts.add_metric([stage], n_rollouts)
        yield rollouts
        yield GaugeMetricFamily(
            "turmericreel_gateway_held_bytes",
            "Bytes of requests and unread answers that are held for clients.",
            value=self.n_held_bytes(),
        )
        yield GaugeMetricFamily(
            "turmericreel_log_lines_dropped",
            "Log lines dropped since the start.",
            value=self.n_log_lines_dropped(),
        )
