"""The server client passes on only valid answers that belong to its attempt."""

import pytest
from gevent import sleep
from gevent.socket import socket

from test.accounts.scripted_server import (
    DONE_EVENT,
    IDENTITY_HEADERS,
    LAST_CHUNK,
    ScriptedServer,
    dispatch_to,
    encode_chunk,
    finish_event,
    send_and_close,
    send_and_keep_open,
    stream_header,
    token_event,
    whole_answer,
)
from test.library import wait_until
from turmericreel.decisions.gateway_rates import REORDERING_S
from turmericreel.entry.pieces import Finished, Tokens, WholeAnswer, text_of
from turmericreel.entry.server_client import ServerClient
from turmericreel.model.failures import (
    FailureError,
    Interrupted,
    NotRun,
    OutcomeUnknown,
    ProofKind,
)
from turmericreel.model.request import RequestKind
from turmericreel.model.server_crash import process_of
from turmericreel.util.clock import SystemClock

OTHER_REQUEST_HEADERS = "Turmericreel-Request-Id: r2\r\nTurmericreel-Attempt: 1\r\n"
OTHER_ATTEMPT_HEADERS = "Turmericreel-Request-Id: r1\r\nTurmericreel-Attempt: 2\r\n"
WHOLE_STREAM = (
    stream_header(),
    encode_chunk(token_event("a ", number=0)),
    encode_chunk(token_event("b ", number=1) + finish_event(2) + DONE_EVENT),
    LAST_CHUNK,
)


def make_client() -> ServerClient:
    return ServerClient(clock=SystemClock(), idle_timeout_s=0.1)


def run(script, **options):
    """Run one attempt; return its pieces and its failure, or None if it completed."""
    pieces = []
    with ScriptedServer(script=script) as server:
        try:
            for piece in make_client().run(dispatch_to(server.address, **options)):
                pieces.append(piece)
        except FailureError as error:
            return pieces, error.failure
    return pieces, None


def test_whole_stream_is_passed_on():
    pieces, failure = run(send_and_keep_open(*WHOLE_STREAM))
    assert failure is None
    assert text_of(pieces) == "a b "
    assert pieces[-1].usage.completion_tokens == 2


def test_events_split_across_chunks_are_reassembled():
    body = b"".join([token_event("é "), token_event("b "), finish_event(2), DONE_EVENT])
    parts = [encode_chunk(body[n : n + 3]) for n in range(0, len(body), 3)]
    pieces, failure = run(send_and_keep_open(stream_header(), *parts, LAST_CHUNK))
    assert failure is None
    assert text_of(pieces) == "é b "


@pytest.mark.parametrize(
    "events",
    [
        [
            token_event("a ", number=0),
            b"data: {not json\n\n",
            finish_event(1),
            DONE_EVENT,
        ],
        [token_event("a ", number=0), b"data: 17\n\n", finish_event(1), DONE_EVENT],
        [
            token_event("a "),
            token_event("x ", chunk_id="r2-1"),
            finish_event(1),
            DONE_EVENT,
        ],
        [
            token_event("a "),
            token_event("x ", chunk_id="r1-2"),
            finish_event(1),
            DONE_EVENT,
        ],
        [
            token_event("a ", number=0),
            token_event("c ", number=2),
            finish_event(3),
            DONE_EVENT,
        ],
        [token_event("a ", number=0), DONE_EVENT],
        [token_event("a ", number=0), finish_event(1)],
        [token_event("a "), finish_event(1), token_event("b "), DONE_EVENT],
        [token_event("a "), b"data: {}\ndata: {}\n\n", finish_event(1), DONE_EVENT],
        [token_event("a "), b'data: {"id": "r1-1", "choices": \xff}\n\n', DONE_EVENT],
    ],
    ids=[
        "malformed",
        "not_a_chunk",
        "foreign_request",
        "foreign_attempt",
        "gap",
        "no_finish",
        "no_end_mark",
        "token_after_finish",
        "two_data_lines",
        "not_utf8",
    ],
)
def test_invalid_event_interrupts_the_stream(events):
    parts = [encode_chunk(event) for event in events]
    pieces, failure = run(send_and_keep_open(stream_header(), *parts, LAST_CHUNK))
    assert isinstance(failure, Interrupted)
    assert not any(isinstance(piece, Finished) for piece in pieces)
    assert text_of(pieces) in ("", "a ")


def test_duplicate_token_is_dropped():
    events = [
        token_event("a ", number=0),
        token_event("a ", number=0),
        token_event("b ", number=1),
    ]
    parts = [encode_chunk(event) for event in [*events, finish_event(2), DONE_EVENT]]
    pieces, failure = run(send_and_keep_open(stream_header(), *parts, LAST_CHUNK))
    assert failure is None
    assert text_of(pieces) == "a b "


