"""Estimates the load of a backend server from own attempts and delayed reports."""

from dataclasses import dataclass

from turmericreel.model.ids import Incarnation

REPORT_HALF_LIFE_S = 2.0
# Every instance receives the same reports; if all followed them fully, they would all
# choose the same server.
REPORT_WEIGHT = 0.3


@dataclass(kw_only=True, slots=True)
class ServerLoad:
    """Load of one server as one instance knows it.

    Attributes
    ----------
    outstanding : int
        Attempts of this instance that run at the server now.
    others : float
        Requests of other instances according to the last report.
    reported_at : float or None
        When the last report arrived, in seconds on the monotonic clock.
    first_seen : float
        When the server, or its new incarnation, was first seen, in seconds on the
        monotonic clock.
    """

    first_seen: float
    incarnation: Incarnation
    capacity: int = 1
    outstanding: int = 0
    others: float = 0.0
    reported_at: float | None = None
    first_token_s: float | None = None

    def record_report(self, n_requests: int, *, now: float) -> None:
        """Record a load report.

        The report includes this instance's own attempts, which are known more
        precisely here and are subtracted.
        """
        self.others = max(0.0, n_requests - self.outstanding)
        self.reported_at = now

    def estimate(self, *, typical_others: float, now: float) -> float:
        """Return the estimated number of requests at the server.

        Parameters
        ----------
        typical_others : float
            Requests of other instances at a server on average.  The estimate decays
            to it as the report ages, so that an outdated report of low load does not
            attract the requests of all instances.
        now : float
            Seconds on the monotonic clock.
        """
        if self.reported_at is None:
            return self.outstanding + typical_others
        weight = REPORT_WEIGHT * 0.5 ** ((now - self.reported_at) / REPORT_HALF_LIFE_S)
        return (
            self.outstanding + typical_others + weight * (self.others - typical_others)
        )
