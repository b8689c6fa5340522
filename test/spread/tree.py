"""A tree of real control services and clients, joined by links that a test drives.

Nothing runs in the background: the test delivers each message, advances the clock, cuts
links and sets the leader.  The replicated log is replaced by a fake that shares each
committed command immediately, since consensus is not under test here.
"""

from collections import deque
from dataclasses import dataclass, field
from random import Random

import msgspec

from test.spread.memory_log import MemoryLog, SharedLog
from turmericreel.control.queries import QUERIES
from turmericreel.control.service import ControlService
from turmericreel.coordination.control_client import ControlClient
from turmericreel.decisions.subset import SubsetSizes
from turmericreel.model.failures import FailureError, PeerUnreachable
from turmericreel.model.ids import (
    DataCentreId,
    FencingToken,
    Incarnation,
    InstanceId,
    Revision,
    SubmissionId,
)
from turmericreel.protocols.addresses import Address
from turmericreel.protocols.control_messages import (
    Hello,
    SubscriberRole,
    ToControl,
    ToInstance,
)
from turmericreel.state.commands.configuration import SubmitText
from turmericreel.state.commands.union import Command, Result
from turmericreel.util.clock import Clock, ManualClock

LEASE_MS = 2_000
CLOCK_DRIFT = 0.05
LEASE_BOUND_S = LEASE_MS / 1_000 * (1 + CLOCK_DRIFT)


class DriftingClock(Clock):
    """A clock with its own rate and origin.

    Parameters
    ----------
    base : ManualClock
    rate : float
        Seconds of this clock per second of the base clock.
    origin : float
        Time of this clock in seconds when the base clock is at 0.
    """

    def __init__(self, *, base: ManualClock, rate: float, origin: float):
        self.base = base
        self.rate = rate
        self.origin = origin

    def monotonic(self) -> float:
        """Return the time of this clock in seconds."""
        return self.origin + self.base.monotonic() * self.rate

    def wall_ms(self) -> int:
        """Return the wall time of the base clock in milliseconds."""
        return self.base.wall_ms()


@dataclass(kw_only=True)
class Pipe:
    """One direction of a link."""

    message_type: type
    messages: deque = field(default_factory=deque)
    closed: bool = False

    def send(self, message: msgspec.Struct) -> None:
        """Queue an encoded message; raises FailureError if the pipe is closed."""
        if self.closed:
            raise FailureError(PeerUnreachable(address="", detail="cut"))
        self.messages.append(msgspec.msgpack.encode(message))

    def close(self) -> None:
        """Close the pipe and drop the queued messages."""
        self.closed = True
        self.messages.clear()

    def receive(self) -> msgspec.Struct:
        """Remove and return the next message, decoded."""
        return msgspec.msgpack.decode(self.messages.popleft(), type=self.message_type)


class Link:
    """A client's subscription to a service.

    Parameters
    ----------
    client : ControlClient
    service : ControlService
    """

    def __init__(self, *, client: ControlClient, service: ControlService):
        self.client = client
        self.service = service
        self.up = Pipe(message_type=ToControl)
        self.down = Pipe(message_type=ToInstance)
        client.attach(self.up)
        self.subscriber = service.admit(self.up.receive(), self.down)

    @property
    def lost(self) -> bool:
        """Whether either end has closed the link."""
        return self.up.closed or self.down.closed or self.subscriber is None

    def deliver_up(self) -> bool:
        """Deliver one message to the service; return whether there was one."""
        if self.lost or not self.up.messages:
            return False
        self.service.handle(self.subscriber, self.up.receive())
        return True

    def deliver_down(self) -> bool:
        """Deliver one message to the client; return whether there was one."""
        if self.lost or not self.down.messages:
            return False
        self.client.handle(self.down.receive())
        return True

    def push(self) -> None:
        """Send pending changes to the client, as the service's push task would."""
        if not self.lost:
            self.subscriber.flush()

    def cut(self) -> None:
        """Close the link and report the loss to both ends."""
        self.client.drop_stream()
        if self.subscriber is not None:
            self.service.subscribers.remove(self.subscriber)
        self.up.close()
        self.down.close()


@dataclass(kw_only=True)
class Node:
    """One process: a sender with its upstream client, or an entry instance."""

    name: str
    clock: Clock
    service: ControlService | None = None
    client: ControlClient | None = None
    link: Link | None = None


