"""Load orders are paced, idempotent, fenced, resumed, superseded and rolled back."""

from collections import Counter

import pytest

from test.spread.library import announce, left
from test.spread.memory_log import MemoryLog, SharedLog
from turmericreel.control.order_plan import MAX_ATTEMPTS, MAX_OPEN_ORDERS
from turmericreel.control.orders import RESEND_INTERVAL_S, LoadOrders, OrderSender
from turmericreel.model.ids import FencingToken, Revision, SubmissionId, VersionId
from turmericreel.protocols.backend import OrderAnswer, OrderKind, OrderState
from turmericreel.state.commands.base import Done
from turmericreel.state.commands.configuration import SubmitText
from turmericreel.state.commands.orders import EndOrder, OrderEnd
from turmericreel.state.tables.orders import OrderProgress, OrderTable
from turmericreel.util.clock import ManualClock

ORDERS_PER_SECOND = 0.5
ORDER_INTERVAL_S = 1 / ORDERS_PER_SECOND


class FakeServers(OrderSender):
    """Fake servers, which execute each order once and do not check the token."""

    def __init__(self):
        self.orders: dict[str, OrderState] = {}
        self.sent: list = []
        self.first_state = OrderState.RUNNING
        self.on_send = lambda: None

    def send(self, order, server):
        """Record the order and return its state."""
        self.on_send()
        self.sent.append(order)
        state = self.orders.setdefault(order.order, self.first_state)
        return OrderAnswer(order=order.order, state=state)

    def finish(self, state: OrderState = OrderState.DONE) -> None:
        """End all running orders."""
        for order, known in self.orders.items():
            if known is OrderState.RUNNING:
                self.orders[order] = state

    def load_sends(self) -> Counter:
        """Count the sends of each load order."""
        return Counter(o.order for o in self.sent if o.kind is OrderKind.LOAD_VERSION)


class OrdersHarness:
    """Two control instances over one shared log, with fake servers."""

    def __init__(self, *, n_servers: int = 6, checks_fencing: bool = True):
        self.clock = ManualClock(now=100.0)
        self.shared = SharedLog()
        self.servers = FakeServers()
        self.orders = {name: self._orders(name) for name in ("c1", "c2")}
        self.set_leader("c1")
        for n in range(n_servers):
            self.commit(announce(f"s{n}", home="e1", checks_fencing=checks_fencing))

    def _orders(self, name: str) -> LoadOrders:
        return LoadOrders(
            log=MemoryLog(name=name, shared=self.shared, clock=self.clock),
            sender=self.servers,
            clock=self.clock,
            orders_per_second=ORDERS_PER_SECOND,
        )

    def set_leader(self, name: str) -> None:
        """Make an instance the leader, in a new term."""
        self.shared.leader = name
        self.shared.token = FencingToken(self.shared.token + 1)

    def commit(self, command):
        """Commit a command at the leader."""
        return self.orders[self.shared.leader].log.propose(command, timeout=1)

    def submit_target(self, n_servers: int, *, state: str = "rolling_out") -> None:
        """Submit a text with the number of servers that are to load the new version."""
        base = self.configuration_table.revision
        text = (
            '[services.helper-llm]\nkind = "assistant"\n'
            '[services.helper-llm.versions.small]\nmodel = "m"\n'
            '[services.helper-llm.versions.next]\nmodel = "n"\n'
            f'state = "{state}"\nservers = {n_servers}\n'
        )
        self.commit(
            SubmitText(
                submission=SubmissionId(f"s{base}"),
                base_revision=Revision(base),
                text=text,
            )
        )

    @property
    def configuration_table(self):
        """Configuration table."""
        return self.shared.machine.configuration

    @property
    def order_table(self) -> OrderTable:
        """Order table."""
        return self.shared.machine.orders

    def run(self, seconds: float) -> None:
        """Advance the clock and run the cycles of both instances."""
        for _ in range(int(seconds / 0.5)):
            self.clock.advance(0.5)
            for orders in self.orders.values():
                orders.run_cycle()

    def progress(self) -> Counter:
        """Count the orders by end, or by progress while open."""
        return Counter(o.end or o.progress for o in self.order_table.orders.values())


def test_orders_are_paced_and_executed_once():
    harness = OrdersHarness()
    harness.submit_target(4)
    harness.run(ORDER_INTERVAL_S * 2 + 0.5)
    assert 1 <= len(harness.servers.load_sends()) <= 3
    harness.run(ORDER_INTERVAL_S * 10)
    assert len(harness.servers.load_sends()) == 4
    assert len({o.order.split("/")[0] for o in harness.servers.sent}) == 4
    harness.servers.finish()
    harness.run(ORDER_INTERVAL_S * 10)
    assert harness.progress() == {OrderEnd.DONE: 4}
    assert len(harness.servers.load_sends()) == 4


def test_order_without_final_answer_is_resent_under_same_id():
    harness = OrdersHarness()
    harness.submit_target(1)
    harness.run(ORDER_INTERVAL_S + RESEND_INTERVAL_S * 3)
    ((order, n_sends),) = harness.servers.load_sends().items()
    assert n_sends >= 3
    assert harness.order_table.orders[order].progress is OrderProgress.ISSUED


