"""Builds and runs the tasks of one instance from its settings."""

from pathlib import Path
from random import SystemRandom

from gevent.event import Event

from turmericreel.control.burn_alerts import BurnAlerts
from turmericreel.control.service import ControlService
from turmericreel.coordination.control_client import ControlClient
from turmericreel.coordination.load_exchange import (
    LoadExchange,
    bind_datagrams,
    bound_address,
)
from turmericreel.coordination.raft.metrics import RaftCollector
from turmericreel.coordination.raft.transport import PeerListener
from turmericreel.coordination.replicated_log import ReplicatedLog
from turmericreel.daemon.control_log import build_listener, build_log
from turmericreel.daemon.control_metrics import (
    ControlServiceMetrics,
    SubscriptionMetrics,
)
from turmericreel.daemon.control_role import (
    ControlRole,
    build_control_role,
    preferred_addresses,
    subscription_addresses,
)
from turmericreel.daemon.metrics_server import MetricsServer
from turmericreel.entry.address_handlers import AddressHandlers
from turmericreel.entry.announcements import Announcements
from turmericreel.entry.application import (
    Application,
    HttpRequest,
    Route,
    json_answer,
)
from turmericreel.entry.cache_event_forwarder import CacheEventForwarder
from turmericreel.entry.cache_events import CacheEventReader
from turmericreel.entry.caller_handlers import CallerHandlers
from turmericreel.entry.http_server import BoundedServer
from turmericreel.entry.metrics import EntryMetrics
from turmericreel.entry.operator_handlers import OperatorHandlers
from turmericreel.entry.policies import Policies, build_policies
from turmericreel.entry.request_path import RequestPath
from turmericreel.entry.server_client import ServerClient
from turmericreel.entry.server_gate import ServerGate
from turmericreel.entry.server_handlers import ServerHandlers
from turmericreel.entry.service_levels import ServiceLevels
from turmericreel.entry.settlements import Settlements
from turmericreel.entry.slices import SliceHolder
from turmericreel.entry.usage_handler import UsageHandler
from turmericreel.entry.view_index import ViewIndex
from turmericreel.model.failures import Failure, FailureError, PlatformRefused
from turmericreel.model.ids import Incarnation
from turmericreel.model.settings import Settings
from turmericreel.protocols.addresses import Address, parse_address
from turmericreel.protocols.backend import (
    ANNOUNCE_PATH,
    CACHE_PATH,
    LEAVE_PATH,
    LOAD_PATH,
)
from turmericreel.protocols.control_messages import Hello
from turmericreel.protocols.tls import (
    peer_client_context,
    server_context,
)
from turmericreel.state.file_archive import FileArchive
from turmericreel.util.clock import Clock
from turmericreel.util.event_loop import loop_backend

REQUIRED_BACKEND = "epoll"


