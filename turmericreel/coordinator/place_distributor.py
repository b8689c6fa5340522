"""Grants places of brittle servers to the gateways connected to the leader."""

from collections.abc import Iterable, Mapping
from random import Random

from eliot import log_message

from turmericreel.decisions.place_grants import BrittleServer, PlaceGrants
from turmericreel.model.brittle_service import BrittleReport
from turmericreel.model.ids import BackendServerId, InstanceId, ServiceName
from turmericreel.model.place_report import PlaceAnswer, PlaceReport
from turmericreel.model.registered_server import RegisteredServer
from turmericreel.util.clock import Clock

# Gateways connect to a new leader within this time; until then it does not know all.
LEARNING_S = 1.0


def newest_reports(reports: Iterable[BrittleReport]) -> tuple[BrittleReport, ...]:
    """Return the newest report on each brittle service."""
    newest: dict[ServiceName, BrittleReport] = {}
    for report in reports:
        known = newest.get(report.service)
        if known is None or report.age_ms < known.age_ms:
            newest[report.service] = report
    return tuple(newest.values())


class PlaceDistributor:
    """Places of brittle servers, while this coordinator leads.

    Parameters
    ----------
    clock : Clock
    rng : Random

    Attributes
    ----------
    grants : PlaceGrants or None
        None unless this coordinator leads and a service is brittle.
    term : int or None
        Term in which this coordinator leads.
    learning_deadline : float
        Until when it grants nothing, in seconds on the monotonic clock.
    max_refusals : dict of ServiceName to float
        Of the brittle services.
    """

    def __init__(self, *, clock: Clock, rng: Random):
        self.clock = clock
        self.rng = rng
        self.grants: PlaceGrants | None = None
        self.term: int | None = None
        self.learning_deadline = 0.0
        self.max_refusals: dict[ServiceName, float] = {}

    @property
    def has_waiting(self) -> bool:
        """Whether requests wait for a place."""
        return self.grants is not None and self.grants.n_waiting() > 0

    def update(self, reports: Iterable[BrittleReport], *, term: int | None) -> None:
        """Record which services are brittle, and the term in which this one leads.

        Parameters
        ----------
        reports : iterable of BrittleReport
            The newest on each brittle service.
        term : int or None
            None unless this coordinator leads.
        """
        self.max_refusals = {r.service: r.max_refusals for r in reports}
        now = self.clock.monotonic()
        if term != self.term:
            self.grants = None
            self.term = term
            self.learning_deadline = now + LEARNING_S
        if term is None or not self.max_refusals or now < self.learning_deadline:
            self.grants = None
        elif self.grants is None:
            self.grants = PlaceGrants(term=term, rng=self.rng)
            log_message(
                "coordinator:grants_places",
                term=term,
                services=sorted(self.max_refusals),
            )

    def receive(
        self,
        gateway: InstanceId,
        report: PlaceReport,
        servers: Iterable[RegisteredServer],
    ) -> None:
        """Record the report of a gateway."""
        if self.grants is not None:
            self.grants.record_report(
                gateway,
                report,
                self._brittle_servers(servers),
                now=self.clock.monotonic(),
            )

    def remove_gateway(self, gateway: InstanceId) -> None:
        """Record that the connection to a gateway ended."""
        if self.grants is not None:
            self.grants.remove_gateway(gateway, now=self.clock.monotonic())

    def answers(
        self, servers: Iterable[RegisteredServer], gateways: Iterable[InstanceId]
    ) -> dict[InstanceId, PlaceAnswer]:
        """Return the answers to gateways; see `PlaceGrants.answer`."""
        if self.grants is None:
            return {}
        return self.grants.answer(
            self._brittle_servers(servers),
            gateways=gateways,
            now=self.clock.monotonic(),
        )

    def _brittle_servers(
        self, servers: Iterable[RegisteredServer]
    ) -> Mapping[BackendServerId, BrittleServer]:
        return {
            server.server: BrittleServer(
                server=server.server,
                service=server.service,
                n_slots=server.n_slots,
                max_refusals=self.max_refusals[server.service],
            )
            for server in servers
            if server.service in self.max_refusals and server.is_usable
        }
