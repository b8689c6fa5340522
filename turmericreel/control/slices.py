"""Leader's side of account limits: lends slices of each limit to instances."""

import msgspec

from turmericreel.control.calls import QueryContext
from turmericreel.decisions.account_limits import SLICE_LEASE_S, SliceAllocator
from turmericreel.model.ids import InstanceId
from turmericreel.protocols.slices import SliceDemand, SliceGrant
from turmericreel.util.clock import Clock


class SliceLender:
    """Serves the queries for slices of account limits.

    A new leader does not know the slices that the previous one lent, so for one slice
    lease after a failover an account may be admitted up to twice its limit.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.allocator = SliceAllocator()

    def lend(self, context: QueryContext) -> SliceGrant:
        """Lend an instance slices of the limits of the accounts in its demand."""
        slice_demand = msgspec.json.decode(
            context.arguments["demand"], type=SliceDemand
        )
        instance = InstanceId(context.arguments["instance"])
        n_instances = len(context.subscribers.live_instances())
        fractions = {
            account: self.allocator.lend(
                instance,
                account,
                demand=demand,
                n_instances=n_instances,
                now=self.clock.monotonic(),
            )
            for account, demand in slice_demand.demand.items()
        }
        return SliceGrant(fractions=fractions, lease_ms=int(SLICE_LEASE_S * 1_000))

    def release(self, context: QueryContext) -> None:
        """Reclaim the slices of an instance that no longer admits requests."""
        self.allocator.release(InstanceId(context.arguments["instance"]))
