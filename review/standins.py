"""Starts the programs of the deploy file, and stand-ins for everything around them.

It uses the standard library only. Each machine has a loopback address of its own.
"""

import json
import os
import random
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
from contextlib import suppress
from dataclasses import dataclass, field
from pathlib import Path

ROOT = Path(__file__).resolve().parent.parent
HOST = "shop.example"
KEY = "k7f2example"
TENANT = "tenant-a"
HEARTBEAT_S = 1.2
CONTACT_S = 3.0
EXIT_HELD, EXIT_BROKEN, EXIT_NOT_RUN = 0, 1, 2


class NotRunError(Exception):
    """The case could not run."""


class Record:
    """Writes what happens to the record of a case, with the time since the start."""

    def __init__(self, path: Path):
        self.file = path.open("w", encoding="utf-8")
        self.began = time.monotonic()
        self.lock = threading.Lock()

    def write(self, text: str) -> None:
        """Write one line."""
        with self.lock:
            self.file.write(f"{time.monotonic() - self.began:8.3f} {text}\n")
            self.file.flush()


@dataclass(kw_only=True)
class Request:
    """A request as a stand-in worker received it."""

    method: str
    target: str
    headers: dict
    body: bytes
    at: float
    sock: socket.socket

    @property
    def attempt(self) -> str:
        """Id of the client attempt."""
        return self.headers.get("turmericreel-attempt-id", "")


def read_head(file) -> tuple[str, dict]:
    """Return the first line and the header of a message; empty at the end."""
    first = file.readline()
    if not first.endswith(b"\n"):
        return "", {}
    headers = {}
    while (line := file.readline()) not in (b"\r\n", b"\n"):
        if not line:
            return "", {}
        name, _, value = line.decode("latin-1").partition(":")
        headers[name.strip().lower()] = value.strip()
    return first.decode("latin-1").strip(), headers


def read_chunks(file) -> tuple[bytes, bool]:
    """Return a chunked body and whether it is complete."""
    body = b""
    while True:
        line = file.readline()
        if not line.endswith(b"\n"):
            return body, False
        size = int(line.partition(b";")[0], 16)
        data = file.read(size)
        body += data
        if len(data) < size or not file.readline():
            return body, False
        if not size:
            return body, True


