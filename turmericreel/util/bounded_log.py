"""Writes log lines beside the work, within a bounded buffer, and never waits for it.

Load: a reader of the output that is slow or gone, and more lines than it can take.
Ordinary lines are dropped first, then all; how many were dropped is logged.
"""

import os
from collections import deque
from collections.abc import Collection
from time import time

import msgspec
from gevent import Greenlet, get_hub, sleep, spawn
from gevent.event import Event
from gevent.timeout import Timeout

# A line has about 300 bytes, so that a full buffer holds about a megabyte.
LINE_LIMIT = 4_000
# From here on ordinary lines are dropped, so that the others still find room.
ORDINARY_LIMIT = 1_000
WRITE_EVENT = 2
BATCH_LINES = 200
# What cannot be waited for, such as a file, is tried again after this time.
RETRY_S = 0.05


class BoundedLog:
    """Destination of eliot's messages.

    Parameters
    ----------
    fd : int
        File descriptor that lines are written to; it is made non-blocking.
    ordinary : collection of str
        Message types that are dropped first.
    line_limit, ordinary_limit : int

    Attributes
    ----------
    n_dropped : int
        Lines dropped since the start.
    """

    def __init__(
        self,
        *,
        fd: int,
        ordinary: Collection[str] = (),
        line_limit: int = LINE_LIMIT,
        ordinary_limit: int = ORDINARY_LIMIT,
    ):
        self.fd = fd
        self.ordinary = frozenset(ordinary)
        self.line_limit = line_limit
        self.ordinary_limit = ordinary_limit
        self.lines: deque[bytes] = deque()
        self.n_dropped = 0
        self.n_dropped_logged = 0
        self.filled = Event()
        self.encoder = msgspec.json.Encoder(enc_hook=str)
        self.task: Greenlet | None = None
        os.set_blocking(fd, False)

    def start(self) -> None:
        """Start to write."""
        self.task = spawn(self._run)

    def __call__(self, message: dict) -> None:
        """Queue a message, or drop and count it."""
        n_waiting = len(self.lines)
        is_ordinary = message.get("message_type") in self.ordinary
        if n_waiting >= (self.ordinary_limit if is_ordinary else self.line_limit):
            self.n_dropped += 1
            return
        self.lines.append(self.encoder.encode(message) + b"\n")
        self.filled.set()

    def flush(self, timeout_s: float) -> None:
        """Wait until all lines are written, for a bounded time."""
        with Timeout(timeout_s, False):
            while self.lines:
                sleep(RETRY_S)

    def _run(self) -> None:
        while True:
            self.filled.wait()
            self.filled.clear()
            while self.lines:
                n_lines = min(len(self.lines), BATCH_LINES)
                batch = b"".join(self.lines[n] for n in range(n_lines))
                if not self._write(batch):
                    return
                for _ in range(n_lines):
                    self.lines.popleft()
            self._tell_of_dropped()

    def _write(self, data: bytes) -> bool:
        view = memoryview(data)
        while view:
            try:
                view = view[os.write(self.fd, view) :]
            except BlockingIOError:
                self._wait_for_room()
            except OSError:
                # Nobody reads any more, and there is nowhere to say so.
                return False
        return True

    def _wait_for_room(self) -> None:
        try:
            writable = get_hub().loop.io(self.fd, WRITE_EVENT)
        except OSError:
            sleep(RETRY_S)
            return
        try:
            get_hub().wait(writable)
        finally:
            writable.close()

    def _tell_of_dropped(self) -> None:
        if self.n_dropped > self.n_dropped_logged:
            line = {
                "timestamp": time(),
                "message_type": "log:dropped",
                "n_dropped": self.n_dropped - self.n_dropped_logged,
            }
            self.n_dropped_logged = self.n_dropped
            self.lines.append(self.encoder.encode(line) + b"\n")
            self.filled.set()
