"""Keeps a gateway's requests to the rates that servers name, or take while cold."""

from collections.abc import Callable, Iterable
from enum import Enum
from random import Random

from eliot import log_message
from gevent.event import Event
from gevent.timeout import Timeout

from turmericreel.decisions.gateway_rates import GatewayRates, RetryTimes
from turmericreel.decisions.rate_limits import GRANT_WAIT_S, parse_rate
from turmericreel.gateway.client_request import ClientRequest
from turmericreel.gateway.cold_servers import ColdLimits, ColdServers
from turmericreel.gateway.refusals import no_server_refusal
from turmericreel.model.cold_server import ColdAnswer
from turmericreel.model.failures import FailureError
from turmericreel.model.ids import ServiceName
from turmericreel.model.registered_server import RegisteredServer
from turmericreel.model.server_crash import ServerProcess, process_of
from turmericreel.model.server_rate import RateGrant, RateReport
from turmericreel.util.clock import Clock

COLD_SERVERS_BUSY = "all usable servers are cold and have got what they take"
RATES_REACHED = "all usable servers have got as many requests as they take"
# Random addition to the time after which a client may retry, as a fraction of it.
RETRY_SPREAD = 0.5
# Clients do not wait for longer than this fraction of the time that they have left.
MAX_RETRY_FRACTION = 1 / 3
MAX_LOGGED_HEADER = 64
# Part of the time left for which a request may wait for a grant.
MAX_WAIT_FRACTION = 0.5


class RateSource(Enum):
    """How a gateway learned of a limit."""

    ANSWER = "answer"
    COORDINATOR = "coordinator"


