"""Starts attempts at servers, and records them in logs, metrics and counters."""

from math import inf

from eliot import log_message

from turmericreel.decisions.model_choice import ModelChoice, Pressure
from turmericreel.decisions.server_availability import parse_pause_s
from turmericreel.gateway.attempts import (
    MIN_SERVER_ERROR_STATUS,
    Attempt,
    AttemptEnd,
    RequestProgress,
    is_unreached,
    was_refused,
)
from turmericreel.gateway.client_request import ClientRequest
from turmericreel.gateway.crash_guard import CrashGuard
from turmericreel.gateway.evidence import EvidenceCounter
from turmericreel.gateway.header_names import HeaderNames
from turmericreel.gateway.metrics import AttemptOutcome, GatewayMetrics
from turmericreel.gateway.path_connections import PathConnections
from turmericreel.gateway.server_chooser import ServerChooser
from turmericreel.gateway.server_exchange import ForwardedAnswer, ServerExchange
from turmericreel.gateway.usage_counter import UsageCounter
from turmericreel.model.failures import Failure, FailureError, NotRun
from turmericreel.model.ids import ClientAccountId
from turmericreel.model.registered_server import RegisteredServer
from turmericreel.model.routing import ModelName
from turmericreel.model.server_crash import process_of
from turmericreel.model.usage import UsageAmounts, UsageKey
from turmericreel.util.clock import Clock
from turmericreel.util.numbers import parse_count

# A server that sends nothing for the route's latency target counts as lost. A shorter
# timeout than this would expire before a lost packet is retransmitted.
MIN_IDLE_TIMEOUT_S = 0.4
# Multiple of the latency target that a server may take to begin an answer, extended
# under pressure. A server that takes longer holds the request without running it.
HEADER_TIMEOUT_FACTOR = 2.0
# Time in which a server that sent a byte counts as heard from in the log.
HEARD_S = 1.0
UNAVAILABLE_STATUS = 503
MISDIRECTED_STATUS = 421
LEAVING = "1"
MAX_LOGGED_HEADER = 64