class Worker:
    """A worker that registers itself and answers requests.

    Parameters
    ----------
    worker : str
        Id of the worker.
    service : str
    answer : callable
        Gets the worker and a `Request`, and sends the answer; returns whether the
        connection stays open.
    """

    def __init__(self, *, fleet, worker, service, host, answer, version="v1", slots=6):
        self.fleet = fleet
        self.worker = worker
        self.service = service
        self.version = version
        self.slots = slots
        self.answer = answer
        self.born = time.time_ns() // 1_000_000
        self.sequence = 0
        self.state = "ready"
        self.runs: list[Request] = []
        self.running = True
        self.listener = socket.create_server((host, 0), backlog=128)
        self.address = ":".join(map(str, self.listener.getsockname()))
        threading.Thread(target=self._accept, daemon=True).start()
        threading.Thread(target=self._beat, daemon=True).start()

    def signature(self, request: Request) -> str:
        """Return the signature of an answer."""
        return f"{self.worker}.{request.attempt}"

    def head(self, request: Request, status="200 OK", **more) -> bytes:
        """Return the head of an answer."""
        lines = [
            f"HTTP/1.1 {status}",
            f"Turmericreel-Attempt-Id: {request.attempt}",
            f"Turmericreel-Backend-Signature: {self.signature(request)}",
            f"Turmericreel-Backend-Load: 1,0,{self.slots}",
            "Keep-Alive: timeout=10",
            *(f"{name.replace('_', '-')}: {value}" for name, value in more.items()),
        ]
        return "\r\n".join([*lines, "", ""]).encode()

    def _accept(self) -> None:
        while self.running:
            try:
                sock, _ = self.listener.accept()
            except OSError:
                return
            sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            threading.Thread(target=self._serve, args=(sock,), daemon=True).start()

    def _serve(self, sock: socket.socket) -> None:
        file = sock.makefile("rb")
        with suppress(OSError, ValueError), sock, file:
            while True:
                first, headers = read_head(file)
                if not first:
                    return
                method, target, _ = first.split(" ", 2)
                body = file.read(int(headers.get("content-length", 0)))
                request = Request(
                    method=method,
                    target=target,
                    headers=headers,
                    body=body,
                    at=time.monotonic(),
                    sock=sock,
                )
                if not self.answer_or_refuse(request):
                    return

    def answer_or_refuse(self, request: Request) -> bool:
        """Answer a request, or refuse one for another worker."""
        expected = request.headers.get("turmericreel-expect-instance", self.worker)
        if expected != self.worker:
            head = self.head(
                request,
                "421 Misdirected",
                Turmericreel_Not_Executed="1",
                Content_Length="0",
            )
            request.sock.sendall(head)
            return True
        if request.target == "/healthz":
            request.sock.sendall(
                self.head(
                    request, Turmericreel_Instance_Id=self.worker, Content_Length="0"
                )
            )
            return True
        self.runs.append(request)
        self.fleet.record.write(
            f"run worker={self.worker} attempt={request.attempt} {request.method} "
            f"{request.target} body={len(request.body)}"
        )
        return self.answer(self, request)

    def _beat(self) -> None:
        while self.running:
            self.beat()
            time.sleep(HEARTBEAT_S)

    def beat(self) -> None:
        """Send one heartbeat, to the next machine if one does not acknowledge it."""
        self.sequence += 1
        body = {
            "Backend": self.service,
            "Address": self.address,
            "Zone": "a",
            "Version": self.version,
            "Slots": self.slots,
            "State": self.state,
            "WarmupLeftMs": 0,
            "Sequence": self.sequence,
            "born": self.born,
        }
        machines = list(self.fleet.control_addresses())
        random.shuffle(machines)
        for address in machines:
            with suppress(OSError):
                path = f"/-/instances/{self.worker}"
                status, _, _ = call(address, "PUT", path, body, timeout=1.0)
                if status // 100 == 2:
                    return

    def stop(self) -> None:
        """Stop listening."""
        self.running = False
        self.listener.close()


def call(
    address: str, method: str, path: str, body=None, *, timeout=1.0, headers=()
) -> tuple[int, dict, bytes]:
    """Send one call on a new connection, and return its answer."""
    host, _, port = address.rpartition(":")
    data = b"" if body is None else json.dumps(body).encode()
    lines = [
        f"{method} {path} HTTP/1.1",
        f"Host: {address}",
        "Connection: close",
        f"Content-Length: {len(data)}",
        *headers,
    ]
    with socket.create_connection((host, int(port)), timeout=timeout) as sock:
        sock.sendall("\r\n".join([*lines, "", ""]).encode() + data)
        with sock.makefile("rb") as file:
            first, answered = read_head(file)
            if not first:
                raise OSError("no answer")
            length = int(answered.get("content-length", 0))
            return int(first.split()[1]), answered, file.read(length)


@dataclass(kw_only=True)
class Program:
    """A process of the system."""

    name: str
    words: list
    env: dict
    settings: dict
    folder: Path
    process: subprocess.Popen | None = None

    def start(self) -> None:
        """Start it; only the first start is a bootstrap."""
        path = self.folder / f"{self.name}.json"
        path.write_text(json.dumps(self.settings))
        self.settings["Bootstrap"] = False
        log = (self.folder / f"{self.name}.log").open("ab")
        self.process = subprocess.Popen(
            self.words,
            cwd=ROOT,
            env={**self.env, "TURMERICREEL_CONFIG": str(path)},
            stdout=log,
            stderr=log,
        )

    @property
    def is_running(self) -> bool:
        """Whether the process exists."""
        return self.process is not None and self.process.poll() is None

    def signal(self, number: int) -> None:
        """Send a signal to the process."""
        if self.is_running:
            self.process.send_signal(number)

    def kill(self) -> None:
        """Kill the process and wait for its end."""
        self.signal(signal.SIGCONT)
        self.signal(signal.SIGKILL)
        if self.process is not None:
            self.process.wait()


