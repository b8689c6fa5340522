"""Broken streams go on at another server, and failures say whether work ran."""

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


def ask(
    entry,
    world: World,
    scenarios: list[AttemptScenario],
    *,
    version: str = "small",
    **fields,
):
    usual = {"service": ServiceName("helper-llm"), "kind": RequestKind.CHAT}
    request = Request(
        request_id=RequestId("r1"),
        account=ClientAccountId("household"),
        deadline=world.clock.monotonic() + 60.0,
        method="POST",
        path="/",
        body=b"hello",
        digest=ContentDigest("d"),
        prompt_tokens=3,
        **(usual | fields),
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


def test_broken_stream_is_resumed_on_the_same_version_and_whole():
    world = World()
    entry = build_instance(world, "entry-1")
    pieces, failure = ask(entry, world, [AttemptScenario.BROKEN, AttemptScenario.OK])
    assert failure is None
    expected = "".join(token_text("r1", n) for n in range(N_TOKENS))
    assert text_of(pieces) == expected
    assert isinstance(pieces[-1], Finished)
    (line,) = world.lines()
    assert [a.version for a in line.attempts] == ["small", "small"]
    assert [a.completion_tokens for a in line.attempts] == [2, 2]
    assert line.attempts[0].estimated and not line.attempts[1].estimated


def test_retry_policy_of_the_daemon_pays_for_a_resume():
    world = World()
    entry = build_instance(world, "entry-1")
    entry.path.policies.retries = build_policies(rng=Random(1)).retries
    pieces, failure = ask(entry, world, [AttemptScenario.BROKEN, AttemptScenario.OK])
    assert failure is None
    assert isinstance(pieces[-1], Finished)


def test_stream_that_breaks_for_good_is_interrupted():
    world = World()
    entry = build_instance(world, "entry-1")
    pieces, failure = ask(entry, world, [AttemptScenario.BROKEN] * 9)
    assert isinstance(failure, Interrupted)
    assert not any(isinstance(piece, Finished) for piece in pieces)


def test_token_out_of_order_never_reaches_the_caller():
    world = World()
    entry = build_instance(world, "entry-1")
    run = entry.servers.run

    def skip_one(dispatch):
        for piece in run(dispatch):
            if isinstance(piece, Tokens) and piece.sequence > 0:
                piece = Tokens(sequence=piece.sequence + 1, texts=piece.texts)
            yield piece

    entry.servers.run = skip_one
    pieces, failure = ask(entry, world, [])
    assert isinstance(failure, Interrupted)
    assert text_of(pieces) == token_text("r1", 0)


def test_call_that_may_have_run_is_not_tried_again_whatever_the_policy():
    world = World()
    entry = build_instance(world, "entry-1")
    booking = {
        "service": ServiceName("booking-app"),
        "kind": RequestKind.PLAIN,
        "repeatable": False,
        "idempotency_key": IdempotencyKey("k"),
    }
    scenarios = [AttemptScenario.LOST_AFTER, AttemptScenario.OK]
    pieces, failure = ask(entry, world, scenarios, version="v1", **booking)
    assert isinstance(failure, OutcomeUnknown)
    assert world.effects == {"k": 1}


def test_control_lost_before_dispatch_is_not_run():
    world = World()
    entry = build_instance(world, "entry-1")

    def lost(choose):
        raise FailureError(CommitUnknown())

    entry.path.attempts.contents.admitted = lost
    pieces, failure = ask(entry, world, [])
    assert isinstance(failure, NotRun)
    assert failure.reason is NotRunReason.CONTROL_UNAVAILABLE
    assert pieces == []


def test_control_lost_after_an_attempt_ran_is_not_told_as_not_run():
    world = World()
    entry = build_instance(world, "entry-1")
    contents = entry.path.attempts.contents
    admitted = contents.admitted

    def lost_once_begun(choose):
        if world.ran:
            raise FailureError(CommitUnknown())
        return admitted(choose)

    contents.admitted = lost_once_begun
    _, failure = ask(entry, world, [AttemptScenario.LOST_AFTER])
    assert isinstance(failure, OutcomeUnknown)


def test_lease_lost_after_the_admission_gives_the_copy_back():
    world = World()
    entry = build_instance(world, "entry-1")
    contents = entry.path.attempts.contents
    admitted = contents.admitted
    ends = []

    def admitted_then_cut_off(choose):
        entry.control.has_lease = False
        return admitted(choose)

    contents.admitted = admitted_then_cut_off
    contents.ended = lambda dispatch, end: ends.append(end)
    _, failure = ask(entry, world, [])
    assert isinstance(failure, NotRun)
    assert ends
    assert set(ends) == {AttemptEnd.UNREACHABLE}
