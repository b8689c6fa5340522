"""A retry budget over a sliding window.

Each instance gets a fixed part of the bound that holds over all instances together, so
that they need no coordination.
"""

from collections import deque


class WindowedBudget:
    """Allows retries up to a fraction of the requests in the same window.

    Parameters
    ----------
    fraction : float
        Retries allowed for each request.
    slack : float
        Retries allowed in addition, regardless of the number of requests.
    window_s : float
        Length of the window in seconds.
    """

    def __init__(self, *, fraction: float, slack: float, window_s: float):
        self.fraction = fraction
        self.slack = slack
        self.window_s = window_s
        self.requests: deque[float] = deque()
        self.retries: deque[float] = deque()

    def count_request(self, *, now: float) -> None:
        """Count the first attempt of a request."""
        self._drop_expired(now)
        self.requests.append(now)

    def take(self, *, now: float) -> bool:
        """Take one retry from the budget; return False if none is left."""
        self._drop_expired(now)
        if len(self.retries) + 1 > self.fraction * len(self.requests) + self.slack:
            return False
        self.retries.append(now)
        return True

    def _drop_expired(self, now: float) -> None:
        for times in (self.requests, self.retries):
            while times and times[0] <= now - self.window_s:
                times.popleft()
