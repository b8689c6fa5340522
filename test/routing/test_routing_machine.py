"""The highest revision is in force, and repeated orders change nothing."""

import msgspec
from hypothesis import given
from hypothesis import strategies as st

from test.routing.library import SERVICE
from turmericreel.model.routing import RolloutStage
from turmericreel.state.commands.union import LogRecord
from turmericreel.state.routing_machine import (
    MoveRollout,
    OrderEvacuation,
    OrderRollout,
    RoutingMachine,
    SubmitRouting,
)


def apply(machine, command, time_ms=0):
    index = machine.applied_index + 1
    record = LogRecord(index=index, term=1, time_ms=time_ms, command=command)
    return machine.apply(record).changed


def submit(machine, revision, document=b"x"):
    return apply(machine, SubmitRouting(revision=revision, document=document))


@given(st.lists(st.tuples(st.integers(1, 6), st.binary(max_size=3)), max_size=12))
def test_the_first_document_of_the_highest_revision_is_in_force(submissions):
    machine = RoutingMachine()
    for revision, document in submissions:
        before = (machine.revision, machine.document)
        changed = submit(machine, revision, document)
        assert changed == (revision > before[0])
        if not changed:
            assert (machine.revision, machine.document) == before
    highest = max((r for r, _ in submissions), default=0)
    first = next((d for r, d in submissions if r == highest), b"")
    assert (machine.revision, machine.document) == (highest, first)


def order(machine, target="v2", time_ms=1_000):
    command = OrderRollout(service=SERVICE, target=target, duration_ms=9_000)
    return apply(machine, command, time_ms)


def move(machine, stage, number=1):
    return apply(machine, MoveRollout(service=SERVICE, number=number, stage=stage))


def test_a_repeated_order_does_not_restart_the_rollout():
    machine = RoutingMachine()
    assert order(machine)
    assert move(machine, RolloutStage.CANARY)
    assert not order(machine, time_ms=5_000)
    rollout = machine.rollouts[SERVICE]
    assert (rollout.stage, rollout.deadline_ms) == (RolloutStage.CANARY, 10_000)


def test_an_ended_rollout_does_not_change():
    machine = RoutingMachine()
    order(machine)
    assert move(machine, RolloutStage.ROLLED_BACK)
    assert not move(machine, RolloutStage.COMPLETED)
    assert machine.rollouts[SERVICE].stage is RolloutStage.ROLLED_BACK


def test_a_late_move_does_not_affect_the_next_order():
    machine = RoutingMachine()
    order(machine)
    order(machine, target="v3")
    assert not move(machine, RolloutStage.COMPLETED, number=1)
    assert machine.rollouts[SERVICE].number == 2


def test_bound_sessions_and_the_canary_share_stay_as_they_began():
    machine = RoutingMachine()
    order(machine)
    bound = MoveRollout(
        service=SERVICE,
        number=1,
        stage=RolloutStage.CANARY,
        bound_sessions=(4, 5),
        canary_share=0.03,
    )
    apply(machine, bound)
    move(machine, RolloutStage.SWITCHED)
    assert machine.rollouts[SERVICE].bound_sessions == (4, 5)
    assert machine.rollouts[SERVICE].canary_share == 0.03


def evacuate(machine, data_centre, is_evacuated=True):
    command = OrderEvacuation(data_centre=data_centre, is_evacuated=is_evacuated)
    return apply(machine, command)


@given(st.lists(st.tuples(st.sampled_from("ab"), st.booleans()), max_size=12))
def test_the_newest_order_on_each_data_centre_holds_and_repeats_change_nothing(orders):
    machine = RoutingMachine()
    expected = {}
    for index, (data_centre, is_evacuated) in enumerate(orders, start=1):
        changes = is_evacuated != expected.get(data_centre, (False, 0))[0]
        assert evacuate(machine, data_centre, is_evacuated) == changes
        if changes:
            expected[data_centre] = (is_evacuated, index)
        held = {
            name: (e.is_evacuated, e.number) for name, e in machine.evacuations.items()
        }
        assert held == expected


def test_snapshot_of_a_build_without_evacuations_is_loaded():
    machine = RoutingMachine()
    submit(machine, 3, b"document")
    older = msgspec.msgpack.decode(machine.dump())
    del older["evacuations"]
    copy = RoutingMachine()
    evacuate(copy, "a")
    copy.load(msgspec.msgpack.encode(older))
    assert (copy.revision, copy.evacuations) == (3, {})


def test_a_snapshot_holds_everything():
    machine = RoutingMachine()
    submit(machine, 3, b"document")
    order(machine)
    evacuate(machine, "a")
    evacuate(machine, "b")
    evacuate(machine, "a", False)
    copy = RoutingMachine()
    copy.load(machine.dump())
    assert copy.dump() == machine.dump()
    assert copy.document == b"document"
    assert {n: e.is_evacuated for n, e in copy.evacuations.items()} == {
        "a": False,
        "b": True,
    }
    assert copy.applied_index == 5
