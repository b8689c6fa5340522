"""A randomized soak of gateways and coordinators as separate processes.

Processes are killed, paused, stopped and restarted by signals and lose their disks,
connections to servers are delayed, reset and silenced in one or both directions, and
servers refuse, fail and break off answers, send errors without running the request,
send pages that are no answers, send without an end or a length, end under some
requests, at times after a whole answer, say that they leave, want a pause, take only
some requests a second or fall over when they refuse too many, and fall silent for a
second. Gateways are cut off from all servers. A data centre is evacuated and taken back
by turns. All coordinators are lost together at times. Signals come in series, and so do
changes of large configurations. The faults overlap, while clients, operators and
servers continue over persistent connections, also to processes that stop, until they
have gone. The invariants are in `soak_checks`, `soak_evacuations` and `soak_traffic`;
in addition, requests must succeed again within `MAX_RECOVERY_S` of the last fault.

    python -m test_long.routing_soak --seed 7 --duration 60
"""

import turmericreel.util.event_loop  # noqa: F401, I001

import argparse
import sys
import tempfile
from contextlib import suppress
from itertools import count
from pathlib import Path
from random import Random, SystemRandom
from signal import SIGCONT, SIGHUP, SIGSTOP, SIGTERM, SIGUSR1, SIGUSR2
from socket import socket
from time import monotonic

from gevent import joinall, sleep, spawn
from gevent.socket import create_connection

from test_long.loopback_proxy import LinkFault, LoopbackProxy
from test_long.platform_process import PlatformProcess
from test_long.soak_checks import (
    CONTACT_S,
    BrittlePeriod,
    ColdPeriod,
    GatewayState,
    GatewayStates,
    LimitedPeriod,
    QuietPeriod,
    StopPeriod,
    check_brittle_periods,
    check_cold_periods,
    check_ends,
    check_first_tries,
    check_limited_periods,
    check_quiet_periods,
    check_runs,
    check_stops,
)
from test_long.soak_evacuations import (
    EVACUATED_ZONE,
    EvacuationOperator,
    check_evacuations,
)
from test_long.soak_traffic import (
    BRITTLE_SERVICE,
    COLD_RATE,
    COLD_SERVICE,
    FATAL_PARTS,
    HEARTBEAT_S,
    LIMITED_SERVICE,
    N_EVENTS,
    Caller,
    Client,
    Findings,
    OTHER_CAUSE,
    POISON,
    Operator,
    send_heartbeat,
)
from turmericreel.fakes.routed_server import Misbehaviour, RoutedServer
from turmericreel.platform.headers import PLATFORM_HEADERS

PORT_LOCK_HOST = "127.0.3.254"
N_COORDINATORS_WITH_DISK = 5
N_COORDINATORS_WITHOUT_DISK = 1
# The platform's settings name three seed nodes as well.
N_SEEDS = 3
# Five coordinators with a disk tolerate the loss of two disks.
MAX_DISK_LOSSES = 2
N_GATEWAYS = 4
# Servers that end under some requests, and those of other services that name rates,
# that are brittle and that get cold.
N_SERVERS = 3
N_LIMITED_SERVERS = 2
N_BRITTLE_SERVERS = 2
N_COLD_SERVERS = 2
N_CLIENTS = 8
# Time within which requests must succeed again after the last fault.
MAX_RECOVERY_S = 12.0
RESTART_CHECK_INTERVAL_S = 0.5
# A stop, with its grace of three seconds.
MAX_STOP_S = 3.5
# Of the operator's changes, those that follow a series of large ones.
SERIES_FRACTION = 0.2
# Of the faults of servers, the errors that they send without running the request.
UNRUN_FRACTION = 0.2
UNRUN_STATUSES = (404, 429, 500, 502, 503)
# Of the faults of servers, those that end the server whatever it runs.
END_FRACTION = 0.1
# Of the periods in which a server wants no requests, those before it leaves.
LEAVING_FRACTION = 0.5
# Rates that servers name, in requests a second, and for how long in seconds.
LIMITS = (0.0, 6.0)
LIMITED_S = (5.0, 9.0)
# Bounds on requests to cold servers, for how long these are cold in seconds, and the
# load of such a period in requests a second.
COLD_OVERSHOOT = 1.5
COLD_SLACK = 3
COLD_S = (5.0, 8.0)
COLD_LOAD = 40.0
# Of the gateways, those that are cut off together, and for how long in seconds.
MAX_CUT_OFF = 2
CUT_S = (4.0, 7.0)
# Time between two samples of the gateways' states.
SAMPLE_INTERVAL_S = 0.05
LISTEN_TIMEOUT_S = 0.2
SILENT_S = 1.0
# Places of a brittle server, what it bears, and the load of a period in requests a
# second, which is more than it can serve at times.
N_PLACES = 4
N_QUEUED = 12
PLACE_S = 0.2
MAX_REFUSALS = 2.0
BRITTLE_LOAD = (20.0, 100.0)
BRITTLE_S = (4.0, 7.0)
MISBEHAVIOURS = (
    Misbehaviour.REFUSE,
    Misbehaviour.FAIL,
    Misbehaviour.CUT_BEFORE,
    Misbehaviour.CUT_WITHIN,
    Misbehaviour.ENDLESS,
    Misbehaviour.UNFRAMED,
    Misbehaviour.UNFRAMED_RESET,
    Misbehaviour.PAGE_OF_NOBODY,
)


