"""Executes a stand-in server's orders, with fencing tokens and idempotence."""

from collections.abc import Callable

import msgspec
from gevent import sleep, spawn

from turmericreel.fakes.behaviour import FakeBehaviour
from turmericreel.model.ids import FencingToken
from turmericreel.model.servers import BackendServer
from turmericreel.protocols.backend import (
    Order,
    OrderAnswer,
    OrderKind,
    OrderState,
)
from turmericreel.protocols.http_client import build_http_client
from turmericreel.protocols.weights import FETCH_PATH, FetchRequest

FETCH_TIMEOUT_S = 5.0
FETCH_RETRY_PAUSE_S = 0.5
N_FETCH_ATTEMPTS = 20


class OrderExecutor:
    """Executes each order once.

    Parameters
    ----------
    behaviour : callable
        Returns the current behaviour.
    server : callable
        Returns the server's current description.
    on_change : callable
        Called with the server's new description, which it announces.
    """

    def __init__(
        self,
        *,
        behaviour: Callable[[], FakeBehaviour],
        server: Callable[[], BackendServer],
        on_change: Callable[[BackendServer], None],
    ):
        self.behaviour = behaviour
        self.server = server
        self.on_change = on_change
        self.highest_token = FencingToken(0)
        self.answers: dict[str, OrderAnswer] = {}
        self.role = ""

    def execute(self, order: Order) -> OrderAnswer:
        """Execute an order, or return the stored answer if it was received before."""
        if order.incarnation != self.server().incarnation:
            return self._answer(order, OrderState.STALE_INCARNATION)
        is_stale = order.fencing_token < self.highest_token
        if is_stale and self.server().checks_fencing:
            return self._answer(order, OrderState.STALE_TOKEN)
        self.highest_token = max(self.highest_token, order.fencing_token)
        if order.order not in self.answers:
            self.answers[order.order] = self._begin(order)
        return self.answers[order.order]

    def _begin(self, order: Order) -> OrderAnswer:
        match order.kind:
            case OrderKind.CHANGE_ROLE:
                self.role = order.role.value
            case OrderKind.UNLOAD_VERSION:
                self._set_versions(
                    [v for v in self.server().versions if v != order.version]
                )
            case _:
                spawn(self._load, order)
                return self._answer(order, OrderState.RUNNING)
        return self._answer(order, OrderState.DONE)

    def _load(self, order: Order) -> None:
        behaviour = self.behaviour()
        if behaviour.weight_store and not self._fetch(order, behaviour.weight_store):
            self.answers[order.order] = self._answer(order, OrderState.FAILED)
            return
        sleep(behaviour.load_order_ms / 1_000)
        if order.version:
            self._set_versions([*self.server().versions, order.version])
        self.answers[order.order] = self._answer(order, OrderState.DONE)

    def _fetch(self, order: Order, store: str) -> bool:
        fetch_request = FetchRequest(
            server=self.server().server,
            order=order.order,
            model=order.model,
            version=order.version,
        )
        for _ in range(N_FETCH_ATTEMPTS):
            client = build_http_client(store, timeout_s=FETCH_TIMEOUT_S)
            try:
                response = client.post(
                    FETCH_PATH, body=msgspec.json.encode(fetch_request)
                )
                response.read()
                if response.status_code == 200:
                    return True
            except OSError:
                pass
            finally:
                client.close()
            sleep(FETCH_RETRY_PAUSE_S)
        return False

    def _set_versions(self, versions: list) -> None:
        unique = tuple(dict.fromkeys(versions))
        self.on_change(msgspec.structs.replace(self.server(), versions=unique))

    def _answer(self, order: Order, state: OrderState) -> OrderAnswer:
        return OrderAnswer(
            order=order.order, state=state, highest_token=self.highest_token
        )
