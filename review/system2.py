"""Starts the project's programs on loopback addresses, with small stand-ins.

The operator, the backend servers and the clients are stand-ins that follow the users'
pages.  Only the standard library is used.
"""

import json
import os
import shlex
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import threading
import time
import tomllib
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "shop.example"
KEY = "key-of-the-only-tenant"
TENANT = "tenant-1"
MEMORY_MB = 150
MAX_FDS = 4_100
BOUNDS = {
    "ContactMs": 3_000,
    "AckMs": 4_000,
    "DrainMs": 2_000,
    "GraceS": 8,
    "LossSlackMs": 200,
    "ConfigApplyMs": 2_000,
    "DowngradeSlackMs": 250,
    "PartitionMs": 5_000,
    "RetryBudgetRatio": 0.9,
    "RetryWindowS": 10,
    "BudgetSlack": 64,
    "CanaryShare": 0.15,
    "CanarySlack": 30,
    "RollbackMs": 5_000,
    "RecoveryS": 12,
    "SessionS": 5,
    "ttl_max_s": 5,
}
LIMITS = {
    "MaxHeaderBytes": 16_384,
    "MaxBodyBytes": 4_194_304,
    "HeaderTimeoutMs": 3_000,
    "IdleTimeoutMs": 15_000,
}
HEARTBEAT_S = 1.2


class CannotRunError(Exception):
    """The case could not run, which says nothing of the rule."""


class Record:
    """The record of a case: what was sent, answered and run."""

    def __init__(self, folder: Path):
        self.path = folder / "record.txt"
        self.file = self.path.open("w")
        self.lock = threading.Lock()
        self.began = time.monotonic()

    def write(self, text: str) -> None:
        """Add a line, with the seconds since the start."""
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
            self.file.flush()


def free_port(hosts: list[str]) -> int:
    """Return a port that is free at all hosts."""
    for _ in range(200):
        with socket.socket() as probe:
            probe.bind((hosts[0], 0))
            port = probe.getsockname()[1]
        try:
            for host in hosts:
                with socket.socket() as probe:
                    probe.bind((host, port))
        except OSError:
            continue
        return port
    raise CannotRunError("no free port")


def read_answer(file) -> tuple[int, dict[str, str], bytes]:
    """Read one answer; status 0 if the connection ended before it was whole."""
    first = file.readline()
    if not first.startswith(b"HTTP/1."):
        return 0, {}, b""
    status = int(first.split()[1])
    fields = {}
    while line := file.readline().strip():
        name, _, value = line.decode("latin-1").partition(":")
        fields[name.strip().lower()] = value.strip()
    if "content-length" in fields:
        size = int(fields["content-length"])
        body = file.read(size)
        return (status, fields, body) if len(body) == size else (0, fields, body)
    body = b""
    if fields.get("transfer-encoding") == "chunked":
        while True:
            line = file.readline()
            if not line.endswith(b"\r\n"):
                return 0, fields, body
            size = int(line, 16)
            block = file.read(size + 2)
            if len(block) < size + 2:
                return 0, fields, body
            if not size:
                return status, fields, body
            body += block[:-2]
    return status, fields, body


def call(
    address: str,
    method: str,
    path: str,
    body: bytes = b"",
    *,
    header: dict | None = None,
    timeout: float = 1.0,
    connect_timeout: float = 1.0,
) -> tuple[int, dict[str, str], bytes]:
    """Send one request on a new connection; status 0 without a whole answer."""
    host, _, port = address.rpartition(":")
    lines = [f"{method} {path} HTTP/1.1"]
    fields = {"Host": HOST, "Connection": "close", **(header or {})}
    if body or method in ("PUT", "POST"):
        fields["Content-Length"] = str(len(body))
    lines += [f"{name}: {value}" for name, value in fields.items()]
    head = "\r\n".join([*lines, "", ""]).encode("latin-1")
    try:
        with socket.create_connection((host, int(port)), connect_timeout) as sock:
            sock.settimeout(timeout)
            sock.sendall(head + body)
            with sock.makefile("rb") as file:
                return read_answer(file)
    except (OSError, ValueError):
        return 0, {}, b""


