"""Subscribers spread over senders, near ones first, and do not reconnect as one."""

from collections import Counter
from random import Random

from turmericreel.coordination.address_order import (
    FIRST_PAUSE_S,
    LONGEST_PAUSE_S,
    AddressOrder,
)
from turmericreel.coordination.control_calls import retry_pause_s
from turmericreel.model.failures import (
    CommitUnknown,
    ControlOverloaded,
    NotLeader,
    Unauthenticated,
)

NEAR = ["n1", "n2"]
FAR = ["f1", "f2", "f3"]


def order(seed: int) -> AddressOrder:
    return AddressOrder(near=NEAR, far=FAR, rng=Random(seed))


def test_near_addresses_come_first_and_all_are_tried():
    one = order(1)
    tried = []
    for _ in NEAR + FAR:
        tried.append(one.current())
        one.move_to_next()
    assert set(tried[:2]) == set(NEAR)
    assert set(tried[2:]) == set(FAR)
    assert one.current() == tried[0]


def test_subscribers_spread_over_the_near_addresses():
    first = Counter(order(seed).current() for seed in range(400))
    assert set(first) == set(NEAR)
    assert min(first.values()) > 150


def test_pauses_are_short_until_all_addresses_failed():
    one = order(1)
    for _ in range(len(NEAR + FAR) - 1):
        one.move_to_next()
        assert one.pause_s() <= FIRST_PAUSE_S
    for _ in range(100):
        one.move_to_next()
    pauses = [one.pause_s() for _ in range(400)]
    assert max(pauses) <= LONGEST_PAUSE_S
    assert max(pauses) - min(pauses) > LONGEST_PAUSE_S / 2
    one.record_success()
    assert one.pause_s() <= FIRST_PAUSE_S


def test_redirect_to_a_known_address_is_followed():
    one = order(1)
    one.prefer("f2")
    assert one.current() == "f2"
    one.prefer("unknown")
    assert one.current() == "f2"


def test_calls_are_tried_again_only_where_that_helps():
    assert retry_pause_s(ControlOverloaded(retry_after_ms=300)) == 0.3
    assert retry_pause_s(NotLeader()) > 0
    assert retry_pause_s(CommitUnknown()) > 0
    assert retry_pause_s(Unauthenticated()) is None
