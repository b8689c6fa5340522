"""Begins tries at servers, and counts and logs all that is to be known of them."""

from math import inf

from eliot import log_message

from turmericreel.decisions.model_choice import ModelChoice, Pressure
from turmericreel.entry.server_connections import ServerConnections
from turmericreel.gateway.attempts import (
    SERVER_FAULT,
    Attempt,
    Progress,
    was_refused,
)
from turmericreel.gateway.client_request import ClientRequest
from turmericreel.gateway.evidence import EvidenceCounter
from turmericreel.gateway.header_names import HeaderNames
from turmericreel.gateway.metrics import AttemptOutcome, GatewayMetrics
from turmericreel.gateway.server_chooser import ServerChooser
from turmericreel.gateway.server_exchange import ForwardedAnswer, ServerExchange
from turmericreel.gateway.usage_counter import UsageCounter
from turmericreel.model.failures import Failure, FailureError, NotRun
from turmericreel.model.ids import ClientAccountId
from turmericreel.model.registered_server import RegisteredServer
from turmericreel.model.routing import ModelName
from turmericreel.model.usage import UsageAmounts, UsageKey
from turmericreel.util.clock import Clock

# A server of which nothing is heard for as long as an answer should take at most is
# lost, unless the answer is due sooner than a retransmission takes.
LEAST_SILENCE_S = 0.4
# Targets that a server may take to begin an answer, more under pressure; one that takes
# longer holds the request without running it.
PATIENCE_FACTOR = 2.0


class AttemptStarter:
    """Sends a request to a server and waits for the answer to begin.

    Parameters
    ----------
    chooser : ServerChooser
    names : HeaderNames
    model_choice : ModelChoice
    evidence : EvidenceCounter
    metrics : GatewayMetrics
    usage : UsageCounter
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
        clock: Clock,
    ):
        self.chooser = chooser
        self.names = names
        self.model_choice = model_choice
        self.evidence = evidence
        self.metrics = metrics
        self.usage = usage
        self.clock = clock
        self.loads = chooser.loads
        self.connections = ServerConnections(clock=clock)
        self.pressure = Pressure()

    def begin(
        self,
        request: ClientRequest,
        server: RegisteredServer,
        progress: Progress,
        *,
        last_event_id: str | None = None,
    ) -> tuple[Attempt, ForwardedAnswer]:
        """Return the try and its answer, whose header was read.

        Raises
        ------
        FailureError
            With `NotRun` or `OutcomeUnknown`.
        """
        now = self.clock.monotonic()
        exchange = ServerExchange(
            request=request,
            server=server,
            load=self.loads.of(server.server),
            idle_timeout_s=_silence_s(request),
            header_deadline=now + self._patience_s(request, now),
            connections=self.connections,
            names=self.names,
            clock=self.clock,
            deadline=request.deadline,
        )
        count = self.evidence.begin(server, request.route.name, now=now)
        attempt = Attempt(exchange=exchange, count=count, loads=self.loads)
        progress.tried.add(server.server)
        self.chooser.record_session(request, server, now)
        self._log_sent(request, server, progress, now)
        prompt = self.chooser.prompt_of(request, server.service)
        self.chooser.work.add(server.server, prompt.full_prefill_ms)
        try:
            passed = exchange.begin(last_event_id=last_event_id)
        except FailureError as error:
            progress.count_failure(error.failure)
            self.metrics.record_attempt_end(_attempt_outcome(error.failure))
            if not isinstance(error.failure, NotRun):
                self._count_run(request, server)
            if not (was_refused(error.failure) or exchange.used_stale_connection):
                self.loads.record_failure(server.server, now=self.clock.monotonic())
            attempt.end(failed=not isinstance(error.failure, NotRun))
            raise
        except BaseException:
            # The client has left.
            attempt.end(failed=False)
            raise
        finally:
            self.chooser.work.remove(server.server, prompt.full_prefill_ms)
        self._answered(request, server, progress, attempt, passed)
        return attempt, passed

    def _answered(
        self,
        request: ClientRequest,
        server: RegisteredServer,
        progress: Progress,
        attempt: Attempt,
        passed: ForwardedAnswer,
    ) -> None:
        progress.n_sent += 1
        progress.may_have_run = True
        self._count_run(request, server)
        now = self.clock.monotonic()
        self._take_load(server, passed, now)
        if passed.status >= SERVER_FAULT:
            self.metrics.record_attempt_end(AttemptOutcome.FAILED)
            return
        self.metrics.record_attempt_end(AttemptOutcome.ANSWERED)
        attempt.count.answered(now=now)
        self.chooser.speed.record(
            server.service,
            request.model or ModelName(""),
            n_tokens=request.n_prompt_tokens,
            took_ms=(now - attempt.count.began) * 1_000,
        )

    def larger_model(
        self, request: ClientRequest, passed: ForwardedAnswer, progress: Progress
    ) -> ModelName | None:
        """Return the model to ask instead, or None to keep the answer."""
        if request.model is None:
            return None
        route = request.route
        written = passed.header(self.names.confidence)
        target_s = route.latency_target_ms / 1_000
        due = request.arrived + target_s
        now = self.clock.monotonic()
        if progress.n_sent == 1 and target_s:
            self.pressure.record((now - request.arrived) / target_s, now=now)
        return self.model_choice.larger(
            route.model_sizes,
            request.model,
            confidence=int(written) if written.isdigit() else None,
            time_left=(due - now) / target_s if target_s else 0.0,
            pressure=self.pressure.level(now=now),
        )

    def count_events(
        self, request: ClientRequest, server: RegisteredServer, n_events: int
    ) -> None:
        """Count events that are passed on."""
        amounts = UsageAmounts(n_events=n_events)
        self.usage.add(_usage_key(request, server), amounts)

    def count_answer(self, request: ClientRequest, server: RegisteredServer) -> None:
        """Count an answer that was passed on to its end."""
        self.usage.add(_usage_key(request, server), UsageAmounts(n_answers=1))

    def _count_run(self, request: ClientRequest, server: RegisteredServer) -> None:
        amounts = UsageAmounts(n_runs=1, n_prompt_tokens=request.n_prompt_tokens)
        self.usage.add(_usage_key(request, server), amounts)

    def _patience_s(self, request: ClientRequest, now: float) -> float:
        """Return how long one server may take to begin its answer."""
        if not request.route.is_idempotent:
            return inf
        target_s = max(request.route.latency_target_ms / 1_000, LEAST_SILENCE_S)
        return target_s * PATIENCE_FACTOR * (1 + self.pressure.level(now=now))

    def _log_sent(
        self,
        request: ClientRequest,
        server: RegisteredServer,
        progress: Progress,
        now: float,
    ) -> None:
        load = self.loads.of(server.server)
        rollout = self.chooser.view.rollouts.get(server.service)
        log_message(
            "gateway:sent",
            request=request.attempt_id,
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

    def _take_load(
        self, server: RegisteredServer, passed: ForwardedAnswer, now: float
    ) -> None:
        parts = passed.header(self.names.load).split(",")
        if len(parts) >= 2 and all(p.strip().isdigit() for p in parts):
            self.loads.record_report(
                server.server,
                n_running=int(parts[0]),
                n_waiting=int(parts[1]),
                now=now,
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


def _silence_s(request: ClientRequest) -> float | None:
    if not request.route.is_idempotent:
        return None
    return max(request.route.latency_target_ms / 1_000, LEAST_SILENCE_S)
