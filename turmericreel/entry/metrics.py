"""Prometheus metrics of an entry instance, with a bounded set of label values."""

from prometheus_client import CollectorRegistry, Counter, Gauge, Histogram

from turmericreel.model.failures import Failure, NotRun
from turmericreel.model.ids import ServiceName

FIRST_TOKEN_BOUNDS_S = (0.01, 0.02, 0.04, 0.08, 0.16, 0.32, 0.64, 1.28, 2.56, 10.24)
BETWEEN_TOKENS_BOUNDS_S = (0.001, 0.003, 0.007, 0.014, 0.028, 0.056, 0.112, 0.5)


class EntryMetrics:
    """Prometheus metrics of the requests of client accounts.

    The service label takes only names of services in the operators' text, so that
    callers cannot create new time series.

    Parameters
    ----------
    registry : CollectorRegistry
    """

    def __init__(self, *, registry: CollectorRegistry):
        self.registry = registry
        self.requests = Counter(
            "turmericreel_requests",
            "Requests that ended, by outcome.",
            ["service", "outcome"],
            registry=registry,
        )
        self.not_run = Counter(
            "turmericreel_not_run",
            "Requests that ended as not run, by reason.",
            ["reason"],
            registry=registry,
        )
        self.attempts = Counter(
            "turmericreel_attempts",
            "Attempts dispatched to backend servers.",
            ["service"],
            registry=registry,
        )
        self.running = Gauge(
            "turmericreel_running_requests",
            "Requests in progress.",
            registry=registry,
        )
        self.first_token = Histogram(
            "turmericreel_first_token_seconds",
            "Time to first token.",
            ["service"],
            buckets=FIRST_TOKEN_BOUNDS_S,
            registry=registry,
        )
        self.between_tokens = Histogram(
            "turmericreel_between_tokens_seconds",
            "Mean time between consecutive tokens of an answer.",
            ["service"],
            buckets=BETWEEN_TOKENS_BOUNDS_S,
            registry=registry,
        )

    def record_end(self, service: ServiceName, failure: Failure | None) -> None:
        """Count a request that has ended, by outcome and by reason if not run."""
        outcome = failure.tag if failure is not None else "Completed"
        self.requests.labels(service, outcome).inc()
        if isinstance(failure, NotRun):
            self.not_run.labels(failure.reason.value).inc()
