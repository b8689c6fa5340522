"""Failing servers are suspended at all gateways while other servers do better."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from test.routing.library import make_route, make_server
from test.routing.small_system import small_system
from turmericreel.decisions.server_health import (
    FIRST_SUSPENSION_S,
    MAX_SUSPENDED_FRACTION,
    WINDOW_S,
    ServerHealth,
    ServerOutcomes,
)
from turmericreel.fakes.routed_server import Misbehaviour
from turmericreel.model.routing import RouteKind

NAMES = [f"s{n}" for n in range(9)]
SERVERS = [make_server(name) for name in NAMES]


def record_report(
    health, server, *, n_answered=0, n_failed=0, gateways=("g1", "g2"), now=0.0
):
    outcomes = ServerOutcomes(n_answered=n_answered, n_failed=n_failed)
    for gateway in gateways:
        health.record_report(gateway, {server: outcomes}, now=now)


def record_healthy_reports(health, *, now=0.0):
    for name in NAMES[1:]:
        record_report(health, name, n_answered=5, now=now)


def test_server_failing_at_two_gateways_is_suspended_temporarily():
    health = ServerHealth()
    record_report(health, "s0", n_failed=2)
    record_healthy_reports(health)
    assert health.update_suspensions(SERVERS, now=0.1) == {"s0"}
    assert health.update_suspensions(SERVERS, now=FIRST_SUSPENSION_S) == {"s0"}
    assert health.update_suspensions(SERVERS, now=FIRST_SUSPENSION_S + 0.2) == set()


def test_repeated_failure_suspends_a_server_longer():
    health = ServerHealth()
    record_report(health, "s0", n_failed=2)
    assert health.update_suspensions(SERVERS, now=0.0) == {"s0"}
    again = FIRST_SUSPENSION_S + 1.0
    record_report(health, "s0", n_failed=2, now=again)
    assert health.update_suspensions(SERVERS, now=again) == {"s0"}
    assert health.update_suspensions(
        SERVERS, now=again + 2 * FIRST_SUSPENSION_S - 0.1
    ) == {"s0"}


def test_failures_at_a_single_gateway_suspend_no_server():
    health = ServerHealth()
    record_report(health, "s0", n_failed=20, gateways=("g1",))
    record_healthy_reports(health)
    assert health.update_suspensions(SERVERS, now=0.1) == set()


def test_failures_outside_the_window_do_not_count():
    health = ServerHealth()
    record_report(health, "s0", n_failed=2)
    record_healthy_reports(health)
    assert health.update_suspensions(SERVERS, now=WINDOW_S) == set()


def test_server_that_fails_rarely_is_not_suspended():
    health = ServerHealth()
    record_report(health, "s0", n_failed=2, n_answered=20)
    record_healthy_reports(health)
    assert health.update_suspensions(SERVERS, now=0.1) == set()


def test_no_server_is_suspended_when_all_fail_equally():
    health = ServerHealth()
    for name in NAMES:
        record_report(health, name, n_failed=3, n_answered=3)
    assert health.update_suspensions(SERVERS, now=0.1) == set()


def test_most_servers_of_a_failing_version_stay_in_use():
    health = ServerHealth()
    bad = [make_server(f"b{n}", version="v2") for n in range(3)]
    for server in bad:
        record_report(health, server.server, n_failed=10)
    record_healthy_reports(health)
    assert len(health.update_suspensions([*SERVERS, *bad], now=0.1)) <= 1


def test_records_of_absent_servers_are_dropped():
    health = ServerHealth()
    record_report(health, "s0", n_failed=2)
    health.update_suspensions(SERVERS[1:], now=0.1)
    assert not health.records


reports = st.lists(
    st.tuples(
        st.sampled_from(("g1", "g2", "g3")),
        st.sampled_from(NAMES),
        st.integers(0, 5),
        st.integers(0, 5),
        st.floats(0.0, 3.0),
    ),
    max_size=60,
)


@given(reports)
def test_only_failing_servers_are_suspended_up_to_the_limit(reported):
    health = ServerHealth()
    now, has_failed = 0.0, set()
    for gateway, server, n_answered, n_failed, pause in reported:
        now += pause
        record_report(
            health,
            server,
            n_answered=n_answered,
            n_failed=n_failed,
            gateways=(gateway,),
            now=now,
        )
        if n_failed:
            has_failed.add(server)
        suspended = health.update_suspensions(SERVERS, now=now)
        assert suspended <= has_failed
        assert len(suspended) <= len(SERVERS) * MAX_SUSPENDED_FRACTION


@pytest.mark.parametrize("misbehaviour", [Misbehaviour.FAIL, Misbehaviour.CUT_BEFORE])
def test_gateways_share_which_server_fails(tmp_path, misbehaviour):
    with small_system(tmp_path, n_gateways=3) as system:
        # An unsafe request is not retried, so it fails if its server fails.
        system.submit(make_route("/once/", kind=RouteKind.UNSAFE, max_attempts=1))
        for name in ("s1", "s2", "s3"):
            system.add_server(name)
        bad = system.add_server("s4")
        bad.misbehaviours.extend([misbehaviour] * 1_000)
        n_failed = 0
        for n in range(300):
            n_failed += system.call("/once/1", gateway_index=n % 3)[0] != 200
        assert n_failed < 15
