"""Timing of elections and of the leader lease."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class RaftTiming:
    """Times in seconds.

    Attributes
    ----------
    election_s : float
        How long a member, on its own clock, promises not to elect another leader
        after it received a message from one.
    clock_drift : float
        Bound on the rate difference between two members' clocks, as a fraction.
    """

    heartbeat_s: float = 0.1
    election_s: float = 0.5
    clock_drift: float = 0.01

    @property
    def lease_s(self) -> float:
        """Length of the leader's lease on its own clock, in seconds.

        The lease of a leader with the slowest clock must expire before the promise of
        a voter with the fastest clock.
        """
        return self.election_s * (1 - self.clock_drift) / (1 + self.clock_drift)

    @property
    def wait_before_orders_s(self) -> float:
        """How long a new leader waits for an old lease to expire, on its own clock."""
        return self.lease_s * (1 + self.clock_drift) / (1 - self.clock_drift)
