"""Log, metrics and listeners of the processes on the platform."""

import os
import sys

from eliot import add_destinations

from turmericreel.daemon.metrics_server import MetricsServer
from turmericreel.decisions.door_memory import DoorMemory
from turmericreel.entry.http_server import BoundedServer
from turmericreel.model.settings import LimitsSettings
from turmericreel.protocols.addresses import Address, parse_address
from turmericreel.util.bounded_log import BoundedLog

# Only the platform reads the metrics.
METRICS_CONNECTIONS = 20
METRICS_PORT_VARIABLE = "TURMERICREEL_METRICS_PORT"
EXIT_FAILED = 1
FLUSH_TIMEOUT_S = 0.3
# Each request writes some of these lines, even if it succeeds; they are dropped first.
ORDINARY_MESSAGES = ("gateway:ended", "gateway:sent", "gateway:larger_model")


def start_log() -> BoundedLog:
    """Start to write log lines to standard output, and return the log."""
    log = BoundedLog(fd=sys.stdout.fileno(), ordinary_types=ORDINARY_MESSAGES)
    log.start()
    add_destinations(log)
    return log


def build_metrics(host: str) -> MetricsServer:
    """Return the metrics server, on the port set by `METRICS_PORT_VARIABLE`."""
    port = int(os.environ.get(METRICS_PORT_VARIABLE, "0"))
    limits = LimitsSettings(connections=METRICS_CONNECTIONS)
    return MetricsServer(address=Address(host=host, port=port), limits=limits)


def build_listener(
    address: str, application, *, connections: int, memory: DoorMemory
) -> BoundedServer:
    """Return an HTTP server for the platform's calls.

    Parameters
    ----------
    address : str
        ``host:port`` to listen on.
    application : callable
        WSGI application.
    connections : int
        Maximum number of concurrent connections.
    memory : DoorMemory
        Shared with the other listeners of the process.
    """
    return BoundedServer(
        address=parse_address(address),
        application=application,
        limits=LimitsSettings(connections=connections),
        memory=memory,
    )
