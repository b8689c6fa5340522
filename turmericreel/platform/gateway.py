"""Gateway process, which serves clients."""

from turmericreel.util.quick_start import enable_gc  # noqa: I001
import turmericreel.util.event_loop  # noqa: F401

from signal import SIGHUP, SIGTERM

from gevent import signal_handler
from gevent.event import Event

from turmericreel.gateway.gateway import Gateway
from turmericreel.platform.configuration import PlatformCodec
from turmericreel.platform.gateway_handlers import GatewayHandlers
from turmericreel.platform.headers import PLATFORM_HEADERS
from turmericreel.platform.process import (
    FLUSH_TIMEOUT_S,
    build_listener,
    build_metrics,
    start_log,
)
from turmericreel.platform.settings import (
    CurrentSettings,
    LOOKUP_CONNECTIONS,
    READINESS_CONNECTIONS,
    gateway_settings,
    read_settings,
    settings_path,
)
from turmericreel.util.allocator import return_large_blocks
from turmericreel.util.clock import SystemClock


def main() -> None:
    """Serve clients until SIGTERM, then stop gracefully."""
    enable_gc()
    return_large_blocks()
    log = start_log()
    path = settings_path()
    process_settings = read_settings(path)
    settings = gateway_settings(process_settings)
    current = CurrentSettings(path=path, settings=process_settings)
    metrics = build_metrics(process_settings.ip)
    gateway = Gateway(
        settings=settings,
        seeds=current.seeds,
        codec=PlatformCodec(),
        names=PLATFORM_HEADERS,
        registry=metrics.registry,
        n_log_lines_dropped=lambda: log.n_dropped,
        clock=SystemClock(),
    )
    handlers = GatewayHandlers(gateway=gateway, validity_ms=settings.list_validity_ms)
    application = handlers.application()
    listeners = [
        build_listener(
            address, application, connections=connections, memory=gateway.door_memory
        )
        for address, connections in (
            (process_settings.listen.readiness, READINESS_CONNECTIONS),
            (process_settings.listen.directory, LOOKUP_CONNECTIONS),
        )
        if address
    ]
    stop_requested = Event()
    signal_handler(SIGTERM, stop_requested.set)
    signal_handler(SIGHUP, current.reload)
    gateway.start()
    for listener in [*listeners, metrics]:
        listener.start()
    stop_requested.wait()
    gateway.stop()
    log.flush(FLUSH_TIMEOUT_S)


if __name__ == "__main__":
    main()
