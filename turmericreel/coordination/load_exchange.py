"""Sends load reports from a server's home to the instances that use the server.

The home of a server is the entry instance that the server announces itself to.  Each
instance registers its interest with the homes of the servers that it knows; once a
second, a home sends new reports to the instances with a recent interest.  So the
traffic grows with the sizes of the subsets, not with the number of instances times the
number of servers, and none of it passes through the leader.  Datagrams may be lost;
the next one replaces a lost one a second later.
"""

from collections import defaultdict
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from random import Random

import msgspec
from eliot import log_message
from gevent import sleep, spawn
from gevent import socket as gsocket
from gevent.event import Event

from turmericreel.coordination.control_client import ControlClient
from turmericreel.coordination.control_view import ControlView
from turmericreel.model.ids import BackendServerId, InstanceId
from turmericreel.model.servers import LoadReport
from turmericreel.protocols.addresses import Address
from turmericreel.protocols.load_messages import (
    LoadDigest,
    LoadInterest,
    LoadMessage,
    ServerLoad,
)
from turmericreel.util.clock import Clock

DIGEST_INTERVAL_S = 1.0
INTEREST_INTERVAL_S = 5.0
INTEREST_VALID_S = 12.0
MAX_INTERESTS = 512
MAX_SERVERS_PER_INTEREST = 64
LOADS_PER_DATAGRAM = 16
JITTER_FRACTION = 0.2
MAX_DATAGRAM_BYTES = 8_192

ReportLoad = Callable[[LoadReport, float], None]


@dataclass(kw_only=True)
class Interest:
    """Servers whose load an instance has asked for.

    Attributes
    ----------
    deadline : float
        When the interest expires, in seconds on the monotonic clock.
    last_sent_received_at : dict of BackendServerId to float
        For each server, when the report last sent to the instance was received, in
        seconds on the monotonic clock.
    """

    servers: frozenset[BackendServerId]
    deadline: float
    last_sent_received_at: dict[BackendServerId, float] = field(default_factory=dict)


@dataclass(frozen=True, kw_only=True)
class ReceivedLoad:
    """Newest report of a server whose home is this instance.

    Attributes
    ----------
    received_at : float
        Seconds on the monotonic clock.
    """

    report: LoadReport
    received_at: float


def bind_datagrams(address: Address) -> gsocket.socket:
    """Return a datagram socket bound to an address."""
    sock = gsocket.socket(gsocket.AF_INET, gsocket.SOCK_DGRAM)
    sock.bind((address.host, address.port))
    return sock


def bound_address(sock: gsocket.socket) -> Address:
    """Return the address that a socket is bound to."""
    host, port = sock.getsockname()
    return Address(host=host, port=port)


