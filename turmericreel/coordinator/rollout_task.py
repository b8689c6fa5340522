"""Task that moves roll-outs through their stages, on the leader only."""

from eliot import log_message
from gevent import Greenlet, sleep, spawn

from turmericreel.coordination.replicated_log import ReplicatedLog
from turmericreel.coordinator.hub import Hub
from turmericreel.decisions.exposure_limit import ExposureLimit
from turmericreel.decisions.rollout_judge import (
    describe_evidence,
    describe_loads,
    judge_rollout,
)
from turmericreel.decisions.rollout_span import RolloutSpans
from turmericreel.decisions.rollout_traffic import RolloutTraffic
from turmericreel.decisions.version_split import choose_canary_share
from turmericreel.model.failures import FailureError
from turmericreel.model.ids import ServiceName
from turmericreel.model.routing import Rollout, RolloutStage, RolloutState
from turmericreel.model.version_evidence import VersionEvidence
from turmericreel.state.commands.union import LogRecord
from turmericreel.state.routing_machine import MoveRollout, OrderRollout
from turmericreel.util.clock import Clock

JUDGE_INTERVAL_S = 0.2
PROPOSE_TIMEOUT_S = 0.9
EVIDENCE_LOG_INTERVAL_S = 1.0


class RolloutTask:
    """Evaluates roll-outs and proposes their next stages.

    Parameters
    ----------
    log : ReplicatedLog
    hub : Hub
    limit : ExposureLimit
    clock : Clock
    """

    def __init__(
        self, *, log: ReplicatedLog, hub: Hub, limit: ExposureLimit, clock: Clock
    ):
        self.log = log
        self.hub = hub
        self.limit = limit
        self.clock = clock
        self.traffic: dict[tuple[ServiceName, int], RolloutTraffic] = {}
        self.spans = RolloutSpans()
        self.next_evidence_log = 0.0
        self.task: Greenlet | None = None

    def start(self) -> None:
        """Start evaluating roll-outs."""
        self.task = spawn(self._run)

    def stop(self) -> None:
        """Stop evaluating roll-outs."""
        if self.task is not None:
            self.task.kill()

    def record_applied(self, record: LogRecord) -> None:
        """Record the time of an applied record, and the start of a roll-out."""
        now = self.clock.monotonic()
        self.spans.record_time(record.time_ms, now=now)
        if isinstance(record.command, OrderRollout):
            rollout = self.hub.machine.rollouts[record.command.service]
            self.spans.record_order(rollout, now=now)

    def _run(self) -> None:
        while True:
            sleep(JUDGE_INTERVAL_S)
            if not self.log.is_leader():
                continue
            for rollout in list(self.hub.machine.rollouts.values()):
                if rollout.stage.state is RolloutState.IN_PROGRESS:
                    self._judge(rollout)

    def _judge(self, rollout: Rollout) -> None:
        span = self.spans.span_of(rollout, now=self.clock.monotonic())
        evidence = self.hub.evidence()
        traffic = self._measure_traffic(rollout)
        rate = traffic.measure_rate(now=self.clock.monotonic())
        stage = judge_rollout(
            rollout,
            evidence,
            began=span.began,
            deadline=span.deadline,
            now=self.clock.monotonic(),
            seen_by_all=self._seen_by_all(rollout),
            limit=self.limit,
            n_exposed=traffic.total_exposed(),
            rate=rate,
        )
        if stage is None:
            self._log_evidence(rollout, evidence)
            return
        log_message(
            "coordinator:rollout_judged",
            service=rollout.service,
            target=rollout.target,
            stage=stage.value,
            n_exposed=traffic.total_exposed(),
            rate=rate.recent if rate is not None else None,
            evidence=describe_evidence(rollout, evidence),
        )
        share = None
        if stage is RolloutStage.CANARY:
            share = choose_canary_share(rate, duration_s=span.deadline - span.began)
        self._move(rollout, stage, canary_share=share)

    def _log_evidence(self, rollout: Rollout, evidence: list[VersionEvidence]) -> None:
        now = self.clock.monotonic()
        if now < self.next_evidence_log:
            return
        self.next_evidence_log = now + EVIDENCE_LOG_INTERVAL_S
        log_message(
            "coordinator:rollout_evidence",
            service=rollout.service,
            target=rollout.target,
            stage=rollout.stage.value,
            evidence=describe_evidence(rollout, evidence),
            loads=describe_loads(rollout, evidence),
        )

    def _measure_traffic(self, rollout: Rollout) -> RolloutTraffic:
        key = (rollout.service, rollout.number)
        traffic = self.traffic.get(key)
        if traffic is None:
            traffic = RolloutTraffic(now=self.clock.monotonic())
            self.traffic[key] = traffic
        for entry in self.hub.gateways.values():
            counted = [e for e in entry.status.evidence if e.service == rollout.service]
            if counted:
                gateway = entry.status.gateway
                traffic.record_counts(
                    (gateway.instance, gateway.incarnation),
                    n_attempts=sum(e.n_attempts for e in counted),
                    n_exposed=sum(
                        e.n_attempts for e in counted if e.version == rollout.target
                    ),
                )
        return traffic

    def _move(
        self, rollout: Rollout, stage: RolloutStage, *, canary_share: float | None
    ) -> None:
        bound = self.hub.sessions() if stage is RolloutStage.CANARY else ()
        command = MoveRollout(
            service=rollout.service,
            number=rollout.number,
            stage=stage,
            bound_sessions=bound,
            canary_share=canary_share,
        )
        try:
            self.log.propose(command, timeout=PROPOSE_TIMEOUT_S)
        except FailureError as error:
            log_message(
                "coordinator:rollout_not_moved", failure=error.failure.describe()
            )

    def _seen_by_all(self, rollout: Rollout) -> bool:
        entries = self.hub.gateways
        # It takes a while until all gateways are connected to a new leader.
        if self.hub.known_gateways() - set(entries):
            return False
        seen = rollout.without_sessions()
        return all(seen in entry.status.rollouts_seen for entry in entries.values())
