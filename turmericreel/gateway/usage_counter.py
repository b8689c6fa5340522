"""Counts the usage of client accounts, without delaying answers.

One batch is reported at a time, and repeated until a coordinator confirms that it is
recorded.  Usage that is counted in the meantime goes into the next batch.  A gateway
that crashes loses the usage counted since the last recorded batch.
"""

from turmericreel.model.ids import Incarnation, InstanceId
from turmericreel.model.usage import UsageAmounts, UsageBatch, UsageItem, UsageKey

# Bounds a batch.  Accounts, services, versions and models are configured, and no
# configuration comes near this number of keys.
MAX_KEYS = 20_000


class UsageCounter:
    """Usage that one gateway has counted and that is not recorded yet.

    Parameters
    ----------
    gateway : InstanceId
    incarnation : Incarnation

    Attributes
    ----------
    counted : dict of UsageKey to UsageAmounts
        Usage for the next batch.
    batch : UsageBatch or None
        Reported batch whose recording is not confirmed yet.
    number : int
        Number of the newest batch.
    n_dropped : int
        Calls of `add` that were dropped because there were too many keys.
    """

    def __init__(self, *, gateway: InstanceId, incarnation: Incarnation):
        self.gateway = gateway
        self.incarnation = incarnation
        self.counted: dict[UsageKey, UsageAmounts] = {}
        self.batch: UsageBatch | None = None
        self.number = 0
        self.n_dropped = 0

    def add(self, key: UsageKey, amounts: UsageAmounts) -> None:
        """Add to the usage of a key; drop it if there are too many keys."""
        known = self.counted.get(key)
        if known is None and len(self.counted) >= MAX_KEYS:
            self.n_dropped += 1
            return
        self.counted[key] = known.plus(amounts) if known is not None else amounts

    def report(self) -> UsageBatch | None:
        """Return the batch to be recorded, or None if no usage is pending."""
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
        """Drop the current batch if it is the one that was recorded.

        A batch of an earlier process with a later incarnation, as after a clock went
        back, makes the batches of this one continue after it, if none was reported.
        """
        if self.number == 0 and incarnation >= self.incarnation:
            self.incarnation = Incarnation(incarnation + 1)
        batch = self.batch
        if batch is not None and (incarnation, number) == (
            batch.incarnation,
            batch.number,
        ):
            self.batch = None

    @property
    def is_settled(self) -> bool:
        """Whether all counted usage is recorded."""
        return self.batch is None and not self.counted
