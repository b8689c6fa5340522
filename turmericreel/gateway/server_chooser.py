"""Chooses the server for a request from those that it may run on."""

from random import Random

from turmericreel.decisions.prompt_work import PrefillSpeed, PromptWork
from turmericreel.decisions.server_placement import Candidate, Placement, Prompt
from turmericreel.decisions.version_split import servers_for_rollout, session_hash
from turmericreel.gateway.client_request import ClientRequest
from turmericreel.gateway.recent_sessions import RecentSessions
from turmericreel.gateway.server_loads import ServerLoads
from turmericreel.gateway.view import GatewayView
from turmericreel.model.failures import (
    Failure,
    FailureError,
    NotRun,
    NotRunReason,
    ProofKind,
)
from turmericreel.model.ids import BackendServerId, DataCentreId, ServiceName
from turmericreel.model.registered_server import RegisteredServer
from turmericreel.model.routing import ModelName
from turmericreel.protocols.routing_messages import ServerWork
from turmericreel.util.clock import Clock

# An unknown server registers with its next heartbeat, within about a second.
NO_SERVER_RETRY_AFTER_MS = 600
# Fraction of the route's latency target, and of the time left, for which a request
# waits until a server is known.
SERVER_WAIT_FRACTION = 0.5
NO_SERVER_LEFT = "no usable server is left"


class ServerChooser:
    """Chooses servers by their loads, by sessions and by prompts.

    Parameters
    ----------
    view : GatewayView
    data_centre : DataCentreId
        Data centre of the gateway.
    plain_placement, engine_placement : Placement
        For requests without and with a prefix key (see `ClientRequest`).
    sessions : RecentSessions
    clock : Clock
    rng : Random
    """

    def __init__(
        self,
        *,
        view: GatewayView,
        data_centre: DataCentreId,
        plain_placement: Placement,
        engine_placement: Placement,
        sessions: RecentSessions,
        clock: Clock,
        rng: Random,
    ):
        self.view = view
        self.data_centre = data_centre
        self.plain_placement = plain_placement
        self.engine_placement = engine_placement
        self.sessions = sessions
        self.clock = clock
        self.rng = rng
        self.loads = ServerLoads()
        self.speed = PrefillSpeed()
        self.work = PromptWork()

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
        healthy = [s for s in untried if not self.loads.is_paused(s.server, now=now)]
        servers = healthy or untried
        if not servers:
            raise _no_server_failure()
        placement = self.plain_placement
        if request.prefix_key:
            placement = self.engine_placement
        return placement.choose(
            [
                Candidate(
                    server=s,
                    load=self.loads.of(s.server).estimate(now=now),
                    work_ms=self.work.pending_ms(s.server),
                )
                for s in servers
            ],
            prompt=self.prompt_of(request, service),
            data_centre=self.data_centre,
            rng=self.rng,
        )

    def receive_work(self, work: ServerWork) -> None:
        """Record the servers' pending prefill work, and which are suspended."""
        self.work.receive_total(work.work_ms)
        self.loads.suspend(work.suspended, now=self.clock.monotonic())

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
        return servers_for_rollout(
            self.view.servers_of(service), rollout, hashed=hashed, is_bound=is_bound
        )


def is_no_server_failure(failure: Failure) -> bool:
    """Return whether the failure is that no usable server was left."""
    return isinstance(failure, NotRun) and failure.detail == NO_SERVER_LEFT


def _no_server_failure() -> FailureError:
    return FailureError(
        NotRun(
            reason=NotRunReason.NO_HEALTHY_SERVER,
            proof=ProofKind.NOT_DISPATCHED,
            retry_after_ms=NO_SERVER_RETRY_AFTER_MS,
            detail=NO_SERVER_LEFT,
        )
    )
