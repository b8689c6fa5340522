"""Runs a whole system as processes on loopback, for measurements only."""

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from argparse import Namespace
from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field
from pathlib import Path

from bench.processes import OPERATOR_KEY, ControlGroup, free_ports
from turmericreel.util.keys import hash_key

CALLER_KEY = "tr_example_caller"
START_TIMEOUT_S = 30.0
POLL_INTERVAL_S = 0.1
DATA_CENTRES = ("north-mid-a", "north-mid-b", "north-mid-c")
TEXT = Path(__file__).parent.parent / "examples" / "ovenslot.toml"


def run_command(
    *arguments: str, key: str = OPERATOR_KEY
) -> subprocess.CompletedProcess:
    """Run a command of the program and wait for it to exit."""
    return subprocess.run(
        [sys.executable, "-m", "turmericreel", *arguments],
        capture_output=True,
        text=True,
        env={**os.environ, "TURMERICREEL_KEY": key},
        check=False,
    )


def resident_mb(pid: int) -> float:
    """Return the resident memory of a process, in MiB."""
    with open(f"/proc/{pid}/status") as file:
        for line in file:
            if line.startswith("VmRSS:"):
                return int(line.split()[1]) / 1024
    return 0.0


def cpu_seconds(pid: int) -> float:
    """Return the processor time that a process has used, in seconds."""
    with open(f"/proc/{pid}/stat") as file:
        parts = file.read().rpartition(")")[2].split()
    return (int(parts[11]) + int(parts[12])) / os.sysconf("SC_CLK_TCK")


