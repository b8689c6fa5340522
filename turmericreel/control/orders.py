"""Issues load orders on the leader, at a rate that the weight store can sustain."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

import msgspec
from eliot import log_message
from gevent import sleep, spawn
from gevent.timeout import Timeout

from turmericreel.control.order_plan import OrderPlan
from turmericreel.coordination.replicated_log import ReplicatedLog
from turmericreel.model.failures import FailureError
from turmericreel.model.ids import Revision
from turmericreel.model.parsed_texts import parse_text_cached
from turmericreel.model.servers import BackendServer
from turmericreel.protocols.backend import (
    ORDERS_PATH,
    Order,
    OrderAnswer,
    OrderKind,
    OrderState,
)
from turmericreel.protocols.http_client import build_http_client
from turmericreel.state.commands.orders import (
    EndOrder,
    IssueOrder,
    OrderEnd,
    OrderId,
    PlacementKind,
)
from turmericreel.state.commands.union import Command
from turmericreel.state.tables.orders import LoadOrder, OrderProgress
from turmericreel.util.clock import Clock

CYCLE_INTERVAL_S = 0.5
RESEND_INTERVAL_S = 2.0
SEND_TIMEOUT_S = 3.0
PROPOSE_TIMEOUT_S = 3.0
MAX_ISSUED_ORDERS = 16

ORDER_KINDS = {
    PlacementKind.LOAD: OrderKind.LOAD_VERSION,
    PlacementKind.UNLOAD: OrderKind.UNLOAD_VERSION,
}
ORDER_ENDS = {
    OrderState.DONE: OrderEnd.DONE,
    OrderState.FAILED: OrderEnd.FAILED,
    OrderState.STALE_INCARNATION: OrderEnd.LOST,
}


class OrderSender(ABC):
    """Interface for sending orders to backend servers."""

    @abstractmethod
    def send(self, order: Order, server: BackendServer) -> OrderAnswer | None:
        """Send an order and return its answer; None if there was none."""


class HttpOrderSender(OrderSender):
    """Sends orders by ``POST /orders``."""

    def send(self, order: Order, server: BackendServer) -> OrderAnswer | None:
        """Send an order and return its answer; None if there was none."""
        client = build_http_client(server.address, timeout_s=SEND_TIMEOUT_S)
        try:
            response = client.post(ORDERS_PATH, body=msgspec.json.encode(order))
            return msgspec.json.decode(bytes(response.read()), type=OrderAnswer)
        except (OSError, msgspec.MsgspecError) as error:
            log_message("orders:no_answer", order=order.order, detail=str(error))
            return None
        finally:
            client.close()


class TokenBucket:
    """Token bucket that holds at most one token.

    It starts empty, so that repeated changes of leadership can't cause a burst.

    Parameters
    ----------
    per_second : float
        Tokens per second.
    clock : Clock
    """

    def __init__(self, *, per_second: float, clock: Clock):
        self.per_second = per_second
        self.clock = clock
        self.next_at = clock.monotonic() + 1 / per_second

    def restart(self) -> None:
        """Empty the bucket."""
        self.next_at = self.clock.monotonic() + 1 / self.per_second

    def take(self) -> bool:
        """Take a token, and return whether there was one."""
        now = self.clock.monotonic()
        if now < self.next_at:
            return False
        self.next_at = now + 1 / self.per_second
        return True


@dataclass(frozen=True, kw_only=True)
class PlannedState:
    """Change counters of the state used for a plan; equal ones give the same plan."""

    revision: Revision
    servers_index: int
    n_order_changes: int


class LoadOrders:
    """Task that plans load orders and sends them while this instance leads.

    An issued order is sent again, under the same id, until its server reports that it
    has ended.

    Parameters
    ----------
    log : ReplicatedLog
    sender : OrderSender
    clock : Clock
    orders_per_second : float
        Highest rate of load orders that the weight store can sustain.
    """

    def __init__(
        self,
        *,
        log: ReplicatedLog,
        sender: OrderSender,
        clock: Clock,
        orders_per_second: float,
    ):
        self.log = log
        self.sender = sender
        self.clock = clock
        self.bucket = TokenBucket(per_second=orders_per_second, clock=clock)
        self.resend_at: dict[OrderId, float] = {}
        self.leads = False
        self.planned: PlannedState | None = None
        self.task = None

    def start(self) -> None:
        """Start the periodic cycle."""
        self.task = spawn(self._loop)

    def stop(self) -> None:
        """Stop the cycle; the next leader continues with the open orders."""
        if self.task is not None:
            self.task.kill()

    def _loop(self) -> None:
        while True:
            sleep(CYCLE_INTERVAL_S)
            try:
                self.run_cycle()
            except (FailureError, Timeout) as error:
                log_message("orders:cycle_ended", detail=str(error))

    def run_cycle(self) -> None:
        """Plan, issue and resend orders once, if this instance leads."""
        leads = self.log.is_leader()
        if leads and not self.leads:
            self.bucket.restart()
            self.resend_at = {}
            self.planned = None
        self.leads = leads
        if not leads:
            return
        for command in self._plan():
            self._propose(command)
        for order in self.log.machine.orders.open_orders():
            self._advance_order(order)

    def _plan(self) -> list[Command]:
        machine = self.log.machine
        planned = PlannedState(
            revision=machine.configuration.revision,
            servers_index=machine.servers.feed.index,
            n_order_changes=machine.orders.n_changes,
        )
        if planned == self.planned:
            return []
        self.planned = planned
        text = parse_text_cached(machine.configuration.text)
        present = [r.server for r in machine.servers.servers.values() if r.present]
        plan = OrderPlan(text=text, servers=present, orders=machine.orders)
        return plan.plan()

    def _advance_order(self, order: LoadOrder) -> None:
        registered = self.log.machine.servers.servers.get(order.server)
        if registered is None or not self._may_send_to(registered.server):
            return
        if order.progress is OrderProgress.PLACED:
            if not self._may_issue(order):
                return
            self._propose(IssueOrder(order=order.order))
        elif self.resend_at.get(order.order, 0.0) > self.clock.monotonic():
            return
        self.resend_at[order.order] = self.clock.monotonic() + RESEND_INTERVAL_S
        self._send(order, registered.server)

    def _may_send_to(self, server: BackendServer) -> bool:
        """Return whether no order of an earlier leader can still take effect there."""
        if server.checks_fencing:
            return True
        return self.clock.monotonic() >= self.log.orders_allowed_at()

    def _may_issue(self, order: LoadOrder) -> bool:
        open_orders = self.log.machine.orders.open_orders()
        n_issued = sum(o.progress is OrderProgress.ISSUED for o in open_orders)
        if n_issued >= MAX_ISSUED_ORDERS:
            return False
        # Unloading does not use the weight store.
        return order.kind is PlacementKind.UNLOAD or self.bucket.take()

    def _send(self, order: LoadOrder, server: BackendServer) -> None:
        message = Order(
            order=order.order,
            kind=ORDER_KINDS[order.kind],
            fencing_token=self.log.fencing_token(),
            incarnation=order.incarnation,
            version=order.version,
            model=order.model,
        )
        # The process may have been paused since the cycle began.
        if not self.log.is_leader():
            return
        answer = self.sender.send(message, server)
        if answer is None or answer.order != order.order:
            return
        if answer.state in ORDER_ENDS:
            self.resend_at.pop(order.order, None)
            self._propose(EndOrder(order=order.order, end=ORDER_ENDS[answer.state]))

    def _propose(self, command: Command) -> None:
        self.log.propose(command, timeout=PROPOSE_TIMEOUT_S)