def test_truncated_stream_is_interrupted_after_the_received_tokens():
    script = send_and_close(stream_header(), encode_chunk(token_event("a ")))
    pieces, failure = run(script)
    assert text_of(pieces) == "a "
    assert isinstance(failure, Interrupted)
    assert failure.delivered_tokens == 1


def test_idle_timeout_between_tokens_interrupts_the_stream():
    pieces, failure = run(
        send_and_keep_open(stream_header(), encode_chunk(token_event("a ")))
    )
    assert text_of(pieces) == "a "
    assert isinstance(failure, Interrupted)


@pytest.mark.parametrize(
    "identity",
    [
        OTHER_REQUEST_HEADERS,
        OTHER_ATTEMPT_HEADERS,
        "",
        IDENTITY_HEADERS + OTHER_REQUEST_HEADERS,
    ],
)
def test_answer_of_another_request_is_not_passed_on(identity):
    answer = whole_answer(b"theirs", identity=identity)
    pieces, failure = run(send_and_keep_open(answer), kind=RequestKind.PLAIN)
    assert pieces == []
    assert isinstance(failure, OutcomeUnknown)


@pytest.mark.parametrize(
    "parts",
    [
        (),
        (b"HTTP/1.1 200 OK\r\nContent-Le",),
        (b"garbage\r\n\r\n",),
        (whole_answer(b"booked")[:-3],),
        (f"HTTP/1.1 200 OK\r\n{IDENTITY_HEADERS}\r\nbooked".encode(),),
    ],
    ids=["nothing", "cut_header", "not_http", "cut_body", "no_length"],
)
def test_call_without_a_complete_answer_has_an_unknown_outcome(parts):
    pieces, failure = run(
        send_and_close(*parts), kind=RequestKind.PLAIN, repeatable=False
    )
    assert pieces == []
    assert isinstance(failure, OutcomeUnknown)


def test_refused_connection_proves_not_run():
    with socket() as unused:
        unused.bind(("127.0.0.1", 0))
        address = f"127.0.0.1:{unused.getsockname()[1]}"
        with pytest.raises(FailureError) as caught:
            list(make_client().run(dispatch_to(address)))
    assert isinstance(caught.value.failure, NotRun)
    assert caught.value.failure.proof is ProofKind.CONNECTION_REFUSED


def test_refusal_proves_not_run_only_with_the_matching_request_id():
    refused = "Turmericreel-Refused: busy\r\n"
    _, matching = run(
        send_and_keep_open(whole_answer(b"", identity=IDENTITY_HEADERS + refused))
    )
    _, foreign = run(
        send_and_keep_open(whole_answer(b"", identity=OTHER_REQUEST_HEADERS + refused))
    )
    assert isinstance(matching, NotRun)
    assert matching.proof is ProofKind.REFUSED_BY_PROTOCOL
    assert isinstance(foreign, OutcomeUnknown)


def test_second_answer_on_a_connection_is_not_read():
    two_answers = whole_answer(b"first") + whole_answer(b"second")
    with ScriptedServer(script=send_and_keep_open(two_answers)) as server:
        attempt = dispatch_to(server.address, kind=RequestKind.PLAIN)
        reused_client = make_client()
        answers = [list(reused_client.run(attempt)) for _ in range(2)]
        assert server.n_connections == 2
    assert [answer[0].body for answer in answers] == [b"first", b"first"]


def test_late_bytes_on_an_idle_connection_are_not_read():
    with ScriptedServer(script=send_and_keep_open(whole_answer(b"mine"))) as server:
        attempt = dispatch_to(server.address, kind=RequestKind.PLAIN)
        reused_client = make_client()
        list(reused_client.run(attempt))
        (idle,) = reused_client.connections.idle.values()
        assert idle[0].has_no_input()
        connection = idle[0]
        script, server.script = server.script, send_and_keep_open(whole_answer(b"late"))
        connection.sock.sendall(b"x")
        wait_until(lambda: not connection.has_no_input(), what="late bytes")
        server.script = script
        assert list(reused_client.run(attempt))[0].body == b"mine"
        assert server.n_connections == 2


def test_unrepeatable_call_never_reuses_an_idle_connection():
    with ScriptedServer(script=send_and_keep_open(whole_answer(b"x"))) as server:
        reused_client = make_client()
        repeatable_attempt = dispatch_to(server.address, kind=RequestKind.PLAIN)
        unrepeatable_attempt = dispatch_to(
            server.address, kind=RequestKind.PLAIN, repeatable=False
        )
        for attempt in (
            repeatable_attempt,
            repeatable_attempt,
            unrepeatable_attempt,
            unrepeatable_attempt,
        ):
            list(reused_client.run(attempt))
        assert server.n_connections == 3


