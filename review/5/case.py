"""A client's request states two lengths, and its body looks like another request."""

import socket
import sys
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import (  # noqa: E402
    CONTACT_S,
    HOST,
    KEY,
    Client,
    route,
    run_case,
)

WAIT_S = 1.0


def answer(worker, request) -> bool:
    """Answer at once."""
    request.sock.sendall(worker.head(request, Content_Length=2) + b"ok")
    return True


def head(attempt: str, *lengths: str) -> str:
    """Return the head of a booking."""
    lines = [
        "POST /book/1 HTTP/1.1",
        f"Host: {HOST}",
        f"Turmericreel-Attempt-Id: {attempt}",
        "Turmericreel-Deadline-Ms: 1500",
        f"Turmericreel-Key: {KEY}",
        *lengths,
    ]
    return "\r\n".join([*lines, "", ""])


def exchange(machine, data: bytes) -> bytes:
    """Send bytes on a connection, and return what comes back in a while."""
    host, _, port = machine.listen["Frontend"].rpartition(":")
    received = b""
    with socket.create_connection((host, int(port)), timeout=WAIT_S) as sock:
        sock.sendall(data)
        try:
            while block := sock.recv(65_536):
                received += block
        except OSError:
            pass
    return received


def play(fleet, trouble) -> bool:
    """Return whether the rule was broken."""
    for n in range(3):
        fleet.add_worker(f"i-{n}", "app", answer)
    routes = [
        route("book", "/book/", "unsafe", "app", TimeoutMs=1_500),
        route("look", "/look/", "safe", "app", MaxAttempts=2),
    ]
    fleet.order("PUT", "/-/configuration", fleet.configuration(routes, ["app"]))
    fleet.wait_for_service("/look/1")
    time.sleep(CONTACT_S + 0.5)
    sent, smuggled = Client.new_id(), Client.new_id()
    # A note in a booking, which holds the text of a request.
    body = head(smuggled, "Content-Length: 0")
    lengths = [f"Content-Length: {len(body)}"]
    if trouble:
        lengths.insert(0, "Content-Length: 0")
    data = (head(sent, *lengths) + body).encode()
    fleet.record.write(f"send attempt={sent}, with attempt={smuggled} in its body")
    received = exchange(fleet.machines[0], data)
    fleet.record.write(f"received {received!r}")
    runs = [run for worker in fleet.workers for run in worker.runs]
    n_smuggled = sum(run.attempt == smuggled for run in runs)
    n_changed = sum(run.attempt == sent and run.body != body.encode() for run in runs)
    summary = f"smuggled requests run: {n_smuggled}, bodies changed: {n_changed}"
    fleet.record.write(summary)
    print(summary)
    return n_smuggled > 0


run_case(Path(__file__).resolve().parent, play)
