"""A machine is stopped while some clients still use an address list with it."""

import json
import random
import sys
import threading
import time
from pathlib import Path
from signal import SIGTERM

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import CONTACT_S, Client, call, route, run_case  # noqa: E402

TIMEOUT_MS = 800
DEADLINE_MS = 1_500
# After its route's time-out, a request must have its final answer within this time.
ANSWER_S = 0.5
MAX_UNANSWERED = 7
N_CLIENTS = 30
# Of the clients, those that keep an address list for three times as long as it says.
N_SLOW_CLIENTS = 20
PAUSE_S = 0.3
STREAM_S = 6.0
N_EVENTS = 60
LAST_REQUEST_S = 6.0


def answer(worker, request) -> bool:
    """Answer a booking soon, and a stream over some seconds."""
    if not request.target.startswith("/chat/"):
        time.sleep(0.03)
        request.sock.sendall(worker.head(request, Content_Length=2) + b"ok")
        return True
    head = worker.head(
        request, Content_Type="text/event-stream", Transfer_Encoding="chunked"
    )
    request.sock.sendall(head)
    for number in range(1, N_EVENTS + 1):
        event = b"id: %d\ndata: %d\n\n" % (number, number)
        request.sock.sendall(b"%x\r\n%b\r\n" % (len(event), event))
        time.sleep(STREAM_S / N_EVENTS)
    request.sock.sendall(b"0\r\n\r\n")
    return True


class Play:
    """One play of the case; times are in seconds after the stop began."""

    def __init__(self, fleet, stopped):
        self.fleet = fleet
        self.stopped = stopped
        self.by_address = {m.listen["Frontend"]: m for m in fleet.machines}
        self.began = 0.0
        self.n_late = 0
        self.unanswered: list[str] = []

    def read_list(self) -> tuple[list, float]:
        """Return an address list and for how long it counts, in seconds."""
        for machine in random.sample(self.fleet.machines, len(self.fleet.machines)):
            try:
                path = "/-/resolution?Name=shop.example&Region=r&Zone=a"
                status, _, body = call(machine.listen["Directory"], "GET", path)
            except OSError:
                continue
            if status == 200:
                found = json.loads(body)
                return found["Addresses"], min(found["TtlS"], 5.0)
        return [], 0.0

    def book(self, *, factor: float, addresses: list, ttl_s: float) -> None:
        """Send bookings, each on a new connection to an address of the list."""
        expires = self.began + ttl_s * factor * random.uniform(0.8, 1.0)
        failed: set[str] = set()
        while time.monotonic() < self.began + LAST_REQUEST_S:
            if time.monotonic() > expires:
                found, ttl_s = self.read_list()
                addresses = found or addresses
                expires = time.monotonic() + ttl_s * factor
            address = random.choice([a for a in addresses if a not in failed])
            machine = self.by_address[address]
            sent = time.monotonic()
            client = Client(self.fleet, machine, timeout=DEADLINE_MS / 1_000)
            attempt = client.new_id()
            got = client.request(
                "POST", "/book/1", attempt=attempt, body=b"b" * 600, deadline_ms=1_500
            )
            client.close()
            took_s = time.monotonic() - sent
            if not got.status:
                failed.add(address)
            if took_s <= TIMEOUT_MS / 1_000:
                time.sleep(PAUSE_S)
                continue
            self.n_late += 1
            due_s = sent - self.began + TIMEOUT_MS / 1_000 + ANSWER_S
            is_in_touch = machine is not self.stopped or due_s > CONTACT_S
            if took_s > TIMEOUT_MS / 1_000 + ANSWER_S and is_in_touch:
                self.unanswered.append(attempt)
                self.fleet.record.write(
                    f"no answer attempt={attempt} at {machine.host}, sent "
                    f"{sent - self.began:.2f} s after SIGTERM, {took_s:.2f} s ago"
                )


def play(fleet, trouble) -> bool:
    """Return whether the rule was broken."""
    for n in range(3):
        fleet.add_worker(f"i-{n}", "app", answer, slots=64)
    stream = {"TimeoutMs": 20_000, "TargetLatencyMs": 2_000, "StreamResume": True}
    routes = [
        route("book", "/book/", "unsafe", "app", TimeoutMs=TIMEOUT_MS),
        route("look", "/look/", "safe", "app", MaxAttempts=2),
        route("chat", "/chat/", "streaming", "app", MaxAttempts=3, **stream),
    ]
    fleet.order("PUT", "/-/configuration", fleet.configuration(routes, ["app"]))
    fleet.wait_for_service("/look/1")
    time.sleep(CONTACT_S + 0.5)
    machine = fleet.machines[1]
    case = Play(fleet, machine)
    addresses, ttl_s = case.read_list()
    fleet.record.write(f"address list {addresses}, for {ttl_s} s")
    streams = [
        threading.Thread(
            target=fleet.request,
            args=(machine, "POST", "/chat/1"),
            kwargs={"body": b"c" * 600, "deadline_ms": 20_000},
        )
        for _ in range(2)
    ]
    for thread in streams:
        thread.start()
    time.sleep(0.3)
    case.began = time.monotonic()
    if trouble:
        fleet.record.write(f"SIGTERM to {machine.host}")
        machine.gateway.signal(SIGTERM)
        machine.coordinator.signal(SIGTERM)
    clients = [
        threading.Thread(
            target=case.book,
            kwargs={
                "factor": 3.0 if n < N_SLOW_CLIENTS else 1.0,
                "addresses": addresses,
                "ttl_s": ttl_s,
            },
        )
        for n in range(N_CLIENTS)
    ]
    for thread in clients:
        thread.start()
    for thread in clients + streams:
        thread.join()
    n_unanswered = len(case.unanswered)
    summary = (
        f"bookings longer than their time-out: {case.n_late}; without an answer 0.5 s "
        f"after it, from machines in touch: {n_unanswered} (at most {MAX_UNANSWERED})"
    )
    fleet.record.write(summary)
    print(summary)
    return n_unanswered > MAX_UNANSWERED and n_unanswered > case.n_late / 4


run_case(Path(__file__).resolve().parent, play)
