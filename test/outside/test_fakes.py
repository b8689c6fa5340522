"""Stand-ins implement the published protocol; the router tolerates their faults."""

from random import Random

import msgspec
import pytest

from test.library import (
    CALLER_KEY,
    SmallSystem,
    chat_body,
    http_call,
    start_fake,
    wait_until,
)
from turmericreel.client import Caller, Completed
from turmericreel.fakes.backend_server import FakeBackendServer
from turmericreel.fakes.behaviour import FakeBehaviour, FakeFault
from turmericreel.fakes.rating_service import FakeRatingService, RatingBehaviour
from turmericreel.fakes.weight_store import FakeWeightStore
from turmericreel.model.ids import FencingToken, Incarnation, VersionId
from turmericreel.protocols.backend import Order, OrderKind
from turmericreel.util.clock import ManualClock, SystemClock

CHAT = ("POST", "/v1/chat/completions")


def send_chat(system: SmallSystem, label: str, *, stream: bool):
    body = chat_body(f"echo:{label} please", stream=stream)
    return http_call(system.address, *CHAT, body=body)


def set_behaviour(fake: FakeBackendServer, **values) -> None:
    body = msgspec.json.encode(values)
    answer = http_call(fake.server.address, "POST", "/fake/behaviour", body=body)
    assert answer.status == 200


def answer_content(answer, *, stream: bool) -> str:
    if not stream:
        return answer.json()["choices"][0]["message"]["content"]
    events = [e for e in answer.body.split(b"\n\n") if e][:-1]
    chunks = [msgspec.json.decode(e.removeprefix(b"data: ")) for e in events]
    return "".join(chunk["choices"][0]["delta"].get("content", "") for chunk in chunks)


@pytest.mark.parametrize("stream", [False, True], ids=["whole", "streamed"])
@pytest.mark.parametrize("fault", [f for f in FakeFault if f is not FakeFault.NONE])
def test_faulty_server_never_corrupts_an_answer(
    system: SmallSystem, fault: FakeFault, stream: bool
):
    set_behaviour(system.fakes[0], fault=fault.value, late_ms=30)
    set_behaviour(system.fakes[1], fault=fault.value, fault_rate=0.5, late_ms=30)
    for n in range(6):
        label = f"question-{n}"
        answer = send_chat(system, label, stream=stream)
        if answer.status != 200:
            assert answer.header["Turmericreel-Outcome"] != "Completed"
            continue
        if stream and not answer.body.endswith(b"data: [DONE]\n\n"):
            # Without the [DONE] event, the caller knows that the answer is incomplete.
            assert b'"error"' in answer.body
            continue
        whole = "".join(f"{label}:{number} " for number in range(16))
        assert answer_content(answer, stream=stream) == whole
    healthy = http_call(system.address, "GET", "/healthz")
    assert healthy.status == 200


@pytest.mark.parametrize("method", ["POST", "PUT", "DELETE"])
@pytest.mark.parametrize("fault", ["no_answer", "truncated", "foreign_header"])
def test_call_without_answer_is_unknown_and_runs_once(
    system: SmallSystem, method: str, fault: str
):
    booking = system.fakes[2]
    set_behaviour(booking, fault=fault)
    answers = [
        http_call(
            system.address,
            method,
            "/services/booking-app/book",
            body=b"slot 7",
            Idempotency_Key="booking-7",
        )
        for _ in range(3)
    ]
    outcomes = {answer.header["Turmericreel-Outcome"] for answer in answers}
    assert outcomes == {"OutcomeUnknown"}
    assert booking.record.effects == 1


def test_refused_call_runs_on_another_server(system: SmallSystem):
    set_behaviour(system.fakes[0], refuse_rate=1.0)
    control = system.instance.control_client
    wait_until(lambda: control.view.instances, what="instances known")
    caller = Caller(
        bootstrap=[system.address], key=CALLER_KEY, sleep=lambda seconds: None
    )
    for n in range(12):
        # If the retry budget is used up, the caller gets the refusal as not run.
        assert isinstance(caller.chat("helper-llm", f"q{n}"), Completed)
        answer = send_chat(system, f"again{n}", stream=False)
        if answer.status != 200:
            assert answer.header["Turmericreel-Proof"] == "refused_by_protocol"
            assert answer.header["Retry-After"] == "1"
    assert not system.fakes[0].record.requests
    assert system.fakes[0].record.refused


def test_crashed_server_comes_back_as_a_new_incarnation(system: SmallSystem):
    fake = start_fake(
        "oven-9",
        "helper-llm",
        ["small"],
        [system.address],
        FakeBehaviour(poison="XYZZY", restart_after_ms=20),
    )
    system.fakes.append(fake)
    first = fake.server.incarnation
    view = system.instance.control_client.view
    wait_until(lambda: "oven-9" in view.servers, what="oven-9 registered")
    fake.crash()
    wait_until(
        lambda: "oven-9" in view.servers and view.servers["oven-9"].incarnation > first,
        what="oven-9 back",
    )


def test_orders_are_fenced_and_carried_out_once(system: SmallSystem):
    store = FakeWeightStore(
        address="127.0.0.1:0", fetches_per_second=1_000, clock=SystemClock()
    )
    store.start()
    fake = system.fakes[0]
    set_behaviour(fake, weight_store=store.address)
    fake.server = msgspec.structs.replace(fake.server, checks_fencing=True)

    def order(token: int, number: int) -> dict:
        message = Order(
            order=f"order-{number}",
            kind=OrderKind.LOAD_VERSION,
            fencing_token=FencingToken(token),
            incarnation=Incarnation(1),
            version=VersionId("strong"),
        )
        body = msgspec.json.encode(message)
        return http_call(fake.server.address, "POST", "/orders", body=body).json()

    assert order(5, 1)["state"] == "running"
    wait_until(lambda: order(5, 1)["state"] == "done", what="loaded")
    assert order(4, 2)["state"] == "stale_token"
    assert store.n_fetched == 1
    view = system.instance.control_client.view
    wait_until(
        lambda: "strong" in view.servers["oven-1"].versions, what="strong announced"
    )
    store.stop()


def test_weight_store_limits_its_rate():
    clock = ManualClock()
    store = FakeWeightStore(
        address="127.0.0.1:0", fetches_per_second=0.5, clock=clock, burst=2
    )
    assert [store.admit() for _ in range(3)] == [True, True, False]
    clock.advance(2.0)
    assert [store.admit() for _ in range(2)] == [True, False]


def test_rating_service_scores_and_can_be_made_faulty():
    service = FakeRatingService(
        address="127.0.0.1:0",
        behaviour=RatingBehaviour(quality={"small": 0.4}, noise=0.0, bias=0.1),
        rng=Random(0),
    )
    service.start()
    body = msgspec.json.encode(
        {
            "request": "r",
            "service": "helper-llm",
            "version": "small",
            "kind": "chat",
            "prompt": "",
            "answer": "",
        }
    )
    answer = http_call(service.address, "POST", "/score", body=body)
    assert answer.json() == {"request": "r", "score": 0.5}
    broken = msgspec.json.encode({"stuck_at": 1.0})
    http_call(service.address, "POST", "/fake/behaviour", body=broken)
    answer = http_call(service.address, "POST", "/score", body=body)
    assert answer.json()["score"] == 1.0
    service.stop()
