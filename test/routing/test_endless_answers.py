"""Answers without an end cost bounded memory and time, and fail for the client."""

import gc
from collections.abc import Callable

import pytest
from gevent import joinall, sleep, spawn
from geventhttpclient.response import HTTPParseError

from test.accounts.scripted_server import (
    IDENTITY_HEADERS,
    ScriptedServer,
    dispatch_to,
    encode_chunk,
    stream_header,
)
from test.routing.library import make_route
from test.routing.small_system import small_system, stream_route, wait_until
from turmericreel.entry import server_client
from turmericreel.entry.answer_buffer import MAX_SMALL_ANSWER_BYTES, AnswerBuffer
from turmericreel.entry.server_answer import MAX_HEADER_BYTES
from turmericreel.entry.server_client import ServerClient
from turmericreel.fakes.endless_server import EndlessPart, EndlessServer
from turmericreel.gateway.dispatcher import MAX_BODY_BYTES, MAX_BUFFERED_BYTES
from turmericreel.gateway.event_stream import MAX_EVENT_BYTES, EventSplitter
from turmericreel.gateway.server_exchange import ForwardedAnswer
from turmericreel.model.failures import FailureError
from turmericreel.model.request import RequestKind
from turmericreel.model.routing import RouteKind
from turmericreel.util.clock import SystemClock

# What the sockets of both sides may hold beyond what the gateway has read.
SOCKET_BUFFER_BYTES = 8 * 1024 * 1024
STREAM_PARTS = {
    EndlessPart.EVENT,
    EndlessPart.EVENT_WITHOUT_LENGTH,
    EndlessPart.STREAM_TRAILERS,
}
BODY_PARTS = {
    EndlessPart.BODY_WITH_LENGTH,
    EndlessPart.BODY_WITHOUT_LENGTH,
    EndlessPart.CHUNKS,
}
INCOMPLETE_PARTS = [p for p in EndlessPart if p is not EndlessPart.AFTER_THE_ANSWER]
# Longer than the test may take, so that no deadline ends an answer.
TIMEOUT_MS = 60_000
PLAIN_HEAD = (
    f"HTTP/1.1 200 OK\r\n{IDENTITY_HEADERS}Content-Length: 1000000000\r\n\r\n"
).encode()


@pytest.fixture
def system(tmp_path):
    with small_system(tmp_path) as running:
        running.submit(
            make_route("/unsafe/", kind=RouteKind.UNSAFE, timeout_ms=TIMEOUT_MS),
            make_route("/short/", kind=RouteKind.UNSAFE, timeout_ms=500),
            stream_route(max_attempts=2, timeout_ms=TIMEOUT_MS),
        )
        yield running


def add_endless_server(
    system, part: EndlessPart, *, pause_s: float = 0.0
) -> EndlessServer:
    server = EndlessServer(part=part, pause_s=pause_s)
    server.start()
    system.servers["endless"] = server
    system.send_heartbeat("endless")
    wait_until(lambda: "endless" in system.gateways[0].view.servers, "the server")
    return server


def max_read_bytes(part: EndlessPart) -> int:
    if part in BODY_PARTS:
        return MAX_BODY_BYTES
    return MAX_EVENT_BYTES if part in STREAM_PARTS else MAX_HEADER_BYTES


@pytest.mark.parametrize("part", list(EndlessPart), ids=lambda part: part.name)
def test_endless_answer_is_cut_off_and_reported(system, part):
    server = add_endless_server(system, part)
    if part in STREAM_PARTS:
        try:
            answer = system.call(
                "/stream/1", method="POST", body=b"x", Accept="text/event-stream"
            )
        except (OSError, HTTPParseError):
            # The stream had begun; its connection is closed before the end.
            answer = None
    else:
        answer = system.call("/unsafe/1", method="POST", body=b"x")
    if part is EndlessPart.AFTER_THE_ANSWER:
        assert (answer[0], answer[2]) == (200, b"ok")
    elif part is EndlessPart.STREAM_TRAILERS:
        assert answer is None
    else:
        assert answer[0] == 502
    wait_until(lambda: server.n_open == 0, "the server's connections to be closed")
    n_bytes = server.n_sent_bytes / server.n_requests
    assert n_bytes <= max_read_bytes(part) + SOCKET_BUFFER_BYTES
    assert system.gateways[0].chooser.loads.of("endless").n_running == 0


@pytest.mark.parametrize("part", INCOMPLETE_PARTS, ids=lambda part: part.name)
def test_slow_endless_answer_ends_at_the_deadline(system, part):
    server = add_endless_server(system, part, pause_s=0.01)
    status, _, _ = system.call("/short/1", method="POST", body=b"x")
    # Bytes that cannot begin an answer are noticed earlier.
    assert status in ((502,) if part is EndlessPart.NO_HTTP else (504,))
    wait_until(lambda: server.n_open == 0, "the server's connections to be closed")


def test_simultaneous_endless_answers_share_one_bound(system):
    add_endless_server(system, EndlessPart.BODY_WITH_LENGTH)
    buffer = system.gateways[0].dispatcher.buffer
    n_calls = 24
    sizes = []

    def watch():
        while True:
            sizes.append(buffer.n_bytes)
            sleep(0.001)

    def call(number):
        path = f"/unsafe/{number}"
        return system.call(path, method="POST", body=b"%d" % number)[0]

    watching = spawn(watch)
    calls = [spawn(call, number) for number in range(n_calls)]
    joinall(calls, raise_error=True)
    watching.kill()
    assert {c.value for c in calls} == {502}
    assert max(sizes) <= MAX_BUFFERED_BYTES + n_calls * 2 * MAX_SMALL_ANSWER_BYTES
    assert buffer.n_bytes == 0


