"""Measures the latency that one entry instance adds to a backend server.

The same run sends calls at the same rate through the router and directly to a stand-in
server.  Run it as ``python -m bench.added_latency --duration 30``.
"""

import argparse
import json
import time

from bench.system import System, load_streams, resident_mb, running_system


def main() -> None:
    """Measure and print the result as JSON."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=100.0)
    parser.add_argument("--duration", type=float, default=30.0)
    parser.add_argument("--n-control", type=int, default=3)
    parser.add_argument("--folder", help="parent of the data folders")
    options = parser.parse_args()
    with running_system(options.folder, n_control=options.n_control) as system:
        print(json.dumps(measure(system, options), indent=2))


def measure(system: System, options: argparse.Namespace) -> dict:
    """Return latencies by both paths, their differences, and the cost at the entry."""
    entry = system.processes["entry-1"].pid
    time.sleep(2.0)
    idle_mb = resident_mb(entry)
    targets, used_s = load_streams(system, options, "--direct", system.fakes["oven-1"])
    router, direct = targets
    added = {
        what: {
            p: round(router[what]["at_ms"][p] - direct[what]["at_ms"][p], 3)
            for p in ("p50", "p95")
        }
        for what in ("first_token", "whole")
    }
    return {
        "added_ms": added,
        "router": {"outcomes": router["outcomes"], "at_ms": router["whole"]["at_ms"]},
        "direct": {"outcomes": direct["outcomes"], "at_ms": direct["whole"]["at_ms"]},
        "lateness_ms": router["lateness"]["at_ms"],
        "entry_processor_ms_for_each_request": 1_000 * used_s / router["n_sent"],
        "entry_idle_mb": round(idle_mb, 1),
        "entry_loaded_mb": round(resident_mb(entry), 1),
    }


if __name__ == "__main__":
    main()
