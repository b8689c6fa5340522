"""A proxy on the loopback that delays, resets, silences or cuts connections one way."""

import socket
import struct
from dataclasses import dataclass, field
from enum import Enum

from gevent import sleep, spawn
from gevent.server import StreamServer
from gevent.socket import create_connection

from turmericreel.protocols.addresses import parse_address

BLOCK_BYTES = 65_536
CONNECT_TIMEOUT_S = 1.0
# Closing with this option resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LinkFault(Enum):
    """What happens to the connections that are open at the time."""

    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    ONE_WAY = "one_way"


@dataclass(kw_only=True, eq=False)
class ProxiedConnection:
    """One connection through the proxy.

    Attributes
    ----------
    delay_s : float
        Time by which each block is held back.
    drops_all_data : bool
        Whether nothing passes any more; both ends stay open.
    drops_server_data : bool
        Whether nothing passes any more from the server to its caller.
    """

    caller: socket.socket
    server: socket.socket
    delay_s: float = 0.0
    drops_all_data: bool = False
    drops_server_data: bool = False

    def forward(self, source: socket.socket, sink: socket.socket) -> None:
        """Pass blocks on until an end closes."""
        try:
            while block := source.recv(BLOCK_BYTES):
                sleep(self.delay_s)
                if self.drops_all_data or (
                    self.drops_server_data and source is self.server
                ):
                    # What was dropped is missing for good, so nothing may follow it.
                    continue
                sink.sendall(block)
            if not self.drops_all_data:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            # The other direction notices the same, and both sockets are closed then.
            return

    def reset(self) -> None:
        """Reset the connection at both ends."""
        for sock in (self.caller, self.server):
            if sock.fileno() < 0:
                # Closed already, by an earlier reset or at the end of the stream.
                continue
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            sock.close()


@dataclass(kw_only=True)
class LoopbackProxy:
    """Stands in front of one address.

    Parameters
    ----------
    target : str
        ``ip:port`` that connections are passed on to.
    """

    target: str
    proxied_connections: set[ProxiedConnection] = field(default_factory=set)

    def __post_init__(self):
        self.listener = StreamServer(("127.0.0.1", 0), self._serve)

    def start(self) -> None:
        """Start to listen."""
        self.listener.start()

    def stop(self) -> None:
        """Stop listening, and reset all connections."""
        self.listener.stop(timeout=0)
        self.inject_fault(LinkFault.RESET)

    @property
    def address(self) -> str:
        """Where it listens."""
        return f"{self.listener.server_host}:{self.listener.server_port}"

    def inject_fault(self, fault: LinkFault, *, delay_s: float = 0.0) -> None:
        """Harm the connections that are open now."""
        for connection in list(self.proxied_connections):
            match fault:
                case LinkFault.DELAY:
                    connection.delay_s = delay_s
                case LinkFault.RESET:
                    connection.reset()
                case LinkFault.SILENCE:
                    connection.drops_all_data = True
                case LinkFault.ONE_WAY:
                    connection.drops_server_data = True

    def _serve(self, caller: socket.socket, peer) -> None:
        address = parse_address(self.target)
        try:
            server = create_connection(
                (address.host, address.port), timeout=CONNECT_TIMEOUT_S
            )
        except OSError:
            # The caller sees its connection close, as before a server that is gone.
            caller.close()
            return
        server.settimeout(None)
        connection = ProxiedConnection(caller=caller, server=server)
        self.proxied_connections.add(connection)
        back = spawn(connection.forward, server, caller)
        try:
            connection.forward(caller, server)
            back.join()
        finally:
            self.proxied_connections.discard(connection)
            caller.close()
            server.close()
