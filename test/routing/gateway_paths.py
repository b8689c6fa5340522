"""Paths from gateways to servers that tests can cut, and traffic of first tries."""

from collections import Counter
from contextlib import suppress
from enum import Enum
from errno import ECONNREFUSED
from time import monotonic

from gevent import joinall, sleep, spawn
from geventhttpclient.response import HTTPParseError

from test.routing.small_system import SmallSystem
from test_long.loopback_proxy import LinkFault, LoopbackProxy
from turmericreel.entry.server_connections import ServerConnection
from turmericreel.gateway.gateway import Gateway
from turmericreel.protocols.addresses import Address, parse_address

PATHS = ("/safe/", "/unsafe/", "/stream/")


class Cut(Enum):
    """What happens to a gateway's connections to servers.

    They fall silent, are reset, or live on; new ones fall silent or are refused.
    """

    HANG = "hang"
    RESET = "reset"
    LIVE_ON = "live_on"


class GatewayPaths:
    """The paths of one gateway to all servers."""

    def __init__(self, gateway: Gateway):
        self.connections = gateway.connections.direct
        self.connect_to = self.connections.connect
        self.connections.connect = self._connect
        self.connect_for_others = gateway.relays.connect
        gateway.relays.connect = self._connect_for_others
        self.proxies: dict[Address, LoopbackProxy] = {}
        self.cut_by: Cut | None = None

    def cut(self, how: Cut) -> None:
        """Cut the gateway off from all servers."""
        self.cut_by = how
        faults = {Cut.HANG: LinkFault.SILENCE, Cut.RESET: LinkFault.RESET}
        for proxy in self.proxies.values():
            if how in faults:
                proxy.inject_fault(faults[how])

    def heal(self) -> None:
        """Let new connections pass again."""
        self.cut_by = None

    def stop(self) -> None:
        """Stop all proxies."""
        for proxy in self.proxies.values():
            proxy.stop()

    def _connect_for_others(self, address: Address, *, timeout: float):
        self._fail_if_cut(timeout)
        return self.connect_for_others(address, timeout=timeout)

    def _connect(self, address: Address, *, timeout: float) -> ServerConnection:
        self._fail_if_cut(timeout)
        # A server that is down refuses the connection itself.
        self.connect_to(address, timeout=timeout).close()
        if address not in self.proxies:
            self.proxies[address] = LoopbackProxy(target=str(address))
            self.proxies[address].start()
        proxy_address = parse_address(self.proxies[address].address)
        connection = self.connect_to(proxy_address, timeout=timeout)
        connection.address = address
        return connection

    def _fail_if_cut(self, timeout: float) -> None:
        if self.cut_by is Cut.HANG:
            sleep(timeout)
            raise TimeoutError("cut off")
        if self.cut_by is not None:
            raise ConnectionRefusedError(ECONNREFUSED, "cut off")


class FirstTries:
    """Requests of all kinds through all gateways, each sent once.

    Attributes
    ----------
    sent : list of tuple
        Time of sending, index of the gateway, path, status (0 without an answer), and
        seconds until the answer.
    """

    def __init__(self, system: SmallSystem, *, per_second: float):
        self.system = system
        self.interval_s = 1 / per_second
        self.sent: list[tuple[float, int, str, int, float]] = []
        self.tasks = []

    def run(self, duration_s: float) -> None:
        """Send requests for some seconds, and wait for their answers."""
        deadline = monotonic() + duration_s
        joinall(
            [
                spawn(self._send_through, index, deadline)
                for index in range(len(self.system.gateways))
            ]
        )
        joinall(self.tasks)

    def n_served(self, gateways: set[int], *, since: float, until: float) -> Counter:
        """Return how many requests that were sent in a time were served or not."""
        return Counter(
            status == 200
            for at, index, _, status, _ in self.sent
            if index in gateways and since <= at < until
        )

    def _send_through(self, index: int, deadline: float) -> None:
        number = 0
        while monotonic() < deadline:
            path = PATHS[number % len(PATHS)]
            self.tasks.append(spawn(self._send, index, f"{path}{index}-{number}"))
            number += 1
            sleep(self.interval_s)

    def _send(self, index: int, path: str) -> None:
        began = monotonic()
        headers = {"Accept": "text/event-stream"} if "stream" in path else {}
        status = 0
        with suppress(OSError, HTTPParseError):
            status, _, _ = self.system.call(
                path, gateway_index=index, method="POST", body=b"x", **headers
            )
        self.sent.append((began, index, path, status, monotonic() - began))
