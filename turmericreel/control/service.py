"""Control service for other instances, over streams of framed messages.

A control instance leads, or relays what the leader sends it; both look the same to
subscribers.
"""

import msgspec
from eliot import log_message
from gevent import sleep, spawn
from gevent.event import Event
from gevent.pool import Pool
from gevent.server import StreamServer
from gevent.ssl import SSLContext
from gevent.timeout import Timeout

from turmericreel.control.admission import redirect_for
from turmericreel.control.calls import PROPOSE_TIMEOUT_S, CallServer, QueryFunction
from turmericreel.control.evidence import EvidencePool, HealthJudge, NoJudge
from turmericreel.control.relay_reports import RelayReports
from turmericreel.control.sources import LeaderSource, RelaySource, StateSource
from turmericreel.control.subscriber import Subscriber
from turmericreel.control.subscriptions import Subscribers
from turmericreel.coordination.control_client import ControlClient
from turmericreel.coordination.replicated_log import ReplicatedLog
from turmericreel.decisions.subset import SubsetSizes
from turmericreel.model.failures import (
    FailureError,
)
from turmericreel.protocols.addresses import Address
from turmericreel.protocols.control_messages import (
    FetchServers,
    FetchText,
    Hello,
    InstancesPush,
    Message,
    Propose,
    Query,
    Redirected,
    Renew,
    ToControl,
)
from turmericreel.protocols.evidence_messages import EvidenceDigest, EvidenceReport
from turmericreel.protocols.frames import FrameStream
from turmericreel.protocols.tls import accept_tls
from turmericreel.state.commands.configuration import SubmitEdits, SubmitText
from turmericreel.state.commands.servers import (
    AnnounceServer,
    ExpireServers,
    ServerLeft,
)
from turmericreel.state.commands.union import Command
from turmericreel.util.clock import Clock

HELLO_TIMEOUT_S = 5.0
IDLE_TIMEOUT_LEASES = 3
MAX_CONNECTIONS = 2_000
JUDGE_INTERVAL_S = 1.0
TICK_INTERVAL_S = 0.1
PUSHED_COMMANDS = (
    SubmitText,
    SubmitEdits,
    AnnounceServer,
    ServerLeft,
    ExpireServers,
)


