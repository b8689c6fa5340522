"""Rate limits of client accounts, divided into slices that instances hold by lease.

The slices of an account add up to at most its limit.  In addition each instance gets an
equal share of a quarter of the limit, so that callers who move to an instance without a
slice are not all refused.  All instances together admit at most 1.25 times the limit
plus the bursts.
"""

from dataclasses import dataclass

from turmericreel.model.ids import ClientAccountId, InstanceId

BURST_S = 1.0
SLICE_LEASE_S = 2.0
SLICE_RESERVED_S = 2.1
FLOOR_FRACTION = 0.25


@dataclass(kw_only=True, slots=True)
class TokenBucket:
    """Token bucket of one account at one instance."""

    tokens: float
    updated_at: float

    def take(self, *, rate: float, now: float) -> float:
        """Take a token; return 0, or the seconds until one is available.

        Parameters
        ----------
        rate : float
            Tokens added per second.
        now : float
            Seconds on the monotonic clock.
        """
        burst = max(1.0, rate * BURST_S)
        earned = rate * max(0.0, now - self.updated_at)
        self.tokens = min(burst, self.tokens + earned)
        self.updated_at = now
        if self.tokens >= 1.0:
            self.tokens -= 1.0
            return 0.0
        return (1.0 - self.tokens) / rate if rate > 0 else BURST_S


class AccountLimits:
    """Enforces this instance's slices of the account limits."""

    def __init__(self):
        self.buckets: dict[ClientAccountId, TokenBucket] = {}
        self.fractions: dict[ClientAccountId, tuple[float, float]] = {}
        self.fallback_fraction = 1.0
        self.n_requested: dict[ClientAccountId, int] = {}

    def take(self, account: ClientAccountId, *, limit: float, now: float) -> float:
        """Count a request against an account's slice; return 0, or the seconds to wait.

        Parameters
        ----------
        account : ClientAccountId
        limit : float
            Requests per second over all instances.
        now : float
            Seconds on the monotonic clock.
        """
        self.n_requested[account] = self.n_requested.get(account, 0) + 1
        rate = limit * self.fraction(account, now=now)
        bucket = self.buckets.get(account)
        if bucket is None:
            bucket = TokenBucket(tokens=max(1.0, rate * BURST_S), updated_at=now)
            self.buckets[account] = bucket
        return bucket.take(rate=rate, now=now)

    def fraction(self, account: ClientAccountId, *, now: float) -> float:
        """Return the fraction of an account's limit that this instance may use now."""
        fraction, deadline = self.fractions.get(account, (0.0, 0.0))
        return fraction if deadline > now else self.fallback_fraction

    def grant(
        self, account: ClientAccountId, fraction: float, *, deadline: float
    ) -> None:
        """Store a slice until its deadline, in seconds on the monotonic clock."""
        self.fractions[account] = (fraction, deadline)

    def collect_demand(self) -> dict[ClientAccountId, int]:
        """Return the number of requests of each account since the last call."""
        demand, self.n_requested = self.n_requested, {}
        return demand


@dataclass(kw_only=True, slots=True)
class HeldSlice:
    """A slice that an instance may still be using."""

    fraction: float
    deadline: float


class SliceAllocator:
    """Allocates slices of each account's limit to instances, in proportion to demand.

    A smaller slice may reach its instance late, so each slice counts until its lease
    has expired.  Only the unallocated rest is lent, so that the slices never add up to
    more than the limit.  Each instance gets an equal share of `FLOOR_FRACTION` as well.
    """

    def __init__(self):
        self.held: dict[ClientAccountId, dict[InstanceId, list[HeldSlice]]] = {}
        self.demand: dict[ClientAccountId, dict[InstanceId, float]] = {}

    def lend(
        self,
        instance: InstanceId,
        account: ClientAccountId,
        *,
        demand: float,
        n_instances: int,
        now: float,
    ) -> float:
        """Lease a slice to an instance for `SLICE_LEASE_S`.

        The returned fraction of the limit is the slice plus the instance's share of
        `FLOOR_FRACTION`.

        Parameters
        ----------
        instance : InstanceId
        account : ClientAccountId
        demand : float
            Requests per second that the account sends to this instance.
        n_instances : int
        now : float
            Seconds on the leader's monotonic clock.
        """
        self._update_demand(instance, account, demand)
        held = self.held.setdefault(account, {})
        _drop_expired(held, now)
        wanted = self._demand_fraction(instance, account)
        held_by_others = sum(
            max(s.fraction for s in slices)
            for holder, slices in held.items()
            if holder != instance
        )
        lent_fraction = min(wanted, max(0.0, 1.0 - held_by_others))
        own = held.setdefault(instance, [])
        own.append(HeldSlice(fraction=lent_fraction, deadline=now + SLICE_RESERVED_S))
        return lent_fraction + FLOOR_FRACTION / max(1, n_instances)

    def release(self, instance: InstanceId) -> None:
        """Free the slices of an instance that no longer uses them."""
        for holders in (*self.held.values(), *self.demand.values()):
            holders.pop(instance, None)

    def _update_demand(
        self, instance: InstanceId, account: ClientAccountId, demand: float
    ) -> None:
        averages = self.demand.setdefault(account, {})
        averages[instance] = (averages.get(instance, demand) + demand) / 2

    def _demand_fraction(self, instance: InstanceId, account: ClientAccountId) -> float:
        held = self.held[account]
        demands = {
            holder: demand
            for holder, demand in self.demand[account].items()
            if holder in held or holder == instance
        }
        total = sum(demands.values())
        return demands[instance] / total if total > 0.0 else 0.0


def _drop_expired(held: dict[InstanceId, list[HeldSlice]], now: float) -> None:
    for holder, slices in list(held.items()):
        slices[:] = [s for s in slices if s.deadline > now]
        if not slices:
            del held[holder]
