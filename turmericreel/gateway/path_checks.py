"""Checks the paths of a gateway to servers while requests wait or fail."""

from collections.abc import Callable, Iterable
from math import inf
from random import Random

from gevent import Greenlet, sleep, spawn

from turmericreel.decisions.server_paths import PathState
from turmericreel.gateway.path_connections import PathConnections
from turmericreel.gateway.server_loads import ServerLoads
from turmericreel.model.registered_server import RegisteredServer
from turmericreel.protocols.addresses import Address, parse_address
from turmericreel.util.clock import Clock

CHECK_INTERVAL_S = 0.1
# Servers that are checked together after the path to one of them has failed.
MAX_CHECKED = 16
# A server that was reached within this time is not checked then, and none if any was.
LATELY_REACHED_S = 0.3
MIN_INTERVAL_S = 1.0
# Pause before other gateways are asked again after a lost connection; it doubles.
FIRST_RETRY_S = 0.1


class PathChecks:
    """Task that checks silent and failed paths.

    Parameters
    ----------
    connections : PathConnections
    loads : ServerLoads
    servers : callable
        Returns all usable servers.
    clock : Clock
    rng : Random

    Attributes
    ----------
    running : set of str
        Addresses that are being checked.
    """

    def __init__(
        self,
        *,
        connections: PathConnections,
        loads: ServerLoads,
        servers: Callable[[], Iterable[RegisteredServer]],
        clock: Clock,
        rng: Random,
    ):
        self.connections = connections
        self.paths = connections.paths
        self.loads = loads
        self.servers = servers
        self.clock = clock
        self.rng = rng
        self.running: set[str] = set()
        self.others_checked_at = 0.0
        self.task: Greenlet | None = None

    def start(self) -> None:
        """Start the task."""
        self.task = spawn(self._run)

    def stop(self) -> None:
        """Stop the task."""
        if self.task is not None:
            self.task.kill()

    def check(self, address: Address) -> None:
        """Check a path in the background unless this is under way."""
        if str(address) not in self.running:
            self.running.add(str(address))
            spawn(self._check, address)

    def check_others(self, failed: Address) -> None:
        """Check servers that were not reached lately, after a direct path failed."""
        now = self.clock.monotonic()
        if now < max(
            self.paths.reached_at + LATELY_REACHED_S,
            self.others_checked_at + MIN_INTERVAL_S,
        ):
            return
        self.others_checked_at = now
        addresses = [
            server.address
            for server in self.servers()
            if server.address != str(failed)
            and self.paths.state_of(server.address, now=now) is PathState.DIRECT
            and now >= self._reached_at(server) + LATELY_REACHED_S
        ]
        chosen = self.rng.sample(addresses, min(len(addresses), MAX_CHECKED))
        for address in chosen:
            self.check(parse_address(address))

    def _reached_at(self, server: RegisteredServer) -> float:
        path = self.paths.paths.get(server.address)
        return path.reached_at if path is not None else 0.0

    def _run(self) -> None:
        while True:
            sleep(CHECK_INTERVAL_S)
            self.connections.relayed.close_expired()
            now = self.clock.monotonic()
            for server in self.servers():
                load = self.loads.loads.get(server.server)
                waiting_since = inf if load is None else load.waiting_since
                if self.paths.is_check_due(
                    server.address, waiting_since=waiting_since, now=now
                ):
                    self.check(parse_address(server.address))

    def _check(self, address: Address) -> None:
        """Check a path; after a lost connection, until a gateway reaches the server."""
        retry_s = FIRST_RETRY_S
        try:
            while not self._is_reached(address) and self._has_lost(address):
                sleep(retry_s)
                retry_s *= 2
        finally:
            self.running.discard(str(address))

    def _is_reached(self, address: Address) -> bool:
        """Try the direct path, and other gateways unless one is known to help."""
        state = self.paths.state_of(str(address), now=self.clock.monotonic())
        if self.connections.check_direct(address):
            return True
        if state is PathState.RELAYED and not self._has_lost(address):
            return True
        self.check_others(address)
        return self.connections.check_relayed(address)

    def _has_lost(self, address: Address) -> bool:
        return self.paths.has_lost(str(address), now=self.clock.monotonic())
