"""Leases granted by a control instance, and the revisions their holders confirmed."""

from collections import Counter
from dataclasses import dataclass
from typing import NamedTuple

from turmericreel.coordination.lease import grantor_deadline
from turmericreel.model.ids import FencingToken, Incarnation, InstanceId, Revision
from turmericreel.protocols.control_messages import RevisionCount, SubscriberRole
from turmericreel.util.clock import Clock

MAX_REPORTED_REVISIONS = 8


class HolderKey(NamedTuple):
    """One run of one instance.

    A restarted instance is a different holder: leases granted to the previous run, and
    those that it granted as a relay, still count until they expire.
    """

    instance: InstanceId
    incarnation: Incarnation


@dataclass(kw_only=True)
class Holder:
    """A lease holder, and for a relay the counts of its own lease holders.

    Attributes
    ----------
    confirmed : int
        Revision that the holder acts on.
    downstream : tuple of RevisionCount
        Holders of leases from this relay, by revision, as last reported.
    lease_deadline : float
        Time in seconds on this instance's monotonic clock after which the holder has
        certainly stopped relying on its lease.
    """

    role: SubscriberRole
    confirmed: Revision = Revision(0)
    downstream: tuple[RevisionCount, ...] = ()
    lease_deadline: float = 0.0


@dataclass(frozen=True, kw_only=True)
class PropagationStatus:
    """How far a revision has propagated to the lease holders.

    Attributes
    ----------
    confirmed : int
        Number of live lease holders that act on the revision or a newer one.
    waiting : int
        Number of live lease holders that may still act on an older revision.
    settled : bool
        Whether all leases of earlier leaders have expired; until then, holders may
        exist that this instance doesn't know.
    left_ms : int
        Milliseconds until the last lease waited for has expired, including unknown ones
        of earlier leaders; 0 if there is none.
    """

    confirmed: int
    waiting: int
    settled: bool
    left_ms: int

    @property
    def is_complete(self) -> bool:
        """Whether no instance may still act on an older revision."""
        return self.settled and self.waiting == 0


class LeaseBook:
    """Leases by holder.

    Parameters
    ----------
    clock : Clock
    lease_ms : int
        Length of a whole lease, in milliseconds.
    clock_drift : float
        Bound on how much faster or slower a clock runs, as a fraction.
    """

    def __init__(self, *, clock: Clock, lease_ms: int, clock_drift: float):
        self.clock = clock
        self.lease_ms = lease_ms
        self.clock_drift = clock_drift
        self.holders: dict[HolderKey, Holder] = {}
        self.term: FencingToken | None = None
        self.settled_at = 0.0

    def begin_term(self, token: FencingToken) -> None:
        """Record the fencing token under which this instance leads.

        The lease holders of the previous leader are unknown, so no revision counts as
        propagated until a whole lease has passed since this instance first saw the
        new term.
        """
        if token == self.term:
            return
        self.term = token
        self.settled_at = self._deadline(self.lease_ms)

    def end_term(self) -> None:
        """Record that this instance does not lead."""
        self.term = None

    def confirm(
        self,
        key: HolderKey,
        *,
        role: SubscriberRole,
        revision: Revision,
        downstream: tuple[RevisionCount, ...],
    ) -> None:
        """Record the revision that a holder confirmed, and its downstream counts."""
        holder = self.holders.setdefault(key, Holder(role=role))
        holder.confirmed = revision
        holder.downstream = downstream

    def extend(self, key: HolderKey, *, lease_ms: int) -> None:
        """Record a lease of `lease_ms` milliseconds that is about to be granted."""
        holder = self.holders[key]
        holder.lease_deadline = max(holder.lease_deadline, self._deadline(lease_ms))

    def drop_expired_holders(self, connected: set[HolderKey]) -> None:
        """Drop holders that are disconnected and whose leases have expired."""
        now = self.clock.monotonic()
        self.holders = {
            key: holder
            for key, holder in self.holders.items()
            if holder.lease_deadline > now or key in connected
        }

    def in_force(self, revision: Revision) -> PropagationStatus:
        """Return how many holders act on `revision`, and how many may lag behind."""
        now = self.clock.monotonic()
        confirmed = waiting = 0
        waits_until = now
        for holder in self._live_holders(now):
            counts = _counts_of(holder)
            n_older = sum(c.n_holders for c in counts if c.revision < revision)
            confirmed += sum(c.n_holders for c in counts if c.revision >= revision)
            waiting += n_older
            if n_older:
                waits_until = max(waits_until, holder.lease_deadline)
        settled = self.settled_at <= now
        if not settled:
            waits_until = max(waits_until, self.settled_at)
        return PropagationStatus(
            confirmed=confirmed,
            waiting=waiting,
            settled=settled,
            left_ms=int((waits_until - now) * 1_000),
        )

    def counts(self) -> tuple[RevisionCount, ...]:
        """Return the number of live holders by revision, for a relay's own renewal.

        At most `MAX_REPORTED_REVISIONS` revisions are reported; holders of newer ones
        count towards the newest reported.  A revision may thus be reported as in force
        too late, but never too early.
        """
        total: Counter[Revision] = Counter()
        for holder in self._live_holders(self.clock.monotonic()):
            for count in _counts_of(holder):
                total[count.revision] += count.n_holders
        revisions = sorted(total)
        for revision in revisions[MAX_REPORTED_REVISIONS:]:
            total[revisions[MAX_REPORTED_REVISIONS - 1]] += total.pop(revision)
        return tuple(RevisionCount(r, total[r]) for r in sorted(total))

    def _live_holders(self, now: float) -> list[Holder]:
        return [h for h in self.holders.values() if h.lease_deadline > now]

    def _deadline(self, lease_ms: int) -> float:
        return grantor_deadline(
            granted_at=self.clock.monotonic(),
            lease_ms=lease_ms,
            clock_drift=self.clock_drift,
        )


def _counts_of(holder: Holder) -> tuple[RevisionCount, ...]:
    if holder.role is SubscriberRole.ENTRY:
        return (RevisionCount(holder.confirmed, 1),)
    # Until a relay holds a revision, it may extend leases for the previous one, which
    # its last counts can't show.  So the relay counts as a holder itself unless one of
    # its own holders is at the relay's revision or older.
    if any(count.revision <= holder.confirmed for count in holder.downstream):
        return holder.downstream
    return (*holder.downstream, RevisionCount(holder.confirmed, 1))
