"""Recovery time and memory against log length; snapshot size against entries.

Each step runs in a new process, so that its resident memory is not that of other steps.
"""

import turmericreel.util.event_loop  # noqa: F401, I001

import os
import subprocess
import sys
import tempfile
from pathlib import Path
from random import Random
from time import monotonic

import msgspec
from gevent import sleep

from bench.figures import resident_mb, slope, write_result
from bench.raft_appends import bind_command
from turmericreel.coordination.raft.raft_log import RaftLog
from turmericreel.coordination.raft.timing import RaftTiming
from turmericreel.coordination.raft.transport import StreamTransport
from turmericreel.model.ids import InstanceId
from turmericreel.state.commands.union import Command
from turmericreel.state.machine import StateMachine
from turmericreel.state.storage.disk import FolderDisk
from turmericreel.state.storage.entries import Entry, HardState
from turmericreel.state.storage.log_storage import LogStorage
from turmericreel.util.clock import SystemClock

LOG_SIZES = (1_000, 10_000, 50_000, 100_000, 200_000)
BATCH_ENTRIES = 1_000
NO_SNAPSHOT_BYTES = 1 << 40
SOLE_INSTANCE = InstanceId("alone")


def build_log(folder: Path, *, snapshot_after_bytes: int) -> RaftLog:
    """Return the log of a group with a single member."""
    return RaftLog(
        instance=SOLE_INSTANCE,
        machine=StateMachine(),
        command_type=Command,
        storage=LogStorage(disk=FolderDisk(folder=folder)),
        transport=StreamTransport(
            group=0, instance=SOLE_INSTANCE, addresses={}, listener=None
        ),
        control_address_of=lambda name: "",
        timing=RaftTiming(),
        clock=SystemClock(),
        rng=Random(1),
        on_failure=print,
        snapshot_after_bytes=snapshot_after_bytes,
    )


def write_log(folder: Path, n_entries: int) -> None:
    """Write a log of `n_entries` entries directly to storage."""
    log = build_log(folder, snapshot_after_bytes=NO_SNAPSHOT_BYTES)
    log.start()
    log.stop()
    storage = LogStorage(disk=FolderDisk(folder=folder))
    entries = storage.recover().entries
    last = entries[-1].index if entries else 0
    storage.save(HardState(term=1), [])
    for first in range(last + 1, n_entries + 1, BATCH_ENTRIES):
        storage.save(None, [_entry(n) for n in range(first, first + BATCH_ENTRIES)])
    storage.close()


def _entry(index: int) -> Entry:
    data = msgspec.msgpack.encode(bind_command(index, "entry"))
    return Entry(index=index, term=1, time_ms=1, data=data)


def recover(folder: Path, *, snapshot: bool) -> dict:
    """Start a member, wait until it leads, and return time, memory and snapshot size.

    With `snapshot`, the member also writes a snapshot before it stops.
    """
    begun = monotonic()
    after = 1 if snapshot else NO_SNAPSHOT_BYTES
    log = build_log(folder, snapshot_after_bytes=after)
    log.start()
    while not log.is_leader():
        sleep(0.001)
    took = monotonic() - begun
    if snapshot:
        log.member.process_outputs()
        log.runner.wait()
        sleep(0.1)
    size = log.member.core.state.snapshot.size_bytes
    log.stop()
    return {
        "seconds": took,
        "resident_mb": resident_mb(os.getpid()),
        "snapshot_bytes": size,
    }


def run_child(*arguments: str) -> dict:
    """Run a step in a new process and return its result."""
    output = subprocess.run(
        [sys.executable, __file__, *arguments], check=True, capture_output=True
    ).stdout
    return msgspec.json.decode(output) if output else {}


def measure(n_entries: int) -> dict:
    """Measure recovery of one size from the log alone, then from a snapshot."""
    with tempfile.TemporaryDirectory() as folder:
        run_child("fill", folder, str(n_entries))
        from_log = run_child("recover", folder, "log")
        written = run_child("recover", folder, "snapshot")
        from_snapshot = run_child("recover", folder, "log")
    return {
        "entries": n_entries,
        "recovery_from_log_s": round(from_log["seconds"], 3),
        "resident_from_log_mb": round(from_log["resident_mb"], 1),
        "snapshot_bytes": written["snapshot_bytes"],
        "recovery_from_snapshot_s": round(from_snapshot["seconds"], 3),
        "resident_from_snapshot_mb": round(from_snapshot["resident_mb"], 1),
    }


def main() -> None:
    """Measure all sizes, or run the step that the command line names."""
    if len(sys.argv) > 1:
        step, folder, argument = sys.argv[1:]
        if step == "fill":
            write_log(Path(folder), int(argument))
        else:
            result = recover(Path(folder), snapshot=argument == "snapshot")
            print(msgspec.json.encode(result).decode())
        return
    rows = [measure(size) for size in LOG_SIZES]
    sizes = [row["entries"] for row in rows]
    slopes = {
        key: slope(sizes, [row[key] for row in rows])
        for key in rows[0]
        if key != "entries"
    }
    write_result("raft_recovery", {"rows": rows, "slopes_per_entry": slopes})


if __name__ == "__main__":
    main()
