"""Operators order evacuations on the command line, through any coordinator."""

from contextlib import ExitStack, contextmanager

import pytest
from typer.testing import CliRunner

from test.routing.small_system import small_system
from turmericreel.decisions.door_memory import DoorMemory
from turmericreel.model.failures import FailureError, QueryInvalid
from turmericreel.platform.control_handlers import ControlHandlers
from turmericreel.platform.operator import app
from turmericreel.platform.process import build_listener

UNUSED_ADDRESS = "127.0.0.1:1"


@contextmanager
def serving(coordinator):
    """Serve a coordinator's calls where its group finds them; yield the address."""
    listener = build_listener(
        coordinator.settings.instance,
        ControlHandlers(coordinator=coordinator).application(),
        connections=100,
        memory=DoorMemory(limit_bytes=1_000_000),
    )
    listener.start()
    try:
        yield coordinator.settings.instance
    finally:
        listener.stop(timeout=0)


@pytest.fixture
def system(tmp_path):
    with small_system(tmp_path, n_coordinators=3) as running, ExitStack() as stack:
        for coordinator in running.coordinators:
            coordinator.evacuations.data_centres = lambda: {"a", "b"}
            stack.enter_context(serving(coordinator))
        yield running


def run(*arguments):
    return CliRunner().invoke(app, list(arguments), catch_exceptions=True)


def test_order_reaches_the_leader_through_another_coordinator_after_a_lost_one(system):
    leader = system.leader
    other = next(c for c in system.coordinators if c is not leader)
    options = ["--coordinator", UNUSED_ADDRESS]
    options += ["--coordinator", other.settings.instance]
    for command, is_evacuated in (("evacuate", True), ("end-evacuation", False)):
        assert run(command, "b", *options).exit_code == 0
        assert leader.machine.evacuations["b"].is_evacuated is is_evacuated


def test_unknown_data_centre_is_refused_at_once(system):
    result = run("evacuate", "c", "--coordinator", system.leader.settings.instance)
    assert isinstance(result.exception, FailureError)
    assert isinstance(result.exception.failure, QueryInvalid)


def test_order_without_an_acknowledgement_is_not_reported_as_done():
    result = run("evacuate", "b", "--coordinator", UNUSED_ADDRESS, "--timeout", "0.1")
    assert isinstance(result.exception, FailureError)
    assert "evacuated" not in result.output
