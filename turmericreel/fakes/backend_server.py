"""A stand-in for a backend server: a model engine or a plain booking service.

It implements the published protocol: it announces itself, streams chat completions,
counts the effects of booking calls and executes orders. Faults can be configured at
construction and over HTTP while it runs.
"""

from random import Random

import msgspec
from gevent import sleep, spawn
from gevent.ssl import SSLContext

from turmericreel.fakes.announcer import Announcer
from turmericreel.fakes.behaviour import FakeBehaviour, FakeFault, FakeRecord
from turmericreel.fakes.call_handler import CallHandler
from turmericreel.fakes.listener import FakeListener, answer_json, broken_pipe_error
from turmericreel.fakes.order_executor import OrderExecutor
from turmericreel.fakes.prefix_cache import FakePrefixCache
from turmericreel.model.ids import Incarnation
from turmericreel.model.servers import BackendServer, LoadReport
from turmericreel.protocols.backend import Order

__all__ = ["FakeBackendServer", "FakeBehaviour", "FakeFault", "FakeRecord"]

REPORTING_CHECK_INTERVAL_S = 0.05


class FakeBackendServer:
    """A stand-in server.

    Parameters
    ----------
    server : BackendServer
        Announced description; port 0 in its address selects a free port.
    homes : list of str
        Addresses of the instances to announce to, tried in this order.
    behaviour : FakeBehaviour
    rng : Random
        Draws which requests get a fault.
    context : SSLContext or None
        TLS context for calls to the instances; None for plain text.
    key : str
        Bearer key sent to the instances; ``""`` for none.
    """

    def __init__(
        self,
        *,
        server: BackendServer,
        homes: list[str],
        behaviour: FakeBehaviour,
        rng: Random | None = None,
        context: SSLContext | None = None,
        key: str = "",
    ):
        self.server = server
        self.behaviour = behaviour
        self.rng = rng or Random(0)
        self.record = FakeRecord()
        self.announcer = Announcer(homes=homes, context=context, key=key)
        self.orders = OrderExecutor(
            behaviour=lambda: self.behaviour,
            server=lambda: self.server,
            on_change=self._announce_change,
        )
        self.tasks = []
        self._create_components(server.address)

    @property
    def homes(self) -> list[str]:
        """Addresses of instances, the current home first."""
        return self.announcer.homes

    def start(self) -> None:
        """Start serving and announcing."""
        self.http.start()
        self.server = msgspec.structs.replace(
            self.server, address=self.http.bound_address
        )
        self.tasks = [spawn(self._announce_loop), spawn(self._report_loop)]

    def stop(self) -> None:
        """Stop without notifying the instances, as in a crash."""
        for task in self.tasks:
            task.kill()
        self.http.stop(timeout=0)

    def leave(self) -> None:
        """Stop announcing and notify the home instance that the server is leaving."""
        for task in self.tasks:
            task.kill()
        self.announcer.leave(self.server)

    def crash(self) -> None:
        """Stop immediately, and restart after `restart_after_ms` if it is set."""
        self.record.n_crashes += 1
        after_ms = self.behaviour.restart_after_ms
        spawn(self.stop)
        if after_ms is not None:
            spawn(self._restart, after_ms / 1_000)

    def _restart(self, pause_s: float) -> None:
        sleep(pause_s)
        self._create_components(self.server.address)
        self.server = msgspec.structs.replace(
            self.server, incarnation=Incarnation(self.server.incarnation + 1)
        )
        self.start()

    def _create_components(self, address: str) -> None:
        self.http = FakeListener(address=address, serve=self._serve)
        self.cache = FakePrefixCache(
            n_blocks=self.behaviour.cache_blocks,
            loss_rate=self.behaviour.cache_loss_rate,
            rng=self.rng,
        )
        self.calls = CallHandler(
            name=self.server.server,
            capacity=self.server.capacity,
            cache=self.cache,
            rng=self.rng,
            record=self.record,
        )

    def _announce_change(self, server: BackendServer) -> None:
        self.server = server
        spawn(self.announcer.announce, server)

    def _announce_loop(self) -> None:
        while True:
            renewal = self.announcer.announce(self.server)
            if renewal.stale:
                # The instances accept announcements of a newer incarnation only.
                self.server = msgspec.structs.replace(
                    self.server, incarnation=Incarnation(self.server.incarnation + 1)
                )
            sleep(renewal.renew_every_ms / 1_000)

    def _report_loop(self) -> None:
        while True:
            interval_s = self.behaviour.load_every_ms / 1_000
            if not interval_s:
                sleep(REPORTING_CHECK_INTERVAL_S)
                continue
            report = self._build_load_report()
            sleep(max(interval_s, self.behaviour.load_lag_ms / 1_000))
            self.announcer.report_load(report)
            events = self.cache.collect_message(self.server)
            if events is not None:
                self.announcer.publish_events(events)

    def _build_load_report(self) -> LoadReport:
        running = self.behaviour.reported_running + self.record.n_running
        return LoadReport(
            server=self.server.server,
            incarnation=self.server.incarnation,
            running=min(running, self.server.capacity),
            waiting=max(0, running - self.server.capacity),
            cache_blocks_used=float(len(self.cache.blocks)),
        )

    def _serve(self, environ, start_response):
        body = environ["wsgi.input"].read()
        match environ["PATH_INFO"]:
            case "/fake/record":
                return answer_json(start_response, self.record)
            case "/fake/behaviour":
                return self._serve_behaviour(start_response, body)
            case "/v1/slots":
                self.record.n_probes += 1
                return answer_json(start_response, self._build_load_report())
            case "/orders":
                order = msgspec.json.decode(body, type=Order)
                self.record.orders.append(order.order)
                return answer_json(start_response, self.orders.execute(order))
        if self.behaviour.poison and self.behaviour.poison.encode() in body:
            self.crash()
            raise broken_pipe_error()
        return self.calls.serve(environ, start_response, body, self.behaviour)

    def _serve_behaviour(self, start_response, body: bytes):
        if body:
            values = msgspec.to_builtins(self.behaviour) | msgspec.json.decode(body)
            self.behaviour = msgspec.convert(values, type=FakeBehaviour)
        return answer_json(start_response, self.behaviour)
