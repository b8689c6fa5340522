"""An instance's subscription to one of the control instances.

The client maintains the instance's view and its lease, proposes commands and sends
queries.  It runs in entry instances and, as part of the relay, in control instances
that follow the leader.
"""

import contextlib
from collections.abc import Callable, Iterable
from itertools import count
from random import Random

from gevent import sleep, spawn
from gevent.event import Event
from gevent.socket import create_connection
from gevent.ssl import SSLContext

from turmericreel.coordination.address_order import MAX_PAUSE_S, AddressOrder
from turmericreel.coordination.control_calls import ControlCalls
from turmericreel.coordination.control_view import ControlView, UpdateResult
from turmericreel.coordination.evidence import REPORT_INTERVAL_S, EvidenceSum
from turmericreel.model.failures import (
    FailureError,
    failure_from_wire,
)
from turmericreel.protocols.addresses import parse_address
from turmericreel.protocols.control_messages import (
    Answered,
    ConfigurationDelta,
    ConfigurationPush,
    FetchServers,
    FetchText,
    Hello,
    InstancesPush,
    LeaseGranted,
    Message,
    QueryAnswered,
    Redirected,
    Refused,
    Renew,
    RevisionCount,
    ServersPush,
    SubscriberRole,
    ToInstance,
)
from turmericreel.protocols.evidence_messages import EvidenceDigest, EvidenceItem
from turmericreel.protocols.frames import FrameStream
from turmericreel.protocols.tls import connect_tls
from turmericreel.state.commands.union import Command, Result
from turmericreel.util.clock import Clock

CONNECT_TIMEOUT_S = 1.0
SUBSCRIBE_CHECK_INTERVAL_S = 0.25
RELAY_MAX_PAUSE_S = 0.2
RENEWALS_PER_LEASE = 4
IDLE_TIMEOUT_LEASES = 2
MAX_SILENT_RENEWALS = 2
MAX_LEASES_WITHOUT_GRANT = 2

PushCallback = Callable[[Message], None]


def no_holders() -> tuple[RevisionCount, ...]:
    """Return no lease holders, for subscribers other than relays."""
    return ()


