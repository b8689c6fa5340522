"""Measures the distribution of texts by five control instances to many subscribers.

    python -m bench.capacity_spread

The instances are processes on loopback; the subscribers are real clients in this
process.  Writes bench/results/spread.json.
"""

import turmericreel.util.event_loop  # noqa: F401, I001

import json
import os
from pathlib import Path
from tempfile import TemporaryDirectory
from time import monotonic

import msgspec
from gevent import sleep, spawn

from bench.processes import ControlGroup
from bench.slopes import cpu_seconds, percentiles_ms, resident_mb
from bench.stand_ins import backend_server, operators_text, subscriber
from turmericreel.coordination.control_client import ControlClient
from turmericreel.coordination.submissions import submission_command
from turmericreel.model.failures import FailureError
from turmericreel.model.ids import InstanceId, OperatorId, Revision, SubmissionId
from turmericreel.state.commands.servers import AnnounceServer

RESULTS = Path(__file__).parent / "results" / "spread.json"
N_CONTROL = 5
SUBSCRIBER_COUNTS = (12, 50, 100, 200)
N_ACCOUNTS = 200
N_SERVERS = 200
IDLE_S = 10.0
N_CHANGES = 40
CHANGE_PAUSE_S = 0.2
N_LEADER_CRASHES = 5
POLL_INTERVAL_S = 0.004
TIMEOUT_S = 30.0


class Cluster:
    """A group of control instances with subscribers.

    Parameters
    ----------
    folder : Path
    n_subscribers : int
    """

    def __init__(self, folder: Path, n_subscribers: int):
        self.group = ControlGroup(folder=folder, n_instances=N_CONTROL)
        self.group.start_all()
        addresses = list(self.group.control.values())
        self.clients = [subscriber(n, addresses) for n in range(n_subscribers)]
        self.operator = subscriber(900, addresses, parses_texts=True)
        self.n_texts = 0
        for client in [*self.clients, self.operator]:
            client.start()
        wait_until(lambda: all(c.lease_valid() for c in self.all()), "leases")

    def all(self) -> list[ControlClient]:
        """Return the clients of the subscribers and of the operator."""
        return [*self.clients, self.operator]

    def stop(self) -> None:
        """Stop all clients and kill the control instances."""
        for client in self.all():
            client.stop()
        self.group.stop_all()

    def announce_servers(self) -> None:
        """Register `N_SERVERS` servers."""
        for n in range(N_SERVERS):
            home = InstanceId(f"entry-{n % len(self.clients):03}")
            command = AnnounceServer(server=backend_server(n), home=home)
            self.operator.propose(command, timeout=TIMEOUT_S)

    def submit(self) -> tuple[float, float]:
        """Submit a text and wait until it is in force everywhere.

        Returns
        -------
        durable_s, in_force_s : float
            Seconds from the submission to the commit, and to being in force.
        """
        self.n_texts += 1
        base = Revision(self.n_texts - 1)
        command = submission_command(
            self.operator.view,
            submission=SubmissionId(f"s{self.n_texts}"),
            base_revision=base,
            text=operators_text(N_ACCOUNTS, self.n_texts),
            operator=OperatorId("bench"),
        )
        began = monotonic()
        revision = self.operator.propose(command, timeout=TIMEOUT_S).revision
        durable = monotonic() - began
        wait_until(
            lambda: self._in_force(revision), "in force", pause_s=POLL_INTERVAL_S
        )
        return durable, monotonic() - began

    def _in_force(self, revision: Revision) -> bool:
        try:
            answer = self.operator.query(
                "in_force", timeout=TIMEOUT_S, revision=str(revision)
            )
        except FailureError:
            return False
        return msgspec.msgpack.decode(answer)["waiting"] == 0

    def bytes_in(self) -> int:
        """Return the bytes that the subscribers received on their current streams."""
        return sum(c.stream.received_bytes for c in self.clients if c.stream)

    def bytes_out(self) -> int:
        """Return the bytes that the subscribers sent on their current streams."""
        return sum(c.stream.sent_bytes for c in self.clients if c.stream)

    def cpu(self) -> dict[str, float]:
        """Return processor seconds by control instance, and of this process.

        This process runs all subscribers; its key is ``subscribers``.
        """
        used = {n: cpu_seconds(p.pid) for n, p in self.group.processes.items()}
        used["subscribers"] = cpu_seconds(os.getpid())
        return used

    def max_memory_mb(self) -> float:
        """Return the largest resident memory of a control instance, in MiB."""
        return max(resident_mb(p.pid) for p in self.group.processes.values())


