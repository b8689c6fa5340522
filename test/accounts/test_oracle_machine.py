"""Stateful test of requests and billing against an oracle.

Draws requests, resends, crashes of instances, lost proposals and lost answers.
"""

import msgspec
from hypothesis import HealthCheck, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from test.accounts.oracle import (
    N_TOKENS,
    WITHDRAWN_TEXT,
    AttemptScenario,
    ProposalScenario,
    World,
    build_instance,
    token_text,
)
from test.library import TEXT
from turmericreel.entry.pieces import Finished, Started, WholeAnswer, text_of
from turmericreel.model.check_text import parse_text
from turmericreel.model.failures import FailureError, NotRun
from turmericreel.model.ids import (
    AttemptNumber,
    BackendServerId,
    ClientAccountId,
    ContentDigest,
    IdempotencyKey,
    RequestId,
    ServiceName,
    SessionId,
    VersionId,
)
from turmericreel.model.request import Request, RequestKind
from turmericreel.reports.reconciliation import compare, merge, reconcile_page
from turmericreel.state.commands.ledger import AttemptRecord, ReportUsage
from turmericreel.state.tables.claims import CLAIM_RETENTION_MS

NAMES = ("entry-1", "entry-2")
INSTANCES = st.sampled_from(NAMES)
KEYS = st.sampled_from([f"booking-{n}" for n in range(4)])
BODIES = st.sampled_from([b"slot 7", b"slot 8"])
PROPOSAL_SCENARIOS = st.one_of(
    st.just([]), st.lists(st.sampled_from(ProposalScenario), max_size=3)
)
ATTEMPT_SCENARIOS = st.lists(st.sampled_from(AttemptScenario), max_size=3)


class Run:
    """One request and what its caller has received so far."""

    def __init__(self, *, request: Request, pieces, instance: str):
        self.request = request
        self.pieces = pieces
        self.instance = instance
        self.received = []
        self.failure = None
        self.ended = False
        self.cancelled = False

    def step(self) -> None:
        """Receive the next piece of the answer, or its end."""
        try:
            self.received.append(next(self.pieces))
        except StopIteration:
            self.ended = True
        except FailureError as error:
            self.failure = error.failure
            self.ended = True

    @property
    def complete(self) -> bool:
        """Whether the caller received the complete answer."""
        return any(isinstance(p, Finished | WholeAnswer) for p in self.received)


