"""Expires backend servers whose home instance is lost.

A home instance expires its own silent servers.  When the home itself is lost, its
servers announce themselves to another instance; the leader expires only those that
don't within a grace period, a bounded number per sweep, so that a loss of instances is
not treated as the loss of all their servers.
"""

from collections import defaultdict

from eliot import log_message
from gevent import sleep, spawn
from gevent.timeout import Timeout

from turmericreel.control.directory import Directory
from turmericreel.coordination.replicated_log import ReplicatedLog
from turmericreel.model.failures import FailureError
from turmericreel.model.ids import InstanceId
from turmericreel.state.commands.servers import ExpiredServer, ExpireServers
from turmericreel.state.tables.servers import ServerRegistration
from turmericreel.util.clock import Clock

SWEEP_PAUSE_S = 1.0
REHOME_GRACE_S = 15.0
MAX_EXPIRED_PER_SWEEP = 50
PROPOSE_TIMEOUT_S = 3.0


class HomeExpiry:
    """Task that expires servers without a live home while this instance leads.

    Parameters
    ----------
    log : ReplicatedLog
    directory : Directory
        Lists all live entry instances.
    clock : Clock
    """

    def __init__(self, *, log: ReplicatedLog, directory: Directory, clock: Clock):
        self.log = log
        self.directory = directory
        self.clock = clock
        self.lost_since: dict[InstanceId, float] = {}
        self.task = None

    def start(self) -> None:
        """Start the periodic sweep."""
        self.task = spawn(self._sweep_loop)

    def stop(self) -> None:
        """Stop the periodic sweep."""
        if self.task is not None:
            self.task.kill()

    def _sweep_loop(self) -> None:
        while True:
            sleep(SWEEP_PAUSE_S)
            for command in self.due_commands():
                self._propose(command)

    def due_commands(self) -> list[ExpireServers]:
        """Return the expiry commands to propose now; none unless this instance leads.

        The grace period starts anew with each leader.
        """
        if not self.log.is_leader():
            self.lost_since = {}
            return []
        by_home = self._servers_of_lost_homes()
        commands = []
        n_left = MAX_EXPIRED_PER_SWEEP
        for home, registered in sorted(by_home.items()):
            if n_left <= 0:
                break
            batch = registered[:n_left]
            n_left -= len(batch)
            commands.append(_expire(home, batch))
        return commands

    def _servers_of_lost_homes(self) -> dict[InstanceId, list[ServerRegistration]]:
        now = self.clock.monotonic()
        live = {listed.info.instance for listed in self.directory.live()}
        by_home: dict[InstanceId, list[ServerRegistration]] = defaultdict(list)
        for registered in self.log.machine.servers.servers.values():
            if registered.present and registered.home not in live:
                by_home[registered.home].append(registered)
        self.lost_since = {home: self.lost_since.get(home, now) for home in by_home}
        return {
            home: servers
            for home, servers in by_home.items()
            if self.lost_since[home] + REHOME_GRACE_S <= now
        }

    def _propose(self, command: ExpireServers) -> None:
        log_message(
            "control:home_lost", home=command.home, n_servers=len(command.servers)
        )
        try:
            self.log.propose(command, timeout=PROPOSE_TIMEOUT_S)
        except (FailureError, Timeout) as error:
            log_message("control:expiry_lost", detail=str(error))


def _expire(home: InstanceId, servers: list[ServerRegistration]) -> ExpireServers:
    return ExpireServers(
        home=home,
        servers=tuple(
            ExpiredServer(server=r.server.server, incarnation=r.server.incarnation)
            for r in servers
        ),
    )
