"""Runs load while a backend server, an entry instance and the leader are killed.

Ten entry and three control instances, nine assistants and three booking servers run as
processes, which is the present size of the system.  Run it as
``python -m bench.ten_minutes --duration 600``.
"""

import argparse
import json
import os
import subprocess
import sys
import tempfile
import threading
import time
from pathlib import Path

from bench.processes import OPERATOR_KEY
from bench.system import CALLER_KEY, DATA_CENTRES, System, run_command
from turmericreel.protocols.http_client import build_http_client

# Times of the failures, as fractions of the run.
KILL_WORKER_FRACTION = 0.2
KILL_ENTRY_FRACTION = 0.4
KILL_LEADER_FRACTION = 0.6
RESTART_AFTER_S = 10.0
N_MEMORY_SAMPLES = 12


def main() -> None:
    """Run and print the result as JSON; exit with 1 if a guarantee was violated."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--rate", type=float, default=30.0)
    parser.add_argument("--duration", type=float, default=600.0)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--folder", help="parent of the data folders")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory(dir=options.folder) as folder:
        system = System(
            folder=Path(folder),
            n_control=3,
            n_entry=10,
            n_assistants=9,
            n_bookings=3,
            n_tokens=32,
            between_tokens_ms=5.0,
        )
        try:
            system.start()
            result = run(system, options)
        finally:
            system.stop()
    print(json.dumps(result, indent=2))
    sys.exit(1 if result["faults"] else 0)


def run(system: System, options: argparse.Namespace) -> dict:
    """Apply load, inject failures, and check outcomes, effects and accounts."""
    failures: list[str] = []
    memory: list[dict[str, float]] = []
    failure_thread = threading.Thread(
        target=inject_failures, args=(system, options.duration, failures)
    )
    memory_thread = threading.Thread(
        target=sample_memory, args=(system, options.duration, memory)
    )
    load = start_load(system, options)
    failure_thread.start()
    memory_thread.start()
    output, errors = load.communicate()
    failure_thread.join()
    memory_thread.join()
    report = json.loads(output)["targets"][0]
    records = read_records(system)
    time.sleep(5.0)
    reconciled = run_command(
        "accounts", "reconcile", "--address", surviving_address(system)
    )
    doubled = doubled_effects(records)
    faults = []
    if report["n_ended"] != report["n_sent"]:
        faults.append("calls ended without a typed outcome")
    if report["n_spoiled"] or report["n_doubled"]:
        faults.append("answers were corrupted or duplicated")
    if doubled:
        faults.append("a call took effect twice")
    if reconciled.returncode:
        faults.append("the accounts do not reconcile")
    return {
        "faults": faults,
        "failures": failures,
        "outcomes": report["outcomes"],
        "n_sent": report["n_sent"],
        "n_spoiled": report["n_spoiled"],
        "first_token_ms": report["first_token"]["at_ms"],
        "whole_ms": report["whole"]["at_ms"],
        "tool_lateness_ms": report["lateness"]["at_ms"],
        "effects": sum(len(r["effects_by_request"]) for r in records),
        "doubled_effects": doubled,
        "reconcile": (reconciled.stdout + reconciled.stderr).strip(),
        "memory_mb": memory,
        "tool_errors": errors[-500:],
    }


def start_load(system: System, options: argparse.Namespace) -> subprocess.Popen:
    """Start the load generator as a process."""
    arguments = ["load", "--key", CALLER_KEY, "--service", "helper-llm", "--json"]
    arguments += ["--booking-service", "booking-app", "--booking-share", "0.3"]
    arguments += ["--rate", str(options.rate), "--duration", str(options.duration)]
    arguments += ["--seed", str(options.seed), "--data-centre", DATA_CENTRES[0]]
    for address in system.addresses:
        arguments += ["--address", address]
    return subprocess.Popen(
        [sys.executable, "-m", "turmericreel", *arguments],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
        env={**os.environ, "TURMERICREEL_KEY": OPERATOR_KEY},
    )


def inject_failures(system: System, duration: float, failures: list[str]) -> None:
    """Kill and restart a backend server, an entry instance and the leader in turn.

    Each event is appended to `failures`.
    """
    began = time.monotonic()

    def wait_until_fraction(fraction: float) -> None:
        time.sleep(max(0.0, began + fraction * duration - time.monotonic()))

    wait_until_fraction(KILL_WORKER_FRACTION)
    system.kill("oven-1")
    failures.append("killed oven-1")
    time.sleep(min(RESTART_AFTER_S, duration / 10))
    system.start_fake("oven-1", DATA_CENTRES[0])
    wait_until_fraction(KILL_ENTRY_FRACTION)
    system.kill("entry-1")
    failures.append("killed entry-1")
    time.sleep(min(RESTART_AFTER_S, duration / 10))
    system.start_entry("entry-1", DATA_CENTRES[0])
    wait_until_fraction(KILL_LEADER_FRACTION)
    leader = system.leader()
    system.group.kill(leader)
    failures.append(f"killed the leader {leader}")
    time.sleep(min(RESTART_AFTER_S, duration / 10))
    system.group.start(leader)
    failures.append("restarted all killed processes")


def sample_memory(
    system: System, duration: float, samples: list[dict[str, float]]
) -> None:
    """Sample the largest resident memory of each kind of process during the run."""
    for _ in range(N_MEMORY_SAMPLES):
        time.sleep(duration / N_MEMORY_SAMPLES)
        largest: dict[str, float] = {}
        for name, size in system.memory_mb().items():
            kind = name.split("-")[0]
            largest[kind] = round(max(largest.get(kind, 0.0), size), 1)
        samples.append(largest)


def read_records(system: System) -> list[dict]:
    """Return the request records of the stand-in servers."""
    records = []
    for name in system.fakes:
        client = build_http_client(system.fakes[name], timeout_s=10)
        response = client.get("/fake/record")
        records.append(json.loads(bytes(response.read())))
        client.close()
    return records


def doubled_effects(records: list[dict]) -> dict[str, int]:
    """Return the number of effects of each request that took effect more than once."""
    effects: dict[str, int] = {}
    for record in records:
        for request, n_effects in record["effects_by_request"].items():
            effects[request] = effects.get(request, 0) + n_effects
    return {request: n for request, n in effects.items() if n > 1}


def surviving_address(system: System) -> str:
    """Return the address of an entry instance that is never killed."""
    return system.http["entry-2"]


if __name__ == "__main__":
    main()
