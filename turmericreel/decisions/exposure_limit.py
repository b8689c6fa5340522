"""Limits the requests that reach a version during its roll-out."""

from dataclasses import dataclass
from math import sqrt

from turmericreel.decisions.rollout_traffic import TrafficRate

# Standard deviations by which the attempts until the deadline may exceed expectation.
MARGIN_DEVIATIONS = 2.5


@dataclass(frozen=True, kw_only=True)
class ExposureLimit:
    """How many attempts may reach a version that may still turn out to be bad.

    A fault that only shows under load is found after the switch at the earliest.  The
    switch is therefore made so late that the attempts until the deadline stay within
    the limit, however long it takes to find the fault.

    Attributes
    ----------
    share : float
        Of the attempts from the order to the deadline.
    slack : float
        Number of attempts in addition.
    """

    share: float
    slack: float

    def allows_switch(
        self, *, n_exposed: int, rate: TrafficRate, duration_s: float, left_s: float
    ) -> bool:
        """Return whether all requests may reach the new version from now on.

        The attempts until the deadline are taken to be many for the new version, and
        few for the total that the share refers to.

        Parameters
        ----------
        n_exposed : int
            Attempts that reached the new version.
        rate : TrafficRate
            Attempts at the service per second.
        duration_s, left_s : float
            Time from the order to the deadline, and what is left of it.
        """
        left_s = max(left_s, 0.0)
        n_expected = max(rate.mean, rate.recent) * left_s
        n_most = n_expected + MARGIN_DEVIATIONS * sqrt(n_expected)
        n_total = rate.mean * (duration_s - left_s)
        n_total += min(rate.mean, rate.recent) * left_s
        return n_exposed + n_most <= self.share * n_total + self.slack
