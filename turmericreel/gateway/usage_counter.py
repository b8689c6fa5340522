"""Counts what client accounts use, behind the answers.

One batch is reported at a time and again until it is known to be recorded; what is
counted meanwhile goes into the next.  A gateway that crashes loses what it counted
since the last batch that was recorded.
"""

from turmericreel.model.ids import Incarnation, InstanceId
from turmericreel.model.usage import UsageAmounts, UsageBatch, UsageItem, UsageKey

# Accounts, services, versions and models are configured, so that a batch is bounded;
# this is far above what any configuration makes.
MAX_KEYS = 20_000


class UsageCounter:
    """Usage of one gateway.

    Parameters
    ----------
    gateway : InstanceId
    incarnation : Incarnation

    Attributes
    ----------
    n_dropped : int
        Counts that were lost as there were too many keys.
    """

    def __init__(self, *, gateway: InstanceId, incarnation: Incarnation):
        self.gateway = gateway
        self.incarnation = incarnation
        self.counted: dict[UsageKey, UsageAmounts] = {}
        self.batch: UsageBatch | None = None
        self.number = 0
        self.n_dropped = 0

    def add(self, key: UsageKey, amounts: UsageAmounts) -> None:
        """Count something."""
        known = self.counted.get(key)
        if known is None and len(self.counted) >= MAX_KEYS:
            self.n_dropped += 1
            return
        self.counted[key] = known.plus(amounts) if known is not None else amounts

    def report(self) -> UsageBatch | None:
        """Return the batch that is to be recorded now, if there is one."""
        if self.batch is None and self.counted:
            self.number += 1
            self.batch = UsageBatch(
                gateway=self.gateway,
                incarnation=self.incarnation,
                number=self.number,
                items=tuple(
                    UsageItem(key=key, amounts=amounts)
                    for key, amounts in self.counted.items()
                ),
            )
            self.counted = {}
        return self.batch

    def confirm_recorded(self, incarnation: Incarnation, number: int) -> None:
        """Learn that a batch is recorded."""
        batch = self.batch
        if batch is not None and (incarnation, number) == (
            batch.incarnation,
            batch.number,
        ):
            self.batch = None

    @property
    def is_settled(self) -> bool:
        """Whether everything that was counted is recorded."""
        return self.batch is None and not self.counted
