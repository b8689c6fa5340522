"""Coordinators, gateways and fake servers that run in one process."""

import socket
from collections.abc import Iterator
from contextlib import contextmanager, suppress
from random import SystemRandom

import msgspec
from gevent import sleep
from gevent.socket import create_connection
from geventhttpclient import HTTPClient
from geventhttpclient.response import HTTPParseError
from prometheus_client import CollectorRegistry

from test.routing.library import SERVICE, make_configuration, make_route
from turmericreel.coordinator.coordinator import Coordinator
from turmericreel.fakes.routed_server import Misbehaviour, RoutedServer
from turmericreel.gateway.gateway import Gateway
from turmericreel.gateway.header_names import HeaderNames
from turmericreel.model.failures import FailureError, RoutingRejected
from turmericreel.model.registered_server import RegisteredServer, ServerState
from turmericreel.model.routing import (
    RolloutStage,
    RouteKind,
    RoutingConfiguration,
)
from turmericreel.model.routing_codec import RoutingCodec
from turmericreel.model.routing_settings import (
    ColdBounds,
    CoordinatorSettings,
    GatewaySettings,
)
from turmericreel.util.clock import SystemClock

NAMES = HeaderNames()
TIMEOUT_S = 10.0
LISTENING_PORTS = (10_000, 30_000)


class JsonCodec(RoutingCodec):
    """Decodes JSON with the field names of `RoutingConfiguration`."""

    def decode(self, document: bytes) -> RoutingConfiguration:
        """Return the configuration that a document holds."""
        try:
            return msgspec.json.decode(document, type=RoutingConfiguration)
        except ValueError as error:
            raise FailureError(RoutingRejected(faults=(str(error),))) from error


def free_port() -> int:
    """Return a port that is not in use on any address.

    Ports of the ephemeral range may become outgoing ones of another test run.
    """
    while True:
        with socket.socket() as probe, suppress(OSError):
            port = SystemRandom().randrange(*LISTENING_PORTS)
            probe.bind(("", port))
            return port


def wait_until(condition, what: str) -> None:
    """Wait until a condition holds."""
    for _ in range(int(TIMEOUT_S / 0.02)):
        if condition():
            return
        sleep(0.02)
    raise AssertionError(f"timed out waiting for {what}")


