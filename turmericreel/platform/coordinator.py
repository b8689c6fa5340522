"""Coordinator process, which stores configurations and receives heartbeats."""

from turmericreel.util.quick_start import enable_gc  # noqa: I001
import turmericreel.util.event_loop  # noqa: F401

import sys
from signal import SIGHUP, SIGTERM

from eliot import log_message
from gevent import signal_handler
from gevent.event import Event

from turmericreel.coordination.raft.metrics import RaftCollector
from turmericreel.coordinator.coordinator import Coordinator
from turmericreel.coordinator.metrics import (
    ColdCollector,
    EvacuationCollector,
    UsageCollector,
)
from turmericreel.decisions.door_memory import DoorMemory
from turmericreel.model.failures import Failure, FailureError, ListenFailed
from turmericreel.platform.configuration import PlatformCodec
from turmericreel.platform.control_handlers import ControlHandlers
from turmericreel.platform.process import (
    EXIT_FAILED,
    FLUSH_TIMEOUT_S,
    build_listener,
    build_metrics,
    start_log,
)
from turmericreel.platform.settings import (
    CurrentSettings,
    connections_of,
    coordinator_settings,
    held_bytes_of,
    read_settings,
    settings_path,
)
from turmericreel.util.allocator import return_large_blocks
from turmericreel.util.clock import SystemClock


def main() -> None:
    """Serve operators and servers until SIGTERM, then stop gracefully.

    Exit with `EXIT_FAILED` when the coordinator fails or cannot listen.
    """
    enable_gc()
    return_large_blocks()
    log = start_log()
    path = settings_path()
    process_settings = read_settings(path)
    current = CurrentSettings(path=path, settings=process_settings)
    stop_requested = Event()
    failures: list[Failure] = []

    def fail(failure: Failure) -> None:
        # After a failure the contents of the disk are uncertain; a restart reads them
        # again.
        failures.append(failure)
        stop_requested.set()

    coordinator = Coordinator(
        settings=coordinator_settings(process_settings),
        seeds=current.seeds,
        codec=PlatformCodec(),
        clock=SystemClock(),
        on_failure=fail,
        data_centres=current.data_centres,
    )
    signal_handler(SIGTERM, stop_requested.set)
    signal_handler(SIGHUP, current.reload)
    handlers = ControlHandlers(coordinator=coordinator)
    listener = build_listener(
        process_settings.listen.control_plane,
        handlers.application(),
        connections=connections_of(process_settings),
        memory=DoorMemory(limit_bytes=held_bytes_of(process_settings)),
    )
    metrics = build_metrics(process_settings.ip)
    metrics.registry.register(RaftCollector(log=coordinator.log))
    metrics.registry.register(UsageCollector(machine=coordinator.machine))
    metrics.registry.register(EvacuationCollector(machine=coordinator.machine))
    metrics.registry.register(ColdCollector(cold=coordinator.hub.cold))
    try:
        coordinator.start()
        listener.start()
        metrics.start()
    except FailureError as error:
        fail(error.failure)
    except OSError as error:
        fail(ListenFailed(detail=str(error)))
    stop_requested.wait()
    if failures:
        log_message("coordinator:failed", failure=failures[0].describe())
        log.flush(FLUSH_TIMEOUT_S)
        sys.exit(EXIT_FAILED)
    listener.stop(timeout=1)
    coordinator.stop()
    log.flush(FLUSH_TIMEOUT_S)


if __name__ == "__main__":
    main()
