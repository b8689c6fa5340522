"""Runs requests: admits, plans, opens, dispatches in stages and settles each."""

from collections.abc import Iterator

from eliot import start_action

from turmericreel.coordination.control_client import ControlClient
from turmericreel.decisions.rollout import (
    newly_suspended,
    offered_versions,
    standings_of,
    without_suspended,
)
from turmericreel.decisions.stop_admission import StopAdmission
from turmericreel.decisions.version_policy import Plan, allowed_versions
from turmericreel.entry.admission import AdmissionGate
from turmericreel.entry.attempts import AttemptRunner
from turmericreel.entry.observation import Observer
from turmericreel.entry.opening import other_addresses
from turmericreel.entry.pieces import Piece
from turmericreel.entry.policies import Policies
from turmericreel.entry.request_run import DEFAULT_TIMEOUTS, RequestRun, RequestTimeouts
from turmericreel.entry.server_client import ServerClient
from turmericreel.entry.service_levels import ServiceLevels
from turmericreel.entry.settlements import Settlements
from turmericreel.entry.stages import StageRunner
from turmericreel.model.failures import FailureError, NotRun, NotRunReason
from turmericreel.model.ids import VersionId
from turmericreel.model.request import Request
from turmericreel.model.servers import BackendServer
from turmericreel.model.text import VersionText
from turmericreel.protocols.evidence_messages import EvidenceDigest
from turmericreel.util.clock import Clock

# Other instances take the request at once.
STOPPING_RETRY_AFTER_MS = 1


class RequestPath:
    """Runs requests at an entry instance.

    Parameters
    ----------
    control : ControlClient
    server_client : ServerClient
    policies : Policies
    settlements : Settlements
    levels : ServiceLevels
    clock : Clock
    timeouts : RequestTimeouts

    Attributes
    ----------
    admission : StopAdmission
        Requests that are taken while the instance is stopping.
    """

    def __init__(
        self,
        *,
        control: ControlClient,
        server_client: ServerClient,
        policies: Policies,
        settlements: Settlements,
        levels: ServiceLevels,
        clock: Clock,
        timeouts: RequestTimeouts = DEFAULT_TIMEOUTS,
    ):
        self.timeouts = timeouts
        self.control = control
        self.policies = policies
        self.settlements = settlements
        self.levels = levels
        self.clock = clock
        self.observer = Observer(
            control=control,
            versions=policies.versions,
            sampler=policies.sampler,
            rater=policies.rater,
            levels=levels,
            clock=clock,
        )
        control.on_evidence(self._apply_evidence)
        self.attempts = AttemptRunner(
            control=control,
            server_client=server_client,
            policies=policies,
            levels=levels,
            observer=self.observer,
            clock=clock,
        )
        self.stages = StageRunner(
            attempts=self.attempts, rater=self.observer, clock=clock
        )
        self.gate = AdmissionGate(control=control, policies=policies, clock=clock)
        self.admission = StopAdmission()
        self.n_running = 0

    def run(self, request: Request) -> Iterator[Piece]:
        """Run a request and yield the pieces of its answer.

        Raises
        ------
        FailureError
            With `NotRun`, `OutcomeUnknown` or `Interrupted`.
        """
        self.n_running += 1
        try:
            with start_action(
                action_type="request",
                request_id=request.request_id,
                account=request.account,
                service=request.service,
            ):
                meter = self.levels.begin(request)
                yield from meter.measure(self._run_admitted(request))
        finally:
            self.n_running -= 1

    def _check_openable(self, request: Request) -> None:
        if not request.repeatable and request.idempotency_key is None:
            raise FailureError(NotRun(reason=NotRunReason.KEY_REQUIRED))
        if self.settlements.full:
            failure = NotRun(
                reason=NotRunReason.CONTROL_UNAVAILABLE,
                retry_after_ms=1_000,
                addresses=other_addresses(self.control),
                detail="too many requests are waiting for settlement",
            )
            raise FailureError(failure)

    def _run_admitted(self, request: Request) -> Iterator[Piece]:
        self.attempts.check_lease()
        self._check_openable(request)
        self._check_stop(request)
        began = self.clock.monotonic()
        with self.gate.admitted(request) as admitted:
            run = RequestRun(
                request=admitted,
                control=self.control,
                settlements=self.settlements,
                stages=self.stages,
                allowed=self.allowed,
                plan=self.plan,
                timeouts=self.timeouts,
                clock=self.clock,
            )
            yield from run.run()
        kind = (request.service, request.kind)
        self.admission.record(kind, self.clock.monotonic() - began)

    def _check_stop(self, request: Request) -> None:
        """Raise `NotRun` if the instance would stop within the request."""
        kind = (request.service, request.kind)
        now = self.clock.monotonic()
        if not self.admission.may_take(kind, deadline=request.deadline, now=now):
            raise FailureError(
                NotRun(
                    reason=NotRunReason.STOPPING,
                    retry_after_ms=STOPPING_RETRY_AFTER_MS,
                    addresses=other_addresses(self.control),
                    detail="the instance stops before the request would end",
                )
            )

    def allowed(self, request: Request) -> dict[VersionId, VersionText]:
        """Return the versions that a request may run on, without suspended ones."""
        allowed = allowed_versions(self.control.view.text, request)
        return without_suspended(request.service, allowed, self.policies.standings)

    def plan(self, request: Request, allowed: dict[VersionId, VersionText]) -> Plan:
        """Return the plan for a request among its allowed versions.

        Raises
        ------
        FailureError
            With `NotRun` when no allowed version has a server.
        """
        candidates = offered_versions(
            request, self._with_servers(request, allowed), self.policies.standings
        )
        if not candidates:
            raise FailureError(
                NotRun(reason=NotRunReason.NO_HEALTHY_SERVER, retry_after_ms=1_000)
            )
        service = self.control.view.text.services[request.service]
        return self.policies.versions.plan(
            request,
            candidates,
            quality_target=service.quality_target,
            now=self.clock.monotonic(),
        )

    def _apply_evidence(self, digest: EvidenceDigest) -> None:
        before = self.policies.standings
        self.policies.standings = standings_of(digest.standings)
        for service, version in newly_suspended(before, self.policies.standings):
            self.levels.record_suspension(service, version)
        for server in digest.bad_servers:
            self.policies.servers.eject_server(server, now=self.clock.monotonic())
        self.observer.record_pooled(digest)

    def _with_servers(
        self, request: Request, allowed: dict[VersionId, VersionText]
    ) -> dict[VersionId, VersionText]:
        served = {v for s in self._servers_of(request) for v in s.versions}
        return {v: text for v, text in allowed.items() if v in served}

    def _servers_of(self, request: Request) -> list[BackendServer]:
        servers = self.control.view.servers.values()
        return [s for s in servers if s.service == request.service]
