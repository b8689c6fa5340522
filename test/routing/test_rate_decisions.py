"""Rates are granted to gateways within their limits; no network is needed."""

from random import Random

import pytest

from turmericreel.decisions.gateway_rates import (
    GRANT_VALID_S,
    LEADER_TIMEOUT_S,
    REORDERING_S,
    GatewayRates,
    RetryTimes,
)
from turmericreel.decisions.rate_grants import DEMAND_DECAY_S, RateGrants
from turmericreel.decisions.rate_limits import (
    MAX_RATE,
    PROBE_RATE,
    parse_rate,
)
from turmericreel.model.server_crash import ServerProcess

WINDOW_S = 4.0


@pytest.mark.parametrize(
    "text, rate",
    [
        ("2.3", 2.3),
        ("0", 0.0),
        ("-1", None),
        ("nan", None),
        ("inf", None),
        ("many", None),
        ("", None),
        ("1e300", MAX_RATE),
    ],
)
def test_limits_that_make_no_sense_are_bounded(text, rate):
    assert parse_rate(text) == rate


PROCESS = ServerProcess("s1", 1)
STEP_S = 0.1


def exchange(
    gateways: dict[str, GatewayRates], leader: RateGrants, *, now: float, term: int = 1
) -> None:
    """Let the gateways report, and the leader grant."""
    for name, rates in gateways.items():
        leader.record_report(name, rates.report(now=now), now=now)
    for name, grants in leader.grant(gateways, now=now).items():
        gateways[name].receive(grants, term=term, now=now)


def send_if_allowed(rates: GatewayRates, *, now: float) -> bool:
    rates.count_wanted(PROCESS)
    allowed = rates.may_send(PROCESS, now=now)
    if allowed:
        rates.take(PROCESS, now=now)
    return allowed


@pytest.mark.parametrize("rate", [0.0, 0.5, 2.3, 40.0])
@pytest.mark.parametrize("n_gateways", [1, 12, 69])
def test_granted_requests_stay_within_the_limit_in_any_window(rate, n_gateways):
    gateways = {f"g{n}": GatewayRates(rng=Random(1)) for n in range(n_gateways)}
    leader = RateGrants()
    now, sent = 0.0, []
    gateways["g0"].record_answer(PROCESS, rate, now=now)
    for step in range(300):
        now += STEP_S
        exchange(gateways, leader, now=now)
        # Bursts let gateways save up grants.
        if step // 15 % 2:
            for _ in range(2):
                for rates in gateways.values():
                    sent += [now] * send_if_allowed(rates, now=now)
    most = max(sum(t <= at < t + WINDOW_S for at in sent) for t in sent)
    effective = max(rate, PROBE_RATE)
    assert most <= 1.5 * effective * WINDOW_S + 5
    # Each gateway has ten requests a second on average.
    assert len(sent) >= 0.3 * min(effective, 10.0 * n_gateways) * now


def test_new_leader_and_an_older_one_do_not_grant_to_the_same_gateway():
    rates = GatewayRates(rng=Random(1))
    rates.record_answer(PROCESS, 2.3, now=0.0)
    grants = RateGrants()
    grants.record_report("g", rates.report(now=0.0), now=0.0)
    (limit,) = grants.grant(["g"], now=0.0)["g"]
    rates.receive([limit], term=2, now=0.1)
    deadline = rates.leader_deadline
    assert rates.receive([limit], term=1, now=0.5) == []
    assert rates.leader_deadline == deadline
    # All coordinators may have lost their disks and begun anew.
    rates.receive([limit], term=1, now=deadline)
    assert rates.leader_deadline > deadline


def test_grants_that_were_delivered_to_a_suspended_gateway_expire():
    rates, grants = GatewayRates(rng=Random(1)), RateGrants()
    rates.record_answer(PROCESS, 40.0, now=0.0)
    for step in range(20):
        now = step * STEP_S
        rates.n_wanted[PROCESS] += 4
        exchange({"g": rates}, grants, now=now)
    assert rates.may_send(PROCESS, now=now)
    thawed_at = now + GRANT_VALID_S
    assert not rates.may_send(PROCESS, now=thawed_at)


