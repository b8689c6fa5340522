"""Crowds of clients that misbehave, and a small system of processes to send them to."""

import os
import random
from collections.abc import Callable, Iterator
from contextlib import ExitStack, contextmanager, suppress
from itertools import count
from pathlib import Path
from time import monotonic

import msgspec
from gevent import sleep, spawn
from gevent.server import StreamServer
from gevent.socket import SO_RCVBUF, SOL_SOCKET, create_connection, socket

from test_long.platform_process import PlatformProcess

HOST = "shop.example"
MAX_BODY_BYTES = 4_194_304
MAX_HEADER_BYTES = 16_384
# Descriptors that the users reserve for files.
N_RESERVED_DESCRIPTORS = 200
BLOCK_BYTES = 65_536
SAMPLE_S = 0.02
# Only ends a test that hangs.
HANG_S = 60.0
HEARTBEAT_S = 0.5
PORTS = {
    "Frontend": 8227,
    "Readiness": 8220,
    "ControlPlane": 8229,
    "Directory": 8224,
}


def resident_bytes(pid: int) -> int:
    """Return the resident memory of a process."""
    pages = int(Path(f"/proc/{pid}/statm").read_text().split()[1])
    return pages * os.sysconf("SC_PAGE_SIZE")


def queued_bytes(host: str) -> int:
    """Return the bytes in the kernel at an address, unread or not yet received."""
    number = bytes(reversed([int(part) for part in host.split(".")])).hex().upper()
    n_bytes = 0
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        # The queue of a listener counts connections.
        if fields[1].startswith(number) and fields[3] != "0A":
            n_sent, _, n_unread = fields[4].partition(":")
            n_bytes += int(n_sent, 16) + int(n_unread, 16)
    return n_bytes


class Watch:
    """Samples the memory and the descriptors of a process.

    Parameters
    ----------
    pid : int
    host : str
        Address whose bytes in the kernel count as memory of the process.

    Attributes
    ----------
    max_bytes, max_descriptors : int
    """

    def __init__(self, *, pid: int, host: str):
        self.pid = pid
        self.host = host
        self.max_bytes = 0
        self.max_descriptors = 0
        self.task = spawn(self._run)

    def _run(self) -> None:
        with suppress(OSError, IndexError):
            while True:
                n_bytes = resident_bytes(self.pid) + queued_bytes(self.host)
                self.max_bytes = max(self.max_bytes, n_bytes)
                n_descriptors = len(os.listdir(f"/proc/{self.pid}/fd"))
                self.max_descriptors = max(self.max_descriptors, n_descriptors)
                sleep(SAMPLE_S)


class SizedServer:
    """A backend server; the path of a request states how many bytes it answers."""

    def __init__(self, *, host: str):
        self.listener = StreamServer((host, 0), self._serve)
        self.listener.start()
        self.address = f"{host}:{self.listener.server_port}"

    def _serve(self, sock, _peer) -> None:
        with suppress(OSError, ValueError), sock.makefile("rb") as file:
            while first := file.readline():
                fields = {}
                while (line := file.readline().decode().strip()) != "":
                    name, _, value = line.partition(":")
                    fields[name.lower()] = value.strip()
                left = int(fields.get("content-length", 0))
                while left:
                    left -= len(file.read(min(left, BLOCK_BYTES)))
                size = int(first.split()[1].rpartition(b"/")[2])
                head = (
                    "HTTP/1.1 200 OK\r\n"
                    f"Turmericreel-Attempt-Id: "
                    f"{fields.get('turmericreel-attempt-id', '')}\r\n"
                    "Turmericreel-Backend-Signature: s1\r\n"
                    f"Content-Length: {size}\r\n\r\n"
                )
                sock.sendall(head.encode() + b"x" * size)


def call(address: str, method: str, path: str, body: bytes = b"", **header) -> tuple:
    """Send one request on a new connection; return its status and its body."""
    host, _, port = address.rpartition(":")
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", "Connection: close"]
    lines += [f"{name.replace('_', '-')}: {value}" for name, value in header.items()]
    lines += [f"Content-Length: {len(body)}", "", ""]
    with create_connection((host, int(port)), timeout=HANG_S) as sock:
        sock.sendall("\r\n".join(lines).encode() + body)
        received = bytearray()
        while block := sock.recv(BLOCK_BYTES):
            received += block
    head, _, answered = bytes(received).partition(b"\r\n\r\n")
    if not head:
        raise OSError("no answer")
    return int(head.split()[1]), answered


def wait_until(condition: Callable[[], bool], what: str) -> None:
    """Wait until a condition holds, ignoring connections that fail."""
    deadline = monotonic() + HANG_S
    while True:
        with suppress(OSError):
            if condition():
                return
        if monotonic() > deadline:
            raise AssertionError(f"timed out waiting for {what}")
        sleep(0.05)


