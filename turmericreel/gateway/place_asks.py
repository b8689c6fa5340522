"""Requests of a gateway that ask the leader for places at brittle servers."""

from collections import Counter
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from itertools import count
from math import inf

from gevent.event import Event

from turmericreel.gateway.client_request import ClientRequest
from turmericreel.model.ids import BackendServerId, ClientAccountId, ServiceName
from turmericreel.model.place_report import PlaceAnswer, PlaceAsk, PlaceReport
from turmericreel.util.clock import Clock

# A leader tells several times a second that it grants places; without that for this
# time it counts as lost.
LEADER_TIMEOUT_S = 1.2
# Servers named in one ask.
MAX_SERVERS = 8


@dataclass(kw_only=True)
class OpenAsk:
    """An ask without an answer, or with one that its request has not read yet.

    Attributes
    ----------
    deadline : float
        Until when the request waits, in seconds on the monotonic clock.
    woken : Event
        Set when there is an answer.
    granted : BackendServerId or None
    retry_ms : int or None
        Set if the leader refused: time after which there may be a place.
    """

    number: int
    service: ServiceName
    servers: tuple[BackendServerId, ...]
    prefers_first: bool
    priority: int
    account: ClientAccountId
    deadline: float
    woken: Event = field(default_factory=Event)
    granted: BackendServerId | None = None
    retry_ms: int | None = None


class PlaceAsks:
    """Asks of a gateway, and the places that it was granted but does not use yet.

    Parameters
    ----------
    clock : Clock

    Attributes
    ----------
    asks : dict of int to OpenAsk
    reserved : Counter of BackendServerId
        Granted places of requests that are not sent yet.
    leader_deadline : float
        Until when the leader counts as present, in seconds on the monotonic clock.
    heard_at : float
        When the leader last told that it grants places.
    is_known : bool
        Whether the leader has been told what this gateway holds.
    term, number : int
        Of the last answer.
    on_change : callable
        Called when the leader should get a report soon.
    """

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.asks: dict[int, OpenAsk] = {}
        self.reserved: Counter[BackendServerId] = Counter()
        self.leader_deadline = 0.0
        self.heard_at = -inf
        self.is_known = False
        self.term = 0
        self.number = 0
        self.refused: list[BackendServerId] = []
        self.numbers = count(1)
        self.on_change: Callable[[], None] = lambda: None

    @property
    def has_leader(self) -> bool:
        """Whether a leader grants places."""
        return self.clock.monotonic() < self.leader_deadline

    def record_leader(self, *, term: int) -> None:
        """Record that the leader of a term grants places."""
        now = self.clock.monotonic()
        if term < self.term and now < self.leader_deadline:
            return
        if now >= self.leader_deadline or term != self.term:
            self.is_known = False
        if term != self.term:
            self.term, self.number = term, 0
        self.heard_at = now
        self.leader_deadline = now + LEADER_TIMEOUT_S
        if not self.is_known:
            # It leaves places unused as long as it does not know what is held here.
            self.is_known = True
            self.on_change()

    def record_leader_lost(self) -> None:
        """Record that the connection to the leader ended."""
        self.leader_deadline = min(self.leader_deadline, self.clock.monotonic())

    def open(
        self,
        request: ClientRequest,
        service: ServiceName,
        servers: list[BackendServerId],
        *,
        deadline: float,
    ) -> OpenAsk:
        """Ask for a place at one of the servers; the best one is first."""
        ask = OpenAsk(
            number=next(self.numbers),
            service=service,
            servers=tuple(servers[:MAX_SERVERS]),
            prefers_first=bool(request.prefix_key),
            priority=request.priority,
            account=request.account or ClientAccountId(""),
            deadline=deadline,
        )
        self.asks[ask.number] = ask
        self.on_change()
        return ask

    def close(self, ask: OpenAsk, *, is_used: bool) -> None:
        """End an ask; a granted place that is not used goes back to the leader."""
        self.asks.pop(ask.number, None)
        if ask.granted is not None and not is_used:
            self.use(ask.granted)
            self.on_change()

    def use(self, server: BackendServerId) -> None:
        """Count a granted place as used or given back."""
        if self.reserved[server] > 1:
            self.reserved[server] -= 1
        else:
            del self.reserved[server]

    def receive(self, answer: PlaceAnswer) -> None:
        """Record an answer of the leader, and wake the requests that it answers."""
        if answer.term != self.term:
            return
        self.number = max(self.number, answer.number)
        now = self.clock.monotonic()
        is_unused = False
        for number, server in answer.granted.items():
            ask = self.asks.get(number)
            # After a suspension answers may be older than the leader remembers.
            if ask is None or ask.granted is not None or now >= ask.deadline:
                is_unused = True
                continue
            ask.granted = server
            self.reserved[server] += 1
            ask.woken.set()
        for number, retry_ms in answer.refused.items():
            ask = self.asks.get(number)
            if ask is not None and ask.granted is None:
                ask.retry_ms = retry_ms
                ask.woken.set()
        if is_unused:
            self.on_change()

    def record_refusal(self, server: BackendServerId) -> None:
        """Record that a server had no room, for the next report to the leader."""
        if self.has_leader:
            self.refused.append(server)

    def report(
        self,
        held: Mapping[BackendServerId, int],
        held_s: Mapping[ServiceName, float],
    ) -> PlaceReport:
        """Return the report to the leader.

        Parameters
        ----------
        held : mapping of BackendServerId to int
            Places that requests hold, with the reserved ones.
        held_s : mapping of ServiceName to float
            Mean time for which a request holds a place.
        """
        now = self.clock.monotonic()
        refused, self.refused = self.refused, []
        return PlaceReport(
            asks=tuple(
                PlaceAsk(
                    number=ask.number,
                    service=ask.service,
                    servers=ask.servers,
                    prefers_first=ask.prefers_first,
                    priority=ask.priority,
                    account=ask.account,
                    wait_ms=int((ask.deadline - now) * 1_000),
                )
                for ask in self.asks.values()
                if ask.granted is None and ask.retry_ms is None and now < ask.deadline
            ),
            held=dict(held),
            term=self.term,
            number=self.number,
            refused=tuple(refused),
            held_ms={service: s * 1_000 for service, s in held_s.items()},
        )
