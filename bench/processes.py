"""Starts control instances as processes, for measurements and long tests."""

import contextlib
import os
import signal
import socket
import subprocess
import sys
from dataclasses import dataclass, field
from pathlib import Path
from time import monotonic, sleep

from turmericreel.protocols.addresses import parse_address
from turmericreel.util.keys import hash_key

OPERATOR_KEY = "tr_operator"
START_WAIT_S = 20.0
STOP_WAIT_S = 60.0


def free_ports(n_ports: int) -> list[int]:
    """Return ports of the loopback that were free when checked."""
    sockets = [socket.socket() for _ in range(n_ports)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    ports = [sock.getsockname()[1] for sock in sockets]
    for sock in sockets:
        sock.close()
    return ports


@dataclass(kw_only=True)
class ControlGroup:
    """Control instances as processes on loopback.

    Attributes
    ----------
    processes : dict of str to Popen
        Running processes by instance name.
    """

    folder: Path
    n_instances: int
    roles: tuple[str, ...] = ("control",)
    processes: dict[str, subprocess.Popen] = field(default_factory=dict)
    control: dict[str, str] = field(default_factory=dict)
    raft: dict[str, str] = field(default_factory=dict)
    http: dict[str, str] = field(default_factory=dict)

    def __post_init__(self):
        ports = free_ports(3 * self.n_instances)
        for n in range(self.n_instances):
            name = f"control-{n + 1}"
            self.http[name] = f"127.0.0.1:{ports[3 * n]}"
            self.control[name] = f"127.0.0.1:{ports[3 * n + 1]}"
            self.raft[name] = f"127.0.0.1:{ports[3 * n + 2]}"
        for name in self.control:
            self._write_settings(name)

    def start_all(self) -> None:
        """Start every instance."""
        for name in self.control:
            self.start(name)

    def start(self, name: str) -> None:
        """Start one instance."""
        with open(self.folder / f"{name}.out", "ab") as output:
            self.processes[name] = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "turmericreel",
                    "serve",
                    "--settings",
                    str(self.folder / f"{name}.toml"),
                ],
                stdout=output,
                stderr=output,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    def wait_listening(self, name: str) -> None:
        """Wait until an instance accepts control streams; fail if it has exited."""
        address = parse_address(self.control[name])
        deadline = monotonic() + START_WAIT_S
        while monotonic() < deadline:
            ended = self.processes[name].poll()
            assert ended is None, (self.folder / f"{name}.out").read_text()[-2_000:]
            with (
                contextlib.suppress(OSError),
                socket.create_connection((address.host, address.port), timeout=1),
            ):
                return
            sleep(0.05)
        raise TimeoutError(name)

    def kill(self, name: str) -> None:
        """Kill one instance with SIGKILL."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGKILL)
        process.wait()

    def terminate(self, name: str) -> None:
        """Stop one instance with SIGTERM and wait for its exit."""
        process = self.processes[name]
        process.send_signal(signal.SIGTERM)
        process.wait(timeout=STOP_WAIT_S)
        # A process that misses the timeout stays listed, so that `stop_all` kills it.
        del self.processes[name]

    def stop_all(self) -> None:
        """Kill all running instances."""
        for name in list(self.processes):
            self.kill(name)

    def _write_settings(self, name: str) -> None:
        roles = ", ".join(f'"{role}"' for role in self.roles)
        text = f"""
[instance]
id = "{name}"
data_centre = "local"
roles = [{roles}]
data_folder = "{self.folder / name}"
[listen]
http = "{self.http[name]}"
control = "{self.control[name]}"
raft = "{self.raft[name]}"
metrics = "127.0.0.1:0"
[control.peers]
{_table(self.control)}
[control.raft_peers]
{_table(self.raft)}
[operators]
key_hashes = ["{hash_key(OPERATOR_KEY)}"]
"""
        (self.folder / f"{name}.toml").write_text(text)


def _table(values: dict[str, str]) -> str:
    return "\n".join(f'{name} = "{value}"' for name, value in values.items())
