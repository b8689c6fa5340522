"""Percentiles, fitted lines, process counters and result files."""

import json
import os
from datetime import UTC, datetime
from pathlib import Path

import numpy

RESULTS = Path(__file__).parent / "results"
TICKS_PER_S = os.sysconf("SC_CLK_TCK")


def percentiles_ms(seconds: list[float]) -> dict[str, float]:
    """Return median, 99th percentile and maximum, converted to milliseconds."""
    values = numpy.array(seconds) * 1_000
    return {
        "n": len(seconds),
        "p50_ms": round(float(numpy.percentile(values, 50)), 2),
        "p99_ms": round(float(numpy.percentile(values, 99)), 2),
        "max_ms": round(float(values.max()), 2),
    }


def slope(sizes: list[float], values: list[float]) -> dict[str, float]:
    """Return the least-squares line of `values` against `sizes`."""
    per_unit, start = numpy.polyfit(sizes, values, 1)
    return {"per_unit": float(per_unit), "at_zero": float(start)}


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    fields = Path(f"/proc/{pid}/stat").read_text().rpartition(")")[2].split()
    return (int(fields[11]) + int(fields[12])) / TICKS_PER_S


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process, in megabytes."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE") / 1e6


def write_result(name: str, result: dict) -> None:
    """Write a result with the time of measurement to its file, and print it."""
    result = {"measured": datetime.now(UTC).isoformat(timespec="seconds"), **result}
    text = json.dumps(result, indent=2)
    (RESULTS / f"{name}.json").write_text(text + "\n")
    print(text)
