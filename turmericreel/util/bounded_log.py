"""Writes log lines in the background from a bounded buffer, without blocking callers.

If the reader of the output is slow or gone, the buffer fills up.  Ordinary lines are
dropped first, then all lines, and the number of dropped lines is logged.
"""

import os
from collections import deque
from collections.abc import Collection
from time import time

import msgspec
from gevent import Greenlet, get_hub, sleep, spawn
from gevent.event import Event
from gevent.timeout import Timeout

# A line has about 300 bytes, so a full buffer holds about 1 MB.
MAX_LINES = 4_000
# Ordinary lines are dropped from this number on, which leaves room for other lines.
MAX_ORDINARY_LINES = 1_000
WRITE_EVENT = 2
MAX_BATCH_LINES = 200
# Interval for polling the buffer in `flush`, and for retrying a write to a descriptor
# that the event loop cannot watch, such as a file.
RETRY_S = 0.05


class BoundedLog:
    """Eliot destination that writes messages as JSON lines.

    Parameters
    ----------
    fd : int
        File descriptor that lines are written to; set to non-blocking mode.
    ordinary_types : collection of str
        Message types that are dropped first.
    max_lines, max_ordinary_lines : int
        Numbers of buffered lines from which on all lines, or ordinary lines, are
        dropped.

    Attributes
    ----------
    n_dropped : int
        Lines dropped since the start.
    """

    def __init__(
        self,
        *,
        fd: int,
        ordinary_types: Collection[str] = (),
        max_lines: int = MAX_LINES,
        max_ordinary_lines: int = MAX_ORDINARY_LINES,
    ):
        self.fd = fd
        self.ordinary_types = frozenset(ordinary_types)
        self.max_lines = max_lines
        self.max_ordinary_lines = max_ordinary_lines
        self.lines: deque[bytes] = deque()
        self.n_dropped = 0
        self.n_dropped_logged = 0
        self.lines_added = Event()
        self.encoder = msgspec.json.Encoder(enc_hook=str)
        self.task: Greenlet | None = None
        os.set_blocking(fd, False)

    def start(self) -> None:
        """Start the task that writes the lines."""
        self.task = spawn(self._run)

    def __call__(self, message: dict) -> None:
        """Queue a message; drop and count it if the buffer is full."""
        n_waiting = len(self.lines)
        is_ordinary = message.get("message_type") in self.ordinary_types
        if n_waiting >= (self.max_ordinary_lines if is_ordinary else self.max_lines):
            self.n_dropped += 1
            return
        self.lines.append(self.encoder.encode(message) + b"\n")
        self.lines_added.set()

    def flush(self, timeout_s: float) -> None:
        """Wait until all lines are written, at most `timeout_s` seconds."""
        with Timeout(timeout_s, False):
            while self.lines:
                sleep(RETRY_S)

    def _run(self) -> None:
        while True:
            self.lines_added.wait()
            self.lines_added.clear()
            while self.lines:
                n_lines = min(len(self.lines), MAX_BATCH_LINES)
                batch = b"".join(self.lines[n] for n in range(n_lines))
                if not self._write(batch):
                    return
                for _ in range(n_lines):
                    self.lines.popleft()
            self._log_dropped()

    def _write(self, data: bytes) -> bool:
        view = memoryview(data)
        while view:
            try:
                view = view[os.write(self.fd, view) :]
            except BlockingIOError:
                self._wait_until_writable()
            except OSError:
                # The reader is gone, so the error cannot be logged either.
                return False
        return True

    def _wait_until_writable(self) -> None:
        try:
            writable = get_hub().loop.io(self.fd, WRITE_EVENT)
        except OSError:
            sleep(RETRY_S)
            return
        try:
            get_hub().wait(writable)
        finally:
            writable.close()

    def _log_dropped(self) -> None:
        if self.n_dropped > self.n_dropped_logged:
            line = {
                "timestamp": time(),
                "message_type": "log:dropped",
                "n_dropped": self.n_dropped - self.n_dropped_logged,
            }
            self.n_dropped_logged = self.n_dropped
            self.lines.append(self.encoder.encode(line) + b"\n")
            self.lines_added.set()
