"""Durable appends per second against the number of control instances and clients.

Each append is one small command through the control stream of the leading instance.
"""

import turmericreel.util.event_loop  # noqa: F401, I001

import tempfile
from pathlib import Path
from time import monotonic

from gevent import joinall, spawn

from bench.control_stream import ControlStream, find_leader
from bench.figures import cpu_seconds, percentiles_ms, write_result
from bench.processes import ControlGroup
from turmericreel.model.ids import ClientAccountId, ServiceName, SessionId, VersionId
from turmericreel.state.commands.sessions import BindSession

GROUP_SIZES = (1, 3, 5)
CLIENT_COUNTS = (1, 16, 256)
RUN_S = 3.0
N_STREAMS = 8
SESSION_MS = 4_000_000_000_000


def bind_command(number: int, prefix: str) -> BindSession:
    """Return a command that differs for each pair of number and prefix."""
    return BindSession(
        account=ClientAccountId("household"),
        service=ServiceName("helper-llm"),
        session=SessionId(f"{prefix}-{number}"),
        version=VersionId("small"),
        expires_ms=SESSION_MS,
    )


def measure(group: ControlGroup, n_clients: int) -> dict:
    """Measure appends while each client sends one after another for `RUN_S`."""
    leader = find_leader(group.control)
    streams = [
        ControlStream(group.control[leader], name=f"client-{n}")
        for n in range(min(N_STREAMS, n_clients))
    ]
    latencies: list[float] = []
    deadline = monotonic() + RUN_S

    def work(client: int) -> None:
        number = 0
        while (begun := monotonic()) < deadline:
            number += 1
            streams[client % len(streams)].propose(
                bind_command(number, f"{n_clients}-{client}")
            )
            latencies.append(monotonic() - begun)

    pids = {name: process.pid for name, process in group.processes.items()}
    before = {name: cpu_seconds(pid) for name, pid in pids.items()}
    begun = monotonic()
    joinall([spawn(work, n) for n in range(n_clients)], raise_error=True)
    took = monotonic() - begun
    used = {name: cpu_seconds(pid) - before[name] for name, pid in pids.items()}
    for stream in streams:
        stream.close()
    followers = [value for name, value in used.items() if name != leader]
    n_appends = len(latencies)
    return {
        "instances": group.n_instances,
        "clients": n_clients,
        "appends_per_s": round(n_appends / took),
        "leader_cpu_us_per_append": round(used[leader] / n_appends * 1e6, 1),
        "follower_cpu_us_per_append": round(
            sum(followers) / max(1, len(followers)) / n_appends * 1e6, 1
        ),
        **percentiles_ms(latencies),
    }


def main() -> None:
    """Measure each group size with each number of clients."""
    rows = []
    for n_instances in GROUP_SIZES:
        with tempfile.TemporaryDirectory() as folder:
            group = ControlGroup(folder=Path(folder), n_instances=n_instances)
            group.start_all()
            try:
                rows += [measure(group, n) for n in CLIENT_COUNTS]
            finally:
                group.stop_all()
    write_result("raft_appends", {"rows": rows})


if __name__ == "__main__":
    main()
