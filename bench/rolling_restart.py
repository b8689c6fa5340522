"""Measures a rolling restart of ten entry instances under load.

Three control instances and ten entry instances run as processes on the loopback; each
entry instance gets SIGTERM and is replaced once it has stopped.  Callers use only the
addresses that the instances list.  Results go to ``bench/results/accounts.json``.
"""

import turmericreel.util.event_loop  # noqa: F401, I001

import json
import os
import signal
import subprocess
import sys
import tempfile
import time
from pathlib import Path
from random import Random

from gevent import joinall, sleep, spawn

from bench.processes import OPERATOR_KEY, ControlGroup, free_ports
from test.library import TEXT, chat_body, http_call, start_fake
from turmericreel.fakes.backend_server import FakeBehaviour
from turmericreel.model.failures import FailureError
from turmericreel.ui.operator_client import OperatorClient

N_ENTRIES = 10
N_CALLERS = 20
BASELINE_S = 10.0
RESULTS = Path(__file__).parent / "results" / "accounts.json"


class EntryGroup:
    """Starts, restarts and kills entry instances, each in its own process."""

    def __init__(self, *, folder: Path, control: ControlGroup):
        self.folder = folder
        self.control = control
        self.processes: dict[str, subprocess.Popen] = {}
        self.addresses: dict[str, str] = {}

    def start(self, name: str) -> None:
        """Start an instance on a new port."""
        self.addresses[name] = f"127.0.0.1:{free_ports(1)[0]}"
        peers = "\n".join(f'{n} = "{a}"' for n, a in self.control.control.items())
        settings = self.folder / f"{name}.toml"
        settings.write_text(
            f'[instance]\nid = "{name}"\ndata_centre = "local"\nroles = ["entry"]\n'
            f'[listen]\nhttp = "{self.addresses[name]}"\nmetrics = "127.0.0.1:0"\n'
            f"[control.peers]\n{peers}\n"
        )
        with open(self.folder / f"{name}.out", "ab") as output:
            self.processes[name] = subprocess.Popen(
                [
                    *(sys.executable, "-m", "turmericreel", "serve"),
                    *("--settings", str(settings)),
                ],
                stdout=output,
                stderr=output,
                env={**os.environ, "PYTHONUNBUFFERED": "1"},
            )

    def restart(self, name: str) -> None:
        """Stop an instance with SIGTERM, wait for its end and start it again."""
        process = self.processes.pop(name)
        process.send_signal(signal.SIGTERM)
        while process.poll() is None:
            sleep(0.05)
        self.start(name)

    def stop_all(self) -> None:
        """Kill all running instances."""
        for process in self.processes.values():
            process.kill()
            process.wait()


class Caller:
    """Client that refreshes its address list and counts the outcomes of its requests.

    Attributes
    ----------
    n_complete : int
        Answers that arrived to their end.
    n_truncated : int
        Requests whose connection broke or whose answer had no end marker.
    n_refused : int
        Requests that no address on the list accepted.
    n_retried : int
        Attempts that were refused, after which the next address was used.
    times : list of tuple of float
        Start on the monotonic clock and duration of each request, in seconds.
    """

    def __init__(self, *, first: list[str], rng: Random):
        self.addresses = first
        self.rng = rng
        self.valid_until = 0.0
        self.n_complete = 0
        self.n_truncated = 0
        self.n_refused = 0
        self.n_retried = 0
        self.times: list[tuple[float, float]] = []
        self.stopped = False

    def run(self) -> None:
        """Send requests one after another until `stopped` is set."""
        while not self.stopped:
            if time.monotonic() >= self.valid_until:
                self._refresh_addresses()
            began = time.monotonic()
            self._send_request()
            self.times.append((began, time.monotonic() - began))
            sleep(0.05)

    def _refresh_addresses(self) -> None:
        for address in self.addresses:
            try:
                answer = http_call(address, "GET", "/v1/addresses")
            except OSError:
                continue
            if answer.status == 200:
                self.addresses = answer.json()["addresses"]
                self.valid_until = time.monotonic() + answer.json()["valid_ms"] / 1e3
                return

    def _send_request(self) -> None:
        body = chat_body(f"question {self.rng.random()}", stream=True)
        for address in self.addresses:
            try:
                answer = http_call(address, "POST", "/v1/chat/completions", body=body)
            except ConnectionRefusedError:
                self.n_retried += 1
                continue
            except Exception:
                self.n_truncated += 1
                return
            if answer.status == 503:
                self.n_retried += 1
                continue
            whole = answer.body.endswith(b"data: [DONE]\n\n")
            self.n_complete += whole
            self.n_truncated += not whole
            return
        self.n_refused += 1


def submit(address: str) -> None:
    """Submit the text, retrying up to 20 times until a leader accepts it."""
    client = OperatorClient(address=address, key=OPERATOR_KEY)
    for _ in range(20):
        try:
            client.submit(submission="first", base_revision=0, text=TEXT)
            return
        except (FailureError, KeyError, ValueError):
            sleep(0.5)
    raise SystemExit("the text was not accepted")


def p95_ms(times: list[float]) -> float:
    """Return the 95th percentile of times in seconds, in milliseconds."""
    return round(sorted(times)[int(len(times) * 0.95)] * 1_000, 1)


def main() -> None:
    """Restart every entry instance under load and write the counts and latencies."""
    with tempfile.TemporaryDirectory() as folder:
        control = ControlGroup(
            folder=Path(folder), n_instances=3, roles=("entry", "control")
        )
        control.start_all()
        entries = EntryGroup(folder=Path(folder), control=control)
        fakes = []
        try:
            sleep(3.0)
            home = control.http["control-1"]
            submit(home)
            names = [f"entry-{n}" for n in range(N_ENTRIES)]
            for name in names:
                entries.start(name)
            behaviour = FakeBehaviour(n_tokens=20, between_tokens_ms=20.0)
            fakes = [
                start_fake(f"oven-{n}", "helper-llm", ["small"], [home], behaviour)
                for n in range(4)
            ]
            sleep(6.0)
            first = list(entries.addresses.values())
            callers = [Caller(first=first, rng=Random(n)) for n in range(N_CALLERS)]
            tasks = [spawn(caller.run) for caller in callers]
            sleep(BASELINE_S)
            began = time.monotonic()
            for name in names:
                entries.restart(name)
            ended = time.monotonic()
            for caller in callers:
                caller.stopped = True
            joinall(tasks, raise_error=True)
        finally:
            for fake in fakes:
                fake.stop()
            entries.stop_all()
            control.stop_all()
    times = [t for caller in callers for t in caller.times]
    result = {
        "n_instances": N_ENTRIES,
        "seconds": round(ended - began, 1),
        "requests_whole": sum(c.n_complete for c in callers),
        "requests_cut": sum(c.n_truncated for c in callers),
        "requests_refused": sum(c.n_refused for c in callers),
        "requests_sent_elsewhere": sum(c.n_retried for c in callers),
        "p95_before_ms": p95_ms([d for at, d in times if at < began]),
        "p95_during_ms": p95_ms([d for at, d in times if at >= began]),
    }
    print(json.dumps(result))
    kept = json.loads(RESULTS.read_text()) if RESULTS.exists() else {}
    kept["rolling_restart"] = result
    RESULTS.write_text(json.dumps(kept, indent=1) + "\n")


if __name__ == "__main__":
    main()
