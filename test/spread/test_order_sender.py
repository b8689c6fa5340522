"""Orders are sent over HTTP; a malformed or missing answer is returned as None."""

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


class FakeOrderServer:
    """Backend server that accepts orders only.

    Parameters
    ----------
    body : bytes
        Body of its answers.
    """

    def __init__(self, body: bytes):
        self.body = body
        self.received: list[Order] = []
        self.http = WSGIServer(("127.0.0.1", 0), self._serve, log=None)
        self.http.start()

    @property
    def address(self) -> str:
        """Address that the server listens on."""
        return f"127.0.0.1:{self.http.server_port}"

    def _serve(self, environ, start_response):
        assert environ["PATH_INFO"] == ORDERS_PATH
        body = environ["wsgi.input"].read()
        self.received.append(msgspec.json.decode(body, type=Order))
        start_response("200 OK", [("Content-Type", "application/json")])
        return [self.body]


@pytest.fixture
def start():
    servers = []

    def start_server(body: bytes) -> FakeOrderServer:
        servers.append(FakeOrderServer(body))
        return servers[-1]

    yield start_server
    for fake_server in servers:
        fake_server.http.stop(timeout=0)


def test_order_is_sent_unchanged_with_its_token(start):
    answer = OrderAnswer(order=ORDER.order, state=OrderState.RUNNING)
    fake_server = start(msgspec.json.encode(answer))
    sent = HttpOrderSender().send(ORDER, server("s1", address=fake_server.address))
    assert sent == answer
    assert fake_server.received == [ORDER]


def test_malformed_answer_counts_as_none(start):
    fake_server = start(b"<html>")
    assert (
        HttpOrderSender().send(ORDER, server("s1", address=fake_server.address)) is None
    )
    assert len(fake_server.received) == 1


def test_unreachable_server_gives_no_answer(start):
    fake_server = start(b"")
    address = fake_server.address
    fake_server.http.stop(timeout=0)
    assert HttpOrderSender().send(ORDER, server("s1", address=address)) is None
