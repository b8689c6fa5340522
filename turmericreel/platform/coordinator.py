"""The process that keeps configuration and hears servers on the platform."""

from turmericreel.util.quick_start import enable_gc  # noqa: I001
import turmericreel.util.event_loop  # noqa: F401

import sys
from signal import SIGHUP, SIGTERM

from eliot import log_message
from gevent import signal_handler
from gevent.event import Event

from turmericreel.coordination.raft.metrics import RaftCollector
from turmericreel.coordinator.coordinator import Coordinator
from turmericreel.coordinator.metrics import UsageCollector
from turmericreel.model.failures import Failure, FailureError, ListenFailed
from turmericreel.platform.configuration import PlatformCodec
from turmericreel.platform.control_doors import ControlDoors
from turmericreel.platform.process import (
    EXIT_FAILED,
    FLUSH_TIMEOUT_S,
    build_listener,
    build_metrics,
    start_log,
)
from turmericreel.platform.settings import (
    SeedsInForce,
    coordinator_settings,
    read_settings,
    settings_path,
)
from turmericreel.util.clock import SystemClock


def main() -> None:
    """Serve operators and servers until SIGTERM, then stop gracefully."""
    enable_gc()
    log = start_log()
    path = settings_path()
    written = read_settings(path)
    seeds = SeedsInForce(path=path, settings=written)
    asked_to_stop = Event()
    failures: list[Failure] = []

    def fail(failure: Failure) -> None:
        # What the disk holds is not known any more; a new start reads it anew.
        failures.append(failure)
        asked_to_stop.set()

    coordinator = Coordinator(
        settings=coordinator_settings(written),
        seeds=seeds.read,
        codec=PlatformCodec(),
        clock=SystemClock(),
        on_failure=fail,
    )
    signal_handler(SIGTERM, asked_to_stop.set)
    signal_handler(SIGHUP, seeds.reload)
    doors = ControlDoors(coordinator=coordinator)
    listener = build_listener(written.listen.control_plane, doors.application())
    metrics = build_metrics(written.ip)
    metrics.registry.register(RaftCollector(log=coordinator.log))
    metrics.registry.register(UsageCollector(machine=coordinator.machine))
    try:
        coordinator.start()
        listener.start()
        metrics.start()
    except FailureError as error:
        fail(error.failure)
    except OSError as error:
        fail(ListenFailed(detail=str(error)))
    asked_to_stop.wait()
    if failures:
        log_message("coordinator:failed", failure=failures[0].describe())
        log.flush(FLUSH_TIMEOUT_S)
        sys.exit(EXIT_FAILED)
    listener.stop(timeout=1)
    coordinator.stop()
    log.flush(FLUSH_TIMEOUT_S)


if __name__ == "__main__":
    main()
