"""Chooses the server for a request from those that it may run on."""

from collections.abc import Iterable
from random import Random

from eliot import log_message

from turmericreel.decisions.prompt_work import PrefillSpeed, PromptWork
from turmericreel.decisions.server_availability import ServerAvailability
from turmericreel.decisions.server_paths import PathState, ServerPaths
from turmericreel.decisions.server_placement import Candidate, Placement, Prompt
from turmericreel.decisions.version_split import servers_for_rollout, session_hash
from turmericreel.gateway.brittle_servers import NO_PLACE_LEFT, BrittleServers
from turmericreel.gateway.client_request import ClientRequest
from turmericreel.gateway.cold_servers import ColdLimits
from turmericreel.gateway.recent_sessions import RecentSessions
from turmericreel.gateway.refusals import no_server_refusal
from turmericreel.gateway.server_loads import ServerLoads
from turmericreel.gateway.server_rates import (
    COLD_SERVERS_BUSY,
    RATES_REACHED,
    ServerRates,
)
from turmericreel.gateway.view import GatewayView
from turmericreel.model.failures import (
    Failure,
    FailureError,
    NotRun,
    NotRunReason,
    ProofKind,
)
from turmericreel.model.ids import (
    BackendServerId,
    DataCentreId,
    InstanceId,
    ServiceName,
)
from turmericreel.model.registered_server import RegisteredServer, ServerState
from turmericreel.model.routing import ModelName
from turmericreel.model.routing_settings import ColdBounds
from turmericreel.model.server_crash import ServerProcess, process_of
from turmericreel.protocols.routing_messages import ServerWork
from turmericreel.util.clock import Clock

# An unknown server registers with its next heartbeat, within about a second.
NO_SERVER_RETRY_AFTER_MS = 600
# Fraction of the route's latency target, and of the time left, for which a request
# waits until a server is known.
SERVER_WAIT_FRACTION = 0.5
# Random addition to the time after which a client may retry, as a fraction of it.
RETRY_SPREAD = 0.5
# Clients do not wait for longer than this fraction of the time that they have left.
MAX_RETRY_FRACTION = 1 / 3
NO_SERVER_LEFT = "no usable server is left"
ALL_EVACUATED = "all servers are in evacuated data centres"
# An evacuation may last, so that clients should not return as soon as for a server.
EVACUATED_RETRY_AFTER_S = 1.0


