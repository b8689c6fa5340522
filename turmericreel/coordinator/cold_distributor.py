"""Grants requests of cold servers to the gateways connected to the leader."""

from collections.abc import Callable, Iterable
from dataclasses import dataclass
from random import Random

from eliot import log_message

from turmericreel.decisions.cold_grants import ColdGrants, ColdProcess
from turmericreel.decisions.cold_servers import (
    PRESUMED_COLD_S,
    ColdLimit,
    KnownCold,
    limits_by_service,
)
from turmericreel.model.cold_server import ColdAnswer, ColdReport
from turmericreel.model.ids import InstanceId, Revision, ServiceName
from turmericreel.model.registered_server import RegisteredServer
from turmericreel.model.routing_codec import RoutingCodec
from turmericreel.model.routing_settings import ColdBounds
from turmericreel.model.server_crash import ServerProcess, process_of
from turmericreel.util.clock import Clock


@dataclass(kw_only=True)
class LimitsOfRevision:
    """What cold servers of each service take, by one configuration."""

    revision: Revision
    limits: dict[ServiceName, ColdLimit]


class ColdDistributor:
    """Cold servers at one coordinator, and its grants while it leads.

    Parameters
    ----------
    codec : RoutingCodec
    bounds : ColdBounds
    holds_lease : callable
        Returns whether this coordinator leads and no other can.
    clock : Clock
    rng : Random

    Attributes
    ----------
    known : KnownCold
    grants : ColdGrants or None
        None unless this coordinator led in `term`.
    term : int
        Latest term in which this coordinator led.
    n_granted : int
        Requests granted since the start.
    """

    def __init__(
        self,
        *,
        codec: RoutingCodec,
        bounds: ColdBounds,
        holds_lease: Callable[[], bool],
        clock: Clock,
        rng: Random,
    ):
        self.codec = codec
        self.bounds = bounds
        self.holds_lease = holds_lease
        self.clock = clock
        self.rng = rng
        self.known = KnownCold()
        self.grants: ColdGrants | None = None
        self.term = 0
        self.n_granted = 0
        self.newest = LimitsOfRevision(revision=Revision(0), limits={})

    def record(self, servers: Iterable[RegisteredServer]) -> None:
        """Record newer registrations, as they arrive."""
        now = self.clock.monotonic()
        for server in servers:
            if self.known.record(server, now=now):
                log_message(
                    "coordinator:server_cold",
                    server=server.server,
                    incarnation=server.incarnation,
                    service=server.service,
                    left_ms=server.warmup_left_ms,
                )

    def presume_cold(self, servers: Iterable[RegisteredServer]) -> None:
        """Take servers for cold that may be, until their heartbeats tell."""
        now = self.clock.monotonic()
        for server in servers:
            self.known.extend(server, cold_s=PRESUMED_COLD_S, now=now)

    def receive(self, gateway: InstanceId, report: ColdReport) -> None:
        """Record what a gateway wants to send."""
        if self.grants is not None:
            self.grants.record_report(gateway, report, now=self.clock.monotonic())

    def update_limits(self, revision: Revision, document: bytes) -> None:
        """Read the limits in a configuration unless they are known."""
        if revision == self.newest.revision:
            return
        configuration = self.codec.decode(document)
        self.newest = LimitsOfRevision(
            revision=revision, limits=limits_by_service(configuration, self.bounds)
        )

    def has_cold(self) -> bool:
        """Return whether a server is cold."""
        return bool(self.known.cold_processes(now=self.clock.monotonic()))

    def answers(
        self,
        servers: Iterable[RegisteredServer],
        gateways: Iterable[InstanceId],
        *,
        term: int,
    ) -> dict[InstanceId, ColdAnswer]:
        """Return the answers to gateways; none unless this coordinator leads.

        Parameters
        ----------
        servers : iterable of RegisteredServer
            All registered ones.
        gateways : iterable of InstanceId
            Those connected to this coordinator.
        term : int
            Present term.
        """
        if not self.holds_lease():
            return {}
        now = self.clock.monotonic()
        if self.grants is None or term != self.term:
            self.term = term
            self.grants = ColdGrants(began_at=now, rng=self.rng)
        cold = {
            process: ColdProcess(
                service=server.service, limit=self.newest.limits[server.service]
            )
            for process, server in self._cold_servers(servers, now).items()
        }
        if not cold:
            return {}
        before = self.grants.n_granted
        answers = self.grants.answer(cold, gateways=gateways, now=now)
        self.n_granted += self.grants.n_granted - before
        return answers

    def n_cold(self) -> int:
        """Return the number of cold server processes."""
        return len(self.known.cold_processes(now=self.clock.monotonic()))

    def _cold_servers(
        self, servers: Iterable[RegisteredServer], now: float
    ) -> dict[ServerProcess, RegisteredServer]:
        return {
            process_of(server): server
            for server in servers
            if server.is_usable
            and server.service in self.newest.limits
            and self.known.is_cold(process_of(server), now=now)
        }
