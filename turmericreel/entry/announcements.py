"""Registration of the backend servers that announce themselves to this instance.

This instance is the home of a server while the server renews its announcement here.
Only changes are written to the replicated state; renewals are kept locally.
"""

from dataclasses import dataclass

from gevent import sleep, spawn

from turmericreel.coordination.control_client import ControlClient
from turmericreel.coordination.load_exchange import LoadExchange
from turmericreel.model.failures import FailureError, NotRun, NotRunReason
from turmericreel.model.ids import BackendServerId, Incarnation, InstanceId
from turmericreel.model.servers import BackendServer, LoadReport
from turmericreel.state.commands.base import Done
from turmericreel.state.commands.servers import (
    AnnounceServer,
    ExpiredServer,
    ExpireServers,
    ServerLeft,
    ServerStale,
)
from turmericreel.util.clock import Clock

RENEW_INTERVAL_MS = 1_000
EXPIRY_MS = 3_000
ADOPTED_EXPIRY_MS = 10_000
SWEEP_INTERVAL_S = 0.25
REGISTER_TIMEOUT_S = 2.0
MAX_REGISTRATIONS = 64
RETRY_AFTER_MS = 500


@dataclass(kw_only=True)
class AnnouncedServer:
    """A server whose home is this instance; `deadline` is in s, monotonic clock."""

    server: BackendServer
    deadline: float


class Announcements:
    """Registers, renews and expires the servers whose home is this instance.

    Attributes
    ----------
    exchange : LoadExchange or None
        Publishes their load reports.

    Parameters
    ----------
    control : ControlClient
    clock : Clock
    """

    def __init__(self, *, control: ControlClient, clock: Clock):
        self.control = control
        self.clock = clock
        self.homed: dict[BackendServerId, AnnouncedServer] = {}
        self.exchange: LoadExchange | None = None
        self.n_registering = 0
        self.task = None

    @property
    def instance(self) -> InstanceId:
        """Id of this instance, the home of the servers."""
        return self.control.hello.instance

    def start(self) -> None:
        """Start the task that expires servers which stopped renewing."""
        self.task = spawn(self._sweep_loop)

    def stop(self) -> None:
        """Stop the task; the servers find another home."""
        if self.task is not None:
            self.task.kill()

    def announce(self, server: BackendServer) -> ServerStale | None:
        """Register or renew a server; return `ServerStale` if its incarnation is stale.

        Raises
        ------
        FailureError
            With `NotRun`: with a retry delay if too many servers register at once, or
            with other addresses if this instance is leaving.
        """
        self._refuse_if_leaving()
        known = self.homed.get(server.server)
        if known is not None and known.server.incarnation > server.incarnation:
            return ServerStale(incarnation=known.server.incarnation, left=False)
        if (
            known is None
            or known.server != server
            or self._is_registered_elsewhere(server)
        ):
            result = self._register(server)
            if isinstance(result, ServerStale):
                return result
        self.homed[server.server] = AnnouncedServer(
            server=server, deadline=self._deadline()
        )
        return None

    def _refuse_if_leaving(self) -> None:
        """Redirect servers to another home, if any, so that they stay registered."""
        others = [
            info.http_address
            for info in self.control.view.instances
            if info.instance != self.instance
        ]
        if self.control.leaving and others:
            raise FailureError(
                NotRun(reason=NotRunReason.STOPPING, addresses=tuple(others))
            )

    def _is_registered_elsewhere(self, server: BackendServer) -> bool:
        """Return whether the registry has the server elsewhere, or not at all.

        The local view may lag right after a registration; this costs one redundant
        proposal.
        """
        view = self.control.view
        return view.homes.get(server.server) != self.instance

    def _register(self, server: BackendServer):
        if self.n_registering >= MAX_REGISTRATIONS:
            raise FailureError(
                NotRun(reason=NotRunReason.OVERLOADED, retry_after_ms=RETRY_AFTER_MS)
            )
        self.n_registering += 1
        try:
            command = AnnounceServer(server=server, home=self.instance)
            return self.control.propose(command, timeout=REGISTER_TIMEOUT_S)
        finally:
            self.n_registering -= 1

    def publish_load(self, report: LoadReport) -> None:
        """Publish a load report of a server whose home is this instance."""
        announced = self.homed.get(report.server)
        if announced is None or self.exchange is None:
            return
        if announced.server.incarnation == report.incarnation:
            self.exchange.publish(report)

    def deregister(self, server: BackendServerId, incarnation: Incarnation) -> bool:
        """Record a server's departure durably; return whether it was recorded."""
        known = self.homed.get(server)
        if known is not None and known.server.incarnation <= incarnation:
            self._remove_server(server)
        command = ServerLeft(server=server, incarnation=incarnation)
        result = self.control.propose(command, timeout=REGISTER_TIMEOUT_S)
        return isinstance(result, Done)

    def _deadline(self) -> float:
        return self.clock.monotonic() + EXPIRY_MS / 1_000

    def _sweep_loop(self) -> None:
        while True:
            sleep(SWEEP_INTERVAL_S)
            self.expire()

    def expire(self) -> None:
        """Expire the servers that stopped renewing; retried later if that fails."""
        self._adopt()
        now = self.clock.monotonic()
        silent = [a for a in self.homed.values() if a.deadline <= now]
        if not silent:
            return
        command = ExpireServers(
            home=self.instance,
            servers=tuple(
                ExpiredServer(server=a.server.server, incarnation=a.server.incarnation)
                for a in silent
            ),
        )
        try:
            self.control.propose(command, timeout=REGISTER_TIMEOUT_S)
        except FailureError:
            return
        for announced in silent:
            # The server may have renewed while the command was proposed.
            if self.homed.get(announced.server.server) is announced:
                self._remove_server(announced.server.server)

    def _adopt(self) -> None:
        """Set deadlines for servers whose home was a former run of this instance."""
        view = self.control.view
        deadline = self.clock.monotonic() + ADOPTED_EXPIRY_MS / 1_000
        for key, home in view.homes.items():
            if home == self.instance and key not in self.homed:
                self.homed[key] = AnnouncedServer(
                    server=view.servers[key], deadline=deadline
                )

    def _remove_server(self, server: BackendServerId) -> None:
        del self.homed[server]
        if self.exchange is not None:
            self.exchange.forget(server)
