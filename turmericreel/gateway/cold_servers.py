"""Keeps a gateway's requests to what servers take while they are cold."""

from collections.abc import Callable, Iterable
from random import Random

from eliot import log_message

from turmericreel.decisions.cold_servers import (
    PRESUMED_COLD_S,
    ColdLimit,
    limits_by_service,
    parse_cold_ms,
)
from turmericreel.decisions.gateway_cold import GatewayColdServers
from turmericreel.gateway.client_request import ClientRequest
from turmericreel.gateway.view import GatewayView
from turmericreel.model.cold_server import ColdAnswer, ColdReport
from turmericreel.model.ids import Revision, ServiceName
from turmericreel.model.registered_server import RegisteredServer
from turmericreel.model.routing_settings import ColdBounds
from turmericreel.util.clock import Clock

MAX_LOGGED_HEADER = 64
# Assumed where no cold server takes anything from this gateway, in requests a second.
MIN_RATE = 0.1


class ColdLimits:
    """What cold servers take, by the configuration in force at a gateway.

    Parameters
    ----------
    view : GatewayView
    bounds : ColdBounds
    """

    def __init__(self, *, view: GatewayView, bounds: ColdBounds):
        self.view = view
        self.bounds = bounds
        self.revision = Revision(0)
        self.limits: dict[ServiceName, ColdLimit] = {}

    def of(self, service: ServiceName) -> ColdLimit | None:
        """Return what a cold server of a service takes; None without a limit."""
        if self.view.table is None:
            return None
        if self.view.revision != self.revision:
            self.revision = self.view.revision
            configuration = self.view.table.configuration
            self.limits = limits_by_service(configuration, self.bounds)
        return self.limits.get(service)


class ColdServers:
    """Cold servers at one gateway.

    Parameters
    ----------
    limits : ColdLimits
    n_gateways : callable
        Returns the number of gateways that share what a cold server takes.
    clock : Clock
    rng : Random

    Attributes
    ----------
    decisions : GatewayColdServers
    n_refused : int
        Attempts that were refused because only cold servers were left.
    """

    def __init__(
        self,
        *,
        limits: ColdLimits,
        n_gateways: Callable[[], int],
        clock: Clock,
        rng: Random,
    ):
        self.decisions = GatewayColdServers(
            limit_of=limits.of, n_gateways=n_gateways, rng=rng
        )
        self.clock = clock
        self.n_refused = 0

    @property
    def is_empty(self) -> bool:
        """Whether no server is known to be cold."""
        return self.decisions.is_empty

    def record(self, servers: Iterable[RegisteredServer]) -> None:
        """Record newer registrations, as they arrive."""
        now = self.clock.monotonic()
        for server in servers:
            if self.decisions.known.record(server, now=now):
                self._log_cold(server, named="")

    def record_answer(self, server: RegisteredServer, text: str) -> None:
        """Record for how long a server's answer says that it is cold; empty if not."""
        if not text:
            return
        cold_ms = parse_cold_ms(text)
        if cold_ms is None:
            log_message(
                "gateway:server_cold_invalid",
                server=server.server,
                incarnation=server.incarnation,
                named=text[:MAX_LOGGED_HEADER],
            )
            return
        now = self.clock.monotonic()
        cold_s = cold_ms / 1_000
        if self.decisions.known.extend(server, cold_s=cold_s, now=now):
            self._log_cold(server, named=text[:MAX_LOGGED_HEADER])

    def presume_cold(self, servers: Iterable[RegisteredServer]) -> None:
        """Take servers with a limit for cold, until their heartbeats tell."""
        now = self.clock.monotonic()
        known = self.decisions.known
        for server in servers:
            if self.decisions.limit_of(server.service) is None:
                continue
            if known.extend(server, cold_s=PRESUMED_COLD_S, now=now):
                self._log_cold(server, named="")

    def is_cold(self, server: RegisteredServer) -> bool:
        """Return whether a server is still cold, and slow."""
        return self.decisions.is_cold(server, now=self.clock.monotonic())

    def ready(self, servers: list[RegisteredServer]) -> list[RegisteredServer]:
        """Return the servers that may get a request now."""
        if self.is_empty:
            return servers
        return self.decisions.ready(servers, now=self.clock.monotonic())

    def take(self, server: RegisteredServer) -> None:
        """Count a request that is sent to a server."""
        if not self.is_empty:
            self.decisions.take(server, now=self.clock.monotonic())

    def count_wanted(self, servers: Iterable[RegisteredServer]) -> None:
        """Count a request that could be sent to one of these servers."""
        if not self.is_empty:
            self.decisions.count_wanted(servers, now=self.clock.monotonic())

    def may_wait(self, service: ServiceName) -> bool:
        """Return whether the leader soon grants a request that waits."""
        return self.decisions.may_wait(service, now=self.clock.monotonic())

    def add_waiting(self, service: ServiceName, n_added: int) -> None:
        """Count requests that begin or, if negative, cease to wait for a grant."""
        self.decisions.n_waiting[service] += n_added

    def rate_here(self, servers: Iterable[RegisteredServer]) -> float | None:
        """Return what this gateway may send of these, in requests a second.

        None if none of them is cold.
        """
        now = self.clock.monotonic()
        cold = [s for s in servers if self.decisions.limit(s, now=now) is not None]
        if not cold:
            return None
        return max(self.decisions.rate_here(cold, now=now), MIN_RATE)

    def record_refusal(self, request: ClientRequest, service: ServiceName) -> None:
        """Count and log a refusal because only cold servers were left."""
        self.n_refused += 1
        log_message(
            "gateway:refused_for_cold",
            request=request.attempt_id,
            service=service,
            has_leader=self.clock.monotonic() < self.decisions.leader_deadline,
        )

    def receive(self, answer: ColdAnswer, *, term: int) -> None:
        """Record the leader's grants."""
        self.decisions.receive(answer, term=term, now=self.clock.monotonic())

    def report(self) -> ColdReport | None:
        """Return the report to the leader; see `GatewayColdServers.report`."""
        if self.is_empty:
            return None
        return self.decisions.report(now=self.clock.monotonic())

    def n_cold(self) -> int:
        """Return the number of server processes that are cold."""
        return len(self.decisions.known.cold_processes(now=self.clock.monotonic()))

    def _log_cold(self, server: RegisteredServer, *, named: str) -> None:
        limit = self.decisions.limit_of(server.service)
        left_s = self.decisions.left_s(server, now=self.clock.monotonic())
        log_message(
            "gateway:server_cold",
            server=server.server,
            incarnation=server.incarnation,
            service=server.service,
            left_ms=int(left_s * 1_000),
            rate=limit.rate if limit is not None else None,
            max_in_second=limit.max_in_second if limit is not None else None,
            named=named,
        )
