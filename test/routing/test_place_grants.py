"""The leader grants each place of brittle servers once; no network is needed."""

import heapq
from collections import Counter
from itertools import count
from random import Random

import pytest

from turmericreel.decisions.place_grants import (
    LOST_HOLD_S,
    BrittleServer,
    PlaceGrants,
)
from turmericreel.decisions.server_places import place_owners
from turmericreel.model.place_report import PlaceAnswer, PlaceAsk, PlaceReport

SERVICE = "bookings"
N_SLOTS = 6
SERVERS = {
    f"s{n}": BrittleServer(
        server=f"s{n}", service=SERVICE, n_slots=N_SLOTS, max_refusals=2.0
    )
    for n in range(3)
}
N_PLACES = N_SLOTS * len(SERVERS)
DELAY_S = 0.004


def make_ask(number: int = 1, **options) -> PlaceAsk:
    values = {
        "number": number,
        "service": SERVICE,
        "servers": tuple(SERVERS),
        "prefers_first": False,
        "priority": 0,
        "account": "",
        "wait_ms": 1_000,
    }
    return PlaceAsk(**{**values, **options})


def make_report(*asks: PlaceAsk, **options) -> PlaceReport:
    values = {"held": {}, "term": 1, "number": 0}
    return PlaceReport(asks=asks, **{**values, **options})


def make_grants(term: int = 1) -> PlaceGrants:
    return PlaceGrants(term=term, rng=Random(1))


def answer(
    grants: PlaceGrants, gateways: list[str], *, now: float = 0.0
) -> dict[str, PlaceAnswer]:
    return grants.answer(SERVERS, gateways=gateways, now=now)


class World:
    """Gateways, a leader and servers in virtual time.

    Attributes
    ----------
    n_most : int
        Most requests that a server had at a time.
    """

    def __init__(self, *, n_gateways: int, load: float, work_s: float, seed: int):
        self.rng = Random(seed)
        self.gateways = [f"g{n:03}" for n in range(n_gateways)]
        self.grants = make_grants()
        self.work_s = work_s
        self.interval_s = work_s / (load * N_PLACES)
        self.events: list = []
        self.numbers = count()
        self.asks: dict[str, dict[int, PlaceAsk]] = {g: {} for g in self.gateways}
        self.held: dict[str, Counter] = {g: Counter() for g in self.gateways}
        self.confirmed: Counter[str] = Counter()
        self.present: Counter[str] = Counter()
        self.n_most = self.n_served = self.n_refused = self.n_sent = 0

    def run(self, duration_s: float) -> None:
        """Let clients go from gateway to gateway."""
        for gateway in self.gateways:
            self.report(0.0, gateway)
        self.after(DELAY_S, self.arrive)
        now = 0.0
        while self.events and now < duration_s:
            now, _, action, arguments = heapq.heappop(self.events)
            action(now, *arguments)

    def after(self, at: float, action, *arguments) -> None:
        heapq.heappush(self.events, (at, next(self.numbers), action, arguments))

    def arrive(self, now: float) -> None:
        gateway = self.gateways[self.n_sent % len(self.gateways)]
        self.n_sent += 1
        self.asks[gateway][self.n_sent] = make_ask(self.n_sent, wait_ms=130)
        self.report(now, gateway)
        self.after(now + self.rng.expovariate(1 / self.interval_s), self.arrive)

    def report(self, now: float, gateway: str) -> None:
        report = make_report(
            *self.asks[gateway].values(),
            held=dict(+self.held[gateway]),
            number=self.confirmed[gateway],
            held_ms={SERVICE: self.work_s * 1_000},
        )
        self.after(now + DELAY_S, self.receive_report, gateway, report)

    def receive_report(self, now: float, gateway: str, report: PlaceReport) -> None:
        self.grants.record_report(gateway, report, SERVERS, now=now)
        for other, granted in answer(self.grants, self.gateways, now=now).items():
            self.after(now + DELAY_S, self.receive_answer, other, granted)

    def receive_answer(self, now: float, gateway: str, granted: PlaceAnswer) -> None:
        self.confirmed[gateway] = max(self.confirmed[gateway], granted.number)
        for number in granted.refused:
            self.n_refused += self.asks[gateway].pop(number, None) is not None
        for number, server in granted.granted.items():
            if self.asks[gateway].pop(number, None) is not None:
                self.held[gateway][server] += 1
                self.after(now + DELAY_S, self.begin, gateway, server)
        self.report(now, gateway)

    def begin(self, now: float, gateway: str, server: str) -> None:
        self.present[server] += 1
        self.n_most = max(self.n_most, self.present[server])
        self.after(now + self.work_s, self.finish, gateway, server)

    def finish(self, now: float, gateway: str, server: str) -> None:
        self.present[server] -= 1
        self.n_served += 1
        self.after(now + DELAY_S, self.end, gateway, server)

    def end(self, now: float, gateway: str, server: str) -> None:
        self.held[gateway][server] -= 1
        self.report(now, gateway)


@pytest.mark.parametrize("n_gateways", [1, 24, 83, 200])
@pytest.mark.parametrize("load", [0.7, 1.5, 4.0])
def test_no_server_gets_more_than_its_places(n_gateways, load):
    world = World(n_gateways=n_gateways, load=load, work_s=0.2, seed=n_gateways)
    world.run(12.0)
    assert world.n_most <= N_SLOTS
    possible = min(load, 1.0) * N_PLACES / world.work_s * 12.0
    assert world.n_served >= 0.8 * possible


