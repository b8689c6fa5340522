"""Simulated entry instances that run the real policies over simulated engines."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

from turmericreel.decisions.admission_policy import AdmissionPolicy, AdmitAll
from turmericreel.decisions.retry_budget import RetryBudget
from turmericreel.decisions.retry_policy import RetryPolicy
from turmericreel.decisions.server_policy import AttemptEnd, EndedAttempt, ServerPolicy
from turmericreel.decisions.slot_search import SlotProber, find_server
from turmericreel.experiments.engines import (
    CROSS_DATA_CENTRE_S,
    VERSION,
    Engine,
    EventLoop,
    Job,
)
from turmericreel.model.failures import (
    Failure,
    NotRun,
    NotRunReason,
    OutcomeUnknown,
    ProofKind,
)
from turmericreel.model.ids import BackendServerId, ClientAccountId, DataCentreId
from turmericreel.model.request import Request
from turmericreel.model.servers import BackendServer
from turmericreel.model.text import ClientAccountText

QUEUE_CHECK_S = 0.5
LOCAL_PROBE_S = 0.002


@dataclass(kw_only=True)
class Outcome:
    """Result of one request for its caller; `*_s` are seconds from the arrival."""

    account: ClientAccountId
    arrived_at: float
    first_token_s: float | None = None
    finished_s: float | None = None
    refused: bool = False


@dataclass(kw_only=True)
class Attempts:
    """Counts of first attempts and retries, and the times of the retries."""

    n_first: int = 0
    n_retries: int = 0
    retried_at: list[float] = field(default_factory=list)


@dataclass(kw_only=True)
class Instance:
    """One simulated entry instance: its policies and its waiting requests."""

    servers: ServerPolicy
    admission: AdmissionPolicy
    retries: RetryPolicy
    data_centre: DataCentreId
    waiting: dict = field(default_factory=dict)


class EngineProber(SlotProber):
    """Probes simulated engines, and sums the time that the probes take."""

    def __init__(
        self, *, engines: dict[BackendServerId, Engine], data_centre: DataCentreId
    ):
        self.engines = engines
        self.data_centre = data_centre
        self.probing_s = 0.0

    def has_slot(self, server: BackendServer) -> bool | None:
        """Return whether an engine has a free slot, or None if it is down."""
        is_local = server.data_centre == self.data_centre
        self.probing_s += LOCAL_PROBE_S if is_local else CROSS_DATA_CENTRE_S
        engine = self.engines[server.server]
        if not engine.up:
            return None
        return len(engine.running) < server.capacity


class Fleet:
    """Instances and engines on one event loop.

    Parameters
    ----------
    build_server_policy : callable
        Returns the server policy of an instance in a data centre.
    build_admission_policy : callable
    report_every_s, report_lag_s : float
        Interval of the engines' load reports, and the delay of each report.
    """

    def __init__(
        self,
        *,
        loop: EventLoop,
        engines: dict[BackendServerId, Engine],
        rng: Random,
        build_server_policy: Callable[[Random, DataCentreId], ServerPolicy],
        build_admission_policy: Callable[[], AdmissionPolicy] = AdmitAll,
        n_instances: int = 12,
        report_every_s: float = 1.0,
        report_lag_s: float = 0.5,
        account_text: ClientAccountText | None = None,
    ):
        self.loop = loop
        self.engines = engines
        self.rng = rng
        self.report_every_s = report_every_s
        self.report_lag_s = report_lag_s
        self.account_text = account_text or ClientAccountText(
            key_hashes=[], allowed={}, requests_per_second=1e9
        )
        self.outcomes: list[Outcome] = []
        self.attempts = Attempts()
        centres = sorted({e.server.data_centre for e in engines.values()})
        self.instances = [
            Instance(
                servers=build_server_policy(
                    Random(rng.random()), centres[n % len(centres)]
                ),
                admission=build_admission_policy(),
                retries=RetryBudget(),
                data_centre=centres[n % len(centres)],
            )
            for n in range(n_instances)
        ]
        loop.at(0.0, self._send_load_reports)

    @property
    def known_servers(self) -> list:
        """Servers known to the instances, including those that crashed."""
        return [engine.server for engine in self.engines.values()]

    def arrive(self, request: Request) -> None:
        """Submit a request to a random instance."""
        instance = self.rng.choice(self.instances)
        now = self.loop.now
        outcome = Outcome(account=request.account, arrived_at=now)
        self.outcomes.append(outcome)
        text = self.account_text
        if instance.admission.admit(request, text, now=now) is not None:
            outcome.refused = True
            return
        priority = instance.admission.priority(request, text, now=now)
        request = replace(request, priority=priority)
        n_slots = instance.servers.n_slots(self.known_servers, now=now)
        if instance.admission.begin(request, text, n_slots=n_slots, now=now):
            self._start_request(instance, request, outcome)
            return
        instance.waiting[request.request_id] = (request, outcome)
        self._refuse_dropped(instance)
        self.loop.at(request.deadline, lambda: self._expire_waiting(instance, request))
        self.loop.at(
            now + QUEUE_CHECK_S, lambda: self._start_ready_requests(instance, request)
        )

    def _start_request(
        self, instance: Instance, request: Request, outcome: Outcome
    ) -> None:
        instance.retries.start_request(request)
        self.attempts.n_first += 1
        self._start_attempt(instance, request, outcome, set())

    def _start_attempt(
        self, instance: Instance, request: Request, outcome: Outcome, tried: set
    ) -> None:
        now = self.loop.now
        prober = EngineProber(engines=self.engines, data_centre=instance.data_centre)
        server = find_server(
            instance.servers,
            prober,
            request,
            VERSION,
            self.known_servers,
            excluded=tried,
            now=now,
        )
        if server is None:
            self._end_request(instance, request, outcome, whole=False)
            return
        tried.add(server.server)
        instance.servers.begin(request, server, now=now)
        is_remote = server.data_centre != instance.data_centre
        job = Job(
            request=request,
            on_first_token=lambda: self._record_first_token(outcome),
            on_end=lambda whole: self._attempt_ended(
                instance, request, outcome, tried, server.server, now, whole
            ),
            start_delay_s=prober.probing_s
            + (CROSS_DATA_CENTRE_S if is_remote else 0.0),
        )
        if not self.engines[server.server].submit(job):
            refused = NotRun(
                reason=NotRunReason.NO_HEALTHY_SERVER,
                proof=ProofKind.CONNECTION_REFUSED,
            )
            self._record_attempt(
                instance, server.server, AttemptEnd.UNREACHABLE, None, now
            )
            self._retry(instance, request, outcome, tried, refused)

    def _attempt_ended(
        self, instance, request, outcome, tried, server, began, whole
    ) -> None:
        end = AttemptEnd.COMPLETED if whole else AttemptEnd.BROKEN
        first = outcome.first_token_s
        if first is not None:
            first -= began - outcome.arrived_at
        self._record_attempt(instance, server, end, first, began)
        if whole:
            self._end_request(instance, request, outcome, whole=True)
            return
        failure = OutcomeUnknown(request_id=request.request_id)
        self._retry(instance, request, outcome, tried, failure)

    def _record_attempt(self, instance, server, end, first_token_s, began) -> None:
        ended = EndedAttempt(
            server=server,
            end=end,
            first_token_s=first_token_s,
            duration_s=self.loop.now - began,
        )
        instance.servers.end(ended, now=self.loop.now)

    def _retry(
        self, instance, request: Request, outcome, tried: set, failure: Failure
    ) -> None:
        is_allowed = instance.retries.may_retry(
            request,
            failure,
            n_attempts=len(tried),
            delivered=False,
            now=self.loop.now,
        )
        if not is_allowed:
            self._end_request(instance, request, outcome, whole=False)
            return
        if not isinstance(failure, NotRun):
            self.attempts.n_retries += 1
            self.attempts.retried_at.append(self.loop.now)
        self._start_attempt(instance, request, outcome, tried)

    def _record_first_token(self, outcome: Outcome) -> None:
        if outcome.first_token_s is None:
            outcome.first_token_s = self.loop.now - outcome.arrived_at

    def _end_request(self, instance, request, outcome, *, whole: bool) -> None:
        if whole:
            outcome.finished_s = self.loop.now - outcome.arrived_at
        instance.admission.end(request, now=self.loop.now)
        self._start_ready_requests(instance, request)

    def _start_ready_requests(self, instance: Instance, request: Request) -> None:
        now = self.loop.now
        n_slots = instance.servers.n_slots(self.known_servers, now=now)
        ready = instance.admission.next_ready(request.service, n_slots=n_slots, now=now)
        for request_id in ready:
            next_request, outcome = instance.waiting.pop(request_id)
            self._start_request(instance, next_request, outcome)
        self._refuse_dropped(instance)

    def _refuse_dropped(self, instance: Instance) -> None:
        for request_id in instance.admission.collect_dropped():
            _, outcome = instance.waiting.pop(request_id)
            outcome.refused = True

    def _expire_waiting(self, instance: Instance, request: Request) -> None:
        waiting = instance.waiting.pop(request.request_id, None)
        if waiting is not None:
            waiting[1].refused = True
            instance.admission.withdraw(request, now=self.loop.now)

    def _send_load_reports(self) -> None:
        for engine in self.engines.values():
            if engine.up:
                report = engine.report()
                self.loop.at(
                    self.loop.now + self.report_lag_s,
                    lambda report=report: self._receive_report(report),
                )
        self.loop.at(self.loop.now + self.report_every_s, self._send_load_reports)

    def _receive_report(self, report) -> None:
        for instance in self.instances:
            instance.servers.record_report(report, now=self.loop.now)