class Soak:
    """A soak run.

    Parameters
    ----------
    seed : int
    folder : Path
        Folder for settings, logs and data.
    n_gateways : int
    """

    def __init__(self, *, seed: int, folder: Path, n_gateways: int = N_GATEWAYS):
        self.rng = Random(seed)
        self.folder = folder
        names = ("frontend", "readiness", "control", "directory")
        self.port_lock, first_port = _reserve_ports()
        self.ports = {name: first_port + n for n, name in enumerate(names)}
        self.first_internal_port = first_port + len(names)
        hosts = [
            f"127.0.3.{n + 1}"
            for n in range(N_COORDINATORS_WITH_DISK + N_COORDINATORS_WITHOUT_DISK)
        ]
        self.control = [f"{host}:{self.ports['control']}" for host in hosts]
        self.coordinators = [
            self._process(
                "turmericreel.platform.coordinator",
                host,
                has_disk=n < N_COORDINATORS_WITH_DISK,
            )
            for n, host in enumerate(hosts)
        ]
        self.gateways = [
            self._process(
                "test_long.cuttable_gateway", f"127.0.4.{n + 1}", has_disk=False
            )
            for n in range(n_gateways)
        ]
        self.ending_servers = [_build_server(f"s{n}") for n in range(N_SERVERS)]
        self.limited_servers = [
            _build_server(f"{LIMITED_SERVICE}-{n}") for n in range(N_LIMITED_SERVERS)
        ]
        self.brittle_servers = [
            _build_server(f"{BRITTLE_SERVICE}-{n}") for n in range(N_BRITTLE_SERVERS)
        ]
        for server in self.brittle_servers:
            server.n_places, server.n_queued = N_PLACES, N_QUEUED
            server.work_s = PLACE_S
        self.cold_servers = [
            _build_server(f"{COLD_SERVICE}-{n}") for n in range(N_COLD_SERVERS)
        ]
        self.servers = [
            *self.ending_servers,
            *self.limited_servers,
            *self.brittle_servers,
            *self.cold_servers,
        ]
        self.cold_until: dict[str, float] = {}
        self.cold_periods: list[ColdPeriod] = []
        self.evacuated_servers = self.ending_servers[:1]
        self.proxies: list[LoopbackProxy] = []
        self.findings = Findings()
        self.numbers = count(1)
        self.n_disk_losses = 0
        self.quiet_periods: list[QuietPeriod] = []
        self.limited_periods: list[LimitedPeriod] = []
        self.stop_periods: list[StopPeriod] = []
        self.brittle_periods: list[BrittlePeriod] = []
        self.cut_off: set[str] = set()
        self.gateway_history: list[GatewayStates] = []
        self.running = True
        self.clients_running = True

    def run(self, duration_s: float) -> Findings:
        """Inject faults for `duration_s`, wait for recovery and return the findings."""
        processes = self.coordinators + self.gateways
        for process in processes:
            process.start()
        for server in self.ending_servers:
            server.fatal_bodies.add(POISON)
            server.fatal_parts.update(FATAL_PARTS)
            server.restart_delay_s = self.rng.uniform(0.2, 1.5)
            server.answers_before_end = self.rng.random() < 0.3
        for server in self.servers:
            server.start()
            proxy = LoopbackProxy(target=server.address)
            proxy.start()
            self.proxies.append(proxy)
        tasks = [spawn(self._send_heartbeats, n) for n in range(len(self.servers))]
        tasks += [spawn(self._run_operator)]
        evacuations = EvacuationOperator(
            addresses=self.control,
            is_running=lambda: self.clients_running,
            findings=self.findings,
            rng=self.rng,
        )
        try:
            self._wait_for_service()
            tasks += [spawn(self._run_client) for _ in range(N_CLIENTS)]
            tasks += [
                spawn(self._inject_server_faults),
                spawn(self._inject_link_faults),
                spawn(self._inject_quiet_periods),
                spawn(self._inject_silence),
                spawn(self._inject_cuts),
                spawn(self._inject_brittle_periods),
                spawn(self._sample_gateways),
                spawn(evacuations.run),
                *(
                    spawn(self._inject_limits, server)
                    for server in self.limited_servers
                ),
                spawn(self._inject_cold_periods),
            ]
            tasks += [spawn(self._restart_ended_processes)]
            tasks += [spawn(self._lose_core)]
            deadline = monotonic() + duration_s
            joinall([spawn(self._inject_process_faults, deadline) for _ in range(2)])
            self.clients_running = False
            self._wait_for_service()
            self.running = False
            joinall(tasks)
            check_runs(self.servers, self.findings)
            check_ends(self.servers, self.findings)
            check_quiet_periods(self.quiet_periods, len(self.gateways), self.findings)
            check_limited_periods(self.limited_periods, self.findings)
            check_cold_periods(
                self.cold_periods,
                max_in_second=COLD_RATE * COLD_OVERSHOOT + COLD_SLACK,
                findings=self.findings,
            )
            check_stops(self.stop_periods, self.findings)
            check_brittle_periods(
                self.brittle_periods, self.gateway_history, self.findings
            )
            check_evacuations(
                evacuations.periods, self.evacuated_servers, self.findings
            )
            check_first_tries(self.gateway_history, self.findings)
        finally:
            self.running = False
            for process in processes:
                process.kill()
            for stand_in in self.servers + self.proxies:
                stand_in.stop()
            self.port_lock.close()
        return self.findings

    def _process(self, program: str, host: str, *, has_disk: bool) -> PlatformProcess:
        listen = {
            "Frontend": f"{host}:{self.ports['frontend']}",
            "Readiness": f"{host}:{self.ports['readiness']}",
            "ControlPlane": f"{host}:{self.ports['control']}",
            "Directory": f"{host}:{self.ports['directory']}",
        }
        settings = {
            "NodeName": host,
            "Ip": host,
            "Zone": "a",
            "Listen": listen,
            "InternalPortRange": [
                self.first_internal_port,
                self.first_internal_port + 9,
            ],
            "SeedNodes": self.control[:N_SEEDS],
            "Bootstrap": True,
            "DataDir": str(self.folder / host) if has_disk else None,
            "HeartbeatMs": int(HEARTBEAT_S * 1_000),
            "Bounds": {
                "GraceS": 3,
                "RetryBudgetRatio": 0.9,
                "ttl_max_s": 0.5,
                "WarmupOvershoot": COLD_OVERSHOOT,
                "WarmupSlack": COLD_SLACK,
            },
        }
        return PlatformProcess(
            program=program, host=host, folder=self.folder, settings=settings
        )

    def _client(self) -> Client:
        return Client(
            addresses=[f"{g.host}:{self.ports['frontend']}" for g in self.gateways],
            bodies=[f"answer of {s.server}".encode() for s in self.servers],
            findings=self.findings,
            numbers=self.numbers,
            rng=self.rng,
        )

    def _run_operator(self) -> None:
        operator = Operator(
            addresses=self.control, findings=self.findings, rng=self.rng
        )
        while self.running:
            if self.rng.random() < SERIES_FRACTION:
                operator.send_series()
            operator.send_next()
            sleep(self.rng.uniform(0.1, 0.5))
        operator.caller.close()

    def _send_heartbeats(self, number: int) -> None:
        caller = Caller()
        for sequence in count(1):
            if not self.running:
                break
            server = self.servers[number]
            if not server.is_down:
                send_heartbeat(
                    caller,
                    server,
                    address=self.proxies[number].address,
                    sequence=sequence,
                    coordinators=self.rng.sample(self.control, len(self.control)),
                    zone=EVACUATED_ZONE if server in self.evacuated_servers else "a",
                    cold_s=max(
                        self.cold_until.get(server.server, 0.0) - monotonic(), 0.0
                    ),
                )
            sleep(HEARTBEAT_S)
        caller.close()

    def _run_client(self) -> None:
        client = self._client()
        while self.clients_running:
            client.send_next()
            sleep(self.rng.uniform(0.0, 0.05))
        client.caller.close()

    def _inject_process_faults(self, deadline: float) -> None:
        faults = (self._kill, self._pause, self._stop, self._reload, self._lose_disk)
        while monotonic() < deadline:
            process = self.rng.choice(self.coordinators + self.gateways)
            if process.is_under_fault or not process.is_running:
                sleep(0.1)
                continue
            # While a fault is acting, no other task may start the process: the handle
            # of one of the two processes would be lost.
            process.is_under_fault = True
            self.rng.choice(faults)(process)
            process.is_under_fault = False
            sleep(self.rng.uniform(0.1, 1.0))

    def _inject_server_faults(self) -> None:
        while self.clients_running:
            sleep(self.rng.uniform(0.05, 0.4))
            server = self.rng.choice(self.servers)
            if self.rng.random() < END_FRACTION:
                self._end_server(self.rng.choice(self.ending_servers))
            elif self.rng.random() < UNRUN_FRACTION:
                server.unrun_statuses.append(self.rng.choice(UNRUN_STATUSES))
            elif not server.misbehaviours:
                server.misbehaviours.append(self.rng.choice(MISBEHAVIOURS))

    def _end_server(self, server: RoutedServer) -> None:
        with suppress(BrokenPipeError):
            server.end(OTHER_CAUSE)

    def _inject_quiet_periods(self) -> None:
        """Let servers leave and start again, or ask for a pause."""
        while self.clients_running:
            sleep(self.rng.uniform(0.5, 2.0))
            server = self.rng.choice(self.ending_servers)
            if server.is_down:
                continue
            began, quiet_s = monotonic(), self.rng.uniform(1.0, 3.0)
            born_ms = server.born_ms
            is_leaving = self.rng.random() < LEAVING_FRACTION
            if is_leaving:
                server.is_leaving = True
            else:
                server.pause_deadline = began + quiet_s
            sleep(quiet_s)
            if server.is_down or server.born_ms != born_ms:
                # A request ended it meanwhile, and it may want requests again.
                server.pause_deadline = 0.0
                continue
            self.quiet_periods.append(
                QuietPeriod(server=server, began=began, ended=monotonic())
            )
            if is_leaving:
                self._end_server(server)

    def _inject_limits(self, server: RoutedServer) -> None:
        """Let a server name a rate for some seconds."""
        while self.clients_running:
            sleep(self.rng.uniform(0.0, 2.0))
            began, rate = monotonic(), self.rng.uniform(*LIMITS)
            server.rate_limit = f"{rate:.2f}"
            sleep(self.rng.uniform(*LIMITED_S))
            server.rate_limit = ""
            self.limited_periods.append(
                LimitedPeriod(server=server, rate=rate, began=began, ended=monotonic())
            )

    def _inject_cold_periods(self) -> None:
        """Let servers get cold together or alone, under a load of their own."""
        while self.clients_running:
            sleep(self.rng.uniform(0.0, 2.0))
            n_cold = self.rng.randint(1, len(self.cold_servers))
            chosen = self.rng.sample(self.cold_servers, n_cold)
            began = monotonic()
            ended = began + self.rng.uniform(*COLD_S)
            for server in chosen:
                self.cold_until[server.server] = ended
            while self.clients_running and monotonic() < ended:
                spawn(self._send_to, COLD_SERVICE)
                sleep(1 / COLD_LOAD)
            self.cold_periods += [
                ColdPeriod(server=server, began=began, ended=monotonic())
                for server in chosen
            ]

    def _inject_silence(self) -> None:
        """Let sound servers fall silent for a second and go on."""
        while self.clients_running:
            sleep(self.rng.uniform(1.0, 3.0))
            self.rng.choice(self.proxies).pause(SILENT_S)

    def _inject_cuts(self) -> None:
        """Cut gateways off from all servers, while the other processes have trouble."""
        while self.clients_running:
            sleep(self.rng.uniform(0.5, 2.0))
            # A process that is still starting would be ended by the signal.
            free = [
                g for g in self.gateways if not g.is_under_fault and self._listens(g)
            ]
            n_cut_off = min(self.rng.randint(1, MAX_CUT_OFF), len(free))
            chosen = self.rng.sample(free, n_cut_off)
            how = self.rng.choice((SIGUSR1, SIGUSR2))
            for gateway in chosen:
                gateway.is_under_fault = True
                self.cut_off.add(gateway.host)
                gateway.signal(how)
            deadline = monotonic() + self.rng.uniform(*CUT_S)
            while self.clients_running and monotonic() < deadline:
                sleep(SAMPLE_INTERVAL_S)
            for gateway in chosen:
                gateway.signal(how)
                self.cut_off.discard(gateway.host)
                gateway.is_under_fault = False

    def _listens(self, gateway: PlatformProcess) -> bool:
        address = (gateway.host, self.ports["frontend"])
        try:
            create_connection(address, timeout=LISTEN_TIMEOUT_S).close()
        except OSError:
            return False
        return True

    def _sample_gateways(self) -> None:
        """Record which gateways are cut off or have other trouble."""
        while self.clients_running:
            states = {g.host: self._state_of(g) for g in self.gateways}
            self.gateway_history.append(GatewayStates(at=monotonic(), states=states))
            sleep(SAMPLE_INTERVAL_S)

    def _state_of(self, gateway: PlatformProcess) -> GatewayState:
        if gateway.host in self.cut_off:
            return GatewayState.CUT_OFF
        if gateway.is_under_fault or not gateway.is_running:
            return GatewayState.TROUBLED
        return GatewayState.CALM

    def _inject_brittle_periods(self) -> None:
        """Let servers be brittle for some seconds, under a load of their own."""
        while self.clients_running:
            sleep(self.rng.uniform(0.0, 2.0))
            load, began = self.rng.uniform(*BRITTLE_LOAD), monotonic()
            ended = began + self.rng.uniform(*BRITTLE_S)
            for server in self.brittle_servers:
                server.max_refusals = MAX_REFUSALS
            while self.clients_running and monotonic() < ended:
                spawn(self._send_to, BRITTLE_SERVICE)
                sleep(1 / load)
                if monotonic() > began + CONTACT_S:
                    for server in self.brittle_servers:
                        server.n_queued = 1
            for server in self.brittle_servers:
                server.max_refusals, server.n_queued = None, N_QUEUED
            self.brittle_periods.append(
                BrittlePeriod(
                    servers=self.brittle_servers, began=began, ended=monotonic()
                )
            )

    def _send_to(self, service: str) -> None:
        client = self._client()
        outcome = client.request(service)
        self.findings.outcomes[f"{service} {outcome}"] += 1
        client.caller.close()

    def _inject_link_faults(self) -> None:
        while self.clients_running:
            sleep(self.rng.uniform(0.2, 1.5))
            proxy = self.rng.choice(self.proxies)
            fault = self.rng.choice(list(LinkFault))
            proxy.inject_fault(fault, delay_s=self.rng.uniform(0.0, 0.3))

    def _restart_ended_processes(self) -> None:
        """Restart processes that ended by themselves, as the platform does."""
        while self.running:
            for process in self.coordinators + self.gateways:
                if not process.is_under_fault and not process.is_running:
                    process.start()
            sleep(RESTART_CHECK_INTERVAL_S)

    def _lose_core(self) -> None:
        """Pause all coordinators at the same time, or kill them."""
        while self.clients_running:
            sleep(self.rng.uniform(4.0, 8.0))
            free = [
                c for c in self.coordinators if c.is_running and not c.is_under_fault
            ]
            if not self.clients_running:
                break
            fault = self.rng.choice((self._kill, self._pause))
            for process in free:
                process.is_under_fault = True
            joinall([spawn(fault, process) for process in free])
            for process in free:
                process.is_under_fault = False

    def _kill(self, process: PlatformProcess) -> None:
        process.kill()
        sleep(self.rng.uniform(0.0, 1.5))
        process.start()

    def _pause(self, process: PlatformProcess) -> None:
        process.signal(SIGSTOP)
        sleep(self.rng.uniform(0.2, 3.0))
        process.signal(SIGCONT)

    def _stop(self, process: PlatformProcess) -> None:
        is_ready = process in self.gateways and self._listens(process)
        began = monotonic()
        process.signal(SIGTERM)
        while process.is_running and monotonic() < began + MAX_STOP_S:
            # Repeated signals change nothing.
            process.signal(self.rng.choice((SIGTERM, SIGHUP)))
            sleep(0.05)
        if is_ready:
            self.stop_periods.append(
                StopPeriod(gateway=process.host, began=began, ended=monotonic())
            )
        process.kill()
        process.start()

    def _reload(self, process: PlatformProcess) -> None:
        process.signal(SIGHUP)

    def _lose_disk(self, process: PlatformProcess) -> None:
        has_disk = process.settings["DataDir"] is not None
        if not has_disk or self.n_disk_losses == MAX_DISK_LOSSES:
            self._kill(process)
            return
        self.n_disk_losses += 1
        process.lose_disk()
        sleep(self.rng.uniform(0.0, 1.5))
        process.start()

    def _wait_for_service(self) -> None:
        client = self._client()
        deadline = monotonic() + MAX_RECOVERY_S
        n_successive = 0
        while n_successive < 2 * len(self.gateways):
            n_successive = n_successive + 1 if client.request("safe") == "200" else 0
            if monotonic() > deadline:
                self.findings.faults.append(f"no recovery within {MAX_RECOVERY_S} s")
                return
            sleep(0.05)


