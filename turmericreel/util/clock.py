"""Clocks, passed as parameters so that tests and measurements can control time."""

import time
from abc import ABC, abstractmethod


class Clock(ABC):
    """Source of time."""

    @abstractmethod
    def monotonic(self) -> float:
        """Return seconds on a clock that never goes back."""

    @abstractmethod
    def wall_ms(self) -> int:
        """Return milliseconds since the epoch."""


class SystemClock(Clock):
    """Clocks of the operating system."""

    def monotonic(self) -> float:
        """Return seconds since boot, including time in which the host was suspended."""
        # After the host resumes from suspension, its leases must count as expired.
        return time.clock_gettime(time.CLOCK_BOOTTIME)

    def wall_ms(self) -> int:
        """Return milliseconds since the epoch."""
        return time.time_ns() // 1_000_000


class ManualClock(Clock):
    """A clock that changes only by `advance` or by setting `now`.

    Parameters
    ----------
    now : float
        Seconds.
    """

    def __init__(self, *, now: float = 0.0):
        self.now = now

    def monotonic(self) -> float:
        """Return the time that was last set."""
        return self.now

    def wall_ms(self) -> int:
        """Return the time that was last set, in milliseconds."""
        return int(self.now * 1_000)

    def advance(self, seconds: float) -> None:
        """Move the clock forward."""
        self.now += seconds