class Program:
    """One program of the project, as a process of its own."""

    def __init__(self, *, role: str, host: str, folder: Path, settings: dict):
        self.role = role
        self.host = host
        self.folder = folder
        self.settings = settings
        self.process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start it by the command of the deploy file."""
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        words = shlex.split(deploy["roles"][self.role]["run"])
        path = self.folder / f"{self.role}-{self.host}.json"
        path.write_text(json.dumps(self.settings))
        self.settings = {**self.settings, "Bootstrap": False}
        log = (self.folder / f"{self.role}-{self.host}.log").open("ab")
        deps = ROOT / "target" / "deps"
        if not deps.is_dir():
            raise CannotRunError("the build of the deploy file has not run")
        self.process = subprocess.Popen(
            words,
            cwd=ROOT,
            env={
                "PATH": os.environ["PATH"],
                "HOME": os.environ.get("HOME", "/"),
                "LANG": os.environ.get("LANG", "C.UTF-8"),
                "PYTHONPATH": str(deps),
                "PYTHONDONTWRITEBYTECODE": "1",
                "TURMERICREEL_CONFIG": str(path),
                "TURMERICREEL_METRICS_PORT": "0",
            },
            stdin=subprocess.DEVNULL,
            stdout=log,
            stderr=log,
        )

    @property
    def is_running(self) -> bool:
        """Whether the process exists."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal."""
        if self.is_running:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill it, and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()

    def lose_disk(self) -> None:
        """Delete its data folder."""
        shutil.rmtree(self.settings["DataDir"], ignore_errors=True)

    def log_lines(self, text: str) -> list[str]:
        """Return the lines of its log that hold a text."""
        path = self.folder / f"{self.role}-{self.host}.log"
        return [line for line in path.read_text().splitlines() if text in line]


