"""A caller disconnect cancels the request at once; the work done is billed."""

import pytest
from gevent.socket import create_connection

from test.library import CALLER_KEY, SmallSystem, chat_body, http_call, wait_until
from turmericreel.entry.caller_answers import StreamedBody
from turmericreel.entry.caller_watch import CallerWatch
from turmericreel.entry.pieces import Finished, Started
from turmericreel.model.ids import RequestId, VersionId
from turmericreel.model.request import Usage


def send_chat(system: SmallSystem, *, stream: bool):
    """Send a chat call and return its connection."""
    host, _, port = system.address.rpartition(":")
    body = chat_body("hello", stream=stream)
    sock = create_connection((host, int(port)))
    sock.sendall(
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
        b"Content-Type: application/json\r\nAuthorization: Bearer %s\r\n"
        b"Content-Length: %d\r\n\r\n%s" % (CALLER_KEY.encode(), len(body), body)
    )
    return sock


@pytest.mark.parametrize("stream", [True, False])
@pytest.mark.parametrize("started", [True, False])
def test_caller_disconnect_cancels_request(system, stream, started):
    for fake in system.fakes:
        fake.behaviour.n_tokens = 10_000
        fake.behaviour.first_token_ms = 1.0 if started else 60_000.0
        fake.behaviour.between_tokens_ms = 60_000.0
    path = system.instance.request_path
    ledger = system.instance.log.machine.ledger
    sock = send_chat(system, stream=stream)
    wait_until(
        lambda: any(fake.record.requests for fake in system.fakes),
        what="request dispatched",
    )
    if started and stream:
        sock.recv(65_536)
    sock.close()
    wait_until(lambda: path.n_running == 0, what="request ended")
    wait_until(lambda: ledger.provisional, what="settled")
    (provisional,) = ledger.provisional.values()
    assert provisional.line.outcome == "Cancelled"
    assert ledger.intents == {}


def test_closing_unread_body_ends_request():
    ended = []

    def pieces():
        try:
            yield Finished(usage=Usage())
        finally:
            ended.append(True)

    generator = pieces()
    next(generator)
    body = StreamedBody(
        chunk_id="r1",
        first=Started(request_id=RequestId("r1"), version=VersionId("small")),
        pieces=generator,
        watch=CallerWatch(sock=None),
    )
    body.close()
    assert ended == [True]


def test_pipelined_requests_are_both_answered(system: SmallSystem):
    sock = send_chat(system, stream=False)
    body = chat_body("again")
    sock.sendall(
        b"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nConnection: close\r\n"
        b"Content-Type: application/json\r\nAuthorization: Bearer %s\r\n"
        b"Content-Length: %d\r\n\r\n%s" % (CALLER_KEY.encode(), len(body), body)
    )
    received = b""
    while data := sock.recv(65_536):
        received += data
    assert received.count(b"HTTP/1.1 200 OK") == 2


def test_repeated_usage_report_completes_bill_line_once(system: SmallSystem):
    for fake in system.fakes:
        fake.behaviour.break_after_tokens = 3
    answer = http_call(
        system.address, "POST", "/v1/chat/completions", body=chat_body("hello")
    )
    assert answer.status != 200
    ledger = system.instance.log.machine.ledger
    wait_until(lambda: ledger.provisional, what="settled")
    (known,) = ledger.provisional.values()
    for work in known.line.attempts:
        report = (
            b'{"server": "%s", "service": "helper-llm", "version": "%s",'
            b' "request": "%s", "attempt": %d, "prompt_tokens": 40,'
            b' "completion_tokens": 5}'
            % (
                work.server.encode(),
                work.version.encode(),
                known.line.request.encode(),
                work.attempt,
            )
        )
        for _ in range(2):
            result = http_call(system.address, "POST", "/v1/backend/usage", body=report)
            assert result.status == 200
    wait_until(lambda: ledger.n_final == 1, what="final")
    (line,) = ledger.archive.page(limit=10).lines
    assert {a.completion_tokens for a in line.attempts} == {5}
    assert not any(a.estimated for a in line.attempts)
    assert ledger.counts.n_duplicate_reports == len(line.attempts)


def test_usage_report_of_unknown_version_is_refused(system: SmallSystem):
    report = (
        b'{"server": "oven-1", "service": "helper-llm", "version": "none",'
        b' "request": "r", "attempt": 1, "prompt_tokens": 1, "completion_tokens": 1}'
    )
    answer = http_call(system.address, "POST", "/v1/backend/usage", body=report)
    assert answer.status == 400
