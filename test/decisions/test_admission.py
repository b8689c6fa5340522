"""Account limits hold over all instances, and queueing is fair between accounts."""

from collections import Counter

import pytest
from gevent import sleep, spawn
from hypothesis import given, settings
from hypothesis import strategies as st

from test.decisions.library import SERVICE, make_request
from turmericreel.decisions.account_limits import (
    FLOOR_FRACTION,
    SLICE_LEASE_S,
    AccountLimits,
    SliceAllocator,
)
from turmericreel.decisions.fair_admission import MAX_WAITING, FairAdmission
from turmericreel.decisions.fair_queue import FairQueue, QueuedRequest
from turmericreel.entry.admission import AdmissionGate
from turmericreel.model.failures import FailureError, NotRunReason
from turmericreel.model.ids import ClientAccountId, InstanceId, RequestId
from turmericreel.model.text import ClientAccountText, OperatorsText
from turmericreel.util.clock import ManualClock, SystemClock

LARGE = ClientAccountText(key_hashes=[], allowed={}, requests_per_second=1e6)
LIMIT = 100.0


def waiting(number: int, account: str, *, deadline: float = 10.0, share: float = 1.0):
    """Return a queued request."""
    return QueuedRequest(
        deadline=deadline,
        number=number,
        request=RequestId(f"r{number}"),
        account=ClientAccountId(account),
        share=share,
    )


def test_small_account_is_served_as_often_as_a_large_one():
    queue = FairQueue(max_length=100)
    for n in range(50):
        queue.push(waiting(n, "large"))
    for n in range(50, 55):
        queue.push(waiting(n, "small"))
    first = Counter(queue.pop().account for _ in range(10))
    assert first == {"large": 5, "small": 5}


def test_accounts_are_served_in_proportion_to_their_shares():
    queue = FairQueue(max_length=1_000)
    for n in range(300):
        queue.push(waiting(n, "large", share=3.0))
        queue.push(waiting(1_000 + n, "small", share=1.0))
    first = Counter(queue.pop().account for _ in range(200))
    assert 145 <= first["large"] <= 155


def test_earliest_deadline_is_first_within_an_account():
    queue = FairQueue(max_length=10)
    for n, deadline in enumerate([5.0, 2.0, 9.0]):
        queue.push(waiting(n, "a", deadline=deadline))
    assert [queue.pop().deadline for _ in range(3)] == [2.0, 5.0, 9.0]


def test_full_queue_evicts_only_from_the_account_that_filled_it():
    queue = FairQueue(max_length=20)
    for n in range(20):
        queue.push(waiting(n, "large", deadline=float(n)))
    evicted = queue.push(waiting(99, "small"))
    assert (evicted.account, evicted.deadline) == ("large", 19.0)
    assert queue.length == 20


def test_request_over_the_limit_is_refused_with_retry_after():
    admission = FairAdmission()
    account = ClientAccountText(key_hashes=[], allowed={}, requests_per_second=2.0)
    refusals = [admission.admit(make_request(n), account, now=0.0) for n in range(5)]
    assert [r is None for r in refusals] == [True, True, False, False, False]
    assert refusals[2].reason is NotRunReason.OVER_LIMIT
    assert refusals[2].retry_after_ms == 500


def test_request_that_would_miss_its_deadline_is_refused_early():
    admission = FairAdmission()
    for n in range(30):
        request = make_request(n)
        admission.admit(request, LARGE, now=0.0)
        admission.begin(request, LARGE, n_slots=2, now=0.0)
    refusal = admission.admit(make_request(99, deadline=5.0), LARGE, now=0.0)
    accepted = admission.admit(make_request(100, deadline=60.0), LARGE, now=0.0)
    assert refusal.reason is NotRunReason.DEADLINE_TOO_NEAR
    assert refusal.retry_after_ms > 1_000
    assert accepted is None


def test_queue_is_bounded():
    admission = FairAdmission()
    for n in range(2 * MAX_WAITING):
        admission.begin(make_request(n), LARGE, n_slots=1, now=0.0)
    assert admission.services[SERVICE].queue.length == MAX_WAITING
    assert len(admission.collect_dropped()) == MAX_WAITING - 1


@settings(max_examples=60)
@given(
    st.lists(
        st.tuples(st.integers(0, 4), st.floats(0.0, 200.0), st.floats(0.0, 3.0)),
        min_size=1,
        max_size=60,
    )
)
def test_unexpired_slices_never_exceed_the_limit_and_the_floor(calls):
    allocator = SliceAllocator()
    account = ClientAccountId("large")
    unexpired: dict[int, list[tuple[float, float]]] = {}
    now = 0.0
    for instance, demand, pause in calls:
        now += pause
        fraction = allocator.lend(
            InstanceId(f"i{instance}"), account, demand=demand, n_instances=5, now=now
        )
        # An answer may arrive late, so any unexpired slice may still be in use.
        unexpired.setdefault(instance, []).append((fraction, now + SLICE_LEASE_S))
        total = sum(
            max((f for f, until in slices if until > now), default=0.0)
            for slices in unexpired.values()
        )
        assert total <= 1.0 + FLOOR_FRACTION + 1e-9