class System:
    """Coordinators and gateways of a small deployment.

    All have addresses of their own in a block of loopback addresses.
    """

    def __init__(
        self, *, block: int, n_coordinators: int = 3, n_gateways: int = 2, **bounds
    ):
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        base = f"127.{block}"
        self.core_hosts = [f"{base}.1.{n + 1}" for n in range(n_coordinators)]
        self.edge_hosts = [f"{base}.2.{n + 1}" for n in range(n_gateways)]
        hosts = self.core_hosts + self.edge_hosts
        names = ("Frontend", "Readiness", "ControlPlane", "Directory")
        self.ports = {name: free_port(hosts) for name in names}
        while True:
            self.first_port = free_port(hosts)
            try:
                for port in range(self.first_port, self.first_port + 16):
                    for host in hosts:
                        with socket.socket() as probe:
                            probe.bind((host, port))
                break
            except (OSError, OverflowError):
                continue
        self.bounds = {**BOUNDS, **bounds}
        self.coordinators = [
            self._program("coordinator", host, n)
            for n, host in enumerate(self.core_hosts)
        ]
        self.gateways = [
            self._program("gateway", host, n) for n, host in enumerate(self.edge_hosts)
        ]

    @property
    def seeds(self) -> list[str]:
        """The coordinators' addresses for callers."""
        return [f"{host}:{self.ports['ControlPlane']}" for host in self.core_hosts]

    def frontend(self, n: int = 0) -> str:
        """Return a gateway's address for clients."""
        return f"{self.edge_hosts[n]}:{self.ports['Frontend']}"

    def readiness(self, n: int = 0) -> str:
        """Return a gateway's address for the platform's checks."""
        return f"{self.edge_hosts[n]}:{self.ports['Readiness']}"

    def directory(self, n: int = 0) -> str:
        """Return a gateway's address for look-ups."""
        return f"{self.edge_hosts[n]}:{self.ports['Directory']}"

    def _program(self, role: str, host: str, n: int) -> Program:
        is_core = role == "coordinator"
        listens = (
            ("ControlPlane",) if is_core else ("Frontend", "Readiness", "Directory")
        )
        settings = {
            "NodeName": f"{role}-{n + 1}",
            "Role": role,
            "MachineClass": "edge",
            "Serves": ["control"] if is_core else ["edge", "registry"],
            "Ip": host,
            "Zone": f"zone-{n % 3}",
            "Region": "region",
            "Zones": {f"zone-{z}": "region" for z in range(3)},
            "Listen": {name: f"{host}:{self.ports[name]}" for name in listens},
            "InternalPortRange": [self.first_port, self.first_port + 15],
            "SeedNodes": self.seeds,
            "Bootstrap": True,
            "CountsAsLoss": is_core,
            "Limits": {
                "CpuQuota": 0.968,
                "Cores": 2,
                "MemoryMb": MEMORY_MB,
                "MaxFds": MAX_FDS,
                "LinkMbps": 1000.0,
                "DiskMb": 64,
            },
            "Discovery": "registration",
            "EntryMode": "registry",
            "HeartbeatMs": int(HEARTBEAT_S * 1_000),
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
            "Bounds": self.bounds,
            "ConfigMode": "highest",
        }
        if is_core:
            settings["DataDir"] = str(self.folder / f"data-{host}")
            Path(settings["DataDir"]).mkdir()
        return Program(role=role, host=host, folder=self.folder, settings=settings)

    def start(self) -> None:
        """Start all programs."""
        for program in self.coordinators + self.gateways:
            program.start()

    def stop(self) -> None:
        """End all programs."""
        for program in self.coordinators + self.gateways:
            program.kill()
        if os.environ.get("KEEP") != "1":
            shutil.rmtree(self.folder, ignore_errors=True)
        else:
            print(self.folder, file=sys.stderr)

    def control(
        self,
        method: str,
        path: str,
        body: bytes = b"",
        *,
        first: int = 0,
        timeout_s: float = 10.0,
    ) -> tuple[int, str, bytes]:
        """Call as the operator does; return status, the node's address, the body."""
        deadline = time.monotonic() + timeout_s
        n = first
        while time.monotonic() < deadline:
            address = self.seeds[n % len(self.seeds)]
            at, where = path, address
            for _ in range(3):
                status, fields, answer = call(where, method, at, body)
                if status != 307:
                    break
                where, _, rest = (
                    fields["location"].removeprefix("http://").partition("/")
                )
                at = f"/{rest}"
            if status and status < 500 and status not in (307, 408, 429):
                return status, where, answer
            n += 1
            time.sleep(0.1)
        return 0, "", b""

    def configure(
        self, version: int, routes: list[dict], services: list[dict]
    ) -> bytes:
        """Send a configuration until it is acknowledged; return its document."""
        document = self.document(version, routes, services)
        status, _, _ = self.control("PUT", "/-/configuration", document)
        if status != 200:
            raise CannotRunError(f"configuration {version}: status {status}")
        return document

    def document(self, version: int, routes: list[dict], services: list[dict]) -> bytes:
        """Return a configuration."""
        return json.dumps(
            {
                "Version": version,
                "Routes": routes,
                "Backends": services,
                "Limits": LIMITS,
                "Tenants": [{"Name": TENANT, "ApiKeys": [KEY], "Priority": 1}],
            }
        ).encode()

    def wait_until_ready(self, timeout_s: float = 15.0) -> None:
        """Wait until all gateways say that they are ready."""
        deadline = time.monotonic() + timeout_s
        for n in range(len(self.gateways)):
            while call(self.readiness(n), "GET", "/-/readiness")[0] != 200:
                if time.monotonic() > deadline:
                    raise CannotRunError("a gateway is not ready")
                time.sleep(0.05)


def route(
    prefix: str, service: str, kind: str, *, timeout_ms: int = 1_500, **more
) -> dict:
    """Return a route."""
    return {
        "Name": f"r{prefix.strip('/')}",
        "Hostname": HOST,
        "PathPrefix": prefix,
        "RouteType": kind,
        "TimeoutMs": timeout_ms,
        "TargetLatencyMs": 250,
        "Priority": 1,
        "Backend": service,
        "MaxAttempts": 3,
        "Public": False,
        **more,
    }


def service(name: str) -> dict:
    """Return a service."""
    return {
        "Name": name,
        "HealthCheck": "/healthz",
        "MaxConnections": 130,
        "Protocol": "h1",
        "Tls": False,
    }


