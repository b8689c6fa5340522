"""Runs the version health test on the pooled evidence and proposes its results."""

from turmericreel.control.evidence import SLICE_S, EvidencePool, HealthJudge
from turmericreel.decisions.change_detector import ScoreSums
from turmericreel.decisions.rollout import standings_of
from turmericreel.decisions.version_health import (
    Evidence,
    VersionHealthTest,
    VersionKey,
)
from turmericreel.model.check_text import parse_text
from turmericreel.model.ids import (
    BackendServerId,
    Revision,
    ServiceName,
    VersionId,
)
from turmericreel.model.text import OperatorsText, VersionState
from turmericreel.protocols.evidence_messages import EvidenceItem
from turmericreel.state.commands.health import SetVersionHealth
from turmericreel.state.commands.union import Command
from turmericreel.state.machine import StateMachine

BAD_SERVER_WINDOW_S = 30.0


class VersionJudge(HealthJudge):
    """Suspends unhealthy versions and restores them step by step."""

    def __init__(self):
        self.test = VersionHealthTest()
        self.judged_until = 0.0
        self.parsed = (Revision(0), OperatorsText())

    def judge(
        self, pool: EvidencePool, machine: StateMachine, *, now: float
    ) -> list[Command]:
        """Return commands for the versions whose standing changes."""
        text = self._text(machine)
        priors: dict[VersionKey, float] = {}
        in_service: dict[ServiceName, set[VersionId]] = {}
        for name, service in text.services.items():
            for version, version_text in service.versions.items():
                priors[(name, version)] = version_text.prior_quality
                if version_text.state is not VersionState.WITHDRAWN:
                    in_service.setdefault(name, set()).add(version)
        self.test.observe(self._new_evidence(pool, now), priors)
        judgements = self.test.judge(
            standings_of(machine.health.standings()), in_service, now=now
        )
        return [
            SetVersionHealth(standing=j.standing, reason=j.reason) for j in judgements
        ]

    def bad_servers(self, *, now: float) -> tuple[BackendServerId, ...]:
        """Return the servers blamed within the last `BAD_SERVER_WINDOW_S` seconds."""
        noticed = self.test.bad_servers.items()
        return tuple(
            server
            for server, noticed_at in noticed
            if noticed_at + BAD_SERVER_WINDOW_S > now
        )

    def _text(self, machine: StateMachine) -> OperatorsText:
        revision = machine.configuration.revision
        if self.parsed[0] != revision:
            self.parsed = (revision, parse_text(machine.configuration.text))
        return self.parsed[1]

    def _new_evidence(self, pool: EvidencePool, now: float) -> list[Evidence]:
        """Return the evidence of the slices completed since the last call."""
        evidence = []
        for began, slice_sum in pool.slices:
            # A slice receives reports until `SLICE_S` seconds after its start.
            if began <= self.judged_until or began + SLICE_S > now:
                continue
            self.judged_until = began
            evidence.extend(_evidence_of(item) for item in slice_sum.items.values())
        return evidence


def _evidence_of(item: EvidenceItem) -> Evidence:
    return Evidence(
        service=item.service,
        version=item.version,
        server=item.server,
        kind=item.kind,
        sums=ScoreSums(
            n_answers=item.n_answers,
            n_failed=item.n_failed,
            n_rated=item.n_rated,
            score_sum=item.score_sum,
            square_sum=item.score_square_sum,
        ),
    )
