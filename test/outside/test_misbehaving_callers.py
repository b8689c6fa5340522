"""Callers that misbehave do not end the entry process, and others are still served.

The process is a real one on a loopback address, with the limits of a small machine.
"""

import os
import random
import sys
from contextlib import suppress
from pathlib import Path
from subprocess import Popen

import pytest
from gevent import joinall

from test.crowds import (
    BLOCK_BYTES,
    CROWDS,
    MAX_BODY_BYTES,
    Watch,
    call,
    crowd,
    head_of,
    wait_until,
)

MEMORY_MB = 150
MAX_DESCRIPTORS = 500
MB = 2**20
CROWD_S = 4.0
SETTINGS = """
[instance]
id = "solo"
data_centre = "local"
data_folder = "{folder}"
[listen]
http = "{host}:7080"
control = "{host}:0"
metrics = "{host}:0"
[limits]
connections = 300
header_timeout_ms = 60000
body_timeout_ms = 60000
"""


@pytest.fixture
def entry(tmp_path):
    """Yield the host and the running process of one instance."""
    host = f"127.{random.randrange(16, 240)}.{random.randrange(1, 250)}.1"
    settings = tmp_path / "settings.toml"
    settings.write_text(SETTINGS.format(folder=tmp_path / "data", host=host))
    with (tmp_path / "out").open("ab") as log:
        process = Popen(
            [sys.executable, "-m", "turmericreel", "serve", "--settings", settings],
            env=os.environ,
            stdout=log,
            stderr=log,
            cwd=Path(__file__).parents[2],
        )
    try:
        wait_until(lambda: is_served(host), "the start")
        yield host, process
    finally:
        process.kill()
        process.wait()


def is_served(host: str) -> bool:
    """Return whether one ordinary request is answered."""
    return call(f"{host}:7080", "GET", "/healthz")[0] == 200


def send_short_values(sock, path: str) -> None:
    """Send a whole body of legal size that is made of very many short values."""
    start = b'{"model": "helper-llm", "messages": [{"role": "user", "content": ['
    n_values = (MAX_BODY_BYTES - 200) // 3
    body = start + b"{}," * n_values + b"{}]}]}"
    sock.sendall(head_of("POST", path, f"Content-Length: {len(body)}") + body)
    with suppress(OSError):
        sock.recv(BLOCK_BYTES)


KINDS = {**CROWDS, "short_values": (send_short_values, 8)}
PATHS = {
    "route": "/v1/chat/completions",
    "no_route": "/none",
    "readiness": "/healthz",
}


@pytest.mark.parametrize("path", PATHS)
@pytest.mark.parametrize("kind", KINDS)
def test_crowd_is_borne_at_the_entry(entry, kind, path):
    host, process = entry
    send, n_clients = KINDS[kind]
    watch = Watch(pid=process.pid, host=host)
    with crowd(f"{host}:7080", PATHS[path], send, n_clients) as tasks:
        joinall(tasks, timeout=CROWD_S)
        wait_until(lambda: is_served(host), "an ordinary request")
        print(f"peak {watch.max_bytes / MB:.1f} MB, {watch.max_descriptors} open")
        assert process.poll() is None
        assert watch.max_bytes <= MEMORY_MB * MB
        assert watch.max_descriptors <= MAX_DESCRIPTORS