class Server:
    """A backend server with heartbeats, of which each run is recorded.

    Subclasses answer in `answer`.
    """

    def __init__(
        self,
        *,
        system: System,
        name: str,
        service: str,
        host: str,
        record: Record,
        version: str = "v1",
    ):
        self.system = system
        self.name = name
        self.service = service
        self.record = record
        self.runs: list[tuple[float, str]] = []
        self.listener = socket.create_server((host, 0), backlog=512)
        self.address = f"{host}:{self.listener.getsockname()[1]}"
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        self.state = "ready"
        self.version = version
        self.beats_at = 0
        self.is_open = True
        for target in (self._accept, self._beat):
            threading.Thread(target=target, daemon=True).start()

    def _accept(self) -> None:
        while self.is_open:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        try:
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            with sock, sock.makefile("rb") as file:
                while first := file.readline():
                    method, target, _ = first.decode("latin-1").split()
                    fields = {}
                    while line := file.readline().strip():
                        name, _, value = line.decode("latin-1").partition(":")
                        fields[name.strip().lower()] = value.strip()
                    body = file.read(int(fields.get("content-length", 0)))
                    if not self._begin(sock, method, target, fields, body):
                        return
        except (OSError, ValueError):
            return

    def _begin(self, sock, method, target, fields, body) -> bool:
        attempt = fields.get("turmericreel-attempt-id", "")
        expected = fields.get("turmericreel-expect-instance", self.name)
        if target == "/healthz":
            self.send(
                sock, attempt, 200, b"", **{"Turmericreel-Instance-Id": self.name}
            )
            return True
        if expected != self.name:
            self.send(sock, attempt, 421, b"", **{"Turmericreel-Not-Executed": "1"})
            return True
        self.runs.append((time.monotonic(), attempt))
        self.record.write(f"{self.name} runs {attempt} {method} {target}")
        return self.answer(sock, method, target, fields, body)

    def answer(self, sock, method, target, fields, body) -> bool:
        """Answer a request that has run; return whether the connection goes on."""
        attempt = fields.get("turmericreel-attempt-id", "")
        time.sleep(0.02)
        self.send(sock, attempt, 200, f"answer to {attempt}".encode())
        return True

    def send(self, sock, attempt: str, status: int, body: bytes, **fields) -> None:
        """Send an answer."""
        lines = [f"HTTP/1.1 {status} Status", f"Turmericreel-Attempt-Id: {attempt}"]
        if status // 100 in (2, 5) and "Turmericreel-Not-Executed" not in fields:
            lines.append(f"Turmericreel-Backend-Signature: s.{self.name}.{attempt}")
        lines += [f"{name}: {value}" for name, value in fields.items()]
        lines += ["Keep-Alive: timeout=5", f"Content-Length: {len(body)}", "", ""]
        sock.sendall("\r\n".join(lines).encode() + body)

    def beat(self) -> int:
        """Send one heartbeat; return the status of the answer."""
        self.sequence += 1
        body = json.dumps(
            {
                "Backend": self.service,
                "Address": self.address,
                "Zone": "zone-0",
                "Version": self.version,
                "Slots": 64,
                "State": self.state,
                "WarmupLeftMs": 0,
                "Sequence": self.sequence,
                "born": self.born,
            }
        ).encode()
        for _ in range(len(self.system.seeds)):
            address = self.system.seeds[self.beats_at % len(self.system.seeds)]
            status, _, _ = call(address, "PUT", f"/-/instances/{self.name}", body)
            if status // 100 == 2:
                return status
            self.beats_at += 1
        return 0

    def _beat(self) -> None:
        while self.is_open:
            began = time.monotonic()
            status = self.beat()
            pause = HEARTBEAT_S if status else 0.2
            time.sleep(max(pause - (time.monotonic() - began), 0.05))

    def stop(self) -> None:
        """Stop accepting, and send no more heartbeats."""
        self.is_open = False
        self.listener.close()


def request_header(attempt: str, deadline_ms: int = 1_500, **more) -> dict[str, str]:
    """Return the header of a client's request."""
    return {
        "Turmericreel-Attempt-Id": attempt,
        "Turmericreel-Deadline-Ms": str(deadline_ms),
        "Turmericreel-Key": KEY,
        **more,
    }
