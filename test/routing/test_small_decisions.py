"""Tests of placement, retry budget, model cascade, event splitting and headers."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from test.routing.library import MODEL_SIZES, make_route, make_server
from turmericreel.decisions.model_choice import ConfidenceCascade, Pressure
from turmericreel.decisions.prompt_work import PrefillSpeed, PromptWork
from turmericreel.decisions.server_placement import (
    Candidate,
    LeastLoaded,
    Prompt,
    SoonestFirstEvent,
)
from turmericreel.decisions.windowed_budget import WindowedBudget
from turmericreel.gateway.client_request import (
    ClientRequest,
    encode_for_server,
    end_to_end_headers,
    parse_shared_parts,
)
from turmericreel.gateway.event_stream import EventSplitter, EventStreamError
from turmericreel.gateway.header_names import HeaderNames
from turmericreel.gateway.server_loads import (
    MAX_PAUSE_S,
    REPORT_VALID_S,
    ServerLoads,
)
from turmericreel.model.ids import ContentDigest


def candidates(loads):
    return [
        Candidate(server=make_server(name), load=load, work_ms=load)
        for name, load in loads.items()
    ]


def place(placement, loads, prefix_key=""):
    chosen = placement.choose(
        candidates(loads),
        prompt=Prompt(
            prefix_key=prefix_key, full_prefill_ms=100.0, unshared_prefill_ms=20.0
        ),
        data_centre="a",
        rng=Random(1),
    )
    return chosen.server


def test_least_loaded_server_is_chosen():
    assert place(LeastLoaded(), {"s1": 3, "s2": 1, "s3": 2}) == "s2"


def test_remote_server_is_chosen_only_when_less_loaded():
    far = Candidate(server=make_server("far", data_centre="b"), load=0)
    near = Candidate(server=make_server("near"), load=0)
    busy = Candidate(server=make_server("near"), load=1)
    choose = LeastLoaded().choose
    options = {"prompt": Prompt(), "data_centre": "a", "rng": Random(1)}
    assert choose([far, near], **options).server == "near"
    assert choose([far, busy], **options).server == "far"


def test_prompts_with_a_shared_prefix_go_to_the_same_engine():
    placement = SoonestFirstEvent(fallback=LeastLoaded())
    loads = {"s1": 0, "s2": 0, "s3": 0}
    chosen = {place(placement, loads, f"part-{n % 7}") for n in range(70)}
    again = {place(placement, loads, "part-3") for _ in range(5)}
    assert len(again) == 1
    assert len(chosen) > 1


def test_prefix_affinity_yields_to_a_much_higher_load():
    placement = SoonestFirstEvent(fallback=LeastLoaded())
    idle = {"s1": 0, "s2": 0, "s3": 0}
    first = place(placement, idle, "part")
    assert place(placement, {**idle, first: 40}, "part") == first
    assert place(placement, {**idle, first: 200}, "part") != first


@given(st.lists(st.tuples(st.booleans(), st.floats(0, 3)), max_size=80))
def test_retries_in_any_window_stay_within_the_budget(steps):
    budget = WindowedBudget(fraction=0.5, slack=2, window_s=10.0)
    now, requests, retries = 0.0, [], []
    for is_request, pause in steps:
        now += pause
        if is_request:
            budget.count_request(now=now)
            requests.append(now)
        elif budget.take(now=now):
            retries.append(now)
        n_requests = sum(t > now - 10.0 for t in requests)
        n_retries = sum(t > now - 10.0 for t in retries)
        if retries and retries[-1] == now and not is_request:
            assert n_retries <= 0.5 * n_requests + 2


def test_low_confidence_escalates_to_the_largest_model_while_time_is_left():
    cascade = ConfidenceCascade(min_confidence=70)

    def larger(asked, confidence, time_left=0.9, pressure=0.0):
        return cascade.larger(
            MODEL_SIZES,
            asked,
            confidence=confidence,
            time_left=time_left,
            pressure=pressure,
        )

    assert cascade.first(MODEL_SIZES) == "small"
    assert larger("small", 69) == "large"
    assert larger("small", 70) is None
    assert larger("small", None) is None
    assert larger("large", 0) is None
    assert larger("small", 10, time_left=0.1) is None
    assert larger("small", 40, pressure=0.2) == "large"
    assert larger("small", 40, pressure=0.8) is None


def test_pressure_rises_with_late_first_events_and_decays():
    pressure = Pressure(half_life_s=1.0)
    for n in range(10):
        pressure.record(1.0, now=n * 0.1)
    busy = pressure.level(now=1.0)
    assert 0.8 < busy < 1.0
    assert pressure.level(now=6.0) < busy / 3
    calm = Pressure()
    calm.record(0.05, now=0.0)
    assert calm.level(now=0.0) < 0.05


def test_splitter_returns_only_complete_events():
    splitter = EventSplitter()
    assert splitter.feed(b"id: 1\ndata: a\n") is None
    events = splitter.feed(b"\nid: 2\ndata: b\n\nid: 3\nda")
    assert events.data == b"id: 1\ndata: a\n\nid: 2\ndata: b\n\n"
    assert events.last_id == "2"
    assert bytes(splitter.pending) == b"id: 3\nda"


@given(st.lists(st.integers(1, 40), max_size=6), st.integers(1, 8))
def test_splitter_keeps_all_bytes_for_any_block_sizes(cuts, n_events):
    stream = b"".join(b"id: %d\ndata: x\n\n" % n for n in range(1, n_events + 1))
    splitter, out, pending = EventSplitter(), b"", stream
    for cut in [*cuts, len(stream)]:
        events = splitter.feed(pending[:cut])
        pending = pending[cut:]
        out += events.data if events else b""
    assert out + bytes(splitter.pending) == stream


def test_resumed_stream_with_a_repeated_event_is_rejected():
    splitter = EventSplitter(after_id="4")
    with pytest.raises(EventStreamError):
        splitter.feed(b"id: 4\ndata: x\n\n")


def test_prefix_key_is_the_last_shared_prompt_part():
    assert parse_shared_parts("aa:10, bb:20,cc:30") == ("aa", "bb")
    assert parse_shared_parts("aa:10") == ()
    assert parse_shared_parts("") == ()


def make_request(headers, body=b"x"):
    return ClientRequest(
        content=ContentDigest("content"),
        attempt_id="1",
        method="POST",
        target="/chat/1?q=2",
        headers=headers,
        body=body,
        route=make_route(),
        account="north",
        arrived=0.0,
        deadline=1.0,
    )


NAMES = HeaderNames(key="Key", account="Account", reserved=("Reserved",))


def encoded(headers, **options):
    parts = encode_for_server(
        make_request(headers, **options),
        names=NAMES,
        server="s1",
        left_ms=900,
        last_event_id=None,
    )
    return b"".join(parts)


def test_only_router_headers_of_a_forwarded_request_change():
    sent = [("Host", "example"), ("X-Own", "1"), ("key", "secret"), ("account", "me")]
    data = encoded([*sent, ("RESERVED", "mine"), (NAMES.deadline_ms, "5000")])
    head, _, body = data.partition(b"\r\n\r\n")
    lines = head.split(b"\r\n")
    assert lines[0] == b"POST /chat/1?q=2 HTTP/1.1"
    assert b"X-Own: 1" in lines and b"Host: example" in lines
    assert b"Account: north" in lines
    assert f"{NAMES.deadline_ms}: 900".encode() in lines
    assert f"{NAMES.expected_server}: s1".encode() in lines
    assert b"secret" not in data and b"mine" not in data and b"5000" not in data
    assert b"Account: me" not in data and b"account: me" not in data
    assert body == b"x" and b"Content-Length: 1" in lines


def test_request_without_body_has_no_content_length():
    assert b"Content-Length" not in encoded([("Host", "example")], body=None)


def test_folded_header_is_unfolded():
    lines = encoded([("X-Own", "one\r\n two\n\tthree")]).split(b"\r\n")
    assert b"X-Own: one two three" in lines
    assert not any(b"\n" in line for line in lines)


def test_hop_by_hop_headers_are_dropped():
    headers = [("Connection", "X-Mine, close"), ("X-Mine", "1"), ("Accept", "*/*")]
    assert end_to_end_headers(headers) == [("Accept", "*/*")]


def test_pause_of_a_failing_server_doubles_with_each_failure():
    loads = ServerLoads()
    loads.record_failure("s1", now=0.0)
    first = loads.of("s1").pause_deadline
    loads.record_failure("s1", now=0.0)
    assert loads.of("s1").pause_deadline == pytest.approx(2 * first)
    for _ in range(10):
        loads.record_failure("s1", now=0.0)
    assert loads.of("s1").pause_deadline == MAX_PAUSE_S
    loads.record_success("s1")
    loads.record_failure("s1", now=10.0)
    assert loads.of("s1").pause_deadline == pytest.approx(10.0 + first)


def test_load_estimate_adds_requests_sent_since_a_recent_report():
    loads = ServerLoads()
    loads.of("s1").n_running = 1
    loads.record_report("s1", n_running=5, n_waiting=2, now=0.0)
    loads.of("s1").n_running = 3
    assert loads.of("s1").estimate(now=0.1) == 9
    assert loads.of("s1").estimate(now=REPORT_VALID_S + 0.1) == 3


def test_prefill_speed_is_estimated_from_the_fastest_answers():
    speed, rng = PrefillSpeed(), Random(3)
    for _ in range(300):
        queued_ms = rng.choice([0, 0, 300, 900])
        speed.record("svc", "large", n_tokens=10_000, took_ms=350 + queued_ms)
        speed.record("svc", "small", n_tokens=10_000, took_ms=35 + queued_ms)
    assert 250 < speed.work_ms("svc", "large", 10_000) < 500
    assert speed.work_ms("svc", "small", 10_000) < 120


def test_pending_work_of_other_gateways_excludes_own_reports():
    work = PromptWork()
    work.add("s1", 100.0)
    assert work.report() == {"s1": 100.0}
    work.add("s1", 50.0)
    work.receive_total({"s1": 300.0, "s2": 40.0})
    assert work.pending_ms("s1") == 350.0
    assert work.pending_ms("s2") == 40.0
    work.remove("s1", 100.0)
    work.remove("s1", 50.0)
    assert work.pending_ms("s1") == 200.0
    work.receive_total({})
    assert work.pending_ms("s1") == 0.0


def test_server_that_fails_very_often_is_still_only_paused():
    # Guards against a pause that no float can hold after 1,024 failures in a row.
    loads = ServerLoads()
    for _ in range(1_100):
        loads.record_failure("s1", now=0.0)
    assert 0.0 < loads.of("s1").pause_deadline <= MAX_PAUSE_S