class Tree:
    """Control instances, relays and entry instances.

    Parameters
    ----------
    controls, relays, entries : list of str
        Names of the processes.
    rates : dict of str to float
        Clock rates by process name; 1.0 for processes that are not listed.
    sizes : SubsetSizes

    Attributes
    ----------
    senders : list of str
        Names of the control instances and relays, which send to subscribers.
    """

    def __init__(
        self,
        *,
        controls: list[str],
        relays: list[str],
        entries: list[str],
        rates: dict[str, float] | None = None,
        sizes: SubsetSizes | None = None,
    ):
        self.clock = ManualClock(now=1_000.0)
        self.shared = SharedLog()
        self.rates = rates or {}
        self.sizes = sizes or SubsetSizes()
        self.n_started = 0
        self.nodes: dict[str, Node] = {}
        self.entries = entries
        self.senders = controls + relays
        for name in controls:
            self.start_sender(name, has_log=True)
        for name in relays:
            self.start_sender(name, has_log=False)
        for name in entries:
            self.start_entry(name)

    def _clock_of(self, name: str) -> Clock:
        return DriftingClock(
            base=self.clock, rate=self.rates.get(name, 1.0), origin=self.n_started * 7
        )

    def _client(self, name: str, clock: Clock, role: SubscriberRole) -> ControlClient:
        self.n_started += 1
        return ControlClient(
            addresses=[*self.senders],
            hello=Hello(
                instance=InstanceId(name),
                incarnation=Incarnation(self.n_started),
                data_centre=DataCentreId("north-mid-a"),
                http_address=f"{name}:80" if role is SubscriberRole.ENTRY else "",
                role=role,
            ),
            clock=clock,
            lease_ms=LEASE_MS,
            clock_drift=CLOCK_DRIFT,
            rng=Random(1),
        )

    def start_sender(self, name: str, *, has_log: bool) -> None:
        """Start or restart a control instance or relay."""
        clock = self._clock_of(name)
        log = None
        if has_log:
            log = MemoryLog(name=name, shared=self.shared, clock=clock)
        upstream = self._client(f"{name}/relay", clock, SubscriberRole.RELAY)
        service = ControlService(
            address=Address(host="127.0.0.1", port=0),
            log=log,
            queries=QUERIES,
            clock=clock,
            lease_ms=LEASE_MS,
            clock_drift=CLOCK_DRIFT,
            upstream=upstream,
            sizes=self.sizes,
        )
        self.nodes[name] = Node(
            name=name, clock=clock, service=service, client=upstream
        )

    def start_entry(self, name: str) -> None:
        """Start or restart an entry instance with empty state."""
        clock = self._clock_of(name)
        client = self._client(name, clock, SubscriberRole.ENTRY)
        self.nodes[name] = Node(name=name, clock=clock, client=client)

    def restart(self, name: str) -> None:
        """Cut all links of a process and restart it; only the log keeps its state."""
        node = self.nodes[name]
        self.cut(name)
        for other in self.nodes.values():
            if other.link is not None and other.link.service is node.service:
                self.cut(other.name)
        if node.service is None:
            self.start_entry(name)
        else:
            self.start_sender(name, has_log=node.service.log is not None)

    def set_leader(self, name: str) -> None:
        """Make a control instance the leader of a new term."""
        self.shared.token = FencingToken(self.shared.token + 1)
        self.shared.leader = name
        for sender in self.senders:
            self.nodes[sender].service.subscribers.tick()

    def connect(self, name: str, sender: str) -> None:
        """Connect a client to a sender, after cutting its previous link."""
        self.cut(name)
        node = self.nodes[name]
        node.link = Link(client=node.client, service=self.nodes[sender].service)

    def cut(self, name: str) -> None:
        """Cut a client's link."""
        node = self.nodes[name]
        if node.link is not None:
            node.link.cut()
        node.link = None

    @property
    def leader(self) -> ControlService:
        """Service of the leader."""
        return self.nodes[self.shared.leader].service

    def commit(self, command: Command) -> Result:
        """Commit a command at the leader."""
        return self.leader.log.propose(command, timeout=1)

    def submit(self, text: str) -> Revision:
        """Commit a text based on the current revision; return its revision."""
        base = self.shared.machine.configuration.revision
        result = self.commit(
            SubmitText(
                submission=SubmissionId(f"s{self.shared.index}"),
                base_revision=base,
                text=text,
            )
        )
        return result.revision

    def links(self) -> list[Link]:
        """Return the open links, those of senders first."""
        names = [*self.senders, *self.entries]
        links = [self.nodes[name].link for name in names]
        return [link for link in links if link is not None and not link.lost]

    def settle(self) -> None:
        """Push and deliver messages until none is in flight."""
        delivered = True
        while delivered:
            delivered = False
            for link in self.links():
                link.push()
                delivered |= link.deliver_up() or link.deliver_down()

    def exchange(self, name: str) -> None:
        """Renew one client's lease and deliver all messages on its link."""
        node = self.nodes[name]
        node.client.renew_now()
        link = node.link
        delivered = link is not None
        if delivered:
            link.push()
        while delivered:
            delivered = link.deliver_up() or link.deliver_down()

    def connect_all(self) -> None:
        """Connect senders to the leader, and entry instances to senders in turn."""
        for name in self.senders:
            self.cut(name)
            if name != self.shared.leader:
                self.connect(name, self.shared.leader)
        self.settle()
        for n, name in enumerate(self.entries):
            self.connect(name, self.senders[n % len(self.senders)])
        self.settle()

    def renew_all(self) -> None:
        """Renew all leases from the leader down, then send the reports up."""
        for name in [*self.senders, *self.entries, *self.senders]:
            self.nodes[name].client.renew_now()
            self.settle()
        for name in self.senders:
            self.nodes[name].service.reports.report_instances()
        self.settle()
