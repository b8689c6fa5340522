"""A budget for sends beyond the first, over a sliding window.

It is a part of a bound that holds over all instances together, so that each stays
below its own part and none needs to ask another.
"""

from collections import deque


class WindowedBudget:
    """Allows repeats up to a fraction of the requests in the same window.

    Parameters
    ----------
    fraction : float
        Repeats allowed for each request.
    slack : float
        Repeats allowed beside that.
    window_s : float
    """

    def __init__(self, *, fraction: float, slack: float, window_s: float):
        self.fraction = fraction
        self.slack = slack
        self.window_s = window_s
        self.requests: deque[float] = deque()
        self.repeats: deque[float] = deque()

    def count_request(self, *, now: float) -> None:
        """Count the first send of a request."""
        self._drop_expired(now)
        self.requests.append(now)

    def take(self, *, now: float) -> bool:
        """Take one repeat out of the budget; return whether it was there."""
        self._drop_expired(now)
        if len(self.repeats) + 1 > self.fraction * len(self.requests) + self.slack:
            return False
        self.repeats.append(now)
        return True

    def _drop_expired(self, now: float) -> None:
        for times in (self.requests, self.repeats):
            while times and times[0] <= now - self.window_s:
                times.popleft()