class SmallSystem:
    """Running coordinators, gateways and fake servers.

    Each coordinator and gateway has its own loopback address, since all instances use
    the same ports.
    """

    def __init__(
        self,
        folder,
        *,
        n_coordinators: int = 1,
        n_gateways: int = 1,
        names: HeaderNames = NAMES,
        cold_bounds: ColdBounds = ColdBounds(),
    ):
        self.folder = folder
        self.names = names
        self.cold_bounds = cold_bounds
        self.internal_port = free_port()
        self.raft_port = free_port()
        self.relay_port = free_port()
        self.control_port = free_port()
        self.seeds = tuple(
            f"127.0.1.{n + 1}:{self.control_port}" for n in range(n_coordinators)
        )
        self.failures = []
        self.coordinators = [
            self.start_coordinator(seed, is_founder=True) for seed in self.seeds
        ]
        self.gateways = [
            self.start_gateway(f"127.0.2.{n + 1}:{self.control_port}")
            for n in range(n_gateways)
        ]
        self.servers: dict[str, RoutedServer] = {}
        self.incarnations: dict[str, int] = {}
        self.sequence = 0
        self.n_slots = 4
        self.data_centres: dict[str, str] = {}

    def start_coordinator(
        self,
        instance: str,
        *,
        is_founder: bool,
        has_disk: bool = True,
        seeds: list[str] | None = None,
    ) -> Coordinator:
        """Start a coordinator with a data folder of its own."""
        folder = self.folder / instance.partition(":")[0]
        coordinator_seeds = list(self.seeds) if seeds is None else seeds
        coordinator = Coordinator(
            settings=CoordinatorSettings(
                instance=instance,
                data_centre="a",
                seeds=tuple(coordinator_seeds),
                is_founder=is_founder,
                data_folder=str(folder) if has_disk else None,
                internal_port=self.internal_port,
                raft_port=self.raft_port,
                heartbeat_ms=60_000,
                cold_bounds=self.cold_bounds,
            ),
            seeds=lambda: coordinator_seeds,
            codec=JsonCodec(),
            clock=SystemClock(),
            on_failure=self.failures.append,
        )
        coordinator.start()
        return coordinator

    def start_gateway(self, address: str) -> Gateway:
        """Start a gateway."""
        gateway = Gateway(
            settings=GatewaySettings(
                instance=address,
                data_centre="a",
                client_address=address,
                seeds=self.seeds,
                internal_port=self.internal_port,
                relay_port=self.relay_port,
                retry_fraction=2.0,
                retry_window_s=10,
                list_validity_ms=200,
                stop_deadline_ms=2_000,
                client_connections=100,
                session_idle_ms=500,
                cold_bounds=self.cold_bounds,
            ),
            seeds=lambda: list(self.seeds),
            codec=JsonCodec(),
            names=self.names,
            registry=CollectorRegistry(),
            n_log_lines_dropped=lambda: 0,
            clock=SystemClock(),
        )
        gateway.start()
        return gateway

    @property
    def leader(self) -> Coordinator:
        """The leading coordinator; waits for one to be elected."""
        wait_until(
            lambda: any(c.log.is_leader() for c in self.coordinators), "a leader"
        )
        return next(c for c in self.coordinators if c.log.is_leader())

    def submit(self, *routes, revision: int = 1, accounts=None, cold_rate=None) -> None:
        """Submit a configuration and wait until all gateways have received it."""
        configuration = make_configuration(
            *routes, revision=revision, accounts=accounts, cold_rate=cold_rate
        )
        self.leader.submit_routing(msgspec.json.encode(configuration))
        self.wait_for_revision(revision)

    def wait_for_revision(self, revision: int) -> None:
        """Wait until all gateways hold a revision."""
        wait_until(
            lambda: all(g.view.revision >= revision for g in self.gateways),
            f"revision {revision} at all gateways",
        )

    def add_server(
        self, name: str, *, version: str = "v1", data_centre: str = "a", **options
    ) -> RoutedServer:
        """Start a fake server and register it, and again after each restart."""
        self.data_centres[name] = data_centre
        server = RoutedServer(server=name, names=self.names, **options)
        server.start()
        self.servers[name] = server

        def register() -> None:
            self.incarnations[name] = server.born_ms
            self.send_heartbeat(name, version=version)

        server.on_restart = register
        register()
        wait_until(
            lambda: all(name in g.view.servers for g in self.gateways),
            f"{name} known at all gateways",
        )
        return server

    def send_heartbeat(
        self,
        name: str,
        *,
        version: str = "v1",
        state=ServerState.READY,
        cold_ms: int = 0,
        coordinator_index: int = 0,
    ) -> None:
        """Send a heartbeat of a server to a coordinator."""
        self.sequence += 1
        self.coordinators[coordinator_index].record_heartbeat(
            RegisteredServer(
                server=name,
                service=SERVICE,
                address=self.servers[name].address,
                data_centre=self.data_centres.get(name, "a"),
                version=version,
                n_slots=self.n_slots,
                state=state,
                incarnation=self.incarnations.get(name, 0),
                sequence=self.sequence,
                warmup_left_ms=cold_ms,
            )
        )

    def client(self, gateway_index: int = 0) -> HTTPClient:
        """Return an HTTP client of a gateway."""
        host, _, port = self.gateways[gateway_index].settings.client_address.partition(
            ":"
        )
        return HTTPClient(host, port=int(port), network_timeout=TIMEOUT_S)

    def call(
        self, path: str, *, gateway_index: int = 0, method="GET", body=b"", **headers
    ):
        """Send one request and return status, headers and body."""
        request_headers = {"Host": "example", NAMES.attempt_id: f"attempt-{path}"}
        request_headers |= {
            name.replace("_", "-"): value for name, value in headers.items()
        }
        client = self.client(gateway_index)
        try:
            answer = client.request(method, path, body=body, headers=request_headers)
            lower = {name.lower(): value for name, value in answer.headers}
            return answer.status_code, lower, bytes(answer.read())
        finally:
            client.close()

    def send(
        self, path: str, *, attempt: str, body: bytes, gateway_index: int, **headers
    ) -> int:
        """Send one request, a stream under ``/stream/``, and return its status.

        The status is 0 if the connection ends without an answer.
        """
        headers[NAMES.attempt_id] = attempt
        if path.startswith("/stream/"):
            headers["Accept"] = "text/event-stream"
        try:
            status, _, _ = self.call(
                path, gateway_index=gateway_index, method="POST", body=body, **headers
            )
        except (OSError, HTTPParseError):
            return 0
        return status

    def connect(self, gateway_index: int = 0):
        """Return a TCP connection to a gateway."""
        host, _, port = self.gateways[gateway_index].settings.client_address.partition(
            ":"
        )
        return create_connection((host, int(port)), timeout=TIMEOUT_S)

    def stop(self) -> None:
        """Stop everything without draining."""
        for gateway in self.gateways:
            gateway.kill()
        for coordinator in self.coordinators:
            coordinator.stop()
        for server in self.servers.values():
            server.stop()


@contextmanager
def small_system(folder, **options) -> Iterator[SmallSystem]:
    """Run a system for a test."""
    system = SmallSystem(folder, **options)
    try:
        yield system
    finally:
        system.stop()


def stream_route(prefix: str = "/stream/", **options):
    """Return a route of resumable streams."""
    return make_route(prefix, kind=RouteKind.STREAM, resumable=True, **options)


def roll_out_failing_version(system: SmallSystem) -> int:
    """Roll out a failing version until it is rolled back; return its number of runs.

    Requests of distinct sessions are sent through all gateways in turn.
    """
    system.submit(make_route("/safe/", max_attempts=1))
    system.add_server("s1", version="v1")
    bad = system.add_server("s2", version="v2")
    bad.misbehaviours.extend([Misbehaviour.FAIL] * 1_000)
    system.leader.order_rollout(SERVICE, "v2", duration_ms=20_000)
    machine = system.leader.machine
    n = 0
    while machine.rollouts[SERVICE].stage is not RolloutStage.ROLLED_BACK:
        session = {NAMES.session.replace("-", "_"): f"session-{n}"}
        system.call("/safe/1", gateway_index=n % len(system.gateways), **session)
        n += 1
        sleep(0.005)
        assert n < 1_500
    return len(bad.runs)
