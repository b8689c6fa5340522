"""A fake backend server that sends exactly the bytes that a test gives it."""

from collections.abc import Callable

import msgspec
from gevent.server import StreamServer

from turmericreel.entry.server_client import Dispatch
from turmericreel.model.ids import (
    AttemptNumber,
    BackendServerId,
    ClientAccountId,
    ContentDigest,
    DataCentreId,
    FencingToken,
    Incarnation,
    RequestId,
    Revision,
    ServiceName,
    VersionId,
)
from turmericreel.model.request import Request, RequestKind
from turmericreel.model.servers import BackendServer
from turmericreel.util.clock import SystemClock

REQUEST_ID = RequestId("r1")
ATTEMPT = AttemptNumber(1)
IDENTITY_HEADERS = "Turmericreel-Request-Id: r1\r\nTurmericreel-Attempt: 1\r\n"


class ScriptedServer:
    """Accepts connections, reads requests one at a time, and calls a script for each.

    Parameters
    ----------
    script : callable
        Called with the socket and the request's bytes; returns whether to read the
        next request.
    """

    def __init__(self, *, script: Callable[..., bool]):
        self.script = script
        self.requests: list[bytes] = []
        self.n_connections = 0
        self.n_closed_connections = 0
        self.server = StreamServer(("127.0.0.1", 0), self._serve)

    def __enter__(self) -> "ScriptedServer":
        self.server.start()
        return self

    def __exit__(self, *error) -> None:
        self.server.stop(timeout=0)

    @property
    def address(self) -> str:
        """Host and port of the listener."""
        return f"127.0.0.1:{self.server.server_port}"

    def _serve(self, sock, peer) -> None:
        self.n_connections += 1
        try:
            while data := sock.recv(65_536):
                self.requests.append(data)
                if not self.script(sock, data):
                    return
        finally:
            self.n_closed_connections += 1
            sock.close()


def send_and_keep_open(*parts: bytes) -> Callable[..., bool]:
    """Return a script that sends bytes and keeps the connection open."""

    def script(sock, data) -> bool:
        for part in parts:
            sock.sendall(part)
        return True

    return script


def send_and_close(*parts: bytes) -> Callable[..., bool]:
    """Return a script that sends bytes and closes the connection."""

    def script(sock, data) -> bool:
        for part in parts:
            sock.sendall(part)
        return False

    return script


def stream_header(extra: str = "", identity: str = IDENTITY_HEADERS) -> bytes:
    """Return the header of a streamed answer."""
    return (
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
        f"Transfer-Encoding: chunked\r\n{identity}{extra}\r\n"
    ).encode()


def encode_chunk(data: bytes) -> bytes:
    """Return the data as one chunk of the chunked transfer encoding."""
    return b"%x\r\n%s\r\n" % (len(data), data)


LAST_CHUNK = b"0\r\n\r\n"
DONE_EVENT = b"data: [DONE]\n\n"


def token_event(
    text: str, *, number: int | None = None, chunk_id: str = "r1-1"
) -> bytes:
    """Return the server-sent event of one token."""
    chunk = {"id": chunk_id, "choices": [{"delta": {"content": text}}]}
    if number is not None:
        chunk["sequence"] = number
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"


def finish_event(n_tokens: int) -> bytes:
    """Return the event with the finish reason and the usage."""
    chunk = {
        "id": "r1-1",
        "choices": [{"delta": {}, "finish_reason": "stop"}],
        "usage": {"prompt_tokens": 5, "completion_tokens": n_tokens},
    }
    return b"data: " + msgspec.json.encode(chunk) + b"\n\n"


def whole_answer(
    body: bytes, identity: str = IDENTITY_HEADERS, status: str = "200 OK"
) -> bytes:
    """Return a complete answer that is not streamed."""
    header = (
        f"HTTP/1.1 {status}\r\nContent-Type: text/plain\r\n"
        f"Content-Length: {len(body)}\r\n{identity}\r\n"
    )
    return header.encode() + body


def dispatch_to(
    address: str,
    *,
    kind: RequestKind = RequestKind.CHAT,
    repeatable: bool = True,
    resume_from: int = 0,
    deterministic: bool = False,
    path: str = "/v1/chat/completions",
) -> Dispatch:
    """Return an attempt for a server at the given address."""
    request = Request(
        request_id=REQUEST_ID,
        account=ClientAccountId("household"),
        service=ServiceName("helper-llm"),
        kind=kind,
        deadline=SystemClock().monotonic() + 10.0,
        method="POST",
        path=path,
        body=b"hello",
        digest=ContentDigest("d"),
        repeatable=repeatable,
    )
    server = BackendServer(
        server=BackendServerId("oven-1"),
        incarnation=Incarnation(1),
        service=request.service,
        versions=(VersionId("small"),),
        data_centre=DataCentreId("north-mid-a"),
        address=address,
        deterministic=deterministic,
    )
    return Dispatch(
        request=request,
        attempt=ATTEMPT,
        server=server,
        version=VersionId("small"),
        revision=Revision(1),
        fencing_token=FencingToken(1),
        deadline=request.deadline,
        resume_from=resume_from,
    )
