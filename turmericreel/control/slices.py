"""The leader's side of the accounts' limits: lends slices to instances."""

import msgspec

from turmericreel.control.calls import QueryContext
from turmericreel.decisions.account_limits import SLICE_LEASE_S, SliceAllocator
from turmericreel.model.ids import InstanceId
from turmericreel.protocols.slices import SliceDemand, SliceGrant
from turmericreel.util.clock import Clock


class SliceLender:
    """Answers the query for slices.

    A new leader knows of no slice that the old one lent, so that for one lease after a
    failover an account may be admitted up to twice its limit.

    Parameters
    ----------
    clock : Clock
    """

    def __init__(self, *, clock: Clock):
        self.clock = clock
        self.allocator = SliceAllocator()

    def lend(self, context: QueryContext) -> SliceGrant:
        """Lend an instance slices of the accounts that ask it for work."""
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
        """Take back the slices of an instance that admits nothing any more."""
        self.allocator.release(InstanceId(context.arguments["instance"]))
