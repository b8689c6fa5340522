"""What the processes on the platform have in common."""

import os
import sys

from eliot import add_destinations

from turmericreel.daemon.metrics_server import MetricsServer
from turmericreel.entry.http_server import BoundedServer
from turmericreel.model.settings import LimitsSettings
from turmericreel.protocols.addresses import Address, parse_address
from turmericreel.util.bounded_log import BoundedLog

METRICS_PORT_VARIABLE = "TURMERICREEL_METRICS_PORT"
EXIT_FAILED = 1
FLUSH_TIMEOUT_S = 0.3
# Some for each request, also for those that went well.
ORDINARY_MESSAGES = ("gateway:ended", "gateway:sent", "gateway:larger_model")


def start_log() -> BoundedLog:
    """Send log lines to standard output."""
    log = BoundedLog(fd=sys.stdout.fileno(), ordinary_types=ORDINARY_MESSAGES)
    log.start()
    add_destinations(log)
    return log


def build_metrics(host: str) -> MetricsServer:
    """Return the metrics listener, on the port that the environment names."""
    port = int(os.environ.get(METRICS_PORT_VARIABLE, "0"))
    return MetricsServer(address=Address(host=host, port=port), limits=LimitsSettings())


def build_listener(address: str, application) -> BoundedServer:
    """Return a listener for the platform's calls."""
    return BoundedServer(
        address=parse_address(address),
        application=application,
        limits=LimitsSettings(),
    )
