"""Detects that a caller closed its connection, and cancels its request at once."""

import contextlib
from typing import Any

from gevent import get_hub, getcurrent
from gevent.socket import MSG_DONTWAIT, MSG_PEEK

READ_EVENT = 1


class CallerWatch:
    """Kills the greenlet that created it when the caller closes its connection.

    Parameters
    ----------
    sock : socket or None
        None disables the watch.
    """

    def __init__(self, *, sock: Any):
        self.sock = sock
        self.greenlet = getcurrent()
        self.watcher = None

    def start(self) -> None:
        """Start watching."""
        if self.sock is None:
            return
        self.watcher = get_hub().loop.io(self.sock.fileno(), READ_EVENT)
        self.watcher.start(self._on_readable)

    def stop(self) -> None:
        """Stop watching; call it before the connection is read again."""
        if self.watcher is not None:
            self.watcher.stop()
            self.watcher.close()
            self.watcher = None

    def _on_readable(self) -> None:
        if self._closed():
            self.stop()
            self.greenlet.kill(block=False)
        else:
            # The caller has pipelined its next request; a close is only detected later.
            self.stop()

    def _closed(self) -> bool:
        with contextlib.suppress(BlockingIOError):
            try:
                return self.sock._sock.recv(1, MSG_PEEK | MSG_DONTWAIT) == b""
            except BlockingIOError:
                return False
            except OSError:
                return True
        return False
