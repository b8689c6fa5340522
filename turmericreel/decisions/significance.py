"""Tells a significant excess of a count from chance."""

from math import sqrt

# Standard deviations above the expectation; chance exceeds them in about 1 of 30,000
# cases.
MIN_DEVIATIONS = 4.0
# Keeps the variance above zero for rates near 1.
MAX_RATE = 0.99


def variance_of(rate: float) -> float:
    """Return the variance of one event that occurs with the given probability."""
    return rate * (1 - min(rate, MAX_RATE))


def exceeds(count: int, expected: float, variance: float) -> bool:
    """Return whether a count lies significantly above its expectation."""
    return count > expected + MIN_DEVIATIONS * sqrt(variance)