def test_instance_that_callers_move_to_gets_a_slice():
    allocator = SliceAllocator()
    account = ClientAccountId("large")
    arguments = {"demand": 90.0, "n_instances": 2}
    for second in range(5):
        now = float(second)
        allocator.lend(InstanceId("old"), account, now=now, **arguments)
    immediate = allocator.lend(InstanceId("new"), account, now=4.1, **arguments)
    after_lease = allocator.lend(InstanceId("new"), account, now=6.2, **arguments)
    assert immediate > 0.1
    assert after_lease > 0.9


def test_slices_follow_the_demand():
    allocator = SliceAllocator()
    account = ClientAccountId("large")
    fractions = {}
    for second in range(30):
        for name, demand in (("a", 90.0), ("b", 10.0)):
            fractions[name] = allocator.lend(
                InstanceId(name),
                account,
                demand=demand,
                n_instances=2,
                now=float(second),
            )
    assert fractions["a"] > 0.8
    assert 0.05 < fractions["b"] < 0.3


def test_a_released_slice_can_be_lent_at_once():
    allocator = SliceAllocator()
    account = ClientAccountId("large")

    def lend(name: str) -> float:
        return allocator.lend(
            InstanceId(name), account, demand=90.0, n_instances=1, now=0.0
        )

    assert lend("old") >= 1.0
    assert lend("new") < 0.5
    allocator.release(InstanceId("old"))
    assert lend("new") >= 1.0


def test_twelve_instances_admit_no_more_than_the_limit_and_the_stated_overshoot():
    # The floors, one second of bursts, one second of equal shares until slices arrive.
    overshoot = FLOOR_FRACTION * LIMIT * 30 + 2 * LIMIT + 12
    allocator = SliceAllocator()
    account = ClientAccountId("large")
    holders = [AccountLimits() for _ in range(12)]
    n_admitted = 0
    for tick in range(3_000):
        now = tick * 0.01
        if tick % 100 == 0:
            for n, limits in enumerate(holders):
                limits.fallback_fraction = 1 / 12
                if account not in limits.buckets:
                    continue
                demand = limits.collect_demand().get(account, 0)
                fraction = allocator.lend(
                    InstanceId(f"i{n}"),
                    account,
                    demand=float(demand),
                    n_instances=12,
                    now=now,
                )
                limits.grant(account, fraction, deadline=now + SLICE_LEASE_S)
        for n, limits in enumerate(holders):
            if n < 1 + tick // 250:
                wait = limits.take(account, limit=LIMIT, now=now)
                n_admitted += wait == 0.0
    assert n_admitted <= LIMIT * 30 + overshoot
    assert n_admitted >= 0.5 * LIMIT * 30


class _ControlStub:
    """Stub with the parts of the control client that the gate reads."""

    def __init__(self, n_slots: int):
        account = ClientAccountText(key_hashes=[], allowed={})
        text = OperatorsText(client_accounts={ClientAccountId("household"): account})
        self.view = type("View", (), {})()
        self.view.text = text
        self.view.servers = {}
        self.view.instances = ()
        self.n_slots_left = n_slots


class _ServerPolicyStub:
    """A server policy with a fixed number of slots."""

    def __init__(self, n_slots: int):
        self.fixed_n_slots = n_slots

    def n_slots(self, servers, *, now: float) -> float:
        """Return the fixed number of slots."""
        return self.fixed_n_slots


def build_gate(n_slots: int, clock) -> AdmissionGate:
    """Return an admission gate for a number of slots."""
    policies = type("Policies", (), {})()
    policies.admission = FairAdmission()
    policies.servers = _ServerPolicyStub(n_slots)
    return AdmissionGate(control=_ControlStub(n_slots), policies=policies, clock=clock)


def test_requests_wait_for_a_slot_and_leave_no_state():
    gate = build_gate(2, SystemClock())
    n_running = 0
    max_running = 0

    def run(number: int) -> None:
        nonlocal n_running, max_running
        with gate.admitted(make_request(number, deadline=1e12)):
            n_running += 1
            max_running = max(max_running, n_running)
            sleep(0.001)
            n_running -= 1

    tasks = [spawn(run, n) for n in range(20)]
    for task in tasks:
        task.get(timeout=10)
    load = gate.policies.admission.services[SERVICE]
    assert max_running == 2
    assert not load.running
    assert not load.waiting
    assert not gate.waiters


def test_killed_waiting_request_frees_its_turn():
    gate = build_gate(1, SystemClock())
    ran = []

    def run(number: int, pause: float) -> None:
        with gate.admitted(make_request(number, deadline=1e12)):
            ran.append(number)
            sleep(pause)

    first = spawn(run, 0, 0.01)
    sleep(0)
    second = spawn(run, 1, 0)
    third = spawn(run, 2, 0)
    sleep(0)
    second.kill()
    first.get(timeout=10)
    third.get(timeout=10)
    assert ran == [0, 2]


def test_waiting_request_fails_at_its_deadline():
    clock = ManualClock()
    gate = build_gate(0, clock)
    task = spawn(lambda: gate.admitted(make_request(1, deadline=0.0)).__enter__())
    with pytest.raises(FailureError) as raised:
        task.get(timeout=10)
    assert raised.value.failure.reason is NotRunReason.DEADLINE_TOO_NEAR