class SmallFleet:
    """A gateway and a coordinator as processes, before one backend server.

    Parameters
    ----------
    folder : Path
    memory_mb, max_fds : int
        Limits that the settings of both processes state.
    """

    def __init__(self, *, folder: Path, memory_mb: int, max_fds: int):
        block = f"127.{random.randrange(16, 240)}.{random.randrange(1, 250)}"
        self.host = f"{block}.1"
        self.listen = {name: f"{self.host}:{port}" for name, port in PORTS.items()}
        # The coordinator has an address of its own, so that its bytes are told apart.
        self.control_host = f"{block}.2"
        self.control = f"{self.control_host}:{PORTS['ControlPlane']}"
        limits = {"MemoryMb": memory_mb, "MaxFds": max_fds}
        self.gateway = self._process(
            "gateway", self.host, self.listen, folder=folder, limits=limits
        )
        self.coordinator = self._process(
            "coordinator",
            self.control_host,
            {"ControlPlane": self.control},
            folder=folder,
            limits=limits,
        )
        self.server = SizedServer(host=f"{block}.3")
        self.heartbeats = None

    def _process(self, role, host, listen, *, folder, limits) -> PlatformProcess:
        settings = {
            "NodeName": host,
            "Ip": host,
            "Zone": "a",
            "Listen": listen,
            "InternalPortRange": [7340, 7355],
            "SeedNodes": [self.control],
            "Bootstrap": True,
            "DataDir": str(folder / role) if role == "coordinator" else None,
            "HeartbeatMs": int(HEARTBEAT_S * 1_000),
            "Limits": limits,
            "Bounds": {"GraceS": 3, "RetryBudgetRatio": 0.9, "ttl_max_s": 5},
        }
        return PlatformProcess(
            program=f"turmericreel.platform.{role}",
            host=host,
            folder=folder,
            settings=settings,
        )

    def start(self) -> None:
        """Start the processes, and wait until a request is served."""
        self.coordinator.start()
        self.gateway.start()
        wait_until(self._configure, "the configuration")
        self.heartbeats = spawn(self._send_heartbeats)
        wait_until(self.serves, "the service")

    def _configure(self) -> bool:
        route = {
            "Name": "plain",
            "Hostname": HOST,
            "PathPrefix": "/plain/",
            "RouteType": "unsafe",
            "TimeoutMs": 60_000,
            "TargetLatencyMs": 300,
            "Priority": 1,
            "Backend": "app",
            "MaxAttempts": 1,
            "Public": True,
        }
        configuration = {
            "Version": 1,
            "Routes": [route],
            "Backends": [
                {"Name": "app", "HealthCheck": "/0", "MaxConnections": 380},
            ],
            "Limits": {
                "MaxHeaderBytes": MAX_HEADER_BYTES,
                "MaxBodyBytes": MAX_BODY_BYTES,
                "HeaderTimeoutMs": 60_000,
                "IdleTimeoutMs": 60_000,
            },
        }
        body = msgspec.json.encode(configuration)
        return call(self.control, "PUT", "/-/configuration", body)[0] == 200

    def _send_heartbeats(self) -> None:
        for sequence in count(1):
            heartbeat = {
                "Backend": "app",
                "Address": self.server.address,
                "Zone": "a",
                "Version": "v1",
                "Slots": 64,
                "State": "ready",
                "Sequence": sequence,
                "born": 1,
            }
            with suppress(OSError):
                call(
                    self.control,
                    "PUT",
                    "/-/instances/s1",
                    msgspec.json.encode(heartbeat),
                )
            sleep(HEARTBEAT_S)

    def serves(self, body: bytes = b"x") -> bool:
        """Return whether one ordinary request on a new connection is served."""
        status, answered = call(
            self.listen["Frontend"],
            "POST",
            "/plain/2",
            body,
            Turmericreel_Attempt_Id=f"{random.getrandbits(64):016x}",
            Turmericreel_Deadline_Ms="30000",
        )
        return (status, answered) == (200, b"xx")

    def is_ready(self) -> bool:
        """Return whether the gateway says that it is ready."""
        return call(self.listen["Readiness"], "GET", "/-/readiness")[0] == 200

    def lists_gateway(self) -> bool:
        """Return whether the gateway answers an address look-up."""
        path = "/-/resolution?Name=shop.example&Region=r&Zone=a"
        return call(self.listen["Directory"], "GET", path)[0] == 200

    def stop(self) -> None:
        """End everything that was started."""
        if self.heartbeats is not None:
            self.heartbeats.kill()
        for process in (self.gateway, self.coordinator):
            if process.process is not None:
                process.kill()
        self.server.listener.stop(timeout=0)


def head_of(method: str, path: str, *fields: str) -> bytes:
    """Return the head of a request."""
    lines = [f"{method} {path} HTTP/1.1", f"Host: {HOST}", *fields, "", ""]
    return "\r\n".join(lines).encode()


def send_one_piece(sock: socket, path: str) -> None:
    """Send a body of legal size but for its last byte, and stay."""
    sock.sendall(head_of("POST", path, f"Content-Length: {MAX_BODY_BYTES}"))
    sock.sendall(b"p" * (MAX_BODY_BYTES - 1))