class AccountsMachine(RuleBasedStateMachine):
    """Drives two entry instances that share one replicated state."""

    def __init__(self):
        super().__init__()
        self.world = World()
        self.instances = {name: build_instance(self.world, name) for name in NAMES}
        self.runs: list[Run] = []
        self.n_requests = 0
        self.crashed: set[str] = set()
        self.delayed: set[str] = set()

    def _start(self, instance, scenarios, attempt_scenarios, **fields) -> None:
        self.n_requests += 1
        request = Request(
            request_id=RequestId(f"r{self.n_requests}"),
            account=ClientAccountId("household"),
            deadline=self.world.clock.monotonic() + 60.0,
            method="POST",
            path="/",
            prompt_tokens=3,
            **fields,
        )
        if ProposalScenario.LATE in scenarios:
            self.delayed.add(request.request_id)
        entry = self.instances[instance]
        entry.control.scenarios = list(scenarios)
        entry.servers.scenarios[request.request_id] = list(attempt_scenarios)
        pieces = entry.path.run(request)
        run = Run(request=request, pieces=pieces, instance=instance)
        run.step()
        self.runs.append(run)

    @rule(
        instance=INSTANCES,
        scenarios=PROPOSAL_SCENARIOS,
        attempt_scenarios=ATTEMPT_SCENARIOS,
        session=st.sampled_from([None, "s1"]),
        key=st.sampled_from([None, "chat-1"]),
    )
    def chat(self, instance, scenarios, attempt_scenarios, session, key):
        self._start(
            instance,
            scenarios,
            attempt_scenarios,
            service=ServiceName("helper-llm"),
            kind=RequestKind.CHAT,
            body=b"hello",
            digest=ContentDigest("hello"),
            session=SessionId(session) if session else None,
            idempotency_key=IdempotencyKey(key) if key else None,
        )

    @rule(
        instance=INSTANCES,
        scenarios=PROPOSAL_SCENARIOS,
        attempt_scenarios=ATTEMPT_SCENARIOS,
        key=KEYS,
        body=BODIES,
    )
    def book(self, instance, scenarios, attempt_scenarios, key, body):
        self._start(
            instance,
            scenarios,
            attempt_scenarios,
            service=ServiceName("booking-app"),
            kind=RequestKind.PLAIN,
            body=body,
            digest=ContentDigest(body.decode()),
            repeatable=False,
            idempotency_key=IdempotencyKey(key),
        )

    @precondition(lambda self: self.runs)
    @rule(instance=INSTANCES, data=st.data())
    def resend(self, instance, data):
        earlier = data.draw(st.sampled_from(self.runs)).request
        self._start(
            instance,
            [],
            [],
            service=earlier.service,
            kind=earlier.kind,
            body=earlier.body,
            digest=earlier.digest,
            repeatable=earlier.repeatable,
            session=earlier.session,
            idempotency_key=earlier.idempotency_key,
        )

    def _open_runs(self) -> list[Run]:
        return [run for run in self.runs if not run.ended]

    @precondition(lambda self: self._open_runs())
    @rule(data=st.data(), n_steps=st.integers(1, 8))
    def advance_run(self, data, n_steps):
        run = data.draw(st.sampled_from(self._open_runs()))
        for _ in range(n_steps):
            if not run.ended:
                run.step()

    @precondition(lambda self: self._open_runs())
    @rule(data=st.data())
    def caller_disconnects(self, data):
        run = data.draw(st.sampled_from(self._open_runs()))
        run.cancelled = run.ended = True
        run.pieces.close()

    @rule(
        event=st.sampled_from(
            ["crash", "restart", "lapse", "renew", "withdraw", "allow", "wait"]
        ),
        instance=INSTANCES,
    )
    def change_environment(self, event, instance):
        match event:
            case "crash":
                self.crash(instance)
            case "restart":
                self.world.restart()
            case "lapse" | "renew":
                self.instances[instance].control.has_lease = event == "renew"
            case "withdraw" | "allow":
                self.set_text(TEXT if event == "allow" else WITHDRAWN_TEXT)
            case "wait":
                self.settle_and_advance(100.0)

    def crash(self, instance):
        entry = self.instances[instance]
        entry.control.has_crashed = True
        while not entry.settlements.queue.empty():
            for settlement in entry.settlements.take_batch():
                self.crashed.update(c.request for c in settlement.commands)
        for run in self._open_runs():
            if run.instance == instance:
                self.crashed.add(run.request.request_id)
                run.cancelled = run.ended = True
                run.pieces.close()
        self.instances[instance] = build_instance(self.world, instance)
        self.instances[instance].control.view.text = self.world.text

    @rule(instance=INSTANCES, scenarios=PROPOSAL_SCENARIOS)
    def settle(self, instance, scenarios):
        entry = self.instances[instance]
        entry.control.scenarios = list(scenarios)
        self._settle_once(entry)

    def settle_all(self):
        for entry in self.instances.values():
            entry.control.scenarios = []
            while not entry.settlements.queue.empty():
                self._settle_once(entry)

    def _settle_once(self, entry) -> None:
        if entry.settlements.queue.empty():
            return
        batch = entry.settlements.take_batch()
        if not entry.settlements.send_once(batch):
            for settlement in batch:
                entry.settlements.queue.put(settlement)

    @precondition(lambda self: self.world.late_commands)
    @rule()
    def late_proposal_arrives(self):
        self.world.commit(self.world.late_commands.pop(0))

    @rule(seconds=st.sampled_from([1.0, 10.0]))
    def time_passes(self, seconds):
        self.world.clock.advance(seconds)
        self.world.commit(None)

    @rule()
    def keys_expire(self):
        self.settle_and_advance(CLAIM_RETENTION_MS / 1_000)

    def settle_and_advance(self, seconds):
        # Runs end before their deadlines and settlements are resent until committed.
        for run in self._open_runs():
            while not run.ended:
                run.step()
        self.settle_all()
        self.world.clock.advance(seconds)
        self.world.commit(None)

    def set_text(self, text):
        self.world.text = parse_text(text)
        for entry in self.instances.values():
            entry.control.view.text = self.world.text

    @precondition(lambda self: self.world.work)
    @rule(data=st.data())
    def server_reports_usage(self, data):
        request, attempt = data.draw(st.sampled_from(sorted(self.world.work)))
        lines = {line.request: line for line in self.world.lines()}
        matching_attempts = (
            [a for a in lines[request].attempts if a.attempt == attempt]
            if (request in lines)
            else []
        )
        server = (
            matching_attempts[0].server
            if matching_attempts
            else BackendServerId("oven-1")
        )
        version = (
            matching_attempts[0].version if matching_attempts else VersionId("small")
        )
        work = AttemptRecord(
            attempt=AttemptNumber(attempt),
            server=server,
            neighbour="ovenslot",
            version=version,
            prompt_tokens=3,
            completion_tokens=self.world.work[request, attempt],
            cached_tokens=0,
            cost=1,
            outcome="Reported",
        )
        self.world.commit(ReportUsage(request=RequestId(request), work=work))

    @invariant()
    def call_runs_at_most_once(self):
        assert all(n == 1 for n in self.world.effects.values()), self.world.effects

    @invariant()
    def not_run_did_not_run(self):
        for run in self.runs:
            if isinstance(run.failure, NotRun):
                assert not self.world.ran[run.request.request_id], run.failure

    @invariant()
    def answers_are_complete_and_own(self):
        for run in self.runs:
            if run.complete:
                self._check_answer(run)

    def _check_answer(self, run: Run) -> None:
        request = run.request
        if request.kind is RequestKind.PLAIN:
            (answer,) = [p for p in run.received if isinstance(p, WholeAnswer)]
            assert answer.body in self.world.bodies[request.idempotency_key]
            assert request.body in answer.body
            return
        started = [p for p in run.received if isinstance(p, Started)]
        assert len(started) == 1
        origin = started[0].request_id
        if request.idempotency_key is None:
            assert origin == request.request_id
        expected = "".join(token_text(origin, n) for n in range(N_TOKENS))
        assert text_of(run.received) == expected

    @invariant()
    def partial_answers_have_no_gap(self):
        for run in self.runs:
            if run.request.kind is RequestKind.CHAT and run.received:
                origin = run.received[0].request_id
                expected = "".join(token_text(origin, n) for n in range(N_TOKENS))
                assert expected.startswith(text_of(run.received))

    @invariant()
    def one_bill_line_per_request(self):
        requests = [line.request for line in self.world.lines()]
        assert len(requests) == len(set(requests))
        assert not set(requests) & set(self.world.machine.ledger.intents)

    @invariant()
    def session_keeps_its_version(self):
        for session, versions in self.world.sessions.items():
            assert len(versions) <= 1, (session, versions)

    def teardown(self):
        for run in self._open_runs():
            run.pieces.close()
        self.settle_all()
        for command in self.world.late_commands:
            self.world.commit(command)
        for _ in range(2):
            self.world.clock.advance(1_000.0)
            self.world.commit(None)
        self._check_ledger()

    def _check_ledger(self) -> None:
        ledger = self.world.machine.ledger
        assert not ledger.intents
        assert not ledger.provisional
        lines = {line.request: line for line in self.world.lines()}
        expired = {line.request for line in lines.values() if line.expired}
        assert expired <= self.crashed | self.delayed
        # Each request that ran has a bill line, which bills exactly the work done.
        for request in self.world.ran:
            assert request in lines, f"{request} ran and has no line"
        for (request, attempt), n_tokens in self.world.work.items():
            billed = [a for a in lines[request].attempts if a.attempt == attempt]
            if request in self.crashed and not billed:
                continue
            assert [a.completion_tokens for a in billed] == [n_tokens]
        pages = [reconcile_page(ledger.archive.page(limit=1_000_000))]
        gaps = [(g.first, g.end) for g in ledger.archive.gaps()]
        faults = compare(merge(pages), ledger.totals, n_final=ledger.n_final, gaps=gaps)
        assert faults == []
        assert msgspec.msgpack.encode(ledger.dump())


TestAccountsMachine = AccountsMachine.TestCase
TestAccountsMachine.settings = settings(
    max_examples=200,
    stateful_step_count=40,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(HealthCheck),
)
