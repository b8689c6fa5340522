"""Broken streams resume at another server; failures state whether work ran."""

from dataclasses import replace
from random import Random

from test.accounts.oracle import (
    N_TOKENS,
    AttemptScenario,
    World,
    build_instance,
    token_text,
)
from turmericreel.decisions.server_policy import AttemptEnd
from turmericreel.decisions.version_policy import Plan, Stage
from turmericreel.entry.pieces import Finished, Tokens, text_of
from turmericreel.entry.policies import build_policies
from turmericreel.model.failures import (
    CommitUnknown,
    FailureError,
    Interrupted,
    NotRun,
    NotRunReason,
    OutcomeUnknown,
)
from turmericreel.model.ids import (
    ClientAccountId,
    ContentDigest,
    IdempotencyKey,
    RequestId,
    ServiceName,
    VersionId,
)
from turmericreel.model.request import Request, RequestKind
from turmericreel.model.server_crash import process_of


def run_request(
    entry,
    world: World,
    scenarios: list[AttemptScenario],
    *,
    version: str = "small",
    **fields,
):
    defaults = {"service": ServiceName("helper-llm"), "kind": RequestKind.CHAT}
    defaults["request_id"] = RequestId("r1")
    request = Request(
        account=ClientAccountId("household"),
        deadline=world.clock.monotonic() + 60.0,
        method="POST",
        path="/",
        body=b"hello",
        digest=ContentDigest("d"),
        prompt_tokens=3,
        **(defaults | fields),
    )
    plan = Plan(stages=(Stage(version=VersionId(version)),))
    entry.path.policies.versions.plan = lambda *_, **__: plan
    entry.servers.scenarios[request.request_id] = list(scenarios)
    pieces, failure = [], None
    try:
        for piece in entry.path.run(request):
            pieces.append(piece)
    except FailureError as error:
        failure = error.failure
    entry.settlements.send_once(entry.settlements.take_batch())
    return pieces, failure


def test_broken_stream_is_resumed_on_same_version():
    world = World()
    entry = build_instance(world, "entry-1")
    pieces, failure = run_request(
        entry, world, [AttemptScenario.BROKEN, AttemptScenario.OK]
    )
    assert failure is None
    expected = "".join(token_text("r1", n) for n in range(N_TOKENS))
    assert text_of(pieces) == expected
    assert isinstance(pieces[-1], Finished)
    (line,) = world.lines()
    assert [a.version for a in line.attempts] == ["small", "small"]
    assert [a.completion_tokens for a in line.attempts] == [2, 2]
    assert line.attempts[0].estimated and not line.attempts[1].estimated


def test_default_retry_policy_allows_one_resume():
    world = World()
    entry = build_instance(world, "entry-1")
    entry.path.policies.retries = build_policies(rng=Random(1)).retries
    pieces, failure = run_request(
        entry, world, [AttemptScenario.BROKEN, AttemptScenario.OK]
    )
    assert failure is None
    assert isinstance(pieces[-1], Finished)


def test_stream_that_always_breaks_is_interrupted():
    world = World()
    entry = build_instance(world, "entry-1")
    pieces, failure = run_request(entry, world, [AttemptScenario.BROKEN] * 9)
    assert isinstance(failure, Interrupted)
    assert not any(isinstance(piece, Finished) for piece in pieces)


def test_token_out_of_order_is_not_delivered():
    world = World()
    entry = build_instance(world, "entry-1")
    run = entry.servers.run

    def run_with_gap(dispatch):
        for piece in run(dispatch):
            if isinstance(piece, Tokens) and piece.sequence > 0:
                piece = Tokens(sequence=piece.sequence + 1, texts=piece.texts)
            yield piece

    entry.servers.run = run_with_gap
    pieces, failure = run_request(entry, world, [])
    assert isinstance(failure, Interrupted)
    assert text_of(pieces) == token_text("r1", 0)


def test_unrepeatable_call_that_may_have_run_is_not_retried():
    world = World()
    entry = build_instance(world, "entry-1")
    booking = {
        "service": ServiceName("booking-app"),
        "kind": RequestKind.PLAIN,
        "repeatable": False,
        "idempotency_key": IdempotencyKey("k"),
    }
    scenarios = [AttemptScenario.LOST_AFTER, AttemptScenario.OK]
    pieces, failure = run_request(entry, world, scenarios, version="v1", **booking)
    assert isinstance(failure, OutcomeUnknown)
    assert world.effects == {"k": 1}


