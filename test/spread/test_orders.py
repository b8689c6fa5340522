"""Load orders: paced, idempotent, fenced, resumed, superseded and rolled back."""

from collections import Counter

import pytest

from test.spread.library import announce, left
from test.spread.memory_log import MemoryLog, SharedLog
from turmericreel.control.order_plan import MAX_ATTEMPTS, MAX_OPEN_ORDERS
from turmericreel.control.orders import ASK_AGAIN_S, LoadOrders, OrderSender
from turmericreel.model.ids import FencingToken, Revision, SubmissionId, VersionId
from turmericreel.protocols.backend import OrderAnswer, OrderKind, OrderState
from turmericreel.state.commands.base import Done
from turmericreel.state.commands.configuration import SubmitText
from turmericreel.state.commands.orders import EndOrder, OrderEnd
from turmericreel.state.tables.orders import OrderProgress, OrderTable
from turmericreel.util.clock import ManualClock

PER_SECOND = 0.5
PAUSE_S = 1 / PER_SECOND


class Servers(OrderSender):
    """Servers that take orders, each once, and may ignore the token."""

    def __init__(self):
        self.orders: dict[str, OrderState] = {}
        self.sent: list = []
        self.first_state = OrderState.RUNNING
        self.on_send = lambda: None

    def send(self, order, server):
        """Record the order."""
        self.on_send()
        self.sent.append(order)
        state = self.orders.setdefault(order.order, self.first_state)
        return OrderAnswer(order=order.order, state=state)

    def finish(self, state: OrderState = OrderState.DONE) -> None:
        """End all that runs."""
        for order, known in self.orders.items():
            if known is OrderState.RUNNING:
                self.orders[order] = state

    def loads(self) -> Counter:
        """Count the sends of each load order."""
        return Counter(o.order for o in self.sent if o.kind is OrderKind.LOAD_VERSION)


class Leaders:
    """Two control instances over one log, and the servers."""

    def __init__(self, *, n_servers: int = 6, checks_fencing: bool = True):
        self.clock = ManualClock(now=100.0)
        self.shared = SharedLog()
        self.servers = Servers()
        self.orders = {name: self._orders(name) for name in ("c1", "c2")}
        self.set_leader("c1")
        for n in range(n_servers):
            self.commit(announce(f"s{n}", home="e1", checks_fencing=checks_fencing))

    def _orders(self, name: str) -> LoadOrders:
        return LoadOrders(
            log=MemoryLog(name=name, shared=self.shared, clock=self.clock),
            sender=self.servers,
            clock=self.clock,
            orders_per_second=PER_SECOND,
        )

    def set_leader(self, name: str) -> None:
        """Change the leader."""
        self.shared.leader = name
        self.shared.token = FencingToken(self.shared.token + 1)

    def commit(self, command):
        """Commit at the leader."""
        return self.orders[self.shared.leader].log.propose(command, timeout=1)

    def want(self, n_servers: int, *, state: str = "rolling_out") -> None:
        """Submit how many servers are to carry the new version."""
        base = self.table_text.revision
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
    def table_text(self):
        """Configuration table."""
        return self.shared.machine.configuration

    @property
    def table(self) -> OrderTable:
        """Order table."""
        return self.shared.machine.orders

    def run(self, seconds: float) -> None:
        """Let both instances work for a while."""
        for _ in range(int(seconds / 0.5)):
            self.clock.advance(0.5)
            for orders in self.orders.values():
                orders.cycle()

    def progress(self) -> Counter:
        """Count the orders by how far they are."""
        return Counter(o.end or o.progress for o in self.table.orders.values())


def test_orders_are_paced_and_each_is_carried_out_once():
    leaders = Leaders()
    leaders.want(4)
    leaders.run(PAUSE_S * 2 + 0.5)
    assert 1 <= len(leaders.servers.loads()) <= 3
    leaders.run(PAUSE_S * 10)
    assert len(leaders.servers.loads()) == 4
    assert len({o.order.split("/")[0] for o in leaders.servers.sent}) == 4
    leaders.servers.finish()
    leaders.run(PAUSE_S * 10)
    assert leaders.progress() == {OrderEnd.DONE: 4}
    assert len(leaders.servers.loads()) == 4


def test_lost_answer_is_asked_after_under_the_same_id():
    leaders = Leaders()
    leaders.want(1)
    leaders.run(PAUSE_S + ASK_AGAIN_S * 3)
    ((order, n_sends),) = leaders.servers.loads().items()
    assert n_sends >= 3
    assert leaders.table.orders[order].progress is OrderProgress.ISSUED


def test_new_leader_carries_on_with_its_own_token_and_no_burst():
    leaders = Leaders()
    leaders.want(3)
    leaders.run(PAUSE_S + 0.5)
    assert len(leaders.servers.loads()) == 1
    leaders.set_leader("c2")
    leaders.run(0.5)
    assert len(leaders.servers.loads()) == 1
    leaders.run(PAUSE_S * 8)
    assert len(leaders.servers.loads()) == 3
    tokens = [o.fencing_token for o in leaders.servers.sent]
    assert tokens == sorted(tokens)
    assert tokens[-1] == 2