class ServerRates:
    """Rates of servers at one gateway, with the requests that wait for grants.

    Parameters
    ----------
    n_gateways : callable
        Returns the number of gateways that share the rates.
    cold_limits : ColdLimits
    clock : Clock
    rng : Random

    Attributes
    ----------
    rates : GatewayRates
    cold : ColdServers
    granted : Event
        Set for a moment when the leader has sent grants.
    retry_times : RetryTimes
    n_refused : int
        Attempts that were refused because of the rates.
    """

    def __init__(
        self,
        *,
        n_gateways: Callable[[], int],
        cold_limits: ColdLimits,
        clock: Clock,
        rng: Random,
    ):
        self.cold = ColdServers(
            limits=cold_limits, n_gateways=n_gateways, clock=clock, rng=rng
        )
        self.rates = GatewayRates(n_gateways=n_gateways, rng=rng)
        self.clock = clock
        self.rng = rng
        self.granted = Event()
        self.retry_times = RetryTimes()
        self.n_refused = 0

    def record_answer(self, server: RegisteredServer, text: str) -> None:
        """Record the limit that an answer of a server names; empty without one."""
        process = process_of(server)
        rate = parse_rate(text) if text else None
        if text and rate is None:
            log_message(
                "gateway:rate_limit_invalid",
                server=process.server,
                incarnation=process.incarnation,
                named=text[:MAX_LOGGED_HEADER],
            )
            return
        if self.rates.record_answer(process, rate, now=self.clock.monotonic()):
            self._log_limit(process, RateSource.ANSWER, text=text)

    def receive(self, grants: Iterable[RateGrant], *, term: int) -> None:
        """Record the limits and grants of a coordinator."""
        now = self.clock.monotonic()
        for process in self.rates.receive(grants, term=term, now=now):
            self._log_limit(process, RateSource.COORDINATOR)
        self._wake()

    def receive_cold(self, answer: ColdAnswer, *, term: int) -> None:
        """Record the leader's grants of cold servers."""
        self.cold.receive(answer, term=term)
        self._wake()

    def _wake(self) -> None:
        # Wakes the requests that wait now.
        self.granted.set()
        self.granted.clear()

    def ready_servers(
        self,
        request: ClientRequest,
        service: ServiceName,
        servers: list[RegisteredServer],
    ) -> list[RegisteredServer]:
        """Return the servers that may get a request now by the rates that they take.

        Wait for a bounded time if there is none but the leader grants one soon.

        Raises
        ------
        FailureError
            With `NotRun` when all servers have got as many requests as they take.
        """
        if self.rates.is_empty and self.cold.is_empty:
            return servers
        for server in servers:
            self.rates.count_wanted(process_of(server))
        self.cold.count_wanted(servers)
        ready = self._ready(servers) or self._wait_for_grant(request, service, servers)
        if not ready:
            raise self._refusal(request, service, servers)
        return ready

    def check(
        self, request: ClientRequest, service: ServiceName, server: RegisteredServer
    ) -> None:
        """Raise `FailureError` with `NotRun` if a server may get no request now."""
        if not self._ready([server]):
            raise self._refusal(request, service, [server])

    def take(self, server: RegisteredServer) -> None:
        """Count a request that is sent to a server."""
        self.rates.take(process_of(server), now=self.clock.monotonic())
        self.cold.take(server)

    def give_back(self, server: RegisteredServer) -> None:
        """Take back the count of a request that did not reach a server."""
        self.rates.give_back(process_of(server), now=self.clock.monotonic())

    def report(self) -> tuple[RateReport, ...]:
        """Return the report to the leader; see `GatewayRates.report`."""
        return self.rates.report(now=self.clock.monotonic())

    def observations(self) -> tuple[RateReport, ...]:
        """Return the limits that other instances should know."""
        return self.rates.observations(now=self.clock.monotonic())

    def _ready(self, servers: list[RegisteredServer]) -> list[RegisteredServer]:
        now = self.clock.monotonic()
        if not self.rates.is_empty:
            servers = [
                s for s in servers if self.rates.may_send(process_of(s), now=now)
            ]
        return self.cold.ready(servers)

    def _wait_for_grant(
        self,
        request: ClientRequest,
        service: ServiceName,
        servers: list[RegisteredServer],
    ) -> list[RegisteredServer]:
        now = self.clock.monotonic()
        processes = [process_of(server) for server in servers]
        spare = [p for p in processes if self.rates.may_be_granted(p, now=now)]
        waits_for_cold = self.cold.may_wait(service)
        if not spare and not waits_for_cold:
            return []
        # One process, since the grants of others would expire unused.
        process = self.rng.choice(spare) if spare else None
        ready: list[RegisteredServer] = []
        wait_s = min(GRANT_WAIT_S, (request.deadline - now) * MAX_WAIT_FRACTION)
        if process is not None:
            self.rates.n_waiting[process] += 1
        if waits_for_cold:
            self.cold.add_waiting(service, 1)
        try:
            with Timeout(wait_s, False):
                while not ready:
                    self.granted.wait()
                    ready = self._ready(servers)
        finally:
            if process is not None:
                self.rates.n_waiting[process] -= 1
            if waits_for_cold:
                self.cold.add_waiting(service, -1)
        return ready

    def _refusal(
        self,
        request: ClientRequest,
        service: ServiceName,
        servers: list[RegisteredServer],
    ) -> FailureError:
        """Return the refusal, with a time after which there is room for this client."""
        now = self.clock.monotonic()
        rate = self.rates.share_of(self.rates.rate_of_all(map(process_of, servers)))
        cold_rate = self.cold.rate_here(servers)
        detail = COLD_SERVERS_BUSY if cold_rate is not None else RATES_REACHED
        if cold_rate is None:
            self.n_refused += 1
        else:
            self.cold.record_refusal(request, service)
            rate += cold_rate
        wait_s = self.retry_times.next_s(service, rate=rate, now=now)
        wait_s += wait_s * self.rng.uniform(0.0, RETRY_SPREAD)
        limit_s = max(request.deadline - now, 0.0) * MAX_RETRY_FRACTION
        if wait_s > limit_s:
            # Clients whose time is limited must not return together either.
            wait_s = limit_s * self.rng.uniform(1.0 - RETRY_SPREAD, 1.0)
        return no_server_refusal(detail, wait_s=wait_s)

    def _log_limit(
        self, process: ServerProcess, source: RateSource, *, text: str = ""
    ) -> None:
        limit = self.rates.known.limits[process]
        log_message(
            "gateway:rate_limit",
            server=process.server,
            incarnation=process.incarnation,
            rate=limit.rate,
            named=text[:MAX_LOGGED_HEADER],
            source=source.value,
            age_ms=limit.age_ms(now=self.clock.monotonic()),
        )