class LoadExchange:
    """Exchanges load reports with other instances over a datagram socket.

    Parameters
    ----------
    sock : socket
        Bound datagram socket; the exchange owns it from here on.
    control : ControlClient
        Its view has the servers' homes and the other instances' addresses.
    report_load : callable
        Takes a `LoadReport` and its time in seconds on the monotonic clock.
    clock : Clock
    rng : Random
        Jitters the intervals between sends.
    """

    def __init__(
        self,
        *,
        sock: gsocket.socket,
        control: ControlClient,
        report_load: ReportLoad,
        clock: Clock,
        rng: Random,
    ):
        self.control = control
        self.report_load = report_load
        self.clock = clock
        self.rng = rng
        self.received: dict[BackendServerId, ReceivedLoad] = {}
        self.interests: dict[InstanceId, Interest] = {}
        self.requested_homes: dict[BackendServerId, InstanceId] = {}
        self.homes_changed = Event()
        self.decoder = msgspec.msgpack.Decoder(LoadMessage)
        self.sent_bytes = 0
        self.received_bytes = 0
        self.socket = sock
        self.tasks = []

    def start(self) -> None:
        """Start the tasks that receive datagrams, send interests and send digests."""
        self.tasks = [
            spawn(self._receive_loop),
            spawn(self._interest_loop),
            spawn(self._digest_loop),
        ]

    def stop(self) -> None:
        """Stop the tasks and close the socket."""
        for task in self.tasks:
            task.kill()
        self.socket.close()

    def publish(self, report: LoadReport) -> None:
        """Store the newest report of a server whose home is this instance."""
        self.received[report.server] = ReceivedLoad(
            report=report, received_at=self.clock.monotonic()
        )

    def forget(self, server: BackendServerId) -> None:
        """Remove a server whose home is no longer this instance."""
        self.received.pop(server, None)

    def send_interests(self) -> None:
        """Send each home the list of its servers that this instance uses."""
        view = self.control.view
        self.requested_homes = dict(view.homes)
        by_home: dict[InstanceId, list[BackendServerId]] = defaultdict(list)
        for server, home in view.homes.items():
            by_home[home].append(server)
        by_home.pop(self.control.hello.instance, None)
        for home, servers in by_home.items():
            info = view.directory.get(home)
            if info is not None and info.load_address:
                message = LoadInterest(
                    instance=self.control.hello.instance,
                    servers=tuple(servers[:MAX_SERVERS_PER_INTEREST]),
                )
                self._send(message, info.load_address)

    def send_digests(self) -> None:
        """Send new reports to the instances that are interested in them."""
        now = self.clock.monotonic()
        self.interests = {
            instance: interest
            for instance, interest in self.interests.items()
            if interest.deadline > now
        }
        for instance, interest in self.interests.items():
            info = self.control.view.directory.get(instance)
            if info is None:
                continue
            for digest in self._digests(interest, now):
                self._send(digest, info.load_address)

    def _digests(self, interest: Interest, now: float) -> Iterator[LoadDigest]:
        loads = []
        for server in interest.servers:
            received = self.received.get(server)
            if (
                received is None
                or interest.last_sent_received_at.get(server) == received.received_at
            ):
                continue
            interest.last_sent_received_at[server] = received.received_at
            loads.append(_load_of(received, now))
        for start in range(0, len(loads), LOADS_PER_DATAGRAM):
            yield LoadDigest(loads=tuple(loads[start : start + LOADS_PER_DATAGRAM]))

    def receive(self, datagram: bytes, peer: tuple[str, int]) -> None:
        """Handle a datagram; ignore it unless a known instance's address sent it."""
        try:
            message = self.decoder.decode(datagram)
        except msgspec.MsgspecError:
            log_message("load:datagram_dropped", reason="not decodable")
            return
        if isinstance(message, LoadInterest):
            self._record_interest(message, peer)
        else:
            self._record_loads(message, peer)

    def _record_interest(self, message: LoadInterest, peer: tuple[str, int]) -> None:
        info = self.control.view.directory.get(message.instance)
        if info is None or info.load_address != f"{peer[0]}:{peer[1]}":
            return
        interest = self.interests.get(message.instance)
        if interest is None and len(self.interests) >= MAX_INTERESTS:
            return
        self.interests[message.instance] = Interest(
            servers=frozenset(message.servers[:MAX_SERVERS_PER_INTEREST]),
            deadline=self.clock.monotonic() + INTEREST_VALID_S,
            last_sent_received_at=interest.last_sent_received_at
            if interest is not None
            else {},
        )

    def _record_loads(self, message: LoadDigest, peer: tuple[str, int]) -> None:
        view = self.control.view
        now = self.clock.monotonic()
        for load in message.loads:
            server = view.servers.get(load.server)
            if server is None or server.incarnation != load.incarnation:
                continue
            home = view.directory.get(view.homes[load.server])
            if home is None or home.load_address != f"{peer[0]}:{peer[1]}":
                continue
            report = LoadReport(
                server=load.server,
                incarnation=load.incarnation,
                running=load.running,
                waiting=load.waiting,
                cache_blocks_used=load.cache_blocks_used,
            )
            self.report_load(report, now - load.age_ms / 1_000)

    def _send(self, message: LoadMessage, address: str) -> None:
        datagram = msgspec.msgpack.encode(message)
        host, _, port = address.rpartition(":")
        try:
            self.socket.sendto(datagram, (host, int(port)))
        except OSError as error:
            log_message("load:not_sent", address=address, detail=str(error))
            return
        self.sent_bytes += len(datagram)

    def _receive_loop(self) -> None:
        while True:
            try:
                datagram, peer = self.socket.recvfrom(MAX_DATAGRAM_BYTES)
            except OSError as error:
                log_message("load:not_received", detail=str(error))
                sleep(DIGEST_INTERVAL_S)
                continue
            self.received_bytes += len(datagram)
            self.receive(datagram, peer)

    def _interest_loop(self) -> None:
        self.control.view_callbacks.append(self._on_view)
        while True:
            self.homes_changed.wait(timeout=self._jittered(INTEREST_INTERVAL_S))
            sleep(self._jittered(DIGEST_INTERVAL_S))
            self.homes_changed.clear()
            self.send_interests()

    def _digest_loop(self) -> None:
        while True:
            sleep(self._jittered(DIGEST_INTERVAL_S))
            self.send_digests()

    def _on_view(self, view: ControlView) -> None:
        if self.requested_homes != view.homes:
            self.homes_changed.set()

    def _jittered(self, seconds: float) -> float:
        return seconds * self.rng.uniform(1 - JITTER_FRACTION, 1 + JITTER_FRACTION)


def _load_of(received: ReceivedLoad, now: float) -> ServerLoad:
    report = received.report
    return ServerLoad(
        server=report.server,
        incarnation=report.incarnation,
        running=report.running,
        waiting=report.waiting,
        cache_blocks_used=report.cache_blocks_used,
        age_ms=int((now - received.received_at) * 1_000),
    )
