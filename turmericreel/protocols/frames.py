"""Message framing on streams between turmericreel processes.

A frame is a big-endian length of four bytes, followed by a msgpack message.
"""

import contextlib
import struct
from socket import IPPROTO_TCP, TCP_NODELAY
from typing import Any

import msgspec
from gevent.lock import Semaphore
from gevent.socket import socket

from turmericreel.model.failures import (
    FailureError,
    FrameBroken,
    PeerUnreachable,
)
from turmericreel.protocols.dropped_input import DropReason, Endpoint, count_dropped

MAX_FRAME_BYTES = 4 * 1024 * 1024
READ_BYTES = 65_536
HEADER = struct.Struct(">I")


class FrameStream:
    """Sends and receives typed messages on a connected socket.

    Parameters
    ----------
    sock : socket
        Connected socket; the stream takes ownership of it.
    message_type : type
        Union of the tagged structs that the peer may send.
    idle_timeout_s : float or None
        Time without a byte sent or received after which the peer counts as lost; this
        detects half-open connections to peers that send regularly.
    """

    def __init__(
        self, *, sock: socket, message_type: Any, idle_timeout_s: float | None = None
    ):
        self.sock = sock
        sock.settimeout(idle_timeout_s)
        with contextlib.suppress(OSError):
            # Small frames must not be delayed until earlier ones are acknowledged.
            sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
        self.encoder = msgspec.msgpack.Encoder()
        self.decoder = msgspec.msgpack.Decoder(message_type)
        self.send_lock = Semaphore()
        self.buffer = bytearray()
        self.sent_bytes = 0
        self.received_bytes = 0

    def send(self, message: msgspec.Struct) -> None:
        """Send one message.

        Raises
        ------
        FailureError
            With `PeerUnreachable`.
        """
        payload = self.encoder.encode(message)
        frame = HEADER.pack(len(payload)) + payload
        try:
            with self.send_lock:
                self.sock.sendall(frame)
        except OSError as error:
            raise self._unreachable_error(error) from error
        self.sent_bytes += len(frame)

    def receive(self) -> Any:
        """Return the next message, or None when the peer closed the stream.

        Raises
        ------
        FailureError
            With `FrameBroken` when the frame is invalid, `PeerUnreachable` when the
            connection is lost.
        """
        header = self._read(HEADER.size)
        if header is None:
            return None
        (length,) = HEADER.unpack(header)
        if length > MAX_FRAME_BYTES:
            raise _frame_broken_error(f"frame of {length} bytes is too large")
        payload = self._read(length)
        if payload is None:
            raise _frame_broken_error("stream ended inside a frame")
        try:
            return self.decoder.decode(payload)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise _frame_broken_error(str(error)) from error

    def _read(self, n_bytes: int) -> bytes | None:
        while len(self.buffer) < n_bytes:
            try:
                chunk = self.sock.recv(READ_BYTES)
            except OSError as error:
                raise self._unreachable_error(error) from error
            if not chunk:
                if self.buffer:
                    raise _frame_broken_error("stream ended inside a frame")
                return None
            self.received_bytes += len(chunk)
            self.buffer += chunk
        taken = bytes(self.buffer[:n_bytes])
        del self.buffer[:n_bytes]
        return taken

    def _unreachable_error(self, error: OSError) -> FailureError:
        return FailureError(PeerUnreachable(address="", detail=str(error)))

    def close(self) -> None:
        """Close the socket and wake up a greenlet that is receiving on it."""
        with contextlib.suppress(OSError):
            self.sock.shutdown(2)
        self.sock.close()


def _frame_broken_error(detail: str) -> FailureError:
    count_dropped(Endpoint.CONTROL, DropReason.FRAME_BROKEN)
    return FailureError(FrameBroken(detail=detail))