def watch_maximum(measure: Callable[[], int]) -> tuple:
    """Return a task that measures again and again, and the list of its results."""
    found = [0]

    def watch() -> None:
        while True:
            found[0] = max(found[0], measure())
            sleep(0.001)

    return spawn(watch), found


@pytest.fixture
def no_collector():
    """Turn the garbage collector off, which frees cycles only at some time."""
    gc.collect()
    gc.disable()
    yield
    gc.enable()


@pytest.mark.parametrize("path", ["/unsafe/", "/safe/"])
def test_failed_answers_are_freed_at_once(system, no_collector, path):
    # Guards against failures that keep the bodies of endless answers alive.
    system.submit(
        make_route("/unsafe/", kind=RouteKind.UNSAFE, timeout_ms=TIMEOUT_MS),
        make_route("/safe/", max_attempts=2, timeout_ms=TIMEOUT_MS),
        revision=2,
    )
    add_endless_server(system, EndlessPart.BODY_WITH_LENGTH)
    method = "POST" if path == "/unsafe/" else "GET"
    statuses = [
        spawn(lambda n=n: system.call(f"{path}{n}", method=method, body=b"%d" % n)[0])
        for n in range(8)
    ]
    joinall(statuses, raise_error=True)
    assert {status.value for status in statuses} == {502}
    answers = [a for a in gc.get_objects() if isinstance(a, ForwardedAnswer)]
    assert sum(len(answer.parser.body) for answer in answers) == 0
    failures = [e for e in gc.get_objects() if isinstance(e, FailureError)]
    assert [failure for failure in failures if failure.__cause__ is failure] == []


def test_simultaneous_endless_events_share_the_bound(system):
    # Guards against one megabyte of an incomplete event for each of many clients.
    add_endless_server(system, EndlessPart.EVENT)
    n_calls = 60
    watching, most = watch_maximum(
        lambda: sum(
            len(s.pending) for s in gc.get_objects() if isinstance(s, EventSplitter)
        )
    )

    def call(number: int) -> int:
        try:
            return system.call(
                f"/stream/{number}",
                method="POST",
                body=b"%d" % number,
                Accept="text/event-stream",
            )[0]
        except (OSError, HTTPParseError):
            return 0

    joinall([spawn(call, number) for number in range(n_calls)], raise_error=True)
    watching.kill()
    assert most[0] <= MAX_BUFFERED_BYTES + n_calls * 2 * MAX_SMALL_ANSWER_BYTES
    assert system.gateways[0].dispatcher.buffer.n_bytes == 0


@pytest.mark.parametrize("is_stream", [False, True], ids=["plain", "stream"])
def test_entry_bounds_endless_answers_together(is_stream):
    # Guards against 16 MB for each of many callers at the other door.
    head = stream_header() if is_stream else PLAIN_HEAD

    def send_without_end(sock, data: bytes) -> bool:
        sock.sendall(head)
        block = encode_chunk(b"x" * 16_384) if is_stream else b"x" * 16_384
        while True:
            sock.sendall(block)

    client = ServerClient(clock=SystemClock())
    n_calls = 48
    watching, most = watch_maximum(lambda: client.buffer.n_bytes)
    kind = RequestKind.CHAT if is_stream else RequestKind.PLAIN

    def call() -> None:
        with pytest.raises(FailureError):
            list(client.run(dispatch_to(server.address, kind=kind)))

    with ScriptedServer(script=send_without_end) as server:
        joinall([spawn(call) for _ in range(n_calls)], raise_error=True)
    watching.kill()
    limit = server_client.MAX_BUFFERED_BYTES
    assert 0 < most[0] <= limit + n_calls * 2 * MAX_SMALL_ANSWER_BYTES
    assert client.buffer.n_bytes == 0


def test_full_buffer_gives_up_the_largest_answer_and_not_a_sound_one():
    # Guards against sound answers that fail because of those of a faulty server.
    evicted = []
    buffer = AnswerBuffer(limit_bytes=1_000_000)
    endless = [buffer.open(on_evicted=lambda n=n: evicted.append(n)) for n in range(3)]
    for number, share in enumerate(endless):
        assert share.resize(300_000 + number)
    sound = buffer.open(on_evicted=lambda: evicted.append("sound"))
    assert sound.resize(200_000)
    assert evicted == [2]
    assert sound.resize(290_000)
    assert evicted == [2]
    assert not endless[2].resize(300_100)
    endless[2].release()
    # The largest itself is refused.
    assert not endless[0].resize(900_000)
    for share in (*endless, sound):
        share.release()
    assert buffer.n_bytes == 0
    assert not buffer.shares


def test_evicted_answer_without_a_length_is_not_taken_for_whole(system):
    # Guards against an answer that was given up and seems to end with its connection.
    add_endless_server(system, EndlessPart.BODY_WITHOUT_LENGTH, pause_s=0.001)
    buffer = system.gateways[0].dispatcher.buffer
    call = spawn(system.call, "/unsafe/1", method="POST", body=b"x")
    wait_until(lambda: buffer.n_bytes > 0, "a part of the answer")
    for share in list(buffer.shares):
        share.is_evicted = True
        share.on_evicted()
    assert call.get()[0] == 502
    assert not system.gateways[0].guard.n_quarantined()