@dataclass(kw_only=True)
class Machine:
    """A machine with its two programs; `coordinator` may be None."""

    host: str
    gateway: Program
    coordinator: Program | None
    listen: dict = field(default_factory=dict)


class Fleet:
    """A small deployment: machines, each with a gateway, the first with a disk.

    Parameters
    ----------
    record : Record
    n_machines : int
    memory_mb : int
    """

    def __init__(self, *, record: Record, n_machines=3, memory_mb=300):
        self.record = record
        self.folder = Path(tempfile.mkdtemp(prefix="review-"))
        self.block = f"127.{random.randrange(16, 240)}.{random.randrange(1, 250)}"
        deploy = tomllib.loads((ROOT / "deploy" / "system.toml").read_text())
        self.roles = deploy["roles"]
        self.ports = [8227, 8220, 8229, 8224]
        self.workers: list[Worker] = []
        self.version = 0
        self.machines = [
            self._machine(n, memory_mb, min(n_machines, 3)) for n in range(n_machines)
        ]

    def _machine(self, number: int, memory_mb: int, n_core: int) -> Machine:
        host = f"{self.block}.{number + 1}"
        names = ("Frontend", "Readiness", "ControlPlane", "Directory")
        listen = {n: f"{host}:{p}" for n, p in zip(names, self.ports, strict=True)}
        is_core = number < 3
        settings = {
            "NodeName": f"edge-a-{number + 1}",
            "MachineClass": "edge",
            "Ip": host,
            "Zone": "a",
            "Region": "r",
            "Zones": {"a": "r"},
            "Listen": listen,
            "InternalPortRange": [7340, 7355],
            "SeedNodes": [f"{self.block}.{n + 1}:8229" for n in range(n_core)],
            "Bootstrap": True,
            "CountsAsLoss": is_core,
            "Limits": {"Cores": 2, "MemoryMb": memory_mb, "MaxFds": 4100},
            "Discovery": "registration",
            "EntryMode": "registry",
            "HeartbeatMs": int(HEARTBEAT_S * 1_000),
            "FaultTolerance": {"Machines": 1, "Zones": 0, "Regions": 0},
            "Bounds": {
                "SeedLagS": 3,
                "ReuseAfterS": 2,
                "ContactMs": 3000,
                "AckMs": 4000,
                "CatchUpS": 4,
                "DrainMs": 2000,
                "GraceS": 8,
                "LossSlackMs": 200,
                "ConfigApplyMs": 2000,
                "DowngradeSlackMs": 250,
                "PartitionMs": 5000,
                "FailClosed": False,
                "RevokeMs": 5000,
                "RetryBudgetRatio": 0.9,
                "RetryWindowS": 10,
                "BudgetSlack": 60,
                "CanaryShare": 0.15,
                "CanarySlack": 30,
                "RollbackMs": 5000,
                "RecoveryS": 12,
                "IterationMs": 120,
                "ReuseWindowS": 10,
                "SessionS": 5,
                "ttl_max_s": 5,
            },
            "ConfigMode": "highest",
        }
        gateway = self._program("gateway", f"gateway-{number + 1}", settings, "")
        coordinator = None
        if is_core:
            data = self.folder / f"data-{number + 1}"
            data.mkdir()
            coordinator = self._program(
                "coordinator", f"coordinator-{number + 1}", settings, str(data)
            )
        return Machine(
            host=host, gateway=gateway, coordinator=coordinator, listen=listen
        )

    def _program(self, role: str, name: str, settings: dict, data: str) -> Program:
        words = shlex.split(self.roles[role]["run"])
        if words[0] == "python3":
            words[0] = sys.executable
        env = {k: os.environ[k] for k in ("PATH", "HOME", "LANG") if k in os.environ}
        env["PYTHONPATH"] = str(ROOT / "target" / "deps")
        env.update(self.roles[role].get("env", {}))
        return Program(
            name=name,
            words=words,
            env=env,
            settings={**settings, "Role": role, "DataDir": data},
            folder=self.folder,
        )

    def control_addresses(self) -> list[str]:
        """Return the addresses of the machines that serve control."""
        return [m.listen["ControlPlane"] for m in self.machines if m.coordinator]

    def start(self) -> None:
        """Start all programs."""
        for machine in self.machines:
            if machine.coordinator is not None:
                machine.coordinator.start()
            machine.gateway.start()

    def add_worker(self, worker: str, service: str, answer, **options) -> Worker:
        """Start a worker."""
        number = 100 + len(self.workers)
        added = Worker(
            fleet=self,
            worker=worker,
            service=service,
            host=f"{self.block}.{number}",
            answer=answer,
            **options,
        )
        self.workers.append(added)
        return added

    def configuration(self, routes: list, services: list, **more) -> dict:
        """Return a configuration with the next version."""
        self.version += 1
        return {
            "Version": self.version,
            "Routes": routes,
            "Backends": [
                {"Name": s, "HealthCheck": "/healthz", "MaxConnections": 380}
                for s in services
            ],
            "Limits": {
                "MaxHeaderBytes": 16384,
                "MaxBodyBytes": 4194304,
                "HeaderTimeoutMs": 3000,
                "IdleTimeoutMs": 15000,
            },
            "Tenants": [{"Name": TENANT, "ApiKeys": [KEY]}],
            **more,
        }

    def order(self, method: str, path: str, body=None, *, limit_s=20.0):
        """Send an operator's call until it gets a clear answer."""
        deadline = time.monotonic() + limit_s
        while time.monotonic() < deadline:
            address = random.choice(self.control_addresses())
            for _ in range(3):
                try:
                    status, headers, data = call(address, method, path, body)
                except OSError:
                    break
                if status == 307:
                    address = headers["location"].split("/")[2]
                    continue
                if status < 500 and status not in (408, 429):
                    self.record.write(f"operator {method} {path} status={status}")
                    return status, data
                break
            time.sleep(0.2)
        raise NotRunError(f"{method} {path} was not answered")

    def wait_until(self, condition, *, limit_s=20.0, what="") -> None:
        """Wait until a condition holds."""
        deadline = time.monotonic() + limit_s
        while not condition():
            if time.monotonic() > deadline:
                raise NotRunError(f"timed out: {what}")
            time.sleep(0.1)

    def wait_for_service(self, path: str, *, method="GET", n=3) -> None:
        """Wait until each gateway has answered some requests in a row."""
        for machine in self.machines:
            served = [0]

            def is_served(machine=machine, served=served) -> bool:
                answer = self.request(machine, method, path, deadline_ms=1_500)
                served[0] = served[0] + 1 if answer.status == 200 else 0
                return served[0] >= n

            self.wait_until(is_served, what=f"service at {machine.host}")

    def request(self, machine: Machine, method: str, path: str, **options):
        """Send a request on a new connection; see `Client.request`."""
        client = Client(self, machine)
        try:
            return client.request(method, path, **options)
        finally:
            client.close()

    def stop(self) -> None:
        """End all processes and remove the folder."""
        for worker in self.workers:
            worker.stop()
        for machine in self.machines:
            for program in (machine.gateway, machine.coordinator):
                if program is not None:
                    program.kill()
        if os.environ.get("KEEP"):
            self.record.write(f"folder {self.folder}")
            return
        shutil.rmtree(self.folder, ignore_errors=True)