def test_interrupted_roll_out_is_rolled_back():
    leaders = Leaders()
    leaders.want(4)
    leaders.run(PAUSE_S * 2 + 0.5)
    n_sent = len(leaders.servers.loads())
    assert 0 < n_sent < 4
    leaders.set_leader("c2")
    leaders.want(4, state="withdrawn")
    leaders.run(PAUSE_S * 6)
    assert len(leaders.servers.loads()) == n_sent
    assert leaders.progress()[OrderEnd.SUPERSEDED] == 4 - n_sent
    # Those under way are waited for, and only then taken off again.
    unloads = [o for o in leaders.servers.sent if o.kind is OrderKind.UNLOAD_VERSION]
    assert unloads == []
    leaders.servers.finish()
    leaders.run(ASK_AGAIN_S * 4)
    unloads = {
        o.order for o in leaders.servers.sent if o.kind.value == "unload_version"
    }
    assert len(unloads) == n_sent


def test_fewer_wanted_drops_what_was_not_sent():
    leaders = Leaders()
    leaders.want(5)
    leaders.run(PAUSE_S + 0.5)
    leaders.want(1)
    leaders.run(PAUSE_S * 6)
    assert len(leaders.servers.loads()) == 1
    assert leaders.progress()[OrderEnd.SUPERSEDED] == 4


def test_servers_that_do_not_check_get_orders_after_the_old_lease():
    leaders = Leaders(checks_fencing=False)
    for orders in leaders.orders.values():
        orders.log.orders_allowed_at = lambda: 130.0
    leaders.want(1)
    for _ in range(59):
        leaders.run(0.5)
        assert not leaders.servers.sent
    leaders.run(PAUSE_S)
    assert leaders.servers.sent


def test_leadership_lost_between_check_and_send_sends_nothing():
    leaders = Leaders()
    leaders.want(1)
    c1 = leaders.orders["c1"]
    propose = c1.log.propose

    def propose_and_stall(command, *, timeout):
        result = propose(command, timeout=timeout)
        if type(command).__name__ == "IssueOrder":
            leaders.set_leader("c2")
        return result

    c1.log.propose = propose_and_stall
    for _ in range(20):
        leaders.clock.advance(0.5)
        c1.cycle()
    assert leaders.shared.leader == "c2"
    assert leaders.servers.sent == []
    leaders.run(1.0)
    assert [o.fencing_token for o in leaders.servers.sent] == [2]


@pytest.mark.parametrize("how", ["left", "restarted"])
def test_server_lost_on_the_way_is_replaced(how):
    leaders = Leaders()
    leaders.want(1)
    leaders.run(PAUSE_S + 0.5)
    lost = leaders.servers.sent[0].order.split("/")[0]
    if how == "left":
        leaders.commit(left(lost))
    else:
        leaders.commit(announce(lost, home="e1", incarnation=2))
    leaders.run(PAUSE_S * 4)
    assert leaders.progress()[OrderEnd.LOST] == 1
    assert len(leaders.servers.loads()) == 2


def test_failing_servers_are_tried_a_bounded_number_of_times():
    leaders = Leaders(n_servers=2)
    leaders.servers.first_state = OrderState.FAILED
    leaders.want(2)
    leaders.run(PAUSE_S * 40)
    assert len(leaders.servers.loads()) == 2 * MAX_ATTEMPTS


def test_open_orders_are_bounded():
    leaders = Leaders(n_servers=MAX_OPEN_ORDERS + 20)
    leaders.want(MAX_OPEN_ORDERS + 20)
    leaders.run(0.5)
    assert len(leaders.table.open_orders()) == MAX_OPEN_ORDERS


def test_servers_that_announce_the_version_count():
    leaders = Leaders(n_servers=1)
    for n in range(3):
        versions = (VersionId("small"), VersionId("next"))
        leaders.commit(announce(f"t{n}", home="e1", versions=versions))
    leaders.want(3)
    leaders.run(PAUSE_S * 4)
    assert leaders.servers.sent == []


def test_table_is_the_same_after_a_dump():
    leaders = Leaders()
    leaders.want(3)
    leaders.run(PAUSE_S * 2)
    copy = OrderTable()
    copy.load(leaders.shared.machine.orders.dump())
    assert copy.orders == leaders.table.orders
    assert copy.newest == leaders.table.newest


def test_order_under_way_cannot_be_dropped():
    leaders = Leaders()
    leaders.want(1)
    leaders.run(PAUSE_S + 0.5)
    (order,) = leaders.table.open_orders()
    dropped = EndOrder(order=order.order, end=OrderEnd.SUPERSEDED)
    assert leaders.commit(dropped) == Done(changed=False)
    assert leaders.commit(EndOrder(order=order.order, end=OrderEnd.DONE)) == Done()
    assert leaders.commit(EndOrder(order=order.order, end=OrderEnd.FAILED)) == Done(
        changed=False
    )
    assert leaders.table.orders[order.order].end is OrderEnd.DONE
