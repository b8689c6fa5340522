"""Calls an instance over a plain socket and accepts any answer."""

from dataclasses import dataclass

from gevent.socket import create_connection

from test.library import CALLER_KEY
from turmericreel.protocols import headers

DEADLINE_MS = 3_000
CALL_TIMEOUT_S = 8.0


@dataclass(kw_only=True)
class Answer:
    """Answer to one call; `outcome` is "Lost" without a complete answer."""

    outcome: str
    key: str = ""
    request: str = ""
    body: bytes = b""


def call(address: str, path: str, body: bytes, **header: str) -> Answer:
    """Send a POST to an instance and return its answer, complete or not."""
    host, _, port = address.rpartition(":")
    lines = [
        f"POST {path} HTTP/1.1",
        "Host: x",
        "Connection: close",
        "Content-Type: application/json",
        f"Authorization: Bearer {CALLER_KEY}",
        f"{headers.DEADLINE_MS}: {DEADLINE_MS}",
        f"Content-Length: {len(body)}",
        *(f"{name.replace('_', '-')}: {value}" for name, value in header.items()),
    ]
    received = b""
    try:
        sock = create_connection((host, int(port)), timeout=CALL_TIMEOUT_S)
        with sock:
            sock.sendall("\r\n".join([*lines, "", ""]).encode() + body)
            while data := sock.recv(65_536):
                received += data
    except OSError:
        pass
    head, _, rest = received.partition(b"\r\n\r\n")
    received_headers = {}
    for line in head.decode().split("\r\n")[1:]:
        name, _, value = line.partition(": ")
        received_headers[name.lower()] = value
    is_complete = True
    if received_headers.get("transfer-encoding") == "chunked":
        rest, is_complete = _decode_chunked(rest)
    elif "content-length" in received_headers:
        is_complete = len(rest) == int(received_headers["content-length"])
    outcome = (
        received_headers.get(headers.OUTCOME.lower(), "Lost") if is_complete else "Lost"
    )
    return Answer(
        outcome=outcome,
        request=received_headers.get(headers.REQUEST_ID.lower(), ""),
        body=rest,
    )


def _decode_chunked(data: bytes) -> tuple[bytes, bool]:
    body = b""
    while True:
        size, _, data = data.partition(b"\r\n")
        if not size:
            return body, False
        n_bytes = int(size, 16)
        if n_bytes == 0:
            return body, True
        if len(data) < n_bytes + 2:
            return body + data[:n_bytes], False
        body += data[:n_bytes]
        data = data[n_bytes + 2 :]
