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
    at = rng.expovariate(rate)
    while at < duration_s:
        yield at
        at += rng.expovariate(rate)
