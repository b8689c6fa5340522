"""Requests that come late in a stop are answered or refused unrun, and never cut."""

from dataclasses import replace
from time import monotonic

import pytest
from gevent import joinall, sleep, spawn

from test.routing.library import make_route
from test.routing.small_system import NAMES, SmallSystem, small_system, stream_route
from turmericreel.decisions.stop_admission import MAX_KINDS, MIN_SAMPLES, StopAdmission
from turmericreel.model.routing import RouteKind

WORK_S = 0.4
N_CLIENTS = 6


class LoopingClient:
    """Sends requests on one connection until it cannot connect any more.

    Attributes
    ----------
    answers : list of tuple
        Attempt id, status, and whether the answer was whole; 0 without an answer.
    """

    def __init__(self, system: SmallSystem, path: str, number: int):
        self.system = system
        self.path = path
        self.number = number
        self.answers: list[tuple[str, int]] = []
        self.is_done = False
        self.task = spawn(self._run)

    def _run(self) -> None:
        sock = stream = None
        while not self.is_done:
            attempt = f"c{self.number}-{len(self.answers)}"
            try:
                if sock is None:
                    sock = self.system.connect()
                    stream = sock.makefile("rb")
                accept = "text/event-stream" if "stream" in self.path else "*/*"
                sock.sendall(
                    f"POST {self.path}{attempt} HTTP/1.1\r\nHost: example\r\n"
                    f"Accept: {accept}\r\nContent-Length: 0\r\n"
                    f"{NAMES.attempt_id}: {attempt}\r\n\r\n".encode()
                )
            except OSError:
                return
            status, closes = read_answer(stream)
            self.answers.append((attempt, status))
            if closes:
                sock.close()
                sock = None
            if status != 200:
                sleep(0.05)


def read_answer(stream) -> tuple[int, bool]:
    """Return the status, 0 unless the answer is whole, and if the connection closes."""
    try:
        first = stream.readline()
        headers = {}
        while (line := stream.readline().strip()) != b"":
            name, _, value = line.decode().lower().partition(": ")
            headers[name] = value
        if not first:
            return 0, True
        if headers.get("transfer-encoding") == "chunked":
            while (size := int(stream.readline() or b"!", 16)) > 0:
                stream.read(size + 2)
            stream.readline()
        else:
            n_bytes = int(headers.get("content-length", "0"))
            if len(stream.read(n_bytes)) < n_bytes:
                return 0, True
    except (OSError, ValueError):
        return 0, True
    return int(first.split()[1]), headers.get("connection") == "close"


@pytest.mark.parametrize("path", ["/unsafe/", "/stream/"])
def test_no_late_request_is_cut_at_the_end_of_a_stop(tmp_path, path):
    with small_system(tmp_path, n_gateways=2) as system:
        system.submit(
            make_route("/unsafe/", kind=RouteKind.UNSAFE, timeout_ms=10_000),
            stream_route(timeout_ms=10_000),
        )
        server = system.add_server("s1", n_events=4, event_pause_s=WORK_S / 4)
        server.n_places, server.n_queued = 100, 100
        server.work_s = WORK_S if path == "/unsafe/" else 0.01
        gateway = system.gateways[0]
        # Clients may keep to their address lists until the end.
        gateway.settings = replace(
            gateway.settings, list_validity_ms=10_000, stop_deadline_ms=2_400
        )
        clients = [LoopingClient(system, path, n) for n in range(N_CLIENTS)]
        sleep(MIN_SAMPLES / N_CLIENTS * WORK_S * 2 + 1.0)
        began = monotonic()
        gateway.stop()
        assert monotonic() - began < 2.4
        # The process ends here, which cuts what still runs.
        assert gateway.application.n_running == 0
        n_answered = sum(len(client.answers) for client in clients)
        gateway.kill()
        for client in clients:
            client.is_done = True
        joinall([client.task for client in clients], timeout=5.0)
        answers = [answer for client in clients for answer in client.answers]
        ran = {attempt for attempt, _, _ in server.runs}
        assert n_answered
        cut = [attempt for attempt, status in answers if status == 0]
        assert not set(cut) & ran
        refused = [attempt for attempt, status in answers if status == 503]
        assert not set(refused) & ran


def test_a_stopping_instance_takes_what_ends_in_time_only():
    admission = StopAdmission()
    assert admission.may_take("r", deadline=1e9, now=0.0)
    admission.deadline = 8.0
    assert not admission.may_take("r", deadline=10.0, now=0.0)
    assert admission.may_take("r", deadline=8.0, now=0.0)
    for _ in range(MIN_SAMPLES):
        admission.record("r", 1.0)
    assert admission.may_take("r", deadline=10.0, now=6.4)
    assert not admission.may_take("r", deadline=10.0, now=6.6)
    assert not admission.may_take("other", deadline=10.0, now=0.0)


def test_what_only_likely_ends_is_refused_once_lists_have_expired():
    # Guards against a long stream that is taken late and cut at the stop deadline.
    admission = StopAdmission()
    for _ in range(MIN_SAMPLES):
        admission.record("r", 1.0)
    admission.deadline, admission.certain_from = 8.0, 1.5
    assert admission.may_take("r", deadline=20.0, now=1.4)
    assert not admission.may_take("r", deadline=20.0, now=1.6)
    assert admission.may_take("r", deadline=3.1, now=1.6)


def test_stop_takes_from_clients_with_expired_lists_what_certainly_ends(tmp_path):
    # Guards against the same in a running gateway.
    with small_system(tmp_path) as system:
        system.submit(
            make_route("/safe/", timeout_ms=200), stream_route(timeout_ms=10_000)
        )
        system.add_server("s1")
        gateway = system.gateways[0]
        gateway.settings = replace(
            gateway.settings, list_validity_ms=500, stop_deadline_ms=6_000
        )
        accept = {"Accept": "text/event-stream"}
        for number in range(MIN_SAMPLES):
            system.call(f"/stream/{number}", method="POST", body=b"x", **accept)
        stopping = spawn(gateway.stop)
        sleep(0.6)
        assert system.call("/safe/1")[0] == 200
        assert system.call("/stream/late", method="POST", body=b"x", **accept)[0] == 503
        stopping.join()


def test_routes_that_come_and_go_cost_bounded_memory():
    admission = StopAdmission()
    for number in range(MAX_KINDS + 10):
        admission.record(f"route-{number}", 0.1)
    assert len(admission.durations) == MAX_KINDS