def test_closing_the_iterator_closes_the_connection():
    script = send_and_keep_open(stream_header(), encode_chunk(token_event("a ")))
    with ScriptedServer(script=script) as server:
        # The reference keeps garbage collection from closing the connection.
        reused_client = make_client()
        pieces = reused_client.run(dispatch_to(server.address))
        next(pieces)
        assert isinstance(next(pieces), Tokens)
        pieces.close()
        wait_until(lambda: server.n_closed_connections == 1, what="work cancelled")


def test_resumed_stream_continues_after_the_last_token():
    resumed = stream_header("Turmericreel-Resume-From: 2\r\n")
    rest = encode_chunk(token_event("c ", number=2) + finish_event(1) + DONE_EVENT)
    pieces, failure = run(send_and_keep_open(resumed, rest, LAST_CHUNK), resume_from=2)
    assert failure is None
    assert pieces[1] == Tokens(sequence=2, texts=("c ",))


def test_restarted_stream_is_not_accepted_as_resumed():
    repeated_tokens = [
        token_event("a ", number=0),
        token_event("b ", number=1),
        token_event("c ", number=2),
    ]
    parts = [
        encode_chunk(event) for event in [*repeated_tokens, finish_event(3), DONE_EVENT]
    ]
    pieces, failure = run(
        send_and_keep_open(stream_header(), *parts, LAST_CHUNK), resume_from=2
    )
    assert isinstance(failure, Interrupted)
    assert text_of(pieces) == ""


def test_deterministic_server_restarts_and_delivered_tokens_are_skipped():
    repeated_tokens = [token_event("a "), token_event("b "), token_event("c ")]
    parts = [
        encode_chunk(event) for event in [*repeated_tokens, finish_event(3), DONE_EVENT]
    ]
    pieces, failure = run(
        send_and_keep_open(stream_header(), *parts, LAST_CHUNK),
        resume_from=2,
        deterministic=True,
    )
    assert failure is None
    assert text_of(pieces) == "c "
    assert pieces[1].sequence == 2


def test_answer_that_was_not_streamed_is_passed_on():
    body = (
        b'{"id": "x", "model": "m", "choices": [{"message": {"content": "hi"}}],'
        b' "usage": {"prompt_tokens": 3, "completion_tokens": 1}}'
    )
    pieces, failure = run(send_and_keep_open(whole_answer(body)))
    assert failure is None
    assert text_of(pieces) == "hi"
    assert pieces[-1].usage.prompt_tokens == 3


def test_client_error_of_a_server_is_passed_on_unchanged():
    pieces, failure = run(
        send_and_keep_open(whole_answer(b"too long", status="400 Bad Request"))
    )
    assert failure is None
    assert isinstance(pieces[0], WholeAnswer)
    assert pieces[0].status == 400
    _, failure = run(
        send_and_keep_open(whole_answer(b"", status="500 Internal Server Error"))
    )
    assert isinstance(failure, OutcomeUnknown)


def test_path_cannot_inject_a_header():
    with ScriptedServer(script=send_and_keep_open(whole_answer(b"x"))) as server:
        attempt = dispatch_to(
            server.address, kind=RequestKind.PLAIN, path="/a\r\nX: y?q=1 2"
        )
        list(make_client().run(attempt))
        assert server.requests[0].startswith(b"POST /a%0D%0AX:%20y?q=1%202 HTTP/1.1")


def test_rate_that_a_server_names_is_kept_until_it_names_none():
    client = make_client()
    extras = iter(["Turmericreel-Rate-Limit: 0.5\r\n", ""])

    def script(sock, data) -> bool:
        sock.sendall(stream_header(next(extras)) + b"".join(WHOLE_STREAM[1:]))
        return True

    with ScriptedServer(script=script) as server:
        dispatch = dispatch_to(server.address)
        process = process_of(dispatch.server)
        list(client.run(dispatch))
        now = client.clock.monotonic()
        assert not client.rates.may_send(process, now=now)
        assert client.rates.may_send(process, now=now + 3.0)
        sleep(REORDERING_S)
        list(client.run(dispatch))
        assert client.rates.may_send(process, now=client.clock.monotonic())


def test_what_a_server_says_of_its_refusals_is_passed_on():
    client, heard = make_client(), []
    client.on_brittle = lambda server, text: heard.append(text)
    extras = iter(["Turmericreel-Brittle: 2\r\n", ""])

    def script(sock, data) -> bool:
        sock.sendall(stream_header(next(extras)) + b"".join(WHOLE_STREAM[1:]))
        return True

    with ScriptedServer(script=script) as server:
        for _ in range(2):
            list(client.run(dispatch_to(server.address)))
    assert heard == ["2", ""]
