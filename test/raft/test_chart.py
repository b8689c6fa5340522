"""The state chart of roles has no unreachable state and no unhandled event."""

import pytest

from turmericreel.coordination.raft.state import Role
from turmericreel.util.statechart import (
    Chart,
    unhandled_events,
    unreachable_states,
)


@pytest.fixture
def definition() -> dict:
    return Chart(package="turmericreel.coordination.raft", name="raft").definition


def test_all_states_are_reachable(definition):
    assert unreachable_states(definition) == set()


def test_every_event_is_handled_or_ignored_in_every_state(definition):
    assert unhandled_events(definition) == set()


def test_states_are_the_roles(definition):
    assert set(definition["states"]) == {role.value for role in Role}


def test_chart_checks_report_faults(definition):
    definition["states"].append("lost")
    assert unreachable_states(definition) == {"lost"}
    del definition["ignored"]["leader"]
    assert ("leader", "vote_won") in unhandled_events(definition)
