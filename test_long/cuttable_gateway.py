"""A gateway process whose links to servers a soak can cut.

SIGUSR1 cuts them so that connections are reset and new ones refused, SIGUSR2 so that
all fall silent; the same signal again heals them.
"""

import turmericreel.util.event_loop  # noqa: F401, I001

from errno import ECONNREFUSED, ECONNRESET
from signal import SIGUSR1, SIGUSR2
from weakref import WeakSet

from gevent import signal_handler, sleep

from turmericreel.entry.server_connections import ServerConnection, ServerConnections
from turmericreel.gateway.relay_connections import RelayedConnection
from turmericreel.gateway.relay_listener import RelayListener
from turmericreel.platform.gateway import main

RESET, SILENCE = "reset", "silence"


class CuttableLinks:
    """The links of this process to servers."""

    def __init__(self):
        self.cut_by = ""
        self.connections: WeakSet[ServerConnection] = WeakSet()
        # What follows dropped bytes, or a reset, must not look like the rest.
        self.broken: WeakSet[ServerConnection] = WeakSet()

    def install(self) -> None:
        """Make all connections to servers pass through here."""
        connect, connect_for_others = ServerConnections.connect, RelayListener.connect
        receive, send = ServerConnection.receive, ServerConnection.send

        def connect_directly(pool, address, *, timeout):
            self._fail_if_cut(timeout)
            connection = connect(pool, address, timeout=timeout)
            self.connections.add(connection)
            return connection

        def connect_for_other(listener, address, *, timeout):
            self._fail_if_cut(timeout)
            return connect_for_others(listener, address, timeout=timeout)

        def receive_unless_silent(connection, n_bytes):
            while data := receive(connection, n_bytes):
                if self._is_silent(connection):
                    self.broken.add(connection)
                elif connection not in self.broken:
                    return data
            if self._is_silent(connection) or connection in self.broken:
                raise ConnectionResetError(ECONNRESET, "cut off")
            return data

        def send_unless_silent(connection, data, *, timeout):
            if self._is_silent(connection):
                self.broken.add(connection)
                return len(data)
            return send(connection, data, timeout=timeout)

        ServerConnections.connect = connect_directly
        RelayListener.connect = connect_for_other
        ServerConnection.receive = receive_unless_silent
        ServerConnection.send = send_unless_silent
        signal_handler(SIGUSR1, self._toggle, RESET)
        signal_handler(SIGUSR2, self._toggle, SILENCE)

    def _toggle(self, how: str) -> None:
        self.cut_by = "" if self.cut_by else how
        if self.cut_by == RESET:
            for connection in list(self.connections):
                self.broken.add(connection)
                connection.shut_down()

    def _is_silent(self, connection: ServerConnection) -> bool:
        is_direct = not isinstance(connection, RelayedConnection)
        return is_direct and self.cut_by == SILENCE

    def _fail_if_cut(self, timeout: float) -> None:
        if self.cut_by == SILENCE:
            sleep(timeout)
            raise TimeoutError("cut off")
        if self.cut_by == RESET:
            raise ConnectionRefusedError(ECONNREFUSED, "cut off")


if __name__ == "__main__":
    CuttableLinks().install()
    main()
