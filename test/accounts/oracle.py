"""Test doubles that record the ground truth of each request.

Control is simulated by a real state machine without replication, and backend servers
count the work that they did.
"""

from collections import Counter
from dataclasses import dataclass, field
from enum import Enum
from random import Random

import msgspec
from prometheus_client import CollectorRegistry

from test.library import TEXT
from turmericreel.coordination.control_client import ControlView
from turmericreel.decisions.retry_policy import RetryPolicy
from turmericreel.decisions.version_policy import Plan, Stage, VersionPolicy
from turmericreel.entry.metrics import EntryMetrics
from turmericreel.entry.pieces import Finished, Started, Tokens, WholeAnswer
from turmericreel.entry.policies import Policies, build_policies
from turmericreel.entry.rating import Rater
from turmericreel.entry.request_path import RequestPath
from turmericreel.entry.request_run import RequestTimeouts
from turmericreel.entry.server_client import Dispatch
from turmericreel.entry.service_levels import ServiceLevels
from turmericreel.entry.settlements import Settlements
from turmericreel.model.check_text import parse_text
from turmericreel.model.failures import (
    CommitUnknown,
    FailureError,
    Interrupted,
    NotRun,
    NotRunReason,
    OutcomeUnknown,
    ProofKind,
)
from turmericreel.model.ids import (
    BackendServerId,
    DataCentreId,
    FencingToken,
    Incarnation,
    InstanceId,
    Revision,
    ServiceName,
    VersionId,
)
from turmericreel.model.request import RequestKind, Usage
from turmericreel.model.servers import BackendServer
from turmericreel.protocols.control_messages import Hello
from turmericreel.state.commands.union import LogRecord
from turmericreel.state.machine import StateMachine
from turmericreel.util.clock import ManualClock

N_TOKENS = 4
NO_WAITS = RequestTimeouts(settlement_s=0.0, call_outcome_s=0.0, key_holder_s=0.0)
WITHDRAWN_TEXT = TEXT.replace(
    'model = "oven-small"', 'model = "oven-small"\nstate = "withdrawn"'
)


class ProposalScenario(Enum):
    """Scripted course of a proposal.

    With ANSWER_LOST the command is committed but the result does not arrive; a LATE
    command is committed later.  The proposer cannot tell these from LOST.
    """

    COMMITTED = "committed"
    ANSWER_LOST = "answer_lost"
    LOST = "lost"
    LATE = "late"


class AttemptScenario(Enum):
    """Scripted course of an attempt at a backend server.

    The answer is lost before the work is done (LOST_BEFORE) or after it (LOST_AFTER),
    or breaks off while it is sent (BROKEN).  With LEASE_LOST the instance loses its
    lease and the server refuses.
    """

    OK = "ok"
    CONNECTION_REFUSED = "connection_refused"
    REFUSED = "refused"
    LOST_BEFORE = "lost_before"
    LOST_AFTER = "lost_after"
    BROKEN = "broken"
    LEASE_LOST = "lease_lost"


def _servers() -> dict[BackendServerId, BackendServer]:
    offered = {
        "oven-1": ("helper-llm", ("small",)),
        "oven-2": ("helper-llm", ("small", "strong")),
        "oven-3": ("helper-llm", ("strong",)),
        "booking-1": ("booking-app", ("v1",)),
        "booking-2": ("booking-app", ("v1",)),
    }
    return {
        BackendServerId(name): BackendServer(
            server=BackendServerId(name),
            incarnation=Incarnation(1),
            service=ServiceName(service),
            versions=tuple(VersionId(v) for v in versions),
            data_centre=DataCentreId("north-mid-a"),
            address="127.0.0.1:1",
            neighbour="ovenslot" if name.endswith("1") else "draisinas",
        )
        for name, (service, versions) in offered.items()
    }


class World:
    """The replicated state, and records of all work done by backend servers."""

    def __init__(self):
        self.clock = ManualClock(now=1_000_000.0)
        self.machine = StateMachine()
        self.index = 0
        self.late_commands: list = []
        self.text = parse_text(TEXT)
        self.effects: Counter[str] = Counter()
        self.bodies: dict[str, set[bytes]] = {}
        self.ran: Counter[str] = Counter()
        self.work: Counter[tuple[str, int]] = Counter()
        self.answered: set[tuple[str, int]] = set()
        self.sessions: dict[str, set[str]] = {}

    def commit(self, command):
        """Apply a command as the next log record."""
        self.index += 1
        record = LogRecord(
            index=self.index, term=1, time_ms=self.clock.wall_ms(), command=command
        )
        # As in the real log, the machine gets the decoded form of the record.
        encoded = msgspec.msgpack.encode(record)
        return self.machine.apply(msgspec.msgpack.decode(encoded, type=LogRecord))

    def restart(self) -> None:
        """Replace the state by one loaded from its own snapshot."""
        snapshot = self.machine.dump()
        archive = self.machine.ledger.archive
        self.machine = StateMachine()
        self.machine.ledger.archive = archive
        self.machine.load(snapshot)

    def lines(self):
        """Return all bill lines, final and provisional."""
        ledger = self.machine.ledger
        final = ledger.archive.page(limit=1_000_000).lines
        return final + [p.line for p in ledger.provisional.values()]


