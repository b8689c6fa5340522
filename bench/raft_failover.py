"""Time without a leader after crashes and planned hand-overs during writes.

A client writes through an instance that keeps running, one command at a time, and
retries failed writes.  The gap is the longest time between two accepted writes.
"""

import turmericreel.util.event_loop  # noqa: F401, I001

import tempfile
from dataclasses import dataclass, field
from pathlib import Path
from time import monotonic

from gevent import sleep, spawn

from bench.control_stream import ControlStream, find_leader
from bench.figures import percentiles_ms, write_result
from bench.processes import ControlGroup
from bench.raft_appends import bind_command
from turmericreel.model.failures import CommitUnknown, FailureError

N_INSTANCES = 5
N_CRASHES = 20
N_HAND_OVERS = 10
SETTLE_S = 1.5
RECOVERY_S = 3.0
RETRY_INTERVAL_S = 0.005


@dataclass(kw_only=True)
class Writer:
    """A client that writes until `stopped` is set.

    Attributes
    ----------
    accepted_at : list of float
        Seconds on the monotonic clock.
    """

    stream: ControlStream
    prefix: str
    accepted_at: list[float] = field(default_factory=list)
    n_refused: int = 0
    n_unknown: int = 0
    stopped: bool = False
    stopped_at: float = 0.0

    def run(self) -> None:
        """Write commands in order, retrying each until it is accepted."""
        number = 0
        while not self.stopped:
            try:
                self.stream.propose(bind_command(number, self.prefix))
            except FailureError as error:
                unknown = isinstance(error.failure, CommitUnknown)
                self.n_unknown += unknown
                self.n_refused += not unknown
                sleep(RETRY_INTERVAL_S)
                continue
            self.accepted_at.append(monotonic())
            number += 1

    def longest_gap(self) -> float:
        """Return the longest time without an accepted write, in seconds."""
        times = [*self.accepted_at, self.stopped_at]
        return max(b - a for a, b in zip(times, times[1:], strict=False))


def disrupt_leader(group: ControlGroup, number: int, *, planned: bool) -> Writer:
    """Stop the leader during writes, restart it, and return the writer.

    The leader gets SIGTERM if `planned`, else SIGKILL.
    """
    leader = find_leader(group.control)
    sleep(SETTLE_S)
    other = next(name for name in group.control if name != leader)
    stream = ControlStream(group.control[other], name="writer")
    writer = Writer(stream=stream, prefix=f"{planned}-{number}")
    task = spawn(writer.run)
    sleep(0.5)
    if planned:
        group.terminate(leader)
    else:
        group.kill(leader)
    sleep(RECOVERY_S)
    writer.stopped = True
    writer.stopped_at = monotonic()
    task.join()
    stream.close()
    group.start(leader)
    group.wait_listening(leader)
    return writer


def main() -> None:
    """Measure crashes, then planned hand-overs, and write the results."""
    with tempfile.TemporaryDirectory() as folder:
        group = ControlGroup(folder=Path(folder), n_instances=N_INSTANCES)
        group.start_all()
        try:
            for name in group.control:
                group.wait_listening(name)
            crashes = [
                disrupt_leader(group, n, planned=False) for n in range(N_CRASHES)
            ]
            planned = [
                disrupt_leader(group, n, planned=True) for n in range(N_HAND_OVERS)
            ]
        finally:
            group.stop_all()
    write_result(
        "raft_failover",
        {
            "instances": N_INSTANCES,
            "without_leader_after_crash": percentiles_ms(
                [writer.longest_gap() for writer in crashes]
            ),
            "planned_hand_over": {
                **percentiles_ms([writer.longest_gap() for writer in planned]),
                "refused_at_client": sum(writer.n_refused for writer in planned),
                "unknown_at_client": sum(writer.n_unknown for writer in planned),
                "accepted": sum(len(writer.accepted_at) for writer in planned),
            },
        },
    )


if __name__ == "__main__":
    main()
