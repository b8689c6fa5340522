"""Orders travel over HTTP, and no answer is told from a refusal."""

import msgspec
import pytest
from gevent.pywsgi import WSGIServer

from test.spread.library import server
from turmericreel.control.orders import HttpOrderSender
from turmericreel.model.ids import FencingToken, Incarnation, VersionId
from turmericreel.protocols.backend import (
    ORDERS_PATH,
    Order,
    OrderAnswer,
    OrderKind,
    OrderState,
)

ORDER = Order(
    order="s1/1/helper-llm/next/0",
    kind=OrderKind.LOAD_VERSION,
    fencing_token=FencingToken(7),
    incarnation=Incarnation(1),
    version=VersionId("next"),
    model="oven-next",
)


class OrderTaker:
    """Backend server that takes one kind of call.

    Parameters
    ----------
    body : bytes
        What it answers.
    """

    def __init__(self, body: bytes):
        self.body = body
        self.taken: list[Order] = []
        self.http = WSGIServer(("127.0.0.1", 0), self._serve, log=None)
        self.http.start()

    @property
    def address(self) -> str:
        """Address that it listens on."""
        return f"127.0.0.1:{self.http.server_port}"

    def _serve(self, environ, start_response):
        assert environ["PATH_INFO"] == ORDERS_PATH
        body = environ["wsgi.input"].read()
        self.taken.append(msgspec.json.decode(body, type=Order))
        start_response("200 OK", [("Content-Type", "application/json")])
        return [self.body]


@pytest.fixture
def start():
    takers = []

    def start_taker(body: bytes) -> OrderTaker:
        takers.append(OrderTaker(body))
        return takers[-1]

    yield start_taker
    for taker in takers:
        taker.http.stop(timeout=0)


def test_order_arrives_whole_with_its_token(start):
    answer = OrderAnswer(order=ORDER.order, state=OrderState.RUNNING)
    taker = start(msgspec.json.encode(answer))
    sent = HttpOrderSender().send(ORDER, server("s1", address=taker.address))
    assert sent == answer
    assert taker.taken == [ORDER]


def test_answer_that_is_not_one_counts_as_none(start):
    taker = start(b"<html>")
    assert HttpOrderSender().send(ORDER, server("s1", address=taker.address)) is None
    assert len(taker.taken) == 1


def test_server_that_is_gone_gives_no_answer(start):
    taker = start(b"")
    address = taker.address
    taker.http.stop(timeout=0)
    assert HttpOrderSender().send(ORDER, server("s1", address=address)) is None
