"""Serves Prometheus metrics on a separate port."""

from gevent.ssl import SSLContext
from prometheus_client import (
    CollectorRegistry,
    PlatformCollector,
    ProcessCollector,
    make_wsgi_app,
)

from turmericreel.entry.http_server import BoundedServer
from turmericreel.model.settings import LimitsSettings
from turmericreel.protocols.addresses import Address
from turmericreel.protocols.dropped_input import DROPPED_INPUT


class MetricsServer:
    """Task that serves the metrics of one registry over HTTP.

    Parameters
    ----------
    address : Address
    limits : LimitsSettings
    context : SSLContext or None
    """

    def __init__(
        self,
        *,
        address: Address,
        limits: LimitsSettings,
        context: SSLContext | None = None,
    ):
        self.registry = CollectorRegistry()
        self.registry.register(DROPPED_INPUT)
        ProcessCollector(registry=self.registry)
        PlatformCollector(registry=self.registry)
        self.server = BoundedServer(
            address=address,
            application=make_wsgi_app(self.registry),
            limits=limits,
            context=context,
        )

    def start(self) -> None:
        """Start serving."""
        self.server.start()

    def stop(self) -> None:
        """Stop serving."""
        self.server.stop(timeout=0)

    @property
    def port(self) -> int:
        """Port that the listener is bound to."""
        return self.server.server_port