class ServerChooser:
    """Chooses servers by their loads, by sessions and by prompts.

    Parameters
    ----------
    view : GatewayView
    instance : InstanceId
    data_centre : DataCentreId
        Data centre of the gateway.
    plain_placement, engine_placement : Placement
        For requests without and with a prefix key (see `ClientRequest`).
    sessions : RecentSessions
    paths : ServerPaths
    clock : Clock
    rng : Random
    cold_bounds : ColdBounds

    Attributes
    ----------
    n_refused_by_evacuation : int
        Attempts refused because all servers are in evacuated data centres.
    """

    def __init__(
        self,
        *,
        view: GatewayView,
        instance: InstanceId,
        data_centre: DataCentreId,
        plain_placement: Placement,
        engine_placement: Placement,
        sessions: RecentSessions,
        paths: ServerPaths,
        clock: Clock,
        rng: Random,
        cold_bounds: ColdBounds = ColdBounds(),
    ):
        self.view = view
        self.data_centre = data_centre
        self.plain_placement = plain_placement
        self.engine_placement = engine_placement
        self.sessions = sessions
        self.paths = paths
        self.clock = clock
        self.rng = rng
        self.loads = ServerLoads()
        self.speed = PrefillSpeed()
        self.work = PromptWork()
        self.availability = ServerAvailability()
        self.n_refused_by_evacuation = 0
        self.rates = ServerRates(
            n_gateways=lambda: len(view.gateways),
            cold_limits=ColdLimits(view=view, bounds=cold_bounds),
            clock=clock,
            rng=rng,
        )
        self.brittle = BrittleServers(
            instance=instance,
            gateways=lambda: (gateway.instance for gateway in view.gateways),
            servers_of=view.servers_of,
            loads=self.loads,
            clock=clock,
            rng=rng,
        )

    def service_for(self, request: ClientRequest) -> ServiceName:
        """Choose a service at random, by the weights of the request's route."""
        shares = request.route.shares
        if len(shares) == 1:
            return shares[0].service
        weights = [share.weight for share in shares]
        return self.rng.choices(shares, weights=weights)[0].service

    def choose(
        self,
        request: ClientRequest,
        service: ServiceName,
        tried: set[BackendServerId],
    ) -> RegisteredServer:
        """Return a usable server that is not in `tried`.

        On the first attempt, wait for a bounded time if no server is known.

        Raises
        ------
        FailureError
            With `NotRun` when no server is left.
        """
        if not tried:
            self._wait_for_servers(request, service)
        now = self.clock.monotonic()
        allowed = self._allowed_servers(request, service, now)
        untried = [s for s in allowed if s.server not in tried]
        if not untried:
            raise self._no_server_failure(request, service, now)
        ready = self.rates.ready_servers(request, service, untried)
        chosen = self.brittle.choose(
            request,
            service,
            ready,
            best_of=lambda servers: self._best_of(request, service, servers),
        )
        if not self.view.evacuations.allows(chosen):
            # The order came while this request waited for a place.
            self.brittle.give_back(chosen)
            return self.choose(request, service, tried)
        try:
            # A grant may have been used while this request waited for a place.
            self.rates.check(request, service, chosen)
        except FailureError:
            self.brittle.give_back(chosen)
            raise
        return chosen

    def _best_of(
        self,
        request: ClientRequest,
        service: ServiceName,
        ready: list[RegisteredServer],
    ) -> RegisteredServer:
        now = self.clock.monotonic()
        healthy = [s for s in ready if not self.loads.is_paused(s.server, now=now)]
        servers = self._best_reached(healthy or ready, now)
        placement = self.plain_placement
        if request.prefix_key:
            placement = self.engine_placement
        return placement.choose(
            [
                Candidate(
                    server=s,
                    load=self.loads.of(s.server).estimate(now=now),
                    work_ms=self.work.pending_ms(s.server),
                    is_cold=self.rates.cold.is_cold(s),
                )
                for s in servers
            ],
            prompt=self.prompt_of(request, service),
            data_centre=self.data_centre,
            rng=self.rng,
        )

    def _best_reached(
        self, servers: list[RegisteredServer], now: float
    ) -> list[RegisteredServer]:
        """Return the servers with a direct path, or else with one that works."""
        if not self.paths.not_direct:
            return servers
        states = {s.server: self.paths.state_of(s.address, now=now) for s in servers}
        for state in (PathState.DIRECT, PathState.RELAYED):
            reached = [s for s in servers if states[s.server] is state]
            if reached:
                return reached
        return servers

    def receive_work(self, work: ServerWork) -> None:
        """Record the servers' pending prefill work, and which are not to be used."""
        if work.rates:
            self.rates.receive(work.rates, term=work.term)
        if work.cold is not None:
            self.rates.receive_cold(work.cold, term=work.term)
        if work.brittle:
            self.brittle.receive(work.brittle)
        if work.grants_places:
            self.brittle.asks.record_leader(term=work.term)
        if work.is_partial:
            return
        self.brittle.asks.is_known &= work.grants_places
        self.work.receive_total(work.work_ms)
        self.record_leaving(work.leaving)
        self.loads.suspend(work.suspended, now=self.clock.monotonic())

    def record_leaving(self, processes: Iterable[ServerProcess]) -> None:
        """Send no more requests to these server processes."""
        for process in self.availability.record_leaving(processes):
            log_message(
                "gateway:server_leaving",
                server=process.server,
                incarnation=process.incarnation,
            )

    def n_unavailable(self) -> int:
        """Return the number of ready servers that are leaving or asked for a pause."""
        now = self.clock.monotonic()
        evacuations = self.view.evacuations
        return sum(
            len(evacuations.allowed(servers)) - len(self._usable_servers(service, now))
            for service, servers in self.view.by_service.items()
        )

    def n_evacuated(self) -> int:
        """Return the number of ready servers in evacuated data centres."""
        evacuations = self.view.evacuations
        return sum(
            len(servers) - len(evacuations.allowed(servers))
            for servers in self.view.by_service.values()
        )

    def leaving_servers(self) -> tuple[ServerProcess, ...]:
        """Return the leaving servers that are registered as ready."""
        leaving = self.availability.leaving
        servers = (self.view.servers.get(process.server) for process in leaving)
        usable = {process_of(s) for s in servers if s is not None and s.is_usable}
        return tuple(leaving & usable)

    def drop_unregistered(self) -> None:
        """Drop what is known of servers that are not registered any more."""
        self.loads.drop_unregistered(set(self.view.servers))
        present = {
            process_of(server)
            for server in self.view.servers.values()
            if server.state is not ServerState.GONE
        }
        self.availability.drop_unregistered(present, now=self.clock.monotonic())
        self.rates.rates.drop_unregistered(present)
        self.rates.cold.decisions.drop_unregistered(present)
        self.brittle.places.drop_unregistered(set(self.view.servers))
        self.paths.drop_unregistered(s.address for s in self.view.servers.values())

    def record_session(
        self, request: ClientRequest, server: RegisteredServer, now: float
    ) -> None:
        """Record the request's session as recent if it runs on the old version."""
        rollout = self.view.rollouts.get(server.service)
        is_old = rollout is None or rollout.target != server.version
        if request.session and is_old:
            hashed = session_hash(request.session)
            self.sessions.record(server.service, hashed, now=now)

    def prompt_of(self, request: ClientRequest, service: ServiceName) -> Prompt:
        """Return the prefix key and the estimated prefill times of a request."""
        model = request.model or ModelName("")
        n_total_tokens, n_unshared_tokens = (
            request.n_prompt_tokens,
            request.n_unshared_tokens,
        )
        return Prompt(
            prefix_key=request.prefix_key,
            full_prefill_ms=self.speed.work_ms(service, model, n_total_tokens),
            unshared_prefill_ms=self.speed.work_ms(
                service, model, min(n_unshared_tokens, n_total_tokens)
            ),
        )

    def _wait_for_servers(self, request: ClientRequest, service: ServiceName) -> None:
        """Wait for a bounded time if no server is known.

        Unknown servers register within seconds.
        """
        now = self.clock.monotonic()
        if len(self._usable_servers(service, now)) < len(self.view.servers_of(service)):
            return
        limit_s = request.route.latency_target_ms / 1_000 * SERVER_WAIT_FRACTION
        limit_s = min(limit_s, (request.deadline - now) * SERVER_WAIT_FRACTION)
        self.view.wait_until(
            lambda: bool(self._allowed_servers(request, service, now)),
            timeout_s=limit_s,
        )

    def _allowed_servers(
        self, request: ClientRequest, service: ServiceName, now: float
    ) -> list[RegisteredServer]:
        rollout = self.view.rollouts.get(service)
        hashed = session_hash(request.session or request.attempt_id)
        is_bound = self.sessions.is_recent(service, hashed, now=now)
        if rollout is not None:
            is_bound = is_bound or hashed in rollout.bound_sessions
        servers = self._usable_servers(service, now)
        return servers_for_rollout(servers, rollout, hashed=hashed, is_bound=is_bound)

    def _usable_servers(
        self, service: ServiceName, now: float
    ) -> list[RegisteredServer]:
        servers = self.view.evacuations.allowed(self.view.servers_of(service))
        if self.availability.is_empty:
            return servers
        return [
            server
            for server in servers
            if self.availability.is_available(process_of(server), now=now)
        ]

    def _no_server_failure(
        self, request: ClientRequest, service: ServiceName, now: float
    ) -> FailureError:
        """Return the refusal, with the time after which a server may be available."""
        known = self.view.servers_of(service)
        servers = self.view.evacuations.allowed(known)
        if known and not servers:
            return self._evacuated_failure(request, now)
        retry_after_ms = NO_SERVER_RETRY_AFTER_MS
        processes = [process_of(server) for server in servers]
        pause_s = self.availability.earliest_end_s(processes, now=now)
        if pause_s:
            # Clients that were refused together must not return together.
            pause_s += pause_s * self.rng.uniform(0.0, RETRY_SPREAD)
            left_s = max(request.deadline - now, 0.0)
            pause_s = min(pause_s, left_s * MAX_RETRY_FRACTION)
            retry_after_ms = max(int(pause_s * 1_000), 1)
        return FailureError(
            NotRun(
                reason=NotRunReason.NO_HEALTHY_SERVER,
                proof=ProofKind.NOT_DISPATCHED,
                retry_after_ms=retry_after_ms,
                detail=NO_SERVER_LEFT,
            )
        )

    def _evacuated_failure(self, request: ClientRequest, now: float) -> FailureError:
        self.n_refused_by_evacuation += 1
        wait_s = EVACUATED_RETRY_AFTER_S * self.rng.uniform(1.0, 1.0 + RETRY_SPREAD)
        left_s = max(request.deadline - now, 0.0)
        wait_s = min(wait_s, left_s * MAX_RETRY_FRACTION)
        return no_server_refusal(ALL_EVACUATED, wait_s=wait_s)


def is_no_server_failure(failure: Failure) -> bool:
    """Return whether the failure is that no usable server was left."""
    return isinstance(failure, NotRun) and failure.detail in (
        NO_SERVER_LEFT,
        ALL_EVACUATED,
        RATES_REACHED,
        COLD_SERVERS_BUSY,
        NO_PLACE_LEFT,
    )
