"""Cold servers get no more within any second than they take from all gateways."""

from math import isclose
from random import Random
from statistics import mean

import pytest

from test.decisions.cold_fleet import (
    INTERVAL_S,
    SERVICE,
    ColdFleet,
    make_engine,
)
from turmericreel.decisions.cold_grants import LEARNING_S, ColdGrants, ColdProcess
from turmericreel.decisions.cold_servers import (
    GRANT_VALID_S,
    MAX_COLD_MS,
    ColdLimit,
    KnownCold,
    parse_cold_ms,
)
from turmericreel.decisions.gateway_cold import (
    LEADER_TIMEOUT_S,
    REPORT_KEPT_S,
    GatewayColdServers,
)
from turmericreel.model.cold_server import (
    ColdAnswer,
    ColdDemand,
    ColdGrant,
    ColdReport,
)
from turmericreel.model.server_crash import process_of

LIMIT = ColdLimit(rate=10.0, max_in_second=20.0)
N_GATEWAYS = 300
N_SERVERS = 18
DATA_CENTRE = range(6)
ALL = range(N_SERVERS)
USUAL = 600.0
BURST = 2_000.0


def make_fleet(*, per_second: float = BURST, seed: int = 1, **options) -> ColdFleet:
    options = {"n_gateways": N_GATEWAYS, "n_servers": N_SERVERS, **options}
    return ColdFleet(limit=LIMIT, per_second=per_second, seed=seed, **options)


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("per_second", [USUAL, BURST])
def test_servers_of_a_data_centre_that_come_back_together_ramp_up(per_second, seed):
    fleet = make_fleet(per_second=per_second, seed=seed)
    fleet.run(1.0)
    began = fleet.now
    fleet.make_cold(DATA_CENTRE)
    fleet.run(3.0)
    assert fleet.most <= LIMIT.max_in_second
    assert fleet.n_refused == 0
    rates = [fleet.rate_at(number, since=began + 0.5) for number in DATA_CENTRE]
    assert min(rates) > 0.0
    assert mean(rates) >= 0.4 * LIMIT.rate


@pytest.mark.parametrize("seed", range(2))
def test_one_server_that_gets_cold_in_a_burst_keeps_its_limit(seed):
    fleet = make_fleet(seed=seed)
    fleet.run(1.0)
    began = fleet.now
    fleet.make_cold(range(1))
    fleet.run(2.0)
    fleet.make_cold(range(1))
    fleet.run(3.0)
    assert fleet.most <= LIMIT.max_in_second
    assert fleet.rate_at(0, since=began + 0.5) >= 0.5 * LIMIT.rate


@pytest.mark.parametrize("seed", range(2))
def test_without_a_leader_only_rare_turns_reach_cold_servers(seed):
    fleet = make_fleet(seed=seed)
    for gateway in fleet.gateways:
        gateway.leader = None
    fleet.run(1.0)
    began = fleet.now
    fleet.make_cold(ALL, cold_ms=30_000)
    fleet.run(8.0)
    assert fleet.most <= LIMIT.max_in_second / 2
    total = sum(fleet.rate_at(number, since=began) for number in ALL)
    assert total >= 0.25 * LIMIT.turn_rate * N_SERVERS


@pytest.mark.parametrize("seed", range(2))
def test_without_a_leader_warm_servers_get_what_cold_ones_would(seed):
    fleet = make_fleet(seed=seed)
    for gateway in fleet.gateways:
        gateway.leader = None
    fleet.make_cold(DATA_CENTRE, cold_ms=30_000)
    fleet.run(3.0)
    assert fleet.most == 0
    assert fleet.n_refused == 0


@pytest.mark.parametrize("seed", range(2))
@pytest.mark.parametrize("share_cut", [0.1, 0.5, 0.9])
def test_gateways_that_are_cut_off_stay_within_what_the_leader_leaves(share_cut, seed):
    fleet = make_fleet(seed=seed)
    for gateway in fleet.gateways[: int(N_GATEWAYS * share_cut)]:
        gateway.leader = None
    fleet.make_cold(ALL, cold_ms=30_000)
    fleet.run(5.0)
    assert fleet.most <= LIMIT.max_in_second


@pytest.mark.parametrize("seed", range(2))
def test_change_of_the_leader_never_doubles_the_grants(seed):
    fleet = make_fleet(seed=seed)
    fleet.make_cold(ALL, cold_ms=30_000)
    fleet.run(1.5)
    for _ in range(3):
        fleet.elect()
        fleet.run(1.7)
    assert fleet.most <= LIMIT.max_in_second
    assert fleet.rate_at(0, since=fleet.now - 0.5) > 0.0


