"""Entry instances with the real policies before simulated engines."""

from collections.abc import Callable
from dataclasses import dataclass, field, replace
from random import Random

from turmericreel.decisions.admission_policy import AdmissionPolicy, AdmitAll
from turmericreel.decisions.retry_budget import RetryBudget
from turmericreel.decisions.retry_policy import RetryPolicy
from turmericreel.decisions.server_policy import AttemptEnd, EndedAttempt, ServerPolicy
from turmericreel.decisions.slot_search import SlotProber, find_server
from turmericreel.experiments.engines import (
    CROSSING_S,
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

TURN_CHECK_S = 0.5
PROBE_S = 0.002


@dataclass(kw_only=True)
class Outcome:
    """What one caller saw; times in seconds from the arrival."""

    account: ClientAccountId
    arrived_at: float
    first_token_s: float | None = None
    finished_s: float | None = None
    refused: bool = False


@dataclass(kw_only=True)
class Attempts:
    """How often requests were sent to engines."""

    n_first: int = 0
    n_again: int = 0
    again_at: list[float] = field(default_factory=list)


@dataclass(kw_only=True)
class Instance:
    """One entry instance."""

    servers: ServerPolicy
    admission: AdmissionPolicy
    retries: RetryPolicy
    data_centre: DataCentreId
    waiting: dict = field(default_factory=dict)


class EngineProber(SlotProber):
    """Asks simulated engines, and adds up the time that it takes."""

    def __init__(
        self, *, engines: dict[BackendServerId, Engine], data_centre: DataCentreId
    ):
        self.engines = engines
        self.data_centre = data_centre
        self.spent_s = 0.0

    def has_slot(self, server: BackendServer) -> bool | None:
        """Tell whether an engine has a free slot now."""
        near = server.data_centre == self.data_centre
        self.spent_s += PROBE_S if near else CROSSING_S
        engine = self.engines[server.server]
        if not engine.up:
            return None
        return len(engine.running) < server.capacity


class Fleet:
    """Instances and engines on one event loop.

    Parameters
    ----------
    build_servers : callable
        Returns the server policy of an instance in a data centre.
    build_admission : callable
    report_every_s, report_lag_s : float
        How often engines report their load, and how late the reports arrive.
    """

    def __init__(
        self,
        *,
        loop: EventLoop,
        engines: dict[BackendServerId, Engine],
        rng: Random,
        build_servers: Callable[[Random, DataCentreId], ServerPolicy],
        build_admission: Callable[[], AdmissionPolicy] = AdmitAll,
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
                servers=build_servers(Random(rng.random()), centres[n % len(centres)]),
                admission=build_admission(),
                retries=RetryBudget(),
                data_centre=centres[n % len(centres)],
            )
            for n in range(n_instances)
        ]
        loop.at(0.0, self._report)

    @property
    def present(self) -> list:
        """Servers as the instances' view has them."""
        return [engine.server for engine in self.engines.values()]

    def arrive(self, request: Request) -> None:
        """One request arrives at some instance."""
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
        n_slots = instance.servers.n_slots(self.present, now=now)
        if instance.admission.begin(request, text, n_slots=n_slots, now=now):
            self._begin(instance, request, outcome)
            return
        instance.waiting[request.request_id] = (request, outcome)
        self._drop(instance)
        self.loop.at(request.deadline, lambda: self._expire(instance, request))
        self.loop.at(now + TURN_CHECK_S, lambda: self._call_next(instance, request))

    def _begin(self, instance: Instance, request: Request, outcome: Outcome) -> None:
        instance.retries.start_request(request)
        self.attempts.n_first += 1
        self._attempt(instance, request, outcome, set())

    def _attempt(
        self, instance: Instance, request: Request, outcome: Outcome, tried: set
    ) -> None:
        now = self.loop.now
        prober = EngineProber(engines=self.engines, data_centre=instance.data_centre)
        server = find_server(
            instance.servers,
            prober,
            request,
            VERSION,
            self.present,
            excluded=tried,
            now=now,
        )
        if server is None:
            self._end(instance, request, outcome, whole=False)
            return
        tried.add(server.server)
        instance.servers.begin(request, server, now=now)
        crossing = server.data_centre != instance.data_centre
        job = Job(
            request=request,
            on_first_token=lambda: self._first_token(outcome),
            on_end=lambda whole: self._attempt_ended(
                instance, request, outcome, tried, server.server, now, whole
            ),
            extra_s=prober.spent_s + (CROSSING_S if crossing else 0.0),
        )
        if not self.engines[server.server].submit(job):
            refused = NotRun(
                reason=NotRunReason.NO_HEALTHY_SERVER,
                proof=ProofKind.CONNECTION_REFUSED,
            )
            self._learn(instance, server.server, AttemptEnd.UNREACHABLE, None, now)
            self._again(instance, request, outcome, tried, refused)

    def _attempt_ended(
        self, instance, request, outcome, tried, server, began, whole
    ) -> None:
        end = AttemptEnd.COMPLETED if whole else AttemptEnd.BROKEN
        first = outcome.first_token_s
        if first is not None:
            first -= began - outcome.arrived_at
        self._learn(instance, server, end, first, began)
        if whole:
            self._end(instance, request, outcome, whole=True)
            return
        failure = OutcomeUnknown(request_id=request.request_id)
        self._again(instance, request, outcome, tried, failure)

    def _learn(self, instance, server, end, first_token_s, began) -> None:
        ended = EndedAttempt(
            server=server,
            end=end,
            first_token_s=first_token_s,
            duration_s=self.loop.now - began,
        )
        instance.servers.end(ended, now=self.loop.now)

    def _again(
        self, instance, request: Request, outcome, tried: set, failure: Failure
    ) -> None:
        may = instance.retries.may_retry(
            request,
            failure,
            n_attempts=len(tried),
            delivered=False,
            now=self.loop.now,
        )
        if not may:
            self._end(instance, request, outcome, whole=False)
            return
        if not isinstance(failure, NotRun):
            self.attempts.n_again += 1
            self.attempts.again_at.append(self.loop.now)
        self._attempt(instance, request, outcome, tried)

    def _first_token(self, outcome: Outcome) -> None:
        if outcome.first_token_s is None:
            outcome.first_token_s = self.loop.now - outcome.arrived_at

    def _end(self, instance, request, outcome, *, whole: bool) -> None:
        if whole:
            outcome.finished_s = self.loop.now - outcome.arrived_at
        instance.admission.end(request, now=self.loop.now)
        self._call_next(instance, request)

    def _call_next(self, instance: Instance, request: Request) -> None:
        now = self.loop.now
        n_slots = instance.servers.n_slots(self.present, now=now)
        ready = instance.admission.next_ready(request.service, n_slots=n_slots, now=now)
        for request_id in ready:
            turn, outcome = instance.waiting.pop(request_id)
            self._begin(instance, turn, outcome)
        self._drop(instance)

    def _drop(self, instance: Instance) -> None:
        for request_id in instance.admission.collect_dropped():
            _, outcome = instance.waiting.pop(request_id)
            outcome.refused = True

    def _expire(self, instance: Instance, request: Request) -> None:
        waiting = instance.waiting.pop(request.request_id, None)
        if waiting is not None:
            waiting[1].refused = True
            instance.admission.withdraw(request, now=self.loop.now)

    def _report(self) -> None:
        for engine in self.engines.values():
            if engine.up:
                report = engine.report()
                self.loop.at(
                    self.loop.now + self.report_lag_s,
                    lambda report=report: self._hear(report),
                )
        self.loop.at(self.loop.now + self.report_every_s, self._report)

    def _hear(self, report) -> None:
        for instance in self.instances:
            instance.servers.record_report(report, now=self.loop.now)