class AttemptStarter:
    """Sends requests to servers and waits for their answers to begin.

    Parameters
    ----------
    chooser : ServerChooser
    names : HeaderNames
    model_choice : ModelChoice
    evidence : EvidenceCounter
    metrics : GatewayMetrics
    usage : UsageCounter
    guard : CrashGuard
    connections : PathConnections
    clock : Clock
    """

    def __init__(
        self,
        *,
        chooser: ServerChooser,
        names: HeaderNames,
        model_choice: ModelChoice,
        evidence: EvidenceCounter,
        metrics: GatewayMetrics,
        usage: UsageCounter,
        guard: CrashGuard,
        connections: PathConnections,
        clock: Clock,
    ):
        self.chooser = chooser
        self.names = names
        self.model_choice = model_choice
        self.evidence = evidence
        self.metrics = metrics
        self.usage = usage
        self.guard = guard
        self.clock = clock
        self.loads = chooser.loads
        self.connections = connections
        self.pressure = Pressure()

    def begin(
        self,
        request: ClientRequest,
        server: RegisteredServer,
        progress: RequestProgress,
        *,
        last_event_id: str | None = None,
    ) -> tuple[Attempt, ForwardedAnswer]:
        """Send an attempt; return it with its answer, whose header has been read.

        Raises
        ------
        FailureError
            With `NotRun` or `OutcomeUnknown`.
        """
        try:
            self.guard.begin_attempt(request.content, request.part_digests)
        except FailureError:
            self.chooser.brittle.give_back(server)
            raise
        now = self.clock.monotonic()
        self.chooser.rates.take(server)
        self.chooser.brittle.begin(server)
        exchange = ServerExchange(
            request=request,
            server=server,
            load=self.loads.of(server.server),
            idle_timeout_s=_idle_timeout_s(request),
            header_deadline=now + self._header_timeout_s(request, now),
            connections=self.connections,
            names=self.names,
            clock=self.clock,
            deadline=request.deadline,
        )
        counter = self.evidence.begin(
            server,
            request.route.name,
            now=now,
            after_failure=progress.has_failed,
            load=self.loads.of(server.server).last_known,
        )
        attempt = Attempt(
            exchange=exchange,
            counter=counter,
            loads=self.loads,
            guard=self.guard,
            brittle=self.chooser.brittle,
            has_ended=self.chooser.view.has_ended,
        )
        progress.tried.add(server.server)
        self.chooser.record_session(request, server, now)
        self._log_sent(request, server, progress, now)
        prompt = self.chooser.prompt_of(request, server.service)
        self.chooser.work.add(server.server, prompt.full_prefill_ms)
        try:
            server_answer = exchange.begin(
                last_event_id=last_event_id, on_header=self._record_availability
            )
        except FailureError as error:
            progress.count_failure(error.failure)
            self.metrics.record_attempt_end(_attempt_outcome(error.failure))
            if not isinstance(error.failure, NotRun):
                self._count_run(request, server)
            if is_unreached(error.failure):
                self.chooser.rates.give_back(server)
                self._log_unreached(request, server, error.failure)
            if not (was_refused(error.failure) or exchange.used_stale_connection):
                self.loads.record_failure(server.server, now=self.clock.monotonic())
            not_run = isinstance(error.failure, NotRun)
            attempt.was_refused = was_refused(error.failure)
            attempt.end(AttemptEnd.NOT_RUN if not_run else AttemptEnd.BROKEN)
            raise
        except BaseException:
            # The client disconnected.
            attempt.end(AttemptEnd.CANCELLED)
            raise
        finally:
            self.chooser.work.remove(server.server, prompt.full_prefill_ms)
        self.guard.record_later_answer(
            server, opened_at=server_answer.connection.opened_at
        )
        self._record_answer(request, server, progress, attempt, server_answer)
        return attempt, server_answer

    def _record_availability(
        self, server: RegisteredServer, answer: ForwardedAnswer
    ) -> None:
        """Record what a server says of itself: its limits, a pause, that it leaves."""
        process = process_of(server)
        if answer.status != MISDIRECTED_STATUS:
            # Otherwise another server answered at this address.
            limit = answer.header(self.names.rate_limit)
            self.chooser.rates.record_answer(server, limit)
            self.chooser.rates.cold.record_answer(
                server, answer.header(self.names.cold_ms)
            )
            self.chooser.brittle.record_header(
                server, answer.header(self.names.brittle)
            )
        if answer.header(self.names.leaving) == LEAVING:
            self.chooser.record_leaving([process])
        retry_after = answer.header("Retry-After")
        if answer.status != UNAVAILABLE_STATUS or not retry_after:
            return
        pause_s = parse_pause_s(retry_after)
        log_message(
            "gateway:pause_requested",
            server=server.server,
            incarnation=server.incarnation,
            retry_after=retry_after[:MAX_LOGGED_HEADER],
            pause_s=pause_s,
        )
        if pause_s is not None:
            self.chooser.availability.record_pause(
                process, pause_s=pause_s, now=self.clock.monotonic()
            )

    def _record_answer(
        self,
        request: ClientRequest,
        server: RegisteredServer,
        progress: RequestProgress,
        attempt: Attempt,
        server_answer: ForwardedAnswer,
    ) -> None:
        progress.n_sent += 1
        progress.may_have_run = True
        self._count_run(request, server)
        now = self.clock.monotonic()
        self._record_load_report(server, server_answer, now)
        attempt.counter.update_load()
        if server_answer.status >= MIN_SERVER_ERROR_STATUS:
            self.metrics.record_attempt_end(AttemptOutcome.FAILED)
            return
        self.metrics.record_attempt_end(AttemptOutcome.ANSWERED)
        self.chooser.speed.record(
            server.service,
            request.model or ModelName(""),
            n_tokens=request.n_prompt_tokens,
            took_ms=(now - attempt.counter.began) * 1_000,
        )

    def choose_larger_model(
        self,
        request: ClientRequest,
        server_answer: ForwardedAnswer,
        progress: RequestProgress,
    ) -> ModelName | None:
        """Return the larger model to run instead, or None to keep the answer."""
        if request.model is None:
            return None
        route = request.route
        target_s = route.latency_target_ms / 1_000
        due = request.arrived + target_s
        now = self.clock.monotonic()
        if progress.n_sent == 1 and target_s:
            self.pressure.record((now - request.arrived) / target_s, now=now)
        return self.model_choice.larger(
            route.model_sizes,
            request.model,
            confidence=parse_count(server_answer.header(self.names.confidence)),
            time_left=(due - now) / target_s if target_s else 0.0,
            pressure=self.pressure.level(now=now),
        )

    def count_events(
        self, request: ClientRequest, server: RegisteredServer, n_events: int
    ) -> None:
        """Count events that are forwarded to the client as usage."""
        amounts = UsageAmounts(n_events=n_events)
        self.usage.add(_usage_key(request, server), amounts)

    def count_answer(self, request: ClientRequest, server: RegisteredServer) -> None:
        """Count a completely read answer as usage."""
        self.usage.add(_usage_key(request, server), UsageAmounts(n_answers=1))

    def _count_run(self, request: ClientRequest, server: RegisteredServer) -> None:
        amounts = UsageAmounts(n_runs=1, n_prompt_tokens=request.n_prompt_tokens)
        self.usage.add(_usage_key(request, server), amounts)

    def _header_timeout_s(self, request: ClientRequest, now: float) -> float:
        """Return how long a server may take to begin its answer, in seconds.

        It is infinite for requests that must not run twice.
        """
        if not request.route.is_idempotent:
            return inf
        target_s = max(request.route.latency_target_ms / 1_000, MIN_IDLE_TIMEOUT_S)
        return target_s * HEADER_TIMEOUT_FACTOR * (1 + self.pressure.level(now=now))

    def _log_sent(
        self,
        request: ClientRequest,
        server: RegisteredServer,
        progress: RequestProgress,
        now: float,
    ) -> None:
        load = self.loads.of(server.server)
        rollout = self.chooser.view.rollouts.get(server.service)
        log_message(
            "gateway:sent",
            request=request.attempt_id,
            content=request.content,
            route=request.route.name,
            server=server.server,
            service=server.service,
            version=server.version,
            model=request.model or "",
            n_sent_before=progress.n_sent,
            load=load.estimate(now=now),
            load_is_reported=now < load.report_deadline,
            rollout=rollout.stage.value if rollout is not None else "",
            left_ms=int((request.deadline - now) * 1_000),
        )

    def _log_unreached(
        self, request: ClientRequest, server: RegisteredServer, failure: Failure
    ) -> None:
        """Log what is known of the path to a server that no byte reached."""
        now = self.clock.monotonic()
        log_message(
            "gateway:server_unreached",
            request=request.attempt_id,
            server=server.server,
            address=server.address,
            reason=failure.detail,
            silent_ms=self.loads.silent_ms(server.server, now=now),
            n_heard=self.loads.n_heard(since=now - HEARD_S),
        )

    def _record_load_report(
        self, server: RegisteredServer, server_answer: ForwardedAnswer, now: float
    ) -> None:
        counts = [
            parse_count(part)
            for part in server_answer.header(self.names.load).split(",")
        ]
        if len(counts) >= 2 and None not in counts:
            self.loads.record_report(
                server.server, n_running=counts[0], n_waiting=counts[1], now=now
            )


def _usage_key(request: ClientRequest, server: RegisteredServer) -> UsageKey:
    return UsageKey(
        account=request.account or ClientAccountId(""),
        service=server.service,
        version=server.version,
        model=request.model or ModelName(""),
    )


def _attempt_outcome(failure: Failure) -> AttemptOutcome:
    if not isinstance(failure, NotRun):
        return AttemptOutcome.BROKEN
    if was_refused(failure):
        return AttemptOutcome.REFUSED
    return AttemptOutcome.UNREACHED


def _idle_timeout_s(request: ClientRequest) -> float | None:
    if not request.route.is_idempotent:
        return None
    return max(request.route.latency_target_ms / 1_000, MIN_IDLE_TIMEOUT_S)
