"""Decides which requests an instance that is stopping may still take.

Callers keep using their connections for a while after an instance has begun to stop.
What it takes then has to end before its stop deadline, when everything is cut off.
"""

from collections import defaultdict, deque
from collections.abc import Hashable
from math import inf

# Answers that are remembered for each kind of request.
N_SAMPLES = 64
# With fewer answers, only the request's own deadline bounds how long it takes.
MIN_SAMPLES = 8
# Routes come and go with configurations.
MAX_KINDS = 4_096
# A request may take this much longer than the longest that is remembered.
DURATION_MARGIN = 1.5


class StopAdmission:
    """How long requests took lately, and whether one ends before the stop.

    Attributes
    ----------
    deadline : float
        Stop deadline in seconds on the monotonic clock; infinite until a stop begins.
    certain_from : float
        When to begin to take only what certainly ends in time, in seconds on the
        monotonic clock.
    durations : dict of key to deque of float
        In seconds, by kind of request, such as its route.
    """

    def __init__(self):
        self.deadline = inf
        self.certain_from = inf
        self.durations: dict[Hashable, deque[float]] = defaultdict(
            lambda: deque(maxlen=N_SAMPLES)
        )

    def record(self, kind: Hashable, took_s: float) -> None:
        """Record how long a request took to be answered."""
        self.durations[kind].append(took_s)
        if len(self.durations) > MAX_KINDS:
            # The one that was first seen longest ago.
            del self.durations[next(iter(self.durations))]

    def may_take(self, kind: Hashable, *, deadline: float, now: float) -> bool:
        """Return whether a request certainly or very likely ends before the stop.

        Parameters
        ----------
        kind : hashable
        deadline : float
            Of the request, in seconds on the monotonic clock.
        now : float
            Seconds on the monotonic clock.
        """
        if deadline <= self.deadline:
            return True
        if now >= self.certain_from:
            return False
        known = self.durations.get(kind, ())
        if len(known) < MIN_SAMPLES:
            return False
        return now + max(known) * DURATION_MARGIN <= self.deadline
