"""End-to-end tests: operators' text, routing, streamed answers and billing."""

from test.library import (
    OPERATOR_KEY,
    TEXT,
    SmallSystem,
    chat_body,
    http_call,
    start_instance,
    wait_until,
)
from turmericreel.ui.operator_client import OperatorClient


def test_answer_is_complete_and_billed_once(system: SmallSystem):
    answer = http_call(
        system.address, "POST", "/v1/chat/completions", body=chat_body("hello")
    )
    assert answer.status == 200
    content = answer.json()["choices"][0]["message"]["content"]
    request_id = answer.header["Turmericreel-Request-Id"]
    assert content == "".join(f"{request_id[:8]}:{n} " for n in range(16))
    assert answer.header["Turmericreel-Version"] == "small"
    lines = system.operator.read("statement", account="household")
    assert [line["request"] for line in lines] == [request_id]
    assert lines[0]["attempts"][0]["completion_tokens"] == 16
    assert lines[0]["cost"] > 0


def test_stream_ends_with_done(system: SmallSystem):
    answer = http_call(
        system.address,
        "POST",
        "/v1/chat/completions",
        body=chat_body("hello", stream=True),
    )
    events = [e for e in answer.body.split(b"\n\n") if e]
    assert events[-1] == b"data: [DONE]"
    assert len(events) == 16 + 2


def test_wrong_key_is_not_run(system: SmallSystem):
    answer = http_call(
        system.address,
        "POST",
        "/v1/chat/completions",
        body=chat_body("hello"),
        key="tr_stranger",
    )
    assert answer.status == 401
    assert answer.header["Turmericreel-Outcome"] == "NotRun"
    assert not any(fake.record.requests for fake in system.fakes)


def test_booking_runs_at_most_once(system: SmallSystem):
    path = "/services/booking-app/book"
    first, again = (
        http_call(
            system.address, "POST", path, body=b"slot 7", Idempotency_Key="booking-7"
        )
        for _ in range(2)
    )
    assert first.status == again.status == 200
    assert first.body == again.body
    assert system.fakes[2].record.effects == 1


def test_booking_without_key_is_not_run(system: SmallSystem):
    answer = http_call(
        system.address, "POST", "/services/booking-app/book", body=b"slot 7"
    )
    assert answer.status == 400
    assert system.fakes[2].record.effects == 0


def test_leaving_server_gets_no_new_work(system: SmallSystem):
    system.fakes[0].leave()
    view = system.instance.control_client.view
    wait_until(lambda: "oven-1" not in view.servers, what="oven-1 gone")
    before = len(system.fakes[0].record.requests)
    for n in range(10):
        body = chat_body(f"question {n}")
        answer = http_call(system.address, "POST", "/v1/chat/completions", body=body)
        assert answer.status == 200
    assert len(system.fakes[0].record.requests) == before


def test_restart_keeps_text_and_bill(tmp_path):
    first = start_instance(tmp_path)
    operator = OperatorClient(address=str(first.http_address), key=OPERATOR_KEY)
    operator.submit(submission="s", base_revision=0, text=TEXT)
    first.stop()
    second = start_instance(tmp_path)
    operator = OperatorClient(address=str(second.http_address), key=OPERATOR_KEY)
    current = operator.read("current_text")
    second.stop()
    assert current == {"revision": 1, "text": TEXT}