def wait_until(condition, what: str, pause_s: float = 0.05) -> None:
    """Poll a condition until it holds; exit after `TIMEOUT_S`."""
    deadline = monotonic() + TIMEOUT_S
    while not condition():
        if monotonic() > deadline:
            raise SystemExit(f"timed out waiting for {what}")
        sleep(pause_s)


def measure(n_subscribers: int) -> dict:
    """Measure a new cluster with a number of subscribers."""
    with TemporaryDirectory() as folder:
        cluster = Cluster(Path(folder), n_subscribers)
        try:
            return _measure(cluster, n_subscribers)
        finally:
            cluster.stop()


def _measure(cluster: Cluster, n_subscribers: int) -> dict:
    cluster.announce_servers()
    cluster.submit()
    sleep(3.0)
    rest = _measure_usage(cluster, lambda: sleep(IDLE_S))
    times: list[tuple[float, float]] = []

    def change() -> None:
        for _ in range(N_CHANGES):
            times.append(cluster.submit())
            sleep(CHANGE_PAUSE_S)

    changes = _measure_usage(cluster, change)
    result = {
        "subscribers": n_subscribers,
        "text_bytes": len(operators_text(N_ACCOUNTS, 1)),
        "rest": rest,
        "changes": {"n": N_CHANGES, **changes},
        "durable_ms": percentiles_ms([durable for durable, _ in times]),
        "in_force_ms": percentiles_ms([in_force for _, in_force in times]),
        "memory_mb": cluster.max_memory_mb(),
    }
    if n_subscribers in (12, 100):
        result["leader_killed_in_force_ms"] = _kill_leaders(cluster)
    return result


def _measure_usage(cluster: Cluster, work) -> dict:
    cpu, received, sent, began = (
        cluster.cpu(),
        cluster.bytes_in(),
        cluster.bytes_out(),
        monotonic(),
    )
    work()
    elapsed = monotonic() - began
    used = {name: after - cpu[name] for name, after in cluster.cpu().items()}
    subscribers = used.pop("subscribers")
    return {
        "seconds": elapsed,
        "control_cpu_s": used,
        "subscribers_cpu_s": subscribers,
        "received_bytes": cluster.bytes_in() - received,
        "sent_bytes": cluster.bytes_out() - sent,
    }


def _kill_leaders(cluster: Cluster) -> dict:
    """Kill the leader during submissions; return the times to in force.

    Each killed instance is restarted before the next submission.
    """
    times = []
    for _ in range(N_LEADER_CRASHES):
        name = _find_leader(cluster)
        done = spawn(cluster.submit)
        sleep(0.002)
        cluster.group.kill(name)
        _, in_force = done.get(timeout=TIMEOUT_S)
        times.append(in_force)
        cluster.group.start(name)
        sleep(5.0)
    return percentiles_ms(times)


def _find_leader(cluster: Cluster) -> str:
    admitted = {}
    for name, address in cluster.group.control.items():
        probe = subscriber(990, [address])
        probe.hello = msgspec.structs.replace(
            probe.hello, role=type(probe.hello.role).RELAY, http_address=""
        )
        probe.start()
        sleep(0.4)
        admitted[name] = probe.lease_valid()
        probe.stop()
    leaders = [name for name, leads in admitted.items() if leads]
    if not leaders:
        raise SystemExit("no leader found")
    return leaders[0]


def main() -> None:
    """Measure each number of subscribers and write the results."""
    results = []
    for n_subscribers in SUBSCRIBER_COUNTS:
        result = measure(n_subscribers)
        print(json.dumps(result), flush=True)
        results.append(result)
    RESULTS.parent.mkdir(exist_ok=True)
    RESULTS.write_text(json.dumps(results, indent=1) + "\n")


if __name__ == "__main__":
    main()
