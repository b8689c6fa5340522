"""Limits the requests that reach a version during its roll-out."""

from dataclasses import dataclass


@dataclass(frozen=True, kw_only=True)
class ExposureLimit:
    """How many requests may reach a version that may still turn out to be bad.

    A fault that only shows under load is found after the switch at the earliest.  The
    switch is therefore made so late that the requests until the deadline stay within
    the limit, however long it takes to find the fault.

    Attributes
    ----------
    share : float
        Of the requests from the order to the deadline.
    slack : float
        Number of requests in addition.
    """

    share: float
    slack: float

    def allows_switch(
        self, *, n_exposed: int, rate: float, duration_s: float, left_s: float
    ) -> bool:
        """Return whether all requests may reach the new version from now on.

        Parameters
        ----------
        n_exposed : int
            Requests that reached the new version.
        rate : float
            Requests for the service per second.
        duration_s, left_s : float
            Time from the order to the deadline, and what is left of it.
        """
        limit = self.share * rate * duration_s + self.slack
        return n_exposed + rate * left_s <= limit
