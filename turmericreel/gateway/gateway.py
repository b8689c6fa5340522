"""Builds and runs the parts of one gateway."""

import time
from collections.abc import Callable
from random import SystemRandom

from eliot import log_message
from prometheus_client import CollectorRegistry

from turmericreel.decisions.content_quarantine import choose_trying_instance
from turmericreel.decisions.door_memory import DoorMemory
from turmericreel.decisions.model_choice import ConfidenceCascade
from turmericreel.decisions.relay_choice import RelayChoice
from turmericreel.decisions.server_paths import PathState, ServerPaths
from turmericreel.decisions.server_placement import LeastLoaded, SoonestFirstEvent
from turmericreel.decisions.windowed_budget import WindowedBudget
from turmericreel.entry.server_connections import ServerConnections
from turmericreel.gateway.application import GatewayApplication
from turmericreel.gateway.attempt_starter import AttemptStarter
from turmericreel.gateway.crash_guard import CrashGuard
from turmericreel.gateway.dispatcher import Dispatcher
from turmericreel.gateway.evidence import EvidenceCounter
from turmericreel.gateway.graceful_stop import GracefulStop
from turmericreel.gateway.header_names import HeaderNames
from turmericreel.gateway.ingress import IngressServer
from turmericreel.gateway.links import CoordinatorLinks
from turmericreel.gateway.metrics import GatewayCollector, GatewayMetrics
from turmericreel.gateway.path_checks import PathChecks
from turmericreel.gateway.path_connections import PathConnections
from turmericreel.gateway.recent_sessions import RecentSessions
from turmericreel.gateway.relay_connections import RelayConnections
from turmericreel.gateway.relay_listener import RelayListener
from turmericreel.gateway.server_chooser import ServerChooser
from turmericreel.gateway.usage_counter import UsageCounter
from turmericreel.gateway.view import GatewayView
from turmericreel.membership.instance_registry import GatewayInstance, addresses_for
from turmericreel.model.ids import (
    BackendServerId,
    ContentDigest,
    DataCentreId,
    Incarnation,
    InstanceId,
)
from turmericreel.model.registered_server import RegisteredServer, ServerState
from turmericreel.model.routing import ClientLimits, RolloutStage
from turmericreel.model.routing_codec import RoutingCodec
from turmericreel.model.routing_settings import GatewaySettings, internal_address
from turmericreel.model.server_crash import process_of
from turmericreel.protocols.addresses import Address, parse_address
from turmericreel.protocols.routing_messages import GatewayStatus, GatewayWork
from turmericreel.util.clock import Clock

# Fraction of the bound on retries that the gateways use, so that their sum stays below
# the bound when the traffic shifts between them within a window.
RETRY_BUDGET_FRACTION = 0.5
# Additional retries per window, for gateways with little traffic.
RETRY_BUDGET_SLACK = 2.0
ACTIVE_STAGES = (RolloutStage.PREPARING, RolloutStage.CANARY, RolloutStage.SWITCHED)


