"""A stand-in for a backend server whose answers never end.

It writes bytes until the client closes the connection, within the header or the body of
the answer.
"""

from enum import Enum

from gevent import sleep
from gevent.server import StreamServer

BLOCK_BYTES = 16_384
REQUEST_BYTES = 65_536
PLAIN = b"HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n"
STREAM = b"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n\r\n"


class EndlessPart(Enum):
    """Part of the answer that does not end.

    The value holds the bytes before it, and the bytes that are repeated.
    """

    NO_HTTP = (b"", b"x" * BLOCK_BYTES)
    HEADER_LINES = (PLAIN, b"X-More: " + b"x" * 100 + b"\r\n")
    HEADER_VALUE = (PLAIN + b"X-Long: ", b"x" * BLOCK_BYTES)
    INTERIM_ANSWERS = (b"", b"HTTP/1.1 100 Continue\r\n\r\n")
    BODY_WITH_LENGTH = (
        PLAIN + b"Content-Length: 1000000000000\r\n\r\n",
        b"x" * BLOCK_BYTES,
    )
    BODY_WITHOUT_LENGTH = (PLAIN + b"\r\n", b"x" * BLOCK_BYTES)
    CHUNKS = (PLAIN + CHUNKED, b"4000\r\n" + b"x" * BLOCK_BYTES + b"\r\n")
    CHUNK_EXTENSION = (PLAIN + CHUNKED + b"1;", b"x" * BLOCK_BYTES)
    TRAILERS = (PLAIN + CHUNKED + b"0\r\n", b"X-More: " + b"x" * 100 + b"\r\n")
    AFTER_THE_ANSWER = (PLAIN + b"Content-Length: 2\r\n\r\nok", b"x" * BLOCK_BYTES)
    EVENT = (STREAM + CHUNKED, b"4000\r\n" + b"x" * BLOCK_BYTES + b"\r\n")
    EVENT_WITHOUT_LENGTH = (STREAM + b"\r\n", b"x" * BLOCK_BYTES)
    STREAM_TRAILERS = (
        STREAM + CHUNKED + b"d\r\nid: 1\ndata:\n\n\r\n0\r\n",
        b"X-More: " + b"x" * 100 + b"\r\n",
    )

    @property
    def start(self) -> bytes:
        """Bytes before the endless part."""
        return self.value[0]

    @property
    def block(self) -> bytes:
        """Bytes that are repeated, at least `BLOCK_BYTES` of them."""
        repeated = self.value[1]
        return repeated * max(BLOCK_BYTES // len(repeated), 1)


class EndlessServer:
    """A stand-in server.

    Parameters
    ----------
    part : EndlessPart
    pause_s : float
        Pause after each byte; 0 to send whole blocks without pauses.
    host : str

    Attributes
    ----------
    n_requests : int
    n_sent_bytes : int
        Bytes that were accepted by the connections.
    n_open : int
        Answers that are being sent.
    """

    def __init__(
        self, *, part: EndlessPart, pause_s: float = 0.0, host: str = "127.0.0.1"
    ):
        self.part = part
        self.pause_s = pause_s
        self.n_requests = 0
        self.n_sent_bytes = 0
        self.n_open = 0
        self.server = StreamServer((host, 0), self._serve)

    def start(self) -> None:
        """Start listening."""
        self.server.start()

    def stop(self) -> None:
        """Stop immediately."""
        self.server.stop(timeout=0)

    @property
    def address(self) -> str:
        """Address ``ip:port`` that the server listens on."""
        return f"{self.server.server_host}:{self.server.server_port}"

    def _serve(self, sock, peer) -> None:
        if not sock.recv(REQUEST_BYTES):
            return
        self.n_requests += 1
        self.n_open += 1
        try:
            sock.sendall(self.part.start)
            while True:
                self._send_block(sock)
        except OSError:
            # The client closed the connection.
            return
        finally:
            self.n_open -= 1

    def _send_block(self, sock) -> None:
        if not self.pause_s:
            self.n_sent_bytes += sock.send(self.part.block)
            return
        for byte in self.part.block:
            self.n_sent_bytes += sock.send(bytes([byte]))
            sleep(self.pause_s)
