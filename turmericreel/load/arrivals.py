"""Arrival times of an open-loop load: a slow system does not slow down its load."""

from collections.abc import Iterator
from random import Random


def poisson_arrivals(*, rate: float, duration_s: float, rng: Random) -> Iterator[float]:
    """Yield arrival times in seconds from the start.

    Parameters
    ----------
    rate : float
        Mean arrivals a second.
    duration_s : float
    rng : Random
    """
    arrival_s = rng.expovariate(rate)
    while arrival_s < duration_s:
        yield arrival_s
        arrival_s += rng.expovariate(rate)