def send_small_pieces(sock: socket, path: str) -> None:
    """Send a body of legal size in small pieces, but for its last one, and stay."""
    sock.sendall(head_of("POST", path, f"Content-Length: {MAX_BODY_BYTES}"))
    for _ in range(MAX_BODY_BYTES // 1_024 - 1):
        sock.sendall(b"p" * 1_024)


def send_chunks(sock: socket, path: str) -> None:
    """Send a body of legal size in chunks, but for the last one, and stay."""
    sock.sendall(head_of("POST", path, "Transfer-Encoding: chunked"))
    for _ in range(MAX_BODY_BYTES // BLOCK_BYTES):
        sock.sendall(b"%x\r\n%b\r\n" % (BLOCK_BYTES, b"p" * BLOCK_BYTES))


def send_tiny_chunks(sock: socket, path: str) -> None:
    """Send a body in chunks of two bytes, but for the last one, and stay."""
    sock.sendall(head_of("POST", path, "Transfer-Encoding: chunked"))
    for _ in range(64):
        sock.sendall(b"2\r\npp\r\n" * 4_096)


def send_long_body(sock: socket, path: str) -> None:
    """Send a body far over the limit, with its length."""
    size = 16 * MAX_BODY_BYTES
    sock.sendall(head_of("POST", path, f"Content-Length: {size}"))
    for _ in range(size // BLOCK_BYTES):
        sock.sendall(b"p" * BLOCK_BYTES)


def send_endless_chunks(sock: socket, path: str) -> None:
    """Send a body far over the limit in chunks."""
    sock.sendall(head_of("POST", path, "Transfer-Encoding: chunked"))
    for _ in range(16 * MAX_BODY_BYTES // BLOCK_BYTES):
        sock.sendall(b"%x\r\n%b\r\n" % (BLOCK_BYTES, b"p" * BLOCK_BYTES))


def send_many_fields(sock: socket, path: str) -> None:
    """Send a head of legal size with very many short fields, but for its end."""
    n_fields = (MAX_HEADER_BYTES - 200) // 6
    fields = [f"{n % 100:02d}:" for n in range(n_fields)]
    sock.sendall(head_of("POST", path, *fields)[:-2])


def send_ahead(sock: socket, path: str) -> None:
    """Send many requests ahead without reading the answers."""
    head = head_of("POST", f"{path}", "Content-Length: 2000")
    for _ in range(4_000):
        sock.sendall(head + b"p" * 2_000)


def send_half_a_head(sock: socket, path: str) -> None:
    """Send a head but for its end, and stay."""
    field = "X-Long: " + "p" * (MAX_HEADER_BYTES - 2_000)
    sock.sendall(head_of("POST", path, field)[:-4])


def trickle(sock: socket, path: str) -> None:
    """Send half of a body, and go on very slowly."""
    sock.sendall(head_of("POST", path, f"Content-Length: {MAX_BODY_BYTES}"))
    sock.sendall(b"p" * (MAX_BODY_BYTES // 2))
    while True:
        sock.sendall(b"p")
        sleep(0.2)


def read_slowly(sock: socket, path: str) -> None:
    """Ask for a long answer at some time, and read it very slowly."""
    sleep(random.uniform(0.0, 3.0))
    path = path.rpartition("/")[0] + f"/{MAX_BODY_BYTES}"
    sock.sendall(head_of("POST", path, "Content-Length: 1") + b"p")
    while sock.recv(16):
        sleep(0.2)


CROWDS = {
    "one_piece": (send_one_piece, 40),
    "small_pieces": (send_small_pieces, 40),
    "chunks": (send_chunks, 40),
    "tiny_chunks": (send_tiny_chunks, 16),
    "long_bodies": (send_long_body, 20),
    "endless_chunks": (send_endless_chunks, 40),
    "many_fields": (send_many_fields, 400),
    "sent_ahead": (send_ahead, 40),
    "half_a_head": (send_half_a_head, 400),
    "trickle": (trickle, 60),
    "slow_readers": (read_slowly, 40),
}


@contextmanager
def crowd(address: str, path: str, send: Callable, n_clients: int) -> Iterator[list]:
    """Let clients send at once; they stay open until the end of the block.

    It yields the tasks of the clients, which end when their doing has ended.
    """
    host, _, port = address.rpartition(":")

    def run(sock: socket) -> None:
        with suppress(OSError):
            sock.connect((host, int(port)))
            send(sock, path)

    with ExitStack() as stack:
        tasks = []
        for _ in range(n_clients):
            sock = stack.enter_context(socket())
            # Otherwise the kernel would take whole answers for a client.
            sock.setsockopt(SOL_SOCKET, SO_RCVBUF, 4_096)
            sock.settimeout(HANG_S)
            tasks.append(spawn(run, sock))
        try:
            yield tasks
        finally:
            for task in tasks:
                task.kill()
