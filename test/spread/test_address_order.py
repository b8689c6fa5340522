"""Subscribers are distributed over senders, near ones first, with jittered pauses."""

from collections import Counter
from random import Random

from turmericreel.coordination.address_order import (
    FIRST_PAUSE_S,
    MAX_PAUSE_S,
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
    addresses = order(1)
    tried = []
    for _ in NEAR + FAR:
        tried.append(addresses.current())
        addresses.move_to_next()
    assert set(tried[:2]) == set(NEAR)
    assert set(tried[2:]) == set(FAR)
    assert addresses.current() == tried[0]


def test_subscribers_are_distributed_over_near_addresses():
    first = Counter(order(seed).current() for seed in range(400))
    assert set(first) == set(NEAR)
    assert min(first.values()) > 150


def test_pauses_are_short_until_all_addresses_failed():
    addresses = order(1)
    for _ in range(len(NEAR + FAR) - 1):
        addresses.move_to_next()
        assert addresses.pause_s() <= FIRST_PAUSE_S
    for _ in range(100):
        addresses.move_to_next()
    pauses = [addresses.pause_s() for _ in range(400)]
    assert max(pauses) <= MAX_PAUSE_S
    assert max(pauses) - min(pauses) > MAX_PAUSE_S / 2
    addresses.record_success()
    assert addresses.pause_s() <= FIRST_PAUSE_S


def test_redirect_to_a_known_address_is_followed():
    addresses = order(1)
    addresses.prefer("f2")
    assert addresses.current() == "f2"
    addresses.prefer("unknown")
    assert addresses.current() == "f2"


def test_calls_are_retried_only_after_transient_failures():
    assert retry_pause_s(ControlOverloaded(retry_after_ms=300)) == 0.3
    assert retry_pause_s(NotLeader()) > 0
    assert retry_pause_s(CommitUnknown()) > 0
    assert retry_pause_s(Unauthenticated()) is None