def test_new_leader_continues_with_own_token_without_burst():
    harness = OrdersHarness()
    harness.submit_target(3)
    harness.run(ORDER_INTERVAL_S + 0.5)
    assert len(harness.servers.load_sends()) == 1
    harness.set_leader("c2")
    harness.run(0.5)
    assert len(harness.servers.load_sends()) == 1
    harness.run(ORDER_INTERVAL_S * 8)
    assert len(harness.servers.load_sends()) == 3
    tokens = [o.fencing_token for o in harness.servers.sent]
    assert tokens == sorted(tokens)
    assert tokens[-1] == 2


def test_interrupted_roll_out_is_rolled_back():
    harness = OrdersHarness()
    harness.submit_target(4)
    harness.run(ORDER_INTERVAL_S * 2 + 0.5)
    n_sent = len(harness.servers.load_sends())
    assert 0 < n_sent < 4
    harness.set_leader("c2")
    harness.submit_target(4, state="withdrawn")
    harness.run(ORDER_INTERVAL_S * 6)
    assert len(harness.servers.load_sends()) == n_sent
    assert harness.progress()[OrderEnd.SUPERSEDED] == 4 - n_sent
    # Issued loads must end before the version is unloaded again.
    unloads = [o for o in harness.servers.sent if o.kind is OrderKind.UNLOAD_VERSION]
    assert unloads == []
    harness.servers.finish()
    harness.run(RESEND_INTERVAL_S * 4)
    unloads = {
        o.order for o in harness.servers.sent if o.kind.value == "unload_version"
    }
    assert len(unloads) == n_sent


def test_lower_target_supersedes_unsent_orders():
    harness = OrdersHarness()
    harness.submit_target(5)
    harness.run(ORDER_INTERVAL_S + 0.5)
    harness.submit_target(1)
    harness.run(ORDER_INTERVAL_S * 6)
    assert len(harness.servers.load_sends()) == 1
    assert harness.progress()[OrderEnd.SUPERSEDED] == 4


def test_servers_without_fencing_get_orders_after_previous_lease():
    harness = OrdersHarness(checks_fencing=False)
    for orders in harness.orders.values():
        orders.log.orders_allowed_at = lambda: 130.0
    harness.submit_target(1)
    for _ in range(59):
        harness.run(0.5)
        assert not harness.servers.sent
    harness.run(ORDER_INTERVAL_S)
    assert harness.servers.sent


def test_leadership_lost_before_send_sends_nothing():
    harness = OrdersHarness()
    harness.submit_target(1)
    c1 = harness.orders["c1"]
    propose = c1.log.propose

    def propose_and_stall(command, *, timeout):
        result = propose(command, timeout=timeout)
        if type(command).__name__ == "IssueOrder":
            harness.set_leader("c2")
        return result

    c1.log.propose = propose_and_stall
    for _ in range(20):
        harness.clock.advance(0.5)
        c1.run_cycle()
    assert harness.shared.leader == "c2"
    assert harness.servers.sent == []
    harness.run(1.0)
    assert [o.fencing_token for o in harness.servers.sent] == [2]


@pytest.mark.parametrize("how", ["left", "restarted"])
def test_server_lost_while_loading_is_replaced(how):
    harness = OrdersHarness()
    harness.submit_target(1)
    harness.run(ORDER_INTERVAL_S + 0.5)
    lost = harness.servers.sent[0].order.split("/")[0]
    if how == "left":
        harness.commit(left(lost))
    else:
        harness.commit(announce(lost, home="e1", incarnation=2))
    harness.run(ORDER_INTERVAL_S * 4)
    assert harness.progress()[OrderEnd.LOST] == 1
    assert len(harness.servers.load_sends()) == 2


def test_attempts_on_failing_servers_are_bounded():
    harness = OrdersHarness(n_servers=2)
    harness.servers.first_state = OrderState.FAILED
    harness.submit_target(2)
    harness.run(ORDER_INTERVAL_S * 40)
    assert len(harness.servers.load_sends()) == 2 * MAX_ATTEMPTS


def test_open_orders_are_bounded():
    harness = OrdersHarness(n_servers=MAX_OPEN_ORDERS + 20)
    harness.submit_target(MAX_OPEN_ORDERS + 20)
    harness.run(0.5)
    assert len(harness.order_table.open_orders()) == MAX_OPEN_ORDERS


def test_servers_announcing_the_version_count_towards_target():
    harness = OrdersHarness(n_servers=1)
    for n in range(3):
        versions = (VersionId("small"), VersionId("next"))
        harness.commit(announce(f"t{n}", home="e1", versions=versions))
    harness.submit_target(3)
    harness.run(ORDER_INTERVAL_S * 4)
    assert harness.servers.sent == []


def test_table_survives_dump_and_load():
    harness = OrdersHarness()
    harness.submit_target(3)
    harness.run(ORDER_INTERVAL_S * 2)
    copy = OrderTable()
    copy.load(harness.shared.machine.orders.dump())
    assert copy.orders == harness.order_table.orders
    assert copy.newest == harness.order_table.newest


def test_issued_order_cannot_be_superseded():
    harness = OrdersHarness()
    harness.submit_target(1)
    harness.run(ORDER_INTERVAL_S + 0.5)
    (order,) = harness.order_table.open_orders()
    dropped = EndOrder(order=order.order, end=OrderEnd.SUPERSEDED)
    assert harness.commit(dropped) == Done(changed=False)
    assert harness.commit(EndOrder(order=order.order, end=OrderEnd.DONE)) == Done()
    assert harness.commit(EndOrder(order=order.order, end=OrderEnd.FAILED)) == Done(
        changed=False
    )
    assert harness.order_table.orders[order.order].end is OrderEnd.DONE