class Gateway:
    """Forwards client requests to servers by the configuration of the coordinators.

    Parameters
    ----------
    settings : GatewaySettings
    seeds : callable
        Returns the coordinators in the current settings.
    codec : RoutingCodec
    names : HeaderNames
    registry : CollectorRegistry
        Metrics registry of the process.
    n_log_lines_dropped : callable
        Returns the number of log lines that were dropped.
    clock : Clock
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        seeds: Callable[[], list[InstanceId]],
        codec: RoutingCodec,
        names: HeaderNames,
        registry: CollectorRegistry,
        n_log_lines_dropped: Callable[[], int],
        clock: Clock,
    ):
        self.settings = settings
        self.clock = clock
        self.incarnation = Incarnation(time.time_ns() // 1_000_000)
        self.usage = UsageCounter(
            gateway=settings.instance, incarnation=self.incarnation
        )
        self.guard = CrashGuard(
            report=lambda crashes: self.links.send_crashes(crashes),
            clock=clock,
            tries_part=self._tries_part,
        )
        self.view = GatewayView(
            codec=codec,
            on_usage_recorded=self.usage.confirm_recorded,
            on_work=lambda work: self.chooser.receive_work(work),
            on_places=lambda answer: self.chooser.brittle.asks.receive(answer),
            on_crashes=self.guard.receive,
            on_server_ended=self.guard.record_ended_server,
            on_servers=lambda servers: self.chooser.rates.cold.record(servers),
            on_returned=lambda servers: self.chooser.rates.cold.presume_cold(servers),
        )
        self.evidence = EvidenceCounter()
        self.door_memory = DoorMemory(limit_bytes=settings.held_bytes)
        rng = SystemRandom()
        metrics = GatewayMetrics(registry=registry)
        paths = ServerPaths()
        least_loaded = LeastLoaded()
        self.chooser = ServerChooser(
            view=self.view,
            instance=settings.instance,
            data_centre=settings.data_centre,
            plain_placement=least_loaded,
            engine_placement=SoonestFirstEvent(fallback=least_loaded),
            sessions=RecentSessions(idle_s=settings.session_idle_ms / 1_000),
            paths=paths,
            clock=clock,
            rng=rng,
            cold_bounds=settings.cold_bounds,
        )
        own_address = parse_address(settings.client_address)
        self.connections = PathConnections(
            direct=ServerConnections(clock=clock),
            relayed=RelayConnections(
                gateways=lambda: self.view.gateways,
                choice=RelayChoice(
                    instance=settings.instance,
                    data_centre=settings.data_centre,
                    rng=rng,
                ),
                source_host=own_address.host,
                address_of=lambda gateway: internal_address(
                    InstanceId(gateway.client_address), settings.relay_port
                ),
                clock=clock,
            ),
            paths=paths,
            clock=clock,
        )
        self.relays = RelayListener(
            address=Address(host=own_address.host, port=settings.relay_port),
            gateways=lambda: self.view.gateways,
            is_registered=self._is_registered,
            is_evacuated=self._is_evacuated,
            paths=paths,
            clock=clock,
        )
        self.path_checks = PathChecks(
            connections=self.connections,
            loads=self.chooser.loads,
            servers=self._servers_to_reach,
            clock=clock,
            rng=rng,
        )
        self.connections.on_direct_failure = self.path_checks.check_others
        self.connections.on_lost = self.path_checks.check
        self.connections.on_relayed = self._record_cut_path
        starter = AttemptStarter(
            chooser=self.chooser,
            names=names,
            model_choice=ConfidenceCascade(),
            evidence=self.evidence,
            metrics=metrics,
            usage=self.usage,
            guard=self.guard,
            connections=self.connections,
            clock=clock,
        )
        budget = WindowedBudget(
            fraction=settings.retry_fraction * RETRY_BUDGET_FRACTION,
            slack=RETRY_BUDGET_SLACK,
            window_s=settings.retry_window_s,
        )
        self.dispatcher = Dispatcher(
            chooser=self.chooser, starter=starter, budget=budget, clock=clock
        )
        self.application = GatewayApplication(
            view=self.view,
            dispatcher=self.dispatcher,
            names=names,
            metrics=metrics,
            clock=clock,
        )
        collector = GatewayCollector(
            view=self.view,
            n_running=lambda: self.application.n_running,
            n_quarantined=self.guard.n_quarantined,
            n_suspended=lambda: self.chooser.loads.n_suspended(now=clock.monotonic()),
            n_unavailable=self.chooser.n_unavailable,
            n_evacuated=self.chooser.n_evacuated,
            n_refused_by_evacuation=lambda: self.chooser.n_refused_by_evacuation,
            n_rate_limited=self.chooser.rates.rates.n_limited,
            n_refused_by_rates=lambda: self.chooser.rates.n_refused,
            n_cold=self.chooser.rates.cold.n_cold,
            n_refused_for_cold=lambda: self.chooser.rates.cold.n_refused,
            n_brittle=self.chooser.brittle.n_services,
            n_refused_for_places=lambda: self.chooser.brittle.n_refused,
            n_refused_by_brittle=lambda: self.chooser.brittle.n_refused_by_servers,
            n_relayed=lambda: paths.n_in(PathState.RELAYED),
            n_relays=lambda: self.relays.n_relays,
            n_opened_through_others=lambda: self.connections.relayed.n_opened,
            n_held_bytes=lambda: self.door_memory.n_bytes,
            n_log_lines_dropped=n_log_lines_dropped,
        )
        registry.register(collector)
        self.ingress = IngressServer(
            address=parse_address(settings.client_address),
            application=self.application,
            client_limits=self._client_limits,
            connections=settings.client_connections,
            memory=self.door_memory,
            clock=clock,
        )
        self.links = CoordinatorLinks(
            seeds=seeds,
            address_of=lambda i: internal_address(i, settings.internal_port),
            view=self.view,
            status=self.status,
            work=self._work_report,
            limits=self._limit_report,
            crashes=self.guard.reports,
            places=self.chooser.brittle.report,
            on_leader_lost=self.chooser.brittle.asks.record_leader_lost,
            on_change=self._on_view_change,
            rng=rng,
        )
        self.chooser.brittle.asks.on_change = self.links.report_places

    def start(self) -> None:
        """Listen for clients and connect to coordinators."""
        self.ingress.start()
        self.relays.start()
        self.path_checks.start()
        self.links.start()
        log_message(
            "gateway:started",
            instance=self.settings.instance,
            clients=self.settings.client_address,
            seeds=list(self.settings.seeds),
        )

    @property
    def is_ready(self) -> bool:
        """Whether clients should use this gateway."""
        return self.view.table is not None and not self.application.stopping

    def addresses_for(self, data_centre: DataCentreId) -> list[str]:
        """Return the addresses that clients in a data centre should use."""
        return addresses_for(self.view.gateways, data_centre)

    def status(self) -> GatewayStatus:
        """Return the status that this gateway reports to coordinators."""
        evaluated = {
            service
            for service, rollout in self.view.rollouts.items()
            if rollout.stage in ACTIVE_STAGES
        }
        return GatewayStatus(
            gateway=GatewayInstance(
                instance=self.settings.instance,
                data_centre=self.settings.data_centre,
                client_address=self.settings.client_address,
                incarnation=self.incarnation,
                takes_clients=self.is_ready,
            ),
            revision=self.view.revision,
            evidence=self.evidence.for_services(
                evaluated, now=self.clock.monotonic(), held=self._checked_servers()
            ),
            rollouts_seen=tuple(
                rollout.without_sessions() for rollout in self.view.rollouts.values()
            ),
            sessions=self._sessions_to_bind(),
            usage=self.usage.report(),
        )

    def _tries_part(self, part: ContentDigest) -> bool:
        """Return whether this gateway is the one that tries a quarantined part."""
        instances = [gateway.instance for gateway in self.view.gateways]
        return choose_trying_instance(part, instances) in (
            None,
            self.settings.instance,
        )

    def _work_report(self) -> GatewayWork:
        return GatewayWork(
            work_ms=self.chooser.work.report(),
            outcomes=self.chooser.loads.collect_outcomes(held=self._checked_servers()),
            leaving=self.chooser.leaving_servers(),
            rates=self.chooser.rates.report(),
            cold=self.chooser.rates.cold.report(),
            brittle=self.chooser.brittle.reports(),
        )

    def _checked_servers(self) -> set[BackendServerId]:
        """Return the servers whose failures may be those of the path to them."""
        running = self.path_checks.running
        if not running:
            return set()
        servers = self.view.servers.values()
        return {s.server for s in servers if s.address in running}

    def _is_registered(self, address: str) -> bool:
        return any(
            server.address == address and server.state is not ServerState.GONE
            for server in self.view.servers.values()
        )

    def _is_evacuated(self, address: str) -> bool:
        return any(
            server.address == address and not self.view.evacuations.allows(server)
            for server in self.view.servers.values()
            if server.is_usable
        )

    def _servers_to_reach(self) -> list[RegisteredServer]:
        """Return the usable servers that may get requests, or have one running."""
        loads = self.chooser.loads.loads
        return [
            server
            for servers in self.view.by_service.values()
            for server in servers
            if self.view.evacuations.allows(server)
            or (server.server in loads and loads[server.server].n_running)
        ]

    def _record_cut_path(self, address: str, is_new: bool) -> None:
        """Take back what lost connections seemed to tell of the servers there."""
        for server in self.view.servers.values():
            if server.address == address:
                self.guard.record_cut_path(process_of(server))
                self.evidence.exclude(server.server, running=is_new)
                if is_new:
                    self.chooser.loads.forget_failures(server.server)

    def _limit_report(self) -> GatewayWork:
        return GatewayWork(
            work_ms={},
            rates=self.chooser.rates.observations(),
            brittle=self.chooser.brittle.reports(),
        )

    def _sessions_to_bind(self) -> tuple[int, ...]:
        preparing = {
            service
            for service, rollout in self.view.rollouts.items()
            if rollout.stage is RolloutStage.PREPARING
        }
        now = self.clock.monotonic()
        return self.chooser.sessions.recent(preparing, now=now)

    def stop(self) -> None:
        """Leave the address lists, finish running requests, and stop in time.

        Requests that still run at the deadline are cut off.
        """
        GracefulStop(
            settings=self.settings,
            application=self.application,
            ingress=self.ingress,
            relays=self.relays,
            links=self.links,
            usage=self.usage,
            clock=self.clock,
        ).run()
        self.path_checks.stop()
        self.links.stop()

    def kill(self) -> None:
        """Stop at once, and cut off what is running."""
        self.links.stop()
        self.path_checks.stop()
        self.ingress.stop(timeout=0)
        self.relays.stop()

    def _client_limits(self) -> ClientLimits:
        if self.view.table is None:
            return ClientLimits()
        return self.view.table.configuration.limits

    def _on_view_change(self) -> None:
        self.chooser.drop_unregistered()
        self.guard.drop_expired()
        self.connections.relayed.drop_unlisted()
        self.links.trigger_choice()
        self.links.report_now()