def test_equal_share_grows_only_while_the_leader_is_lost():
    rates, grants = GatewayRates(rng=Random(1), n_gateways=lambda: 2), RateGrants()
    rates.record_answer(PROCESS, 2.0, now=0.0)
    exchange({"g": rates, "other": GatewayRates(rng=Random(1))}, grants, now=0.0)
    assert not rates.may_send(PROCESS, now=LEADER_TIMEOUT_S)
    assert not rates.may_send(PROCESS, now=LEADER_TIMEOUT_S + 1.0)
    assert rates.may_send(PROCESS, now=LEADER_TIMEOUT_S + 1.5)
    exchange(
        {"g": rates, "other": GatewayRates(rng=Random(1))},
        grants,
        now=LEADER_TIMEOUT_S + 1.5,
    )
    assert not rates.may_send(PROCESS, now=LEADER_TIMEOUT_S + 1.6)


def test_answer_that_was_sent_before_the_limit_does_not_end_it():
    rates = GatewayRates(rng=Random(1))
    rates.record_answer(PROCESS, 2.0, now=0.0)
    assert not rates.record_answer(PROCESS, None, now=REORDERING_S / 2)
    assert rates.n_limited() == 1
    assert rates.record_answer(PROCESS, None, now=REORDERING_S)
    assert rates.n_limited() == 0


def test_grants_go_to_the_gateways_with_traffic():
    busy, idle = GatewayRates(rng=Random(1)), GatewayRates(rng=Random(1))
    gateways = {"busy": busy, "idle": idle}
    leader = RateGrants()
    busy.record_answer(PROCESS, 2.0, now=0.0)
    n_sent = 0
    for step in range(100):
        now = step * STEP_S
        exchange(gateways, leader, now=now)
        n_sent += send_if_allowed(busy, now=now)
    assert n_sent >= 0.8 * 2.0 * now
    assert not idle.grants[PROCESS]
    assert leader.demand[PROCESS]["busy"] > 5 * DEMAND_DECAY_S


def test_gateway_that_was_lost_while_a_request_waited_does_not_hold_the_rate():
    lost, other = GatewayRates(rng=Random(1)), GatewayRates(rng=Random(1))
    leader = RateGrants()
    other.record_answer(PROCESS, 2.0, now=0.0)
    exchange({"lost": lost, "other": other}, leader, now=0.0)
    lost.n_waiting[PROCESS] = 1
    leader.record_report("lost", lost.report(now=0.1), now=0.1)
    for step in range(1, 10):
        exchange({"other": other}, leader, now=step * STEP_S)
    assert other.may_be_granted(PROCESS, now=0.9)


def test_refused_clients_return_as_fast_as_there_is_room():
    times = RetryTimes()
    delays = [times.next_s("service", rate=2.0, now=0.0) for _ in range(4)]
    assert delays == [0.5, 1.0, 1.5, 2.0]
    assert times.next_s("service", rate=2.0, now=10.0) == 0.5


@pytest.mark.parametrize("n_gateways", [10, 83, 200])
def test_many_gateways_without_a_leader_do_not_save_requests_up(n_gateways):
    rate = 2.3
    gateways = [
        GatewayRates(rng=Random(n), n_gateways=lambda: n_gateways)
        for n in range(n_gateways)
    ]
    for rates in gateways:
        rates.record_answer(PROCESS, rate, now=0.0)
        rates.may_send(PROCESS, now=0.0)
    idle_s = 200.0
    sent_at = [
        now
        for step in range(200)
        for rates in gateways
        if send_if_allowed(rates, now=(now := idle_s + step * STEP_S))
    ]
    windows = [
        sum(first <= at < first + WINDOW_S for at in sent_at) for first in sent_at
    ]
    assert 1 <= max(windows) <= 1.5 * rate * WINDOW_S + 5