class ControlClient:
    """Keeps a stream to a control instance, with the view and lease that it carries.

    Parameters
    ----------
    addresses : list of str
        Addresses of all control instances.
    hello : Hello
        First message on each stream; it identifies this instance.
    clock : Clock
    lease_ms : int
        Length of leases, which determines the renewal interval.
    clock_drift : float
        Bound on how much faster or slower a clock runs, as a fraction.
    context : SSLContext or None
        Holds this instance's certificate; None connects without TLS.
    near : iterable of str
        Subset of the addresses to try first.
    rng : Random
    holders : callable
        For a relay: returns, for each confirmed revision, the number of instances that
        hold a lease granted by this relay.
    should_subscribe : callable
        Returns whether this instance should be subscribed; false for the relay of the
        leader.
    """

    def __init__(
        self,
        *,
        addresses: list[str],
        hello: Hello,
        clock: Clock,
        lease_ms: int,
        clock_drift: float,
        context: SSLContext | None = None,
        near: Iterable[str] = (),
        rng: Random | None = None,
        holders: Callable[[], tuple[RevisionCount, ...]] = no_holders,
        should_subscribe: Callable[[], bool] = lambda: True,
    ):
        self.context = context
        self.hello = hello
        self.clock = clock
        self.lease_ms = lease_ms
        self.clock_drift = clock_drift
        self.holders = holders
        self.should_subscribe = should_subscribe
        near = set(near)
        is_relay = hello.role is SubscriberRole.RELAY
        self.order = AddressOrder(
            near=[a for a in addresses if a in near],
            far=[a for a in addresses if a not in near],
            rng=rng or Random(hello.instance),
            max_pause_s=RELAY_MAX_PAUSE_S if is_relay else MAX_PAUSE_S,
        )
        self.view = ControlView(parses_texts=not is_relay)
        self.leaving = False
        self.stream: FrameStream | None = None
        self.connected = Event()
        self.calls = ControlCalls(
            send=self.send,
            connected=self.connected,
            should_subscribe=should_subscribe,
            clock=clock,
        )
        self.renewals: dict[int, float] = {}
        self.renewal_numbers = count(1)
        self.n_streams = 0
        self.received_at = 0.0
        self.granted_at = 0.0
        self.view_callbacks: list[Callable[[ControlView], None]] = []
        self.push_callbacks: list[PushCallback] = []
        self.connect_callbacks: list[Callable[[], None]] = []
        self.evidence = EvidenceSum()
        self.evidence_callbacks: list[Callable[[EvidenceDigest], None]] = []
        self.tasks = []

    def start(self) -> None:
        """Start the tasks that connect, renew the lease and report evidence."""
        self.tasks = [
            spawn(self._connect_loop),
            spawn(self._renew_loop),
            spawn(self._evidence_loop),
        ]

    def stop(self) -> None:
        """Close the stream and stop the tasks."""
        for task in self.tasks:
            task.kill()
        self.drop_stream()

    def propose(self, command: Command, *, timeout: float) -> Result:
        """Commit a command through the leader.

        Commands are idempotent by their own ids, so a command whose answer was lost
        is proposed again until the timeout.

        Parameters
        ----------
        command : Command
        timeout : float
            Seconds.

        Raises
        ------
        FailureError
            With `ControlUnavailable` if the command cannot have been committed, with
            `CommitUnknown` if it may have been, or with the leader's failure.
        """
        return self.calls.propose(command, timeout=timeout)

    def query(self, what: str, *, timeout: float, **arguments: str) -> bytes:
        """Send a query to the leader and return the answer, encoded as msgpack."""
        return self.calls.query(what, arguments, timeout=timeout)

    def lease_valid(self) -> bool:
        """Return whether the lease on the view is valid now."""
        return self.clock.monotonic() < self.view.lease_deadline

    def send_evidence(self, items: Iterable[EvidenceItem]) -> None:
        """Add evidence to the next report; never blocks or raises."""
        self.evidence.add(items)

    def on_evidence(self, callback: Callable[[EvidenceDigest], None]) -> None:
        """Register a callback for the evidence pooled over all instances."""
        self.evidence_callbacks.append(callback)

    def renew_now(self) -> None:
        """Send a renewal now, for example to confirm a new revision."""
        if self.stream is None:
            return
        sequence = next(self.renewal_numbers)
        self.renewals[sequence] = self.clock.monotonic()
        self.send(
            Renew(
                sequence=sequence,
                revision=self.view.revision,
                servers_index=self.view.servers_index,
                leaving=self.leaving,
                holders=self.holders(),
            )
        )

    def send(self, message: Message) -> bool:
        """Send a message if connected; return whether it was sent."""
        stream = self.stream
        if stream is None:
            return False
        try:
            stream.send(message)
        except FailureError:
            self.drop_stream()
            return False
        return True

    def _connect_loop(self) -> None:
        while True:
            if not self.should_subscribe():
                sleep(SUBSCRIBE_CHECK_INTERVAL_S)
                continue
            with contextlib.suppress(OSError, FailureError):
                self._serve_connection(self.order.current())
            self.drop_stream()
            sleep(self.order.pause_s())

    def _serve_connection(self, address_text: str) -> None:
        # Moves on before connecting, since a later redirect may set a better address.
        self.order.move_to_next()
        address = parse_address(address_text)
        sock = create_connection(
            (address.host, address.port), timeout=CONNECT_TIMEOUT_S
        )
        sock = connect_tls(sock, self.context, host=address.host)
        # Renewals are answered, so a silent stream is half-open.
        stream = FrameStream(
            sock=sock,
            message_type=ToInstance,
            idle_timeout_s=self.lease_ms / 1_000 * IDLE_TIMEOUT_LEASES,
        )
        self.attach(stream)
        while (message := stream.receive()) is not None:
            self.handle(message)

    def attach(self, stream: FrameStream) -> None:
        """Use a new stream: introduce this instance on it and renew the lease."""
        stream.send(self.hello)
        self.received_at = self.granted_at = self.clock.monotonic()
        self.stream = stream
        self.n_streams += 1
        self.connected.set()
        self.renew_now()
        for callback in self.connect_callbacks:
            callback()

    def handle(self, message: ToInstance) -> None:
        """Handle one message of the control instance."""
        self.received_at = self.clock.monotonic()
        match message:
            case Answered(call=call, result=result):
                self.calls.finish(call, result)
            case QueryAnswered(call=call, value=value):
                self.calls.finish(call, value)
            case Refused(call=call, failure=failure):
                self.calls.fail(call, FailureError(failure_from_wire(failure)))
            case LeaseGranted():
                self._extend_lease(message)
            case Redirected():
                self._redirect(message)
            case ConfigurationPush():
                self._handle_text_result(self.view.apply_text(message))
            case ConfigurationDelta():
                self._handle_text_result(self.view.apply_delta(message))
            case ServersPush():
                self._handle_servers_result(message, self.view.apply_servers(message))
            case InstancesPush():
                self.view.apply_instances(message)
                self._notify(message)
            case EvidenceDigest():
                for callback in self.evidence_callbacks:
                    callback(message)

    def _redirect(self, message: Redirected) -> None:
        self.order.prefer(message.address)
        sleep(message.retry_after_ms / 1_000)
        self.drop_stream()

    def _extend_lease(self, message: LeaseGranted) -> None:
        sent_at = self.renewals.pop(message.sequence, None)
        if sent_at is None:
            return
        update_result = self.view.extend_lease(
            message, sent_at=sent_at, clock_drift=self.clock_drift
        )
        match update_result:
            case UpdateResult.APPLIED:
                self.granted_at = self.clock.monotonic()
                self.order.record_success()
            case UpdateResult.GAP:
                self.send(FetchServers())
            case UpdateResult.STALE_SENDER:
                self.drop_stream()

    def _handle_text_result(self, update_result: UpdateResult) -> None:
        match update_result:
            case UpdateResult.APPLIED:
                self._notify(None)
                self.renew_now()
            case UpdateResult.GAP:
                self.send(FetchText())
            case UpdateResult.STALE_SENDER:
                self.drop_stream()

    def _handle_servers_result(
        self, message: ServersPush, update_result: UpdateResult
    ) -> None:
        match update_result:
            case UpdateResult.APPLIED:
                self._notify(message)
            case UpdateResult.GAP:
                self.send(FetchServers())

    def _notify(self, message: Message | None) -> None:
        if message is not None:
            for callback in self.push_callbacks:
                callback(message)
        for callback in self.view_callbacks:
            callback(self.view)

    def _renew_loop(self) -> None:
        pause = self.lease_ms / 1_000 / RENEWALS_PER_LEASE
        while True:
            sleep(pause)
            self._drop_expired_renewals()
            if self.should_reconnect():
                self.drop_stream()
            else:
                self.renew_now()

    def should_reconnect(self) -> bool:
        """Return whether the stream is silent or no longer extends the lease.

        A stream is silent after the network fails in one direction, for example.  The
        bounds leave time to find another control instance before the lease expires.
        """
        now = self.clock.monotonic()
        lease_s = self.lease_ms / 1_000
        silent_s = lease_s / RENEWALS_PER_LEASE * MAX_SILENT_RENEWALS
        if now - self.received_at > silent_s:
            return True
        return now - self.granted_at > lease_s * MAX_LEASES_WITHOUT_GRANT

    def _evidence_loop(self) -> None:
        while True:
            sleep(REPORT_INTERVAL_S)
            report = self.evidence.take() if self.stream is not None else None
            if report is not None and not self.send(report):
                self.evidence.add(report.items)

    def _drop_expired_renewals(self) -> None:
        oldest = self.clock.monotonic() - self.lease_ms / 1_000
        for sequence in [s for s, at in self.renewals.items() if at < oldest]:
            del self.renewals[sequence]

    def drop_stream(self) -> None:
        """Close the stream and fail its pending calls."""
        self.connected.clear()
        stream, self.stream = self.stream, None
        if stream is not None:
            stream.close()
        self.calls.fail_all()