class ControlService:
    """Control listener and the tasks that serve its subscribers.

    Parameters
    ----------
    address : Address
    log : ReplicatedLog or None
        None in an instance that only relays.
    queries : dict of str to callable
        Functions by query name; each takes a `QueryContext` and returns a value that
        msgspec can encode.
    clock : Clock
    lease_ms : int
        Length of a whole lease, in milliseconds.
    clock_drift : float
        Bound on how much faster or slower a clock runs, as a fraction.
    judge : HealthJudge
        Proposes commands from the evidence that instances report.
    context : SSLContext or None
        Requires certificates of the other instances; None for plain TCP.
    upstream : ControlClient or None
        Subscribed as a relay to the leader; None if this instance always leads.
    fan_out : int
        Maximum number of entry instances subscribed here.
    sizes : SubsetSizes
    """

    def __init__(
        self,
        *,
        address: Address,
        log: ReplicatedLog | None,
        queries: dict[str, QueryFunction],
        clock: Clock,
        lease_ms: int,
        clock_drift: float,
        judge: HealthJudge | None = None,
        context: SSLContext | None = None,
        upstream: ControlClient | None = None,
        fan_out: int = 64,
        sizes: SubsetSizes | None = None,
    ):
        self.context = context
        self.idle_timeout_s = lease_ms / 1_000 * IDLE_TIMEOUT_LEASES
        self.log = log
        self.clock = clock
        self.judge = judge or NoJudge()
        self.upstream = upstream
        self.fan_out = fan_out
        self.evidence = EvidencePool(clock=clock)
        self.leader_source = LeaderSource(log=log, lease_ms=lease_ms) if log else None
        self.relay_source = RelaySource(client=upstream) if upstream else None
        self.subscribers = Subscribers(
            source=self.source,
            is_leader=self.is_leader,
            clock=clock,
            lease_ms=lease_ms,
            clock_drift=clock_drift,
            sizes=sizes or SubsetSizes(),
            on_confirmation_change=self._on_confirmation_change,
        )
        self.calls = CallServer(
            log=log,
            upstream=upstream,
            queries=queries,
            subscribers=self.subscribers,
            is_leader=self.is_leader,
            leader_hint=self.leader_hint,
        )
        self.reports = self._build_reports()
        self.server = StreamServer(
            (address.host, address.port), self._serve, spawn=Pool(MAX_CONNECTIONS)
        )
        self.changed = Event()
        self.tasks = []
        if log is not None:
            log.applied_callbacks.append(self._on_applied)

    def _build_reports(self) -> RelayReports | None:
        if self.upstream is None:
            return None
        self.upstream.view_callbacks.append(lambda view: self.changed.set())
        self.upstream.push_callbacks.append(self._on_push)
        self.upstream.on_evidence(self._on_digest)
        return RelayReports(client=self.upstream, subscribers=self.subscribers)

    def is_leader(self) -> bool:
        """Return whether this instance leads right now."""
        return self.log is not None and self.log.is_leader()

    def source(self) -> StateSource:
        """Return the current source of the state that subscribers are sent."""
        if self.relay_source is None or self.is_leader():
            return self.leader_source
        return self.relay_source

    def start(self) -> None:
        """Start the listener and the tasks."""
        self.server.start()
        self.tasks = [
            spawn(self._push_loop),
            spawn(self._judge_loop),
            spawn(self._tick_loop),
        ]
        if self.reports is not None:
            self.reports.start()

    def stop(self) -> None:
        """Stop the listener and the tasks, and close all streams."""
        for task in self.tasks:
            task.kill()
        if self.reports is not None:
            self.reports.stop()
        self.server.stop(timeout=0)
        self.subscribers.close()

    @property
    def port(self) -> int:
        """Port of the listener."""
        return self.server.server_port

    def _on_applied(self, record, result) -> None:
        if isinstance(record.command, PUSHED_COMMANDS):
            self.changed.set()

    def _on_push(self, message: Message) -> None:
        if isinstance(message, InstancesPush):
            self.subscribers.receive_leader_instances(message)

    def _on_digest(self, digest: EvidenceDigest) -> None:
        self.subscribers.broadcast(digest)

    def _on_confirmation_change(self) -> None:
        if self.reports is not None and not self.is_leader():
            self.reports.confirmations_changed.set()

    def _push_loop(self) -> None:
        while True:
            self.changed.wait()
            self.changed.clear()
            self.subscribers.push_changes()

    def _tick_loop(self) -> None:
        while True:
            self.subscribers.tick()
            sleep(TICK_INTERVAL_S)

    def _judge_loop(self) -> None:
        while True:
            sleep(JUDGE_INTERVAL_S)
            if self.is_leader():
                self._judge()
            else:
                self.evidence.clear()

    def _judge(self) -> None:
        now = self.clock.monotonic()
        digest = msgspec.structs.replace(
            self.evidence.digest(),
            standings=self.log.machine.health.standings(),
            bad_servers=self.judge.bad_servers(now=now),
        )
        if digest.items or digest.standings:
            self.subscribers.broadcast(digest)
        for command in self.judge.judge(self.evidence, self.log.machine, now=now):
            spawn(self._propose_and_log_failure, command)

    def _propose_and_log_failure(self, command: Command) -> None:
        try:
            self.log.propose(command, timeout=PROPOSE_TIMEOUT_S)
        except FailureError as error:
            log_message("control:proposal_lost", failure=error.failure.describe())
        except Timeout:
            log_message("control:proposal_lost", failure="timeout")

    def _serve(self, sock, peer) -> None:
        subscriber = None
        hello = None
        try:
            sock = accept_tls(sock, self.context, timeout_s=HELLO_TIMEOUT_S)
        except FailureError as error:
            log_message("control:stream_lost", failure=error.failure.describe())
            return
        stream = FrameStream(
            sock=sock, message_type=ToControl, idle_timeout_s=self.idle_timeout_s
        )
        try:
            with Timeout(HELLO_TIMEOUT_S, False):
                hello = stream.receive()
            if isinstance(hello, Hello):
                subscriber = self.admit(hello, stream)
            if subscriber is not None:
                self._read_loop(subscriber)
        except FailureError as error:
            log_message("control:stream_lost", failure=error.failure.describe())
        finally:
            if subscriber is not None:
                self.subscribers.remove(subscriber)
            stream.close()

    def admit(self, hello: Hello, stream: FrameStream) -> Subscriber | None:
        """Register a subscriber, or send it a redirect and return None."""
        redirect = redirect_for(
            hello,
            is_leader=self.is_leader(),
            leader_hint=self.leader_hint(),
            n_entries=sum(not s.is_relay for s in self.subscribers.streams),
            fan_out=self.fan_out,
        )
        if redirect is None:
            return self.subscribers.add(hello, stream)
        stream.send(redirect)
        return None

    def leader_hint(self) -> str:
        """Return the control address of the leader by the local view, or ``""``."""
        return self.log.leader_hint() if self.log is not None else ""

    def _read_loop(self, subscriber: Subscriber) -> None:
        while (message := subscriber.stream.receive()) is not None:
            self.handle(subscriber, message)

    def handle(self, subscriber: Subscriber, message: ToControl) -> None:
        """Handle one message of a subscriber."""
        match message:
            case Renew():
                self._renew(subscriber, message)
            case Propose() | Query():
                self.calls.start(subscriber, message)
            case FetchText():
                subscriber.resend_text()
            case FetchServers():
                subscriber.registry.reset()
                subscriber.request_push()
            case InstancesPush():
                self.subscribers.receive_relay_instances(subscriber, message)
            case EvidenceReport():
                self._receive_evidence(message)

    def _renew(self, subscriber: Subscriber, message: Renew) -> None:
        if subscriber.is_relay and not self.is_leader():
            subscriber.send(Redirected(address=self.leader_hint()))
            return
        self.subscribers.renew(subscriber, message)

    def _receive_evidence(self, message: EvidenceReport) -> None:
        if self.is_leader() or self.upstream is None:
            self.evidence.add(message)
        else:
            self.upstream.send_evidence(message.items)