class OracleControl:
    """Stands in for the control client of one entry instance."""

    def __init__(self, *, world: World, name: str):
        self.world = world
        self.hello = Hello(
            instance=InstanceId(name),
            incarnation=Incarnation(1),
            data_centre=DataCentreId("north-mid-a"),
            http_address="127.0.0.1:2",
        )
        self.view = ControlView(
            revision=Revision(1),
            text=world.text,
            fencing_token=FencingToken(1),
            servers=_servers(),
        )
        self.has_crashed = False
        self.has_lease = True
        self.scenarios: list[ProposalScenario] = []

    def lease_valid(self) -> bool:
        """Return whether the instance holds a lease and has not crashed."""
        return self.has_lease and not self.has_crashed

    def on_evidence(self, callback) -> None:
        """Ignore the callback; no evidence is shared between instances."""

    def send_evidence(self, items) -> None:
        """Ignore the evidence."""

    def propose(self, command, *, timeout):
        """Propose a command, following the next scripted scenario."""
        if self.has_crashed:
            raise FailureError(CommitUnknown(detail="crashed"))
        scenario = (
            self.scenarios.pop(0) if self.scenarios else ProposalScenario.COMMITTED
        )
        if scenario is ProposalScenario.LATE:
            self.world.late_commands.append(command)
        if scenario in (ProposalScenario.LATE, ProposalScenario.LOST):
            raise FailureError(CommitUnknown(detail=scenario.value))
        result = self.world.commit(command)
        if scenario is ProposalScenario.ANSWER_LOST:
            raise FailureError(CommitUnknown(detail=scenario.value))
        return result


@dataclass(kw_only=True)
class OracleServers:
    """Stands in for the server client; counts the work of the backend servers."""

    world: World
    control: OracleControl
    scenarios: dict[str, list[AttemptScenario]] = field(default_factory=dict)

    def run(self, dispatch: Dispatch):
        """Run one attempt by the next scenario of its request.

        Asserts that the dispatch is allowed: with a lease, a durable intent and a
        version that the account may use.
        """
        request = dispatch.request
        scenarios = self.scenarios.get(request.request_id, [])
        scenario = scenarios.pop(0) if scenarios else AttemptScenario.OK
        self._check_allowed(dispatch)
        if scenario is AttemptScenario.CONNECTION_REFUSED:
            raise _not_run(ProofKind.CONNECTION_REFUSED)
        if scenario is AttemptScenario.LEASE_LOST:
            self.control.has_lease = False
        if scenario in (AttemptScenario.REFUSED, AttemptScenario.LEASE_LOST):
            raise _not_run(ProofKind.REFUSED_BY_PROTOCOL)
        if scenario is AttemptScenario.LOST_BEFORE:
            raise _unknown(request)
        self.world.ran[request.request_id] += 1
        if request.kind is RequestKind.PLAIN:
            yield from self._book(dispatch, scenario)
        else:
            yield from self._chat(dispatch, scenario)

    def _check_allowed(self, dispatch: Dispatch) -> None:
        request = dispatch.request
        assert not self.control.has_crashed, "a crashed instance dispatched"
        assert self.control.has_lease, "dispatched without a lease"
        account = self.world.text.client_accounts[request.account]
        assert dispatch.version in account.allowed[request.service]
        version = self.world.text.services[request.service].versions[dispatch.version]
        assert version.state.value != "withdrawn", "new work on a withdrawn version"
        assert dispatch.version in dispatch.server.versions
        intents = self.world.machine.ledger.intents
        assert request.request_id in intents, "dispatched without a durable intent"
        if request.session is not None:
            used = self.world.sessions.setdefault(request.session, set())
            used.add(dispatch.version)

    def _book(self, dispatch: Dispatch, scenario: AttemptScenario):
        request = dispatch.request
        world = self.world
        key = request.idempotency_key
        claims = world.machine.claims.claims.values()
        held = [c for c in claims if c.request == request.request_id]
        assert held, "dispatched without a durable claim"
        world.effects[key] += 1
        body = f"{key} {request.body.decode()} {world.effects[key]}".encode()
        world.bodies.setdefault(key, set()).add(body)
        if scenario in (AttemptScenario.LOST_AFTER, AttemptScenario.BROKEN):
            raise _unknown(request)
        yield WholeAnswer(
            request_id=request.request_id,
            version=dispatch.version,
            status=200,
            content_type="text/plain",
            body=body,
        )

    def _chat(self, dispatch: Dispatch, scenario: AttemptScenario):
        request = dispatch.request
        work = (request.request_id, dispatch.attempt)
        if scenario is AttemptScenario.LOST_AFTER:
            raise _unknown(request)
        yield Started(request_id=request.request_id, version=dispatch.version)
        for n in range(dispatch.resume_from, N_TOKENS):
            if scenario is AttemptScenario.BROKEN and n == N_TOKENS // 2:
                raise FailureError(
                    Interrupted(request_id=request.request_id, delivered_tokens=n)
                )
            self.world.work[work] += 1
            yield Tokens(sequence=n, texts=(token_text(request.request_id, n),))
        self.world.answered.add(work)
        generated = N_TOKENS - dispatch.resume_from
        yield Finished(usage=Usage(prompt_tokens=3, completion_tokens=generated))