def test_control_lost_before_dispatch_is_not_run():
    world = World()
    entry = build_instance(world, "entry-1")

    def lose_control(choose):
        raise FailureError(CommitUnknown())

    entry.path.attempts.contents.admit = lose_control
    pieces, failure = run_request(entry, world, [])
    assert isinstance(failure, NotRun)
    assert failure.reason is NotRunReason.CONTROL_UNAVAILABLE
    assert pieces == []


def test_control_lost_after_an_attempt_ran_is_outcome_unknown():
    world = World()
    entry = build_instance(world, "entry-1")
    contents = entry.path.attempts.contents
    admit = contents.admit

    def lose_control_after_run(choose):
        if world.ran:
            raise FailureError(CommitUnknown())
        return admit(choose)

    contents.admit = lose_control_after_run
    _, failure = run_request(entry, world, [AttemptScenario.LOST_AFTER])
    assert isinstance(failure, OutcomeUnknown)


def test_lease_lost_after_admission_releases_the_copy():
    world = World()
    entry = build_instance(world, "entry-1")
    contents = entry.path.attempts.contents
    admit = contents.admit
    ends = []

    def expire_lease_then_admit(choose):
        entry.control.has_lease = False
        return admit(choose)

    contents.admit = expire_lease_then_admit
    contents.report_end = lambda dispatch, end: ends.append(end)
    _, failure = run_request(entry, world, [])
    assert isinstance(failure, NotRun)
    assert ends
    assert set(ends) == {AttemptEnd.UNREACHABLE}


def test_answer_with_an_error_status_does_not_clear_a_content():
    world = World()
    entry = build_instance(world, "entry-1")
    ends = []
    entry.path.attempts.contents.report_end = lambda dispatch, end: ends.append(end)
    run = entry.servers.run

    def run_with_error(dispatch):
        for piece in run(dispatch):
            yield replace(piece, status=500)

    entry.servers.run = run_with_error
    booking = {
        "service": ServiceName("booking-app"),
        "kind": RequestKind.PLAIN,
        "repeatable": False,
        "idempotency_key": IdempotencyKey("k"),
    }
    run_request(entry, world, [AttemptScenario.OK], version="v1", **booking)
    assert ends == [AttemptEnd.FAILED]


def test_server_that_has_got_its_rate_gets_no_more_calls():
    world = World()
    entry = build_instance(world, "entry-1")
    rates, now = entry.path.attempts.rates, entry.path.attempts.clock.monotonic()
    for server in entry.control.view.servers.values():
        rates.record_answer(process_of(server), 0.5, now=now)
    pieces, failure = run_request(entry, world, [])
    assert isinstance(failure, NotRun)
    assert pieces == []


def test_calls_beyond_the_places_of_brittle_servers_are_refused_unsent():
    world = World()
    entry = build_instance(world, "entry-1")
    brittle = entry.path.attempts.brittle
    service = ServiceName("helper-llm")
    servers = entry.control.view.servers.values()
    servers = [server for server in servers if server.service == service]
    brittle.record_header(servers[0], "2")
    for server in servers:
        for _ in range(server.capacity):
            assert brittle.may_send(server)
            brittle.begin(server)
        assert not brittle.may_send(server)
    pieces, failure = run_request(entry, world, [])
    assert isinstance(failure, NotRun)
    assert (pieces, world.ran.total()) == ([], 0)
    brittle.end(servers[0], was_refused=False)
    pieces, failure = run_request(entry, world, [], request_id=RequestId("r2"))
    assert failure is None
    assert isinstance(pieces[-1], Finished)


def test_brittle_server_that_refused_gets_no_more_calls_at_once():
    world = World()
    entry = build_instance(world, "entry-1")
    brittle = entry.path.attempts.brittle
    for server in entry.control.view.servers.values():
        brittle.record_header(server, "1")
    _, failure = run_request(entry, world, [AttemptScenario.REFUSED] * 9)
    assert isinstance(failure, NotRun)
    assert len(entry.servers.scenarios["r1"]) >= 9 - len(entry.control.view.servers)
    refused = list(brittle.places.pauses)
    assert refused
    assert not brittle.n_running
    for server in refused:
        assert not brittle.may_send(entry.control.view.servers[server])
    gone = entry.control.view.servers.pop(refused[0])
    brittle.end(gone, was_refused=True)
    other = next(iter(entry.control.view.servers.values()))
    brittle.end(other, was_refused=True)
    assert gone.server not in brittle.places.pauses