@dataclass(kw_only=True)
class Answer:
    """What a client got; status 0 without a head."""

    status: int
    headers: dict
    body: bytes
    is_complete: bool
    error: str = ""


class Client:
    """A client connection to one machine, kept open for many requests."""

    ids = random.Random()

    def __init__(self, fleet: Fleet, machine: Machine, *, timeout=30.0, receive=0):
        self.fleet = fleet
        host, _, port = machine.listen["Frontend"].rpartition(":")
        self.sock = None
        try:
            self.sock = socket.socket()
            if receive:
                self.sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, receive)
            self.sock.settimeout(timeout)
            self.sock.connect((host, int(port)))
            self.file = self.sock.makefile("rb")
        except OSError as error:
            self.error = str(error)
            self.file = None

    @classmethod
    def new_id(cls) -> str:
        """Return a new attempt id."""
        return f"{cls.ids.getrandbits(64):016x}"

    def send(self, method, path, *, attempt, body=b"", deadline_ms=10_000, headers=()):
        """Send a request."""
        lines = [
            f"{method} {path} HTTP/1.1",
            f"Host: {HOST}",
            f"Turmericreel-Attempt-Id: {attempt}",
            f"Turmericreel-Deadline-Ms: {deadline_ms}",
            f"Turmericreel-Key: {KEY}",
            *headers,
        ]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        self.fleet.record.write(
            f"send attempt={attempt} {method} {path} body={len(body)}"
        )
        self.sock.sendall("\r\n".join([*lines, "", ""]).encode() + body)

    def receive(self, attempt: str, *, pause_s=0.0, block=65_536) -> Answer:
        """Read an answer, with a pause after each block of its body."""
        status, headers, body, complete, error = 0, {}, b"", False, ""
        try:
            first, headers = read_head(self.file)
            if first:
                status = int(first.split()[1])
                if headers.get("transfer-encoding") == "chunked":
                    body, complete = read_chunks(self.file)
                else:
                    length = int(headers.get("content-length", 0))
                    parts = []
                    left = length
                    while left and (data := self.file.read(min(block, left))):
                        parts.append(data)
                        left -= len(data)
                        time.sleep(pause_s)
                    body, complete = b"".join(parts), not left
        except (OSError, ValueError) as failure:
            error = str(failure)
        self.fleet.record.write(
            f"answer attempt={attempt} status={status} body={len(body)} "
            f"complete={complete} {error}"
        )
        return Answer(
            status=status,
            headers=headers,
            body=body,
            is_complete=complete,
            error=error,
        )

    def request(self, method, path, **options) -> Answer:
        """Send a request and read its answer."""
        if self.file is None:
            return Answer(
                status=0, headers={}, body=b"", is_complete=False, error=self.error
            )
        attempt = options.pop("attempt", None) or self.new_id()
        try:
            self.send(method, path, attempt=attempt, **options)
        except OSError as error:
            return Answer(
                status=0, headers={}, body=b"", is_complete=False, error=str(error)
            )
        return self.receive(attempt)

    def close(self) -> None:
        """Close the connection."""
        with suppress(OSError):
            self.sock.close()


def route(name, prefix, kind, service, **more) -> dict:
    """Return a route of a configuration."""
    return {
        "Name": name,
        "Hostname": HOST,
        "PathPrefix": prefix,
        "RouteType": kind,
        "TimeoutMs": 800,
        "TargetLatencyMs": 150,
        "Priority": 2,
        "Backend": service,
        "MaxAttempts": 1,
        "Public": False,
        **more,
    }


def run_case(folder: Path, play, **options) -> None:
    """Play a case and exit with its result."""
    record = Record(folder / "record.txt")
    trouble = os.environ.get("TROUBLE", "1") != "0"
    record.write(f"begin trouble={trouble}")
    fleet = None
    try:
        fleet = Fleet(record=record, **options)
        fleet.start()
        broken = play(fleet, trouble)
        code = EXIT_BROKEN if broken else EXIT_HELD
    except Exception as error:
        record.write(f"could not run: {error!r}")
        print(f"could not run: {error!r}")
        code = EXIT_NOT_RUN
    finally:
        if fleet is not None:
            fleet.stop()
    record.write(f"end exit={code}")
    os._exit(code)
