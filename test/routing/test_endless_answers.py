"""Answers without an end cost bounded memory and time, and fail for the client."""

import pytest
from gevent import joinall, sleep, spawn
from geventhttpclient.response import HTTPParseError

from test.routing.library import make_route
from test.routing.small_system import small_system, stream_route, wait_until
from turmericreel.entry.server_answer import MAX_HEADER_BYTES
from turmericreel.fakes.endless_server import EndlessPart, EndlessServer
from turmericreel.gateway.answer_buffer import MAX_SMALL_ANSWER_BYTES
from turmericreel.gateway.dispatcher import MAX_BODY_BYTES, MAX_BUFFERED_BYTES
from turmericreel.gateway.event_stream import MAX_EVENT_BYTES
from turmericreel.model.routing import RouteKind

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
