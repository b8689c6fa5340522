"""Caller library: unkeyed calls are resent only if not run; answers are verified."""

from dataclasses import replace
from random import Random

import msgspec
import pytest
from gevent.server import StreamServer

from test.library import CALLER_KEY, SmallSystem, wait_until
from turmericreel.client import (
    Caller,
    Completed,
    Interrupted,
    NotRun,
    OutcomeUnknown,
)
from turmericreel.client.address_book import AddressAnswer, AddressBook
from turmericreel.client.resends import next_send
from turmericreel.client.streams import AnswerStream
from turmericreel.entry.application import failure_answer
from turmericreel.entry.http_server import plain_response
from turmericreel.fakes.behaviour import FakeFault
from turmericreel.model.failures import NotRunReason, ProofKind
from turmericreel.model.ids import RequestId
from turmericreel.util.clock import ManualClock, SystemClock

REFUSING_ADDRESS = "127.0.0.1:1"
BOOKING = ("booking-app", "POST", "/book")


def build_caller(system: SmallSystem, **options) -> Caller:
    control = system.instance.control_client
    wait_until(lambda: control.view.instances, what="instances known")
    return Caller(bootstrap=[system.address], key=CALLER_KEY, rng=Random(0), **options)


def set_addresses(caller: Caller, service: str, addresses: list[str]) -> None:
    caller.address_books[service] = AddressBook(
        bootstrap=["any"],
        fetch=lambda _: AddressAnswer(addresses=list(addresses), valid_ms=60_000),
        clock=SystemClock(),
        rng=Random(0),
    )


def start_stub(answer: bytes) -> tuple[StreamServer, list[bytes], str]:
    """Start a listener that reads a request, sends `answer` and closes."""
    requests: list[bytes] = []

    def serve(sock, peer):
        requests.append(sock.recv(65_536))
        sock.sendall(answer)
        sock.close()

    server = StreamServer(("127.0.0.1", 0), serve)
    server.start()
    return server, requests, f"127.0.0.1:{server.server_port}"


def not_run(reason: NotRunReason, retry_after_ms: int | None) -> bytes:
    failure = NotRun(reason=reason, retry_after_ms=retry_after_ms)
    return plain_response(failure_answer(failure))


def test_answers_are_complete(system: SmallSystem):
    caller = build_caller(system)
    whole = "".join(f"mine:{n} " for n in range(16))
    outcome = caller.chat("helper-llm", "echo:mine")
    assert isinstance(outcome, Completed)
    assert (outcome.text, outcome.usage.completion_tokens) == (whole, 16)
    stream = caller.stream("helper-llm", "echo:mine")
    assert "".join(stream) == whole
    assert stream.outcome.text == whole
    booked = caller.call(*BOOKING, body=b"slot", idempotency_key="k1")
    assert isinstance(booked, Completed)
    assert msgspec.json.decode(booked.body)["effect"] == 1


def test_broken_stream_is_interrupted(system: SmallSystem):
    for fake in system.fakes:
        fake.behaviour = replace(fake.behaviour, break_after_tokens=3)
    stream = build_caller(system).stream("helper-llm", "echo:mine")
    assert list(stream) == ["mine:0 ", "mine:1 ", "mine:2 "]
    assert isinstance(stream.outcome, Interrupted)
    assert stream.outcome.delivered_tokens == 3


def test_refused_connection_and_stopping_instance_are_skipped(system: SmallSystem):
    stub, requests, address = start_stub(not_run(NotRunReason.STOPPING, 1_000))
    caller = build_caller(system, sleep=lambda seconds: pytest.fail("no need to wait"))
    set_addresses(caller, "helper-llm", [REFUSING_ADDRESS, address, system.address])
    assert isinstance(caller.chat("helper-llm", "hello"), Completed)
    assert len(requests) == 1
    stub.stop()


def test_retry_after_is_honoured():
    pauses = []
    stub, requests, address = start_stub(not_run(NotRunReason.OVER_LIMIT, 7_000))
    caller = Caller(bootstrap=[], key="k", sleep=pauses.append)
    set_addresses(caller, "helper-llm", [address])
    outcome = caller.chat("helper-llm", "hello", deadline_s=6.0)
    assert isinstance(outcome, NotRun)
    assert (pauses, len(requests)) == ([], 1)
    stub.stop()


def test_call_with_a_lost_answer_is_resent_only_with_a_key(system: SmallSystem):
    stub, requests, address = start_stub(b"")
    caller = build_caller(system, sleep=lambda seconds: None)
    set_addresses(caller, "booking-app", [address, system.address])
    outcome = caller.call(*BOOKING, body=b"slot")
    assert isinstance(outcome, OutcomeUnknown)
    assert (len(requests), system.fakes[2].record.effects) == (1, 0)
    outcome = caller.call(*BOOKING, body=b"slot", idempotency_key="k")
    assert isinstance(outcome, Completed)
    assert (len(requests), system.fakes[2].record.effects) == (2, 1)
    stub.stop()


