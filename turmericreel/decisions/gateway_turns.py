"""Lets one of many gateways send rarely, so that all together keep to a small rate.

Gateways without a leader cannot agree on who sends next.  Each takes a turn once in a
period that is as long as there are gateways, at a random phase, and an unused turn
lapses: saved turns of many gateways would be used at once.
"""

from collections.abc import Hashable, Iterable
from random import Random

# Time for which a turn can be used.
TURN_VALID_S = 0.5


class GatewayTurns:
    """Turns of this gateway, each for one server or service.

    Parameters
    ----------
    rng : Random
    valid_s : float
        Time for which a turn can be used.

    Attributes
    ----------
    began_at : dict of key to float
        When the latest turn began or the next one begins, in seconds on the monotonic
        clock.
    """

    def __init__(self, *, rng: Random, valid_s: float = TURN_VALID_S):
        self.rng = rng
        self.valid_s = valid_s
        self.began_at: dict[Hashable, float] = {}

    def has_turn(self, key: Hashable, *, period_s: float, now: float) -> bool:
        """Return whether a request may be sent now.

        Parameters
        ----------
        key : hashable
        period_s : float
            Time between two turns.
        now : float
            Seconds on the monotonic clock.
        """
        if key not in self.began_at:
            self.began_at[key] = now + self.rng.uniform(0.0, period_s)
        began_at = min(self.began_at[key], now + period_s)
        if now >= began_at + self.valid_s:
            began_at += max((now - began_at) // period_s, 1.0) * period_s
        self.began_at[key] = began_at
        return began_at <= now < began_at + self.valid_s

    def take(self, key: Hashable, *, period_s: float, now: float) -> None:
        """Use the turn."""
        self.began_at[key] = max(self.began_at.get(key, now), now) + period_s

    def drop_unregistered(self, present: Iterable[Hashable]) -> None:
        """Drop the turns for keys that are not present any more."""
        for key in set(self.began_at) - set(present):
            del self.began_at[key]