def _build_server(name: str) -> RoutedServer:
    return RoutedServer(
        server=name, names=PLATFORM_HEADERS, n_events=N_EVENTS, event_pause_s=0.05
    )


def _reserve_ports() -> tuple[socket, int]:
    """Return the first of 20 ports, and a socket that reserves them while it is open.

    Runs at the same time use the same addresses.  The ports are below the ephemeral
    ones, which outgoing connections may occupy.
    """
    rng = SystemRandom()
    while True:
        port = rng.randrange(10_000, 30_000, 20)
        lock = socket()
        try:
            lock.bind((PORT_LOCK_HOST, port))
            return lock, port
        except OSError:
            lock.close()


def main() -> None:
    """Run one seed, print the findings and exit with 1 if there is a fault."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seed", type=int, required=True)
    parser.add_argument("--duration", type=float, default=30.0, help="seconds")
    parser.add_argument("--gateways", type=int, default=N_GATEWAYS)
    options = parser.parse_args()
    folder = Path(tempfile.mkdtemp(prefix=f"soak-{options.seed}-"))
    soak = Soak(seed=options.seed, folder=folder, n_gateways=options.gateways)
    findings = soak.run(options.duration)
    print(f"seed {options.seed}, logs in {folder}")
    print(f"accepted up to version {findings.acknowledged_version}")
    for outcome, number in sorted(findings.outcomes.items()):
        print(f"{number:8d} {outcome}")
    for fault in findings.faults:
        print(f"FAULT {fault}")
    sys.exit(bool(findings.faults))


if __name__ == "__main__":
    main()