def test_unknown_outcome_never_becomes_not_run():
    lost, requests, lost_address = start_stub(b"")
    answer = not_run(NotRunReason.VERSION_NOT_ALLOWED, None)
    refusing, more, refusing_address = start_stub(answer)
    caller = Caller(bootstrap=[], key="k", sleep=lambda seconds: None)
    set_addresses(caller, "booking-app", [lost_address, refusing_address])
    outcome = caller.call(*BOOKING, idempotency_key="k")
    assert (len(requests), len(more)) == (1, 1)
    assert isinstance(outcome, OutcomeUnknown)
    lost.stop()
    refusing.stop()


def test_wrong_key_is_not_run(system: SmallSystem):
    caller = Caller(bootstrap=[system.address], key="tr_stranger")
    outcome = caller.chat("helper-llm", "hello")
    assert isinstance(outcome, NotRun)
    assert outcome.reason is NotRunReason.UNAUTHENTICATED


def test_address_list_is_cached_while_valid():
    clock = ManualClock()
    fetched_from = []

    def fetch(address):
        fetched_from.append(address)
        return AddressAnswer(addresses=["a", "b"], valid_ms=5_000)

    book = AddressBook(bootstrap=["x"], fetch=fetch, clock=clock, rng=Random(0))
    assert book.current() == ["a", "b"]
    book.drop("a")
    clock.advance(4.9)
    assert book.current() == ["b"]
    clock.advance(0.2)
    assert book.current() == ["a", "b"]
    assert len(fetched_from) == 2


def test_call_that_may_have_run_is_not_resent_without_a_key():
    unknown = OutcomeUnknown(request_id="")
    options = {"n_sends": 1, "n_addresses_left": 3}
    assert next_send(unknown, has_key=False, **options) is None
    assert next_send(unknown, has_key=True, **options) is not None
    with_request_id = OutcomeUnknown(request_id="r")
    assert next_send(with_request_id, has_key=True, **options) is None
    interrupted = Interrupted(request_id="r")
    assert next_send(interrupted, has_key=True, **options) is None
    refused = NotRun(
        reason=NotRunReason.NO_HEALTHY_SERVER, proof=ProofKind.CONNECTION_REFUSED
    )
    assert next_send(refused, has_key=False, **options).pause_s == 0


class ScriptedResponse:
    """Response with the lines of given events."""

    def __init__(self, events: list[bytes]):
        self.lines = [line for event in events for line in (event + b"\n", b"\n")]

    def readline(self, sep: bytes) -> bytes:
        """Return the next line, or ``b""`` at the end."""
        return self.lines.pop(0) if self.lines else b""


def chunk(number: int, *, request: str = "r", text: str = "x") -> bytes:
    value = {
        "id": request,
        "choices": [{"delta": {"content": text}}],
        "sequence": number,
    }
    return b"data: " + msgspec.json.encode(value)


LAST = b'data: {"id":"r","choices":[{"finish_reason":"stop"}]}'
DONE = b"data: [DONE]"


@pytest.mark.parametrize(
    ("events", "is_complete"),
    [
        ([chunk(0), chunk(1), LAST, DONE], True),
        ([chunk(0), chunk(1), LAST], False),
        ([chunk(0), chunk(1), DONE], False),
        ([chunk(0), chunk(2), LAST, DONE], False),
        ([chunk(0), chunk(0), LAST, DONE], False),
        ([chunk(0), chunk(1, request="other"), LAST, DONE], False),
        ([chunk(0), b"data: {", LAST, DONE], False),
    ],
    ids=["whole", "cut", "unfinished", "gap", "twice", "foreign", "malformed"],
)
def test_stream_is_completed_or_interrupted(events: list[bytes], is_complete: bool):
    stream = AnswerStream(response=ScriptedResponse(events), request_id=RequestId("r"))
    outcome = stream.read()
    assert isinstance(outcome, Completed if is_complete else Interrupted)


def test_resent_booking_with_a_lost_answer_does_not_run_again(system: SmallSystem):
    system.fakes[2].behaviour = replace(
        system.fakes[2].behaviour, fault=FakeFault.NO_ANSWER
    )
    caller = build_caller(system)
    first = caller.call(*BOOKING, body=b"slot", idempotency_key="k2")
    assert isinstance(first, OutcomeUnknown)
    again = caller.call(*BOOKING, body=b"slot", idempotency_key="k2")
    assert isinstance(again, OutcomeUnknown)
    assert system.fakes[2].record.effects == 1
