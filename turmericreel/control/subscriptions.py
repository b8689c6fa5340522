"""Subscribers of a control instance, with their leases and confirmed revisions."""

from collections.abc import Callable

import msgspec
from eliot import log_message

from turmericreel.control.directory import Directory
from turmericreel.control.lease_book import LeaseBook, PropagationStatus
from turmericreel.control.sources import StateSource
from turmericreel.control.subscriber import Subscriber
from turmericreel.control.text_pushes import TextPushes
from turmericreel.decisions.subset import SubsetSizes
from turmericreel.model.ids import Revision
from turmericreel.protocols.control_messages import (
    Hello,
    InstanceInfo,
    InstancesPush,
    LeaseDenied,
    LeaseGranted,
    Renew,
    RevisionCount,
)
from turmericreel.protocols.frames import FrameStream
from turmericreel.util.clock import Clock

UPSTREAM = "upstream"
RELAYED_GRACE_S = 6.0


class Subscribers:
    """All subscribers of this control instance.

    Parameters
    ----------
    source : callable
        Returns the current `StateSource`.
    is_leader : callable
        Returns whether this instance leads right now.
    clock : Clock
    lease_ms : int
        Length of a whole lease, in milliseconds.
    clock_drift : float
        Bound on how much faster or slower a clock runs, as a fraction.
    sizes : SubsetSizes
    on_confirmation_change : callable
        Called when a subscriber has confirmed another revision.

    Attributes
    ----------
    streams : set of Subscriber
    local_directory : Directory
        Entry instances subscribed here.
    directory : Directory
        All entry instances: merged from the relays' reports on the leader, received
        from the leader elsewhere.
    """

    def __init__(
        self,
        *,
        source: Callable[[], StateSource],
        is_leader: Callable[[], bool],
        clock: Clock,
        lease_ms: int,
        clock_drift: float,
        sizes: SubsetSizes,
        on_confirmation_change: Callable[[], None],
    ):
        self.source = source
        self.is_leader = is_leader
        self.clock = clock
        self.lease_ms = lease_ms
        self.sizes = sizes
        self.on_confirmation_change = on_confirmation_change
        self.streams: set[Subscriber] = set()
        self.texts = TextPushes()
        self.book = LeaseBook(clock=clock, lease_ms=lease_ms, clock_drift=clock_drift)
        grace_s = lease_ms / 1_000
        self.local_directory = Directory(clock=clock, grace_s=grace_s)
        self.directory = Directory(clock=clock, grace_s=grace_s)
        self.was_leader = False

    def add(self, hello: Hello, stream: FrameStream) -> Subscriber:
        """Register a stream and return its subscriber."""
        subscriber = Subscriber(
            hello=hello,
            stream=stream,
            source=self.source,
            texts=self.texts,
            directory=self.directory,
            sizes=self.sizes,
            clock=self.clock,
        )
        self.streams.add(subscriber)
        return subscriber

    def remove(self, subscriber: Subscriber) -> None:
        """Remove and close a stream; its lease still counts until it expires."""
        self.streams.discard(subscriber)
        subscriber.close()
        self.local_directory.mark_stream_lost(subscriber)
        # Instances behind a lost relay are still live, but need time to subscribe
        # elsewhere and be reported from there.
        grace_s = RELAYED_GRACE_S if subscriber.is_relay else None
        self.directory.mark_stream_lost(subscriber, grace_s=grace_s)

    def close(self) -> None:
        """Close all streams."""
        for subscriber in list(self.streams):
            subscriber.close()

    def renew(self, subscriber: Subscriber, message: Renew) -> None:
        """Send pending changes, then grant a lease or deny it.

        A lease is granted only to a subscriber that holds the current revision.
        """
        self._confirm(subscriber, message)
        subscriber.flush()
        source = self.source()
        granted_ms = min(self.lease_ms, source.lease_limit_ms())
        revision = source.revision()
        if granted_ms <= 0 or message.revision != revision:
            subscriber.send(LeaseDenied(sequence=message.sequence))
            return
        # Recorded before it is sent, so that no granted lease is missing here.
        self.book.extend(subscriber.key, lease_ms=granted_ms)
        subscriber.send(
            LeaseGranted(
                sequence=message.sequence,
                lease_ms=granted_ms,
                revision=revision,
                servers_index=subscriber.registry.sent_index,
                fencing_token=source.fencing_token(),
            )
        )

    def _confirm(self, subscriber: Subscriber, message: Renew) -> None:
        before = subscriber.confirmed
        subscriber.confirmed = message.revision
        subscriber.leaving = message.leaving
        self.book.confirm(
            subscriber.key,
            role=subscriber.hello.role,
            revision=message.revision,
            downstream=message.holders,
        )
        if subscriber.hello.http_address and not subscriber.is_relay:
            self.local_directory.record_instance(subscriber.info(), via=subscriber)
            if self.is_leader():
                self.directory.record_instance(subscriber.info(), via=subscriber)
        if before != message.revision:
            self.on_confirmation_change()

    def push_changes(self) -> None:
        """Have the pending changes sent to every subscriber."""
        for subscriber in list(self.streams):
            subscriber.request_push()

    def broadcast(self, message: msgspec.Struct) -> None:
        """Send a message to every subscriber."""
        for subscriber in list(self.streams):
            subscriber.send(message)

    def tick(self) -> None:
        """Apply changes of leadership, and drop expired holders and instances."""
        leads = self.is_leader()
        if leads:
            self.book.begin_term(self.source().fencing_token())
        else:
            self.book.end_term()
        if leads != self.was_leader:
            self._change_role(leads)
        self.book.drop_expired_holders({s.key for s in self.streams})
        self.local_directory.remove_expired()
        self.directory.remove_expired()

    def _change_role(self, leads: bool) -> None:
        log_message("control:leadership", leads=leads)
        self.was_leader = leads
        if not leads:
            self.directory.reassign_all(UPSTREAM)
            return
        self.directory.mark_stream_lost(UPSTREAM, grace_s=RELAYED_GRACE_S)
        for listed in self.local_directory.live():
            self.directory.record_instance(listed.info, via=listed.via)

    def receive_relay_instances(
        self, subscriber: Subscriber, message: InstancesPush
    ) -> None:
        """Apply a relay's report of its instances, if this instance leads."""
        if self.is_leader():
            self.directory.apply(message, via=subscriber)

    def receive_leader_instances(self, message: InstancesPush) -> None:
        """Apply the leader's list of instances, unless this instance leads."""
        if not self.is_leader():
            self.directory.apply(message, via=UPSTREAM)

    def live_instances(self) -> tuple[InstanceInfo, ...]:
        """Return the live instances that are not leaving."""
        return self.directory.infos()

    def holder_counts(self) -> tuple[RevisionCount, ...]:
        """Return the number of live lease holders by revision."""
        return self.book.counts()

    def in_force(self, revision: Revision) -> PropagationStatus:
        """Return how many instances act on `revision`, and how many may lag behind."""
        self.tick()
        return self.book.in_force(revision)
