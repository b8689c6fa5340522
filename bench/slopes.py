"""Lines fitted to measurements with their residuals, and process counters."""

import os
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from time import process_time

import numpy

TICKS_PER_S = os.sysconf("SC_CLK_TCK")
MIN_POINTS = 4
MIN_CPU_S = 0.3


@dataclass(frozen=True, kw_only=True)
class Slope:
    """A least-squares line and the points that it was fitted to.

    Attributes
    ----------
    residual : float
        Largest distance of a point from the line, as a fraction of the largest value.
    """

    at_zero: float
    per_unit: float
    residual: float
    sizes: tuple[float, ...]
    values: tuple[float, ...]

    def at(self, size: float) -> float:
        """Return the value of the line at `size`."""
        return self.at_zero + self.per_unit * size


def fit(sizes: list[float], values: list[float]) -> Slope:
    """Return the least-squares line of `values` against `sizes`.

    Raises
    ------
    ValueError
        If there are fewer than `MIN_POINTS` points.
    """
    if len(sizes) < MIN_POINTS:
        raise ValueError(f"sizes must be at least {MIN_POINTS}, got {len(sizes)}")
    per_unit, at_zero = numpy.polyfit(sizes, values, 1)
    predicted = numpy.polyval([per_unit, at_zero], sizes)
    worst = float(numpy.abs(predicted - numpy.array(values)).max())
    return Slope(
        at_zero=float(at_zero),
        per_unit=float(per_unit),
        residual=worst / max(abs(v) for v in values),
        sizes=tuple(sizes),
        values=tuple(values),
    )


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rsplit(")", 1)[1].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process, in MiB."""
    for line in Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS:"):
            return int(line.split()[1]) / 1_024
    return 0.0


def percentiles_ms(seconds: list[float]) -> dict[str, float]:
    """Return median, 99th percentile and maximum, converted to milliseconds."""
    values = numpy.array(seconds) * 1_000
    return {
        "n": len(seconds),
        "p50": round(float(numpy.percentile(values, 50)), 1),
        "p99": round(float(numpy.percentile(values, 99)), 1),
        "max": round(float(values.max()), 1),
    }


def cpu_seconds_per_call(work: Callable[[], object]) -> float:
    """Return mean processor seconds per call, over at least `MIN_CPU_S`."""
    n_calls = 0
    began = process_time()
    while process_time() - began < MIN_CPU_S:
        work()
        n_calls += 1
    return (process_time() - began) / n_calls
