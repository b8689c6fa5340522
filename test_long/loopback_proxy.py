"""A loopback proxy that delays, resets or silences (one- or two-way) connections."""

import socket
import struct
from dataclasses import dataclass, field
from enum import Enum
from time import monotonic

from gevent import sleep, spawn
from gevent.server import StreamServer
from gevent.socket import create_connection

from turmericreel.protocols.addresses import parse_address

BLOCK_BYTES = 65_536
CONNECT_TIMEOUT_S = 1.0
# Closing with this option resets the connection.
RESET_ON_CLOSE = struct.pack("ii", 1, 0)


class LinkFault(Enum):
    """Faults that act on the connections open at the time of injection."""

    DELAY = "delay"
    RESET = "reset"
    SILENCE = "silence"
    ONE_WAY = "one_way"


@dataclass(kw_only=True, eq=False)
class ProxiedConnection:
    """A connection through the proxy.

    Attributes
    ----------
    delay_s : float
        Delay of each block of data.
    drops_all_data : bool
        Whether data is dropped in both directions; both ends stay open.
    drops_server_data : bool
        Whether data from the server to its caller is dropped.
    """

    proxy: "LoopbackProxy"
    caller: socket.socket
    server: socket.socket
    delay_s: float = 0.0
    drops_all_data: bool = False
    drops_server_data: bool = False

    def forward(self, source: socket.socket, sink: socket.socket) -> None:
        """Forward data until one end closes."""
        try:
            while block := source.recv(BLOCK_BYTES):
                sleep(self.delay_s)
                self.proxy.wait_for_resumption()
                if self.drops_all_data or (
                    self.drops_server_data and source is self.server
                ):
                    # Data after a dropped block is dropped too, to leave no gap in the
                    # stream.
                    continue
                sink.sendall(block)
            if not self.drops_all_data:
                sink.shutdown(socket.SHUT_WR)
        except OSError:
            # The other direction fails likewise, and both sockets are then closed.
            return

    def reset(self) -> None:
        """Reset the connection at both ends."""
        for sock in (self.caller, self.server):
            if sock.fileno() < 0:
                # An earlier reset or the end of the stream has closed it.
                continue
            sock.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
            sock.close()


@dataclass(kw_only=True)
class LoopbackProxy:
    """Forwards connections to one address and injects faults into them.

    Parameters
    ----------
    target : str
        ``ip:port`` that connections are forwarded to.

    Attributes
    ----------
    resumes_at : float
        Until when nothing is forwarded on any connection; seconds on the monotonic
        clock.
    """

    target: str
    resumes_at: float = 0.0
    proxied_connections: set[ProxiedConnection] = field(default_factory=set)

    def __post_init__(self):
        self.listener = StreamServer(("127.0.0.1", 0), self._serve)

    def start(self) -> None:
        """Start listening."""
        self.listener.start()

    def stop(self) -> None:
        """Stop listening and reset all connections."""
        self.listener.stop(timeout=0)
        self.inject_fault(LinkFault.RESET)

    @property
    def address(self) -> str:
        """Address ``ip:port`` that the proxy listens on."""
        return f"{self.listener.server_host}:{self.listener.server_port}"

    def inject_fault(self, fault: LinkFault, *, delay_s: float = 0.0) -> None:
        """Inject a fault into all open connections.

        Parameters
        ----------
        fault : LinkFault
        delay_s : float
            Delay of each block for the fault `DELAY`.
        """
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

    def pause(self, duration_s: float) -> None:
        """Forward nothing for some seconds, and then everything."""
        self.resumes_at = monotonic() + duration_s

    def wait_for_resumption(self) -> None:
        """Wait until the pause has ended."""
        while (left_s := self.resumes_at - monotonic()) > 0:
            sleep(left_s)

    def _serve(self, caller: socket.socket, peer) -> None:
        address = parse_address(self.target)
        try:
            server = create_connection(
                (address.host, address.port), timeout=CONNECT_TIMEOUT_S
            )
        except OSError:
            # A closed connection is what the caller of a dead server sees.
            caller.close()
            return
        server.settimeout(None)
        connection = ProxiedConnection(proxy=self, caller=caller, server=server)
        self.proxied_connections.add(connection)
        backward = spawn(connection.forward, server, caller)
        try:
            connection.forward(caller, server)
            backward.join()
        finally:
            self.proxied_connections.discard(connection)
            caller.close()
            server.close()