@dataclass(kw_only=True)
class System:
    """Control instances, entry instances and stand-in servers.

    Attributes
    ----------
    processes : dict of str to Popen
        Entry instances and stand-ins by name; control instances are in `group`.
    """

    folder: Path
    n_control: int = 3
    n_entry: int = 1
    n_assistants: int = 2
    n_bookings: int = 0
    n_tokens: int = 16
    between_tokens_ms: float = 0.0
    processes: dict[str, subprocess.Popen] = field(default_factory=dict)
    http: dict[str, str] = field(default_factory=dict)
    fakes: dict[str, str] = field(default_factory=dict)

    def __post_init__(self):
        self.group = ControlGroup(folder=self.folder, n_instances=self.n_control)
        ports = free_ports(self.n_entry + self.n_assistants + self.n_bookings)
        for n in range(self.n_entry):
            self.http[f"entry-{n + 1}"] = f"127.0.0.1:{ports.pop()}"
        for n in range(self.n_assistants):
            self.fakes[f"oven-{n + 1}"] = f"127.0.0.1:{ports.pop()}"
        for n in range(self.n_bookings):
            self.fakes[f"booking-{n + 1}"] = f"127.0.0.1:{ports.pop()}"

    @property
    def addresses(self) -> list[str]:
        """HTTP addresses of the entry instances."""
        return list(self.http.values())

    def start(self) -> None:
        """Start all processes, submit the example text and wait for all servers."""
        self.group.start_all()
        for n, name in enumerate(self.http):
            self.start_entry(name, DATA_CENTRES[n % len(DATA_CENTRES)])
        submitted = run_command(
            "submit", str(TEXT), "--base", "0", *self._address_options()
        )
        if submitted.returncode:
            raise RuntimeError(submitted.stderr)
        for n, name in enumerate(self.fakes):
            self.start_fake(name, DATA_CENTRES[n % len(DATA_CENTRES)])
        self._wait_for_servers()

    def start_entry(self, name: str, data_centre: str) -> None:
        """Start an entry instance."""
        path = self.folder / f"{name}.toml"
        peers = "\n".join(f'{n} = "{a}"' for n, a in self.group.control.items())
        path.write_text(
            f"""
[instance]
id = "{name}"
data_centre = "{data_centre}"
roles = ["entry"]
[listen]
http = "{self.http[name]}"
control = "127.0.0.1:0"
metrics = "127.0.0.1:0"
[control.peers]
{peers}
[operators]
key_hashes = ["{hash_key(OPERATOR_KEY)}"]
"""
        )
        self._start(name, "serve", "--settings", str(path))

    def start_fake(self, name: str, data_centre: str) -> None:
        """Start a stand-in backend server."""
        is_assistant = name.startswith("oven")
        versions = ["small", "strong"] if is_assistant else ["v1"]
        homes = self.addresses
        # Rotates the list so that the homes of the servers are spread evenly.
        first = len(self.processes) % len(homes)
        homes = homes[first:] + homes[:first]
        arguments = ["fake", "backend", "--name", name, "--listen", self.fakes[name]]
        arguments += ["--service", "helper-llm" if is_assistant else "booking-app"]
        arguments += ["--data-centre", data_centre, "--capacity", "64"]
        arguments += ["--n-tokens", str(self.n_tokens)]
        arguments += ["--between-tokens-ms", str(self.between_tokens_ms)]
        for version in versions:
            arguments += ["--version", version]
        for home in homes:
            arguments += ["--home", home]
        self._start(name, *arguments)

    def kill(self, name: str) -> None:
        """Kill an entry instance or a stand-in with SIGKILL."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGKILL)
        process.wait()

    def leader(self) -> str:
        """Return the leader: the instance with the newest log line of leadership."""
        newest = ("", 0.0)
        for name in self.group.processes:
            for line in (self.folder / f"{name}.out").read_text().splitlines():
                if '"control:leadership"' not in line or '"leads":true' not in line:
                    continue
                at = json.loads(line)["timestamp"]
                newest = max(newest, (name, at), key=lambda found: found[1])
        return newest[0]

    def memory_mb(self) -> dict[str, float]:
        """Return the resident memory of every running process by name, in MiB."""
        running = {**self.group.processes, **self.processes}
        return {name: resident_mb(p.pid) for name, p in running.items()}

    def stop(self) -> None:
        """Kill all running processes."""
        for name in list(self.processes):
            self.kill(name)
        self.group.stop_all()

    def _start(self, name: str, *arguments: str) -> None:
        with open(self.folder / f"{name}.out", "ab") as output:
            self.processes[name] = subprocess.Popen(
                [sys.executable, "-m", "turmericreel", *arguments],
                stdout=output,
                stderr=output,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    def _address_options(self) -> list[str]:
        return [part for a in self.addresses for part in ("--address", a)]

    def _wait_for_servers(self) -> None:
        deadline = time.monotonic() + START_TIMEOUT_S
        while time.monotonic() < deadline:
            shown = run_command("status", "--json", "--address", self.addresses[0])
            if shown.returncode == 0:
                status = json.loads(shown.stdout)
                n_servers = len(status["servers"])
                n_instances = len(status["instances"])
                if n_servers == len(self.fakes) and n_instances == self.n_entry:
                    return
            time.sleep(POLL_INTERVAL_S)
        raise RuntimeError("servers and instances did not register in time")


@contextmanager
def running_system(folder: str | None, **options) -> Iterator[System]:
    """Yield a started system with its data folders in `folder`, then stop it."""
    with tempfile.TemporaryDirectory(dir=folder) as inner:
        system = System(folder=Path(inner), **options)
        try:
            system.start()
            yield system
        finally:
            system.stop()


def load_streams(
    system: System, options: Namespace, *extra_options: str
) -> tuple[list[dict], float]:
    """Run streaming load through the first entry instance.

    Returns
    -------
    targets : list of dict
        Report of the load generator on each target.
    used_s : float
        Processor seconds that the entry instance used during the load.
    """
    entry = system.processes["entry-1"].pid
    before_s = cpu_seconds(entry)
    completed = run_command(
        "load",
        "--key",
        CALLER_KEY,
        "--service",
        "helper-llm",
        "--address",
        system.addresses[0],
        "--rate",
        str(options.rate),
        "--duration",
        str(options.duration),
        "--stream-share",
        "1",
        "--json",
        *extra_options,
    )
    return json.loads(completed.stdout)["targets"], cpu_seconds(entry) - before_s
