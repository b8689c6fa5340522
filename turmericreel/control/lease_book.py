"""The leases that a control instance granted, and what their holders confirmed."""

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

    An instance that restarted is another holder: what the former run was granted,
    and as a relay granted in turn, still counts until it has run out.
    """

    instance: InstanceId
    incarnation: Incarnation


@dataclass(kw_only=True)
class Holder:
    """One holder, and for a relay those that hold leases from it.

    Attributes
    ----------
    lease_deadline : float
        Seconds on this instance's monotonic clock after which the holder has
        certainly stopped relying on what it holds.
    """

    role: SubscriberRole
    confirmed: Revision = Revision(0)
    downstream: tuple[RevisionCount, ...] = ()
    lease_deadline: float = 0.0


@dataclass(frozen=True, kw_only=True)
class PropagationStatus:
    """How far a revision has spread.

    Attributes
    ----------
    confirmed : int
        Live lease holders that act on the revision or a newer one.
    waiting : int
        Live lease holders that may still act on an older one.
    settled : bool
        Whether all leases are known that an earlier leader may have granted.
    left_ms : int
        Milliseconds until what is waited for has run out at the latest.
    """

    confirmed: int
    waiting: int
    settled: bool
    left_ms: int

    @property
    def is_complete(self) -> bool:
        """Whether no live instance may still act on an older revision."""
        return self.settled and self.waiting == 0


class LeaseBook:
    """Keeps leases by holder.

    Parameters
    ----------
    clock : Clock
    lease_ms : int
    clock_drift : float
    """

    def __init__(self, *, clock: Clock, lease_ms: int, clock_drift: float):
        self.clock = clock
        self.lease_ms = lease_ms
        self.clock_drift = clock_drift
        self.holders: dict[HolderKey, Holder] = {}
        self.term: FencingToken | None = None
        self.settled_at = 0.0

    def begin_term(self, token: FencingToken) -> None:
        """Note under which token this instance leads.

        Holders of leases from the leader before are unknown at first, so a whole
        lease is waited out, counted from when the new term was first seen here.
        """
        if token == self.term:
            return
        self.term = token
        self.settled_at = self._deadline(self.lease_ms)

    def end_term(self) -> None:
        """Note that this instance does not lead."""
        self.term = None

    def confirm(
        self,
        key: HolderKey,
        *,
        role: SubscriberRole,
        revision: Revision,
        downstream: tuple[RevisionCount, ...],
    ) -> None:
        """Take in what a holder holds."""
        holder = self.holders.setdefault(key, Holder(role=role))
        holder.confirmed = revision
        holder.downstream = downstream

    def extend(self, key: HolderKey, *, lease_ms: int) -> None:
        """Note a lease that is about to be granted."""
        holder = self.holders[key]
        holder.lease_deadline = max(holder.lease_deadline, self._deadline(lease_ms))

    def drop_expired_holders(self, connected: set[HolderKey]) -> None:
        """Drop holders that are gone and whose leases have run out."""
        now = self.clock.monotonic()
        self.holders = {
            key: holder
            for key, holder in self.holders.items()
            if holder.lease_deadline > now or key in connected
        }

    def in_force(self, revision: Revision) -> PropagationStatus:
        """Count the holders that act on `revision`, and those that may not yet."""
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
        """Return the live holders by revision, for a relay's own renewal.

        Beyond a bound the newer revisions are counted as an older one, which delays
        what is reported and never claims too much.
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
    # Until a relay holds a revision, it may extend leases for the one before, which
    # its last counts can't show.  So it counts by itself unless someone below does.
    if any(count.revision <= holder.confirmed for count in holder.downstream):
        return holder.downstream
    return (*holder.downstream, RevisionCount(holder.confirmed, 1))