@pytest.mark.parametrize("seed", range(2))
def test_grants_that_were_held_up_on_their_way_are_void(seed):
    fleet = make_fleet(seed=seed)
    fleet.make_cold(ALL, cold_ms=30_000)
    fleet.run(1.5)
    for gateway in fleet.gateways[::2]:
        gateway.holds_messages = True
    fleet.run(1.0)
    fleet.release_messages()
    fleet.run(1.5)
    assert fleet.most <= LIMIT.max_in_second


def test_burst_begins_while_servers_are_cold():
    fleet = make_fleet(per_second=USUAL / 10)
    fleet.make_cold(ALL, cold_ms=30_000)
    fleet.run(2.0)
    fleet.per_second = 4 * BURST
    fleet.run(2.0)
    assert fleet.most <= LIMIT.max_in_second


@pytest.mark.parametrize("n_gateways", [1, 2, 8, 74])
def test_small_fleets_keep_the_limit_with_and_without_a_leader(n_gateways):
    fleet = make_fleet(n_gateways=n_gateways)
    fleet.make_cold(ALL, cold_ms=30_000)
    fleet.run(3.0)
    for gateway in fleet.gateways:
        gateway.leader = None
    fleet.run(5.0)
    assert fleet.most <= LIMIT.max_in_second


@pytest.mark.parametrize(
    "rate, bound",
    [(1.0, 1.0), (2.0, 2.0), (4.0, 6.0), (10.0, 20.0), (100.0, 155.0)],
)
def test_what_the_leader_grants_and_turns_stay_within_any_bound(rate, bound):
    limit = ColdLimit(rate=rate, max_in_second=bound)
    fleet = ColdFleet(
        n_gateways=100, n_servers=4, limit=limit, per_second=BURST, seed=1
    )
    for gateway in fleet.gateways[::3]:
        gateway.leader = None
    fleet.make_cold(range(4), cold_ms=30_000)
    fleet.run(5.0)
    assert 0 < fleet.most <= bound
    assert limit.max_granted + 0.5 <= bound + 0.5
    assert limit.granted_rate <= rate


def make_gateway(*, limit: ColdLimit | None = LIMIT) -> GatewayColdServers:
    return GatewayColdServers(
        limit_of=lambda service: limit, n_gateways=lambda: 100, rng=Random(1)
    )


def grant_one(gateway: GatewayColdServers, server, *, now: float) -> None:
    report = gateway.report(now=now)
    grants = (ColdGrant(process=process_of(server), n_granted=1),)
    answer = ColdAnswer(number=report.number, held_ms=0, grants=grants)
    gateway.receive(answer, term=1, now=now)


def test_gateway_without_a_grant_sends_elsewhere():
    gateway = make_gateway()
    cold, warm = make_engine("cold", cold_ms=3_000), make_engine("warm")
    gateway.known.record(cold, now=5.0)
    assert gateway.ready([cold, warm], now=5.0) == [warm]
    grant_one(gateway, cold, now=5.0)
    assert gateway.ready([cold, warm], now=5.1) == [cold, warm]
    gateway.take(cold, now=5.1)
    assert gateway.ready([cold, warm], now=5.1) == [warm]


def test_grant_expires_by_the_time_of_the_report_that_it_answers():
    gateway = make_gateway()
    cold = make_engine("cold", cold_ms=60_000)
    gateway.known.record(cold, now=5.0)
    grant_one(gateway, cold, now=5.0)
    assert gateway.ready([cold], now=5.0 + GRANT_VALID_S - 0.01) == [cold]
    assert gateway.ready([cold], now=5.0 + GRANT_VALID_S) == []


def test_grant_for_a_report_that_is_forgotten_or_unknown_is_void():
    gateway = make_gateway()
    cold = make_engine("cold", cold_ms=60_000)
    gateway.known.record(cold, now=5.0)
    first = gateway.report(now=5.0)
    gateway.report(now=5.0 + REPORT_KEPT_S + 1.0)
    grants = (ColdGrant(process=process_of(cold), n_granted=3),)
    for number in (0, first.number, first.number + 10):
        answer = ColdAnswer(number=number, held_ms=9_000, grants=grants)
        gateway.receive(answer, term=1, now=10.0)
        assert gateway.ready([cold], now=10.0) == []


def test_former_leader_is_ignored_while_the_newer_one_is_present():
    gateway = make_gateway()
    cold = make_engine("cold", cold_ms=60_000)
    gateway.known.record(cold, now=5.0)
    report = gateway.report(now=5.0)
    gateway.receive(ColdAnswer(number=0, held_ms=0), term=2, now=5.0)
    grants = (ColdGrant(process=process_of(cold), n_granted=1),)
    late = ColdAnswer(number=report.number, held_ms=0, grants=grants)
    gateway.receive(late, term=1, now=5.1)
    assert gateway.ready([cold], now=5.1) == []
    gateway.receive(late, term=2, now=5.1)
    assert gateway.ready([cold], now=5.1) == [cold]