def test_a_busy_gateway_among_idle_ones_gets_all_places():
    grants = make_grants()
    gateways = [f"g{n}" for n in range(83)]
    for gateway in gateways:
        grants.record_report(gateway, make_report(), SERVERS, now=0.0)
    asks = [make_ask(n) for n in range(N_PLACES + 5)]
    grants.record_report("g0", make_report(*asks), SERVERS, now=0.0)
    granted = answer(grants, gateways)["g0"].granted
    assert Counter(granted.values()) == dict.fromkeys(SERVERS, N_SLOTS)


def test_the_most_urgent_request_of_all_gateways_is_first():
    grants = make_grants()
    held = dict.fromkeys(SERVERS, N_SLOTS) | {"s0": N_SLOTS - 1}
    report = make_report(make_ask(priority=3), held=held)
    grants.record_report("g0", report, SERVERS, now=0.0)
    grants.record_report("g1", make_report(make_ask(priority=1)), SERVERS, now=0.1)
    assert answer(grants, ["g0", "g1"], now=0.1)["g1"].granted == {1: "s0"}


def test_a_small_account_gets_places_beside_a_large_one():
    grants = make_grants()
    asks = [make_ask(n, account="large") for n in range(100)]
    asks += [make_ask(n, account="small") for n in range(100, 103)]
    grants.record_report("g0", make_report(*asks), SERVERS, now=0.0)
    assert {100, 101, 102} <= set(answer(grants, ["g0"])["g0"].granted)


def test_places_of_gateways_that_have_not_reported_are_left_to_them():
    grants = make_grants()
    gateways = ["g0", "g1", "g2"]
    grants.record_report("g0", make_report(), SERVERS, now=0.0)
    asks = [make_ask(n) for n in range(N_PLACES)]
    grants.record_report("g0", make_report(*asks), SERVERS, now=0.0)
    granted = answer(grants, gateways)["g0"].granted
    slots = {s.server: s.n_slots for s in SERVERS.values()}
    owned = Counter(g for _, g in place_owners(slots, gateways=gateways))
    assert len(granted) == owned["g0"]


def test_places_of_a_lost_gateway_are_held_for_a_while():
    grants = make_grants()
    asks = [make_ask(n) for n in range(N_PLACES)]
    grants.record_report("g0", make_report(*asks), SERVERS, now=0.0)
    assert len(answer(grants, ["g0", "g1"])["g0"].granted) == N_PLACES // 2
    grants.record_report("g1", make_report(), SERVERS, now=0.0)
    grants.remove_gateway("g0", now=0.0)
    asks = [make_ask(n, wait_ms=100_000) for n in range(N_PLACES)]
    grants.record_report("g1", make_report(*asks), SERVERS, now=0.0)
    granted = answer(grants, ["g1"], now=0.1)["g1"].granted
    assert len(granted) <= N_PLACES // 2
    report = make_report(make_ask(99, wait_ms=100_000), number=99)
    grants.record_report("g1", report, SERVERS, now=LOST_HOLD_S)
    assert answer(grants, ["g1"], now=LOST_HOLD_S + 0.1)["g1"].granted


def test_a_grant_on_its_way_is_neither_given_twice_nor_lost():
    grants = make_grants()
    asks = [make_ask(n) for n in range(N_PLACES)]
    grants.record_report("g0", make_report(*asks), SERVERS, now=0.0)
    first = answer(grants, ["g0"])["g0"]
    assert len(first.granted) == N_PLACES
    # Sent before the gateway received the grants.
    grants.record_report("g0", make_report(*asks), SERVERS, now=0.0)
    assert grants.n_held() == N_PLACES
    assert not grants.n_waiting()
    report = make_report(make_ask(200), number=first.number, held={"s0": 1})
    grants.record_report("g0", report, SERVERS, now=0.0)
    assert answer(grants, ["g0"])["g0"].granted.keys() == {200}
    # Of another term, the number confirms nothing.
    stale = make_report(term=7, number=10**6)
    grants.record_report("g0", stale, SERVERS, now=0.0)
    assert grants.n_held() == 1


def test_what_would_come_too_late_is_refused_at_once():
    grants = make_grants()
    asks = [make_ask(n, wait_ms=50) for n in range(500)]
    report = make_report(*asks, held_ms={SERVICE: 100.0})
    grants.record_report("g0", report, SERVERS, now=0.0)
    answered = answer(grants, ["g0"])["g0"]
    n_waiting = 500 - len(answered.granted) - len(answered.refused)
    assert len(answered.granted) == N_PLACES
    # Places come free every 100 / 18 ms.
    assert n_waiting <= 50 / (100 / N_PLACES)
    assert all(retry_ms > 0 for retry_ms in answered.refused.values())


def test_a_server_that_refuses_gets_fewer_requests_for_a_while():
    grants = make_grants()
    held = {"s0": N_SLOTS - 1, "s1": N_SLOTS, "s2": N_SLOTS}
    report = make_report(
        make_ask(wait_ms=10_000), held={**held, "s0": 3}, refused=("s0", "s0")
    )
    grants.record_report("g0", report, SERVERS, now=0.0)
    assert not answer(grants, ["g0"], now=0.1)
    assert answer(grants, ["g0"], now=0.6)["g0"].granted == {1: "s0"}
