"""A worker hands out wrong bytes in place of some of its answers."""

import sys
import threading
import time
from pathlib import Path

sys.path.insert(0, str(Path(__file__).resolve().parent.parent))

from standins import CONTACT_S, Client, route, run_case  # noqa: E402

# One worker in four spoils one answer in `SPOILED_EACH`.
SPOILED_EACH = 50
GARBLE_S = 4.7
N_CLIENTS = 12
WORK_S = 0.045
WRONG_BYTES = (
    b"HTTP/1.1 200 OK\r\nContent-Type: text/html\r\nContent-Length: 26\r\n\r\n"
    b"<html><p>It works!</html>\n"
)


class Garbler:
    """Answers requests; wrong bytes take the place of some answers of one worker."""

    def __init__(self):
        self.garbles = False
        self.n_answers = 0
        self.n_spoiled = 0

    def answer(self, worker, request) -> bool:
        """Run a request and answer it, or send wrong bytes and close."""
        time.sleep(WORK_S)
        if self.garbles and worker.worker == "i-0":
            self.n_answers += 1
            if self.n_answers % SPOILED_EACH == 0:
                self.n_spoiled += 1
                worker.fleet.record.write(f"wrong bytes attempt={request.attempt}")
                request.sock.sendall(WRONG_BYTES)
                return False
        body = f"booked {request.attempt}".encode()
        request.sock.sendall(worker.head(request, Content_Length=len(body)) + body)
        return True


def play(fleet, trouble) -> bool:
    """Return whether the rule was broken."""
    garbler = Garbler()
    for n in range(4):
        fleet.add_worker(f"i-{n}", "app", garbler.answer)
    routes = [
        route("book", "/book/", "unsafe", "app"),
        route("look", "/look/", "safe", "app", MaxAttempts=2),
    ]
    fleet.order("PUT", "/-/configuration", fleet.configuration(routes, ["app"]))
    fleet.wait_for_service("/look/1")
    time.sleep(CONTACT_S + 0.5)
    garbler.garbles = trouble
    deadline = time.monotonic() + GARBLE_S
    unsigned = []

    def send_bookings(number: int) -> None:
        client = Client(fleet, fleet.machines[number % len(fleet.machines)])
        while time.monotonic() < deadline:
            attempt = client.new_id()
            got = client.request(
                "POST", "/book/1", attempt=attempt, body=b"b" * 600, deadline_ms=1_500
            )
            is_signed = "turmericreel-backend-signature" in got.headers
            if got.status // 100 == 2 and not is_signed:
                unsigned.append(attempt)
                fleet.record.write(
                    f"success without signature attempt={attempt} {got.body!r}"
                )
            if not got.status:
                client.close()
                client = Client(fleet, fleet.machines[number % len(fleet.machines)])
        client.close()

    clients = [
        threading.Thread(target=send_bookings, args=(n,)) for n in range(N_CLIENTS)
    ]
    for thread in clients:
        thread.start()
    for thread in clients:
        thread.join()
    summary = (
        f"wrong bytes: {garbler.n_spoiled} of {garbler.n_answers} answers of one "
        f"worker; successes without a signature: {len(unsigned)}"
    )
    fleet.record.write(summary)
    print(summary)
    return bool(unsigned)


run_case(Path(__file__).resolve().parent, play)