def test_gateway_that_knows_fewer_others_since_it_was_cut_off_takes_no_more_turns():
    n_known = 100
    gateway = GatewayColdServers(
        limit_of=lambda service: LIMIT, n_gateways=lambda: n_known, rng=Random(1)
    )
    cold = make_engine("cold", cold_ms=600_000)
    gateway.known.record(cold, now=0.0)
    gateway.report(now=0.0)
    n_known = 1
    n_sent = 0
    for tick in range(20_000):
        if gateway.ready([cold], now=tick / 100):
            gateway.take(cold, now=tick / 100)
            n_sent += 1
    period_s = 100 / LIMIT.turn_rate
    assert 1 <= n_sent <= 200 / period_s + 1


def test_service_without_a_limit_is_served_as_before():
    gateway = make_gateway(limit=None)
    cold = make_engine("cold", cold_ms=60_000)
    gateway.known.record(cold, now=5.0)
    assert gateway.ready([cold], now=5.0) == [cold]
    assert gateway.is_cold(cold, now=5.0)
    gateway.take(cold, now=5.0)
    assert gateway.report(now=5.0) is None


def test_waiting_requests_get_grants_before_others():
    leader = ColdGrants(began_at=0.0, rng=Random(1))
    process = process_of(make_engine("cold"))
    cold = {process: ColdProcess(service=SERVICE, limit=LIMIT)}

    def report(gateway: str, *, n_wanted: int, n_waiting: int, now: float) -> None:
        demand = ColdDemand(service=SERVICE, n_wanted=n_wanted, n_waiting=n_waiting)
        leader.record_report(gateway, ColdReport(number=1, demands=(demand,)), now=now)

    now = LEARNING_S
    report("busy", n_wanted=100, n_waiting=0, now=now)
    report("waits", n_wanted=0, n_waiting=1, now=now)
    leader.answer(cold, gateways=["busy", "waits"], now=now)
    answers = leader.answer(cold, gateways=["busy", "waits"], now=now + 0.15)
    assert [g.process for g in answers["waits"].grants] == [process]
    assert answers["busy"].grants == ()


def test_new_leader_grants_nothing_until_the_grants_of_the_former_are_void():
    leader = ColdGrants(began_at=10.0, rng=Random(1))
    cold = {process_of(make_engine("cold")): ColdProcess(service=SERVICE, limit=LIMIT)}
    demand = ColdDemand(service=SERVICE, n_wanted=100, n_waiting=9)
    for tick in range(int((LEARNING_S + 0.5) / INTERVAL_S)):
        now = 10.0 + tick * INTERVAL_S
        leader.record_report("g", ColdReport(number=1, demands=(demand,)), now=now)
        answer = leader.answer(cold, gateways=["g"], now=now)["g"]
        assert now >= 10.0 + LEARNING_S or answer.grants == ()
    assert LEARNING_S > GRANT_VALID_S
    assert LEADER_TIMEOUT_S > 1.0
    assert leader.n_granted > 0


def test_grants_go_to_connected_gateways_only():
    leader = ColdGrants(began_at=0.0, rng=Random(1))
    cold = {process_of(make_engine("cold")): ColdProcess(service=SERVICE, limit=LIMIT)}
    demand = ColdDemand(service=SERVICE, n_wanted=5, n_waiting=2)
    for gateway in ("lost", "there"):
        report = ColdReport(number=4, demands=(demand,))
        leader.record_report(gateway, report, now=9.5)
    for tick in range(5):
        answers = leader.answer(cold, gateways=["there"], now=9.5 + tick * INTERVAL_S)
    assert set(answers) == {"there"}
    assert answers["there"].number == 4
    assert answers["there"].held_ms <= 600


def test_cold_time_is_kept_as_a_deadline_and_ends_early_if_a_heartbeat_says_so():
    known = KnownCold()
    server = make_engine("s", cold_ms=3_000)
    process = process_of(server)
    assert known.record(server, now=10.0)
    assert not known.record(server, now=10.5)
    assert isclose(known.left_s(process, now=11.5), 2.0)
    assert not known.is_cold(process, now=13.5)
    assert known.record(server, now=20.0)
    assert not known.record(make_engine("s", sequence=9), now=20.5)
    assert not known.is_cold(process, now=20.5)
    assert known.extend(server, cold_s=1.0, now=30.0)
    assert not known.extend(server, cold_s=0.0, now=30.1)
    assert known.cold_processes(now=30.5) == {process: SERVICE}
    assert known.cold_processes(now=31.5) == {}


@pytest.mark.parametrize(
    "text, cold_ms",
    [
        ("2500", 2_500.0),
        ("0", 0.0),
        ("12.5", 12.5),
        ("-1", None),
        ("nan", None),
        ("inf", MAX_COLD_MS),
        ("soon", None),
        ("1e300", MAX_COLD_MS),
    ],
)
def test_cold_times_that_make_no_sense_are_bounded(text, cold_ms):
    assert parse_cold_ms(text) == cold_ms