class Instance:
    """All tasks of one instance in this process.

    Parameters
    ----------
    settings : Settings
    clock : Clock
    """

    def __init__(self, *, settings: Settings, clock: Clock):
        self.settings = settings
        self.clock = clock
        self.stopped = Event()
        self.control_role: ControlRole | None = None
        self.control_service: ControlService | None = None
        self.control_client: ControlClient | None = None
        self.announcements: Announcements | None = None
        self.load_exchange: LoadExchange | None = None
        self.policies: Policies | None = None
        self.settlements: Settlements | None = None
        self.request_path: RequestPath | None = None
        self.slices: SliceHolder | None = None
        self.http_server: BoundedServer | None = None
        self.metrics_server: MetricsServer | None = None
        self.levels: ServiceLevels | None = None
        self.burn_alerts: BurnAlerts | None = None
        self.log: ReplicatedLog | None = None
        self.raft_listener: PeerListener | None = None
        self.stop_requested = Event()
        self.failure: Failure | None = None
        self.archive: FileArchive | None = None

    def start(self) -> None:
        """Start the tasks of the instance's roles.

        Raises
        ------
        FailureError
            With `PlatformRefused` if the event loop does not run on epoll.
        """
        backend = loop_backend()
        if backend != REQUIRED_BACKEND:
            raise FailureError(PlatformRefused(detail=f"event loop on {backend}"))
        self.metrics_server = MetricsServer(
            address=parse_address(self.settings.listen.metrics),
            limits=self.settings.limits,
            context=server_context(self.settings.tls),
        )
        self.metrics_server.start()
        if "control" in self.settings.instance.roles:
            self._start_control()
        elif "relay" in self.settings.instance.roles:
            self._start_control_role()
        if "entry" in self.settings.instance.roles:
            self._start_entry()

    def stop(self) -> None:
        """Stop all tasks immediately; use `Drain` for a graceful stop."""
        if self.http_server is not None:
            self.http_server.stop(timeout=5)
        if self.announcements is not None:
            self.announcements.stop()
        if self.load_exchange is not None:
            self.load_exchange.stop()
        if self.request_path is not None:
            self.request_path.observer.stop()
            self.slices.stop()
        if self.levels is not None:
            self.levels.stop()
        if self.control_client is not None:
            self.settlements.stop()
            self.control_client.stop()
        if self.burn_alerts is not None:
            self.burn_alerts.stop()
        if self.log is not None:
            self.log.stop()
        if self.control_role is not None:
            self.control_role.stop()
        if self.archive is not None:
            self.archive.close()
        if self.raft_listener is not None:
            self.raft_listener.stop()
        self.metrics_server.stop()
        self.stopped.set()

    @property
    def http_address(self) -> Address:
        """Address that the HTTP listener is bound to."""
        host = parse_address(self.settings.listen.http).host
        return Address(host=host, port=self.http_server.server_port)

    def _start_control(self) -> None:
        settings = self.settings
        self.raft_listener = build_listener(settings)
        self.log = build_log(
            settings,
            listener=self.raft_listener,
            clock=self.clock,
            on_failure=self._stop_on_log_failure,
        )
        self.archive = FileArchive(
            folder=Path(settings.instance.data_folder) / "ledger"
        )
        self.log.machine.ledger.archive = self.archive
        self.metrics_server.registry.register(RaftCollector(log=self.log))
        self.burn_alerts = BurnAlerts(log=self.log, clock=self.clock)
        self.log.start()
        if self.raft_listener is not None:
            self.raft_listener.start()
        self._start_control_role()
        self.burn_alerts.start()

    def _start_control_role(self) -> None:
        self.control_role = build_control_role(
            settings=self.settings, log=self.log, clock=self.clock
        )
        self.control_service = self.control_role.service
        self.metrics_server.registry.register(
            ControlServiceMetrics(service=self.control_service)
        )
        self.control_role.start()

    def _start_entry(self) -> None:
        settings = self.settings
        self.http_server = BoundedServer(
            address=parse_address(settings.listen.http),
            application=None,
            limits=settings.limits,
            context=server_context(settings.tls),
        )
        self.http_server.init_socket()
        load_socket = bind_datagrams(self._load_address())
        self.control_client = ControlClient(
            addresses=self._control_addresses(),
            hello=Hello(
                instance=settings.instance.id,
                incarnation=Incarnation(self.clock.wall_ms()),
                data_centre=settings.instance.data_centre,
                http_address=str(self.http_address),
                load_address=str(bound_address(load_socket)),
            ),
            clock=self.clock,
            lease_ms=settings.control.lease_ms,
            clock_drift=settings.control.clock_drift,
            context=peer_client_context(settings.tls),
            near=preferred_addresses(settings),
            rng=SystemRandom(),
        )
        self.announcements = Announcements(
            control=self.control_client, clock=self.clock
        )
        self.settlements = Settlements(control=self.control_client)
        self.levels = ServiceLevels(
            control=self.control_client,
            metrics=EntryMetrics(registry=self.metrics_server.registry),
            clock=self.clock,
        )
        self.http_server.application = Application(
            handlers=self._build_routes(), body_limit_bytes=settings.limits.body_bytes
        )
        self.load_exchange = LoadExchange(
            sock=load_socket,
            control=self.control_client,
            report_load=lambda report, made_at: self.policies.servers.record_report(
                report, now=made_at
            ),
            clock=self.clock,
            rng=SystemRandom(),
        )
        self.announcements.exchange = self.load_exchange
        self.metrics_server.registry.register(
            SubscriptionMetrics(client=self.control_client, exchange=self.load_exchange)
        )
        self.control_client.start()
        self.settlements.start()
        self.levels.start()
        self.request_path.observer.start()
        self.slices.start()
        self.announcements.start()
        self.load_exchange.start()
        self.http_server.start()

    def _load_address(self) -> Address:
        if self.settings.listen.load:
            return parse_address(self.settings.listen.load)
        return Address(host=parse_address(self.settings.listen.http).host, port=0)

    def _stop_on_log_failure(self, failure: Failure) -> None:
        # The log cannot continue: for example, after a failed write the contents of the
        # disk are unknown.  The process must exit.
        self.failure = failure
        self.stop_requested.set()

    def _control_addresses(self) -> list[str]:
        addresses = subscription_addresses(self.settings)
        if addresses:
            return addresses
        host = parse_address(self.settings.listen.control).host
        return [f"{host}:{self.control_service.port}"]

    def _build_routes(self) -> dict:
        policies = build_policies(
            rng=SystemRandom(),
            data_centre=self.settings.instance.data_centre,
            rating=self.settings.rating,
            clock=self.clock,
        )
        self.policies = policies
        self.control_client.view_callbacks.append(
            lambda view: policies.servers.retain(set(view.servers))
        )
        self.request_path = RequestPath(
            control=self.control_client,
            server_client=ServerClient(clock=self.clock),
            policies=policies,
            settlements=self.settlements,
            levels=self.levels,
            clock=self.clock,
        )
        index = ViewIndex(control=self.control_client)
        callers = CallerHandlers(
            control=self.control_client,
            path=self.request_path,
            index=index,
            clock=self.clock,
        )
        addresses = AddressHandlers(
            control=self.control_client, index=index, rng=SystemRandom()
        )
        cache_events = CacheEventReader(
            listeners=[CacheEventForwarder(servers=policies.servers)]
        )
        self.slices = SliceHolder(
            control=self.control_client,
            limits=policies.admission.limits,
            clock=self.clock,
        )
        servers = ServerHandlers(
            announcements=self.announcements,
            cache_events=cache_events,
            servers=policies.servers,
            clock=self.clock,
        )
        gate = ServerGate(key_hashes=self.settings.backend_servers.key_hashes)
        usage = UsageHandler(control=self.control_client, settlements=self.settlements)
        operators = OperatorHandlers(
            control=self.control_client,
            key_hashes=self.settings.operators.key_hashes,
        )
        return {
            "/v1/chat/completions": Route(handler=callers.chat, methods=("POST",)),
            "/v1/addresses": Route(handler=addresses.addresses, methods=("GET",)),
            "/services/": callers.plain,
            ANNOUNCE_PATH: gate.guard(servers.announce),
            LOAD_PATH: gate.guard(servers.load),
            CACHE_PATH: gate.guard(servers.cache),
            LEAVE_PATH: gate.guard(servers.leave),
            "/v1/backend/usage": gate.guard(usage.report),
            "/v1/operators/submit": Route(handler=operators.submit, methods=("POST",)),
            "/v1/operators/read/": Route(handler=operators.read, methods=("GET",)),
            "/healthz": lambda http: json_answer({"healthy": True}),
            "/readyz": self._ready,
        }

    def _ready(self, http: HttpRequest):
        ready = self.control_client.lease_valid()
        return json_answer({"ready": ready}, status=200 if ready else 503)