@dataclass(kw_only=True)
class EntryInstance:
    """The real request path of one entry instance, built on the test doubles."""

    control: OracleControl
    servers: OracleServers
    settlements: Settlements
    path: RequestPath


class RandomPlans(VersionPolicy):
    """Plans a random version or a random cascade of two."""

    def __init__(self, *, rng: Random):
        self.rng = rng

    def plan(self, request, candidates, *, quality_target, now):
        """Return a random plan."""
        versions = sorted(candidates)
        self.rng.shuffle(versions)
        first = Stage(version=versions[0])
        if len(versions) == 1 or self.rng.random() < 0.5:
            return Plan(stages=(first,))
        rated = Stage(version=versions[0], min_score=0.5)
        return Plan(stages=(rated, Stage(version=versions[1])))

    def observe(self, observed, *, now):
        """Ignore the answer."""


class RandomRater(Rater):
    """Returns a good score, a bad score or none at random."""

    def __init__(self, *, rng: Random):
        self.rng = rng

    def rate(self, request, version, text):
        """Return a random score, or None."""
        return self.rng.choice([None, 0.2, 0.8])


class UnrestrictedRetries(RetryPolicy):
    """Retries any failure, so that only the checks of the request path prevent one."""

    def start_request(self, request) -> None:
        """Do nothing."""

    def may_retry(self, request, failure, *, n_attempts, delivered, now) -> bool:
        """Allow up to three retries before the deadline if nothing was delivered."""
        return n_attempts < 4 and not delivered and now < request.deadline


class UnguardedContents:
    """Admits every content immediately; waiting contents are tested elsewhere."""

    def admit(self, choose):
        """Return the first choice."""
        return choose(set())

    def report_end(self, dispatch, end) -> None:
        """Do nothing."""


def _policies() -> Policies:
    policies = build_policies(rng=Random(7))
    policies.versions = RandomPlans(rng=Random(8))
    policies.rater = RandomRater(rng=Random(9))
    policies.retries = UnrestrictedRetries()
    return policies


def build_instance(world: World, name: str) -> EntryInstance:
    """Return an entry instance on test doubles, with random plans and scores."""
    control = OracleControl(world=world, name=name)
    servers = OracleServers(world=world, control=control)
    settlements = Settlements(control=control)
    path = RequestPath(
        control=control,
        server_client=servers,
        policies=_policies(),
        settlements=settlements,
        levels=ServiceLevels(
            control=control,
            metrics=EntryMetrics(registry=CollectorRegistry()),
            clock=world.clock,
        ),
        clock=world.clock,
        timeouts=NO_WAITS,
    )
    path.attempts.contents = UnguardedContents()
    return EntryInstance(
        control=control, servers=servers, settlements=settlements, path=path
    )


def token_text(request_id: str, number: int) -> str:
    """Return the text of one token in the answer to a request."""
    return f"{request_id}:{number} "


def _not_run(proof: ProofKind) -> FailureError:
    reason = NotRunReason.REFUSED_BY_SERVER
    return FailureError(NotRun(reason=reason, proof=proof))


def _unknown(request) -> FailureError:
    return FailureError(OutcomeUnknown(request_id=request.request_id))
