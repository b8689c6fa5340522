"""Tests of graceful stops: a rolling restart under load must not cut off requests."""

from dataclasses import dataclass, field
from io import BytesIO

import msgspec
import pytest
from gevent import joinall, killall, sleep, spawn

from test.library import (
    TEXT,
    chat_body,
    http_call,
    solo_settings,
    start_fake,
    wait_until,
)
from turmericreel.daemon.drain import Drain
from turmericreel.daemon.instance import Instance
from turmericreel.entry import address_handlers
from turmericreel.fakes.backend_server import FakeBehaviour
from turmericreel.model.ids import InstanceId
from turmericreel.ui.operator_client import OperatorClient
from turmericreel.util.clock import SystemClock
from turmericreel.util.statechart import Chart, unreachable_states

OPERATOR_KEY = "tr_operator"
VALIDITY_MS = 400
LEASE_MS = 1_500
N_ENTRIES = 3
N_CALLERS = 4
RETRY_PERIOD_S = 5.0
PAUSE_S = 0.002


@dataclass(kw_only=True)
class Fleet:
    """One control instance and several entry instances in this process."""

    folder: object
    control: Instance
    entries: list[Instance] = field(default_factory=list)
    fakes: list = field(default_factory=list)
    n_started: int = 0

    def start_entry(self) -> Instance:
        """Start another entry instance and wait for its lease."""
        self.n_started += 1
        settings = solo_settings(self.folder)
        name = InstanceId(f"entry-{self.n_started}")
        port = self.control.control_service.port
        settings = msgspec.structs.replace(
            settings,
            instance=msgspec.structs.replace(
                settings.instance, id=name, roles=("entry",)
            ),
            control=msgspec.structs.replace(
                settings.control,
                peers={InstanceId("solo"): f"127.0.0.1:{port}"},
                lease_ms=LEASE_MS,
            ),
        )
        entry = Instance(settings=settings, clock=SystemClock())
        entry.start()
        self.entries.append(entry)
        wait_until(entry.control_client.lease_valid, what="lease")
        return entry

    def addresses(self) -> list[str]:
        """Return the addresses of the entry instances in this fleet."""
        return [str(entry.http_address) for entry in self.entries]


@pytest.fixture
def fleet(tmp_path, monkeypatch):
    monkeypatch.setattr(address_handlers, "ADDRESS_VALIDITY_MS", VALIDITY_MS)
    settings = solo_settings(tmp_path)
    control = Instance(
        settings=msgspec.structs.replace(
            settings,
            control=msgspec.structs.replace(settings.control, lease_ms=LEASE_MS),
        ),
        clock=SystemClock(),
    )
    control.start()
    control_address = str(control.http_address)
    operator = OperatorClient(address=control_address, key=OPERATOR_KEY)
    operator.submit(submission="first", base_revision=0, text=TEXT)
    fleet = Fleet(folder=tmp_path, control=control)
    behaviour = FakeBehaviour(n_tokens=8, between_tokens_ms=10.0)
    fleet.fakes = [
        start_fake(f"oven-{n}", "helper-llm", ["small"], [control_address], behaviour)
        for n in range(2)
    ]
    for _ in range(N_ENTRIES):
        fleet.start_entry()
    for entry in fleet.entries:
        view = entry.control_client.view
        wait_until(lambda view=view: len(view.servers) == 2, what="servers known")
        wait_until(entry.control_client.lease_valid, what="lease held")
    yield fleet
    for fake in fleet.fakes:
        fake.stop()
    for entry in fleet.entries:
        entry.stop()
    control.stop()


def test_instance_without_others_lists_itself(fleet: Fleet):
    entry = fleet.entries[0]
    entry.control_client.view.instances = ()
    answer = http_call(str(entry.http_address), "GET", "/v1/addresses")
    assert answer.json()["addresses"] == [str(entry.http_address)]


class Caller:
    """Sends requests by a cached address list, which it refreshes on expiry."""

    def __init__(self, *, fleet: Fleet, number: int):
        self.fleet = fleet
        self.number = number
        self.addresses: list[str] = []
        self.valid_until = 0.0
        self.n_completed = 0
        self.n_cut = 0
        self.n_refused = 0
        self.stopped = False

    def run(self) -> None:
        """Send requests until `stopped` is set."""
        while not self.stopped:
            self._refresh()
            self._send_request()
            sleep(PAUSE_S)

    def _refresh(self) -> None:
        now = SystemClock().monotonic()
        if now < self.valid_until:
            return
        # The instances of the cached list come first, as in the client library.
        for address in [*self.addresses, *self.fleet.addresses()]:
            try:
                listed = http_call(address, "GET", "/v1/addresses")
            except OSError:
                continue
            if listed.status != 200:
                # An instance that has just started does not hold a lease yet.
                continue
            answer = listed.json()
            self.addresses = answer["addresses"]
            self.valid_until = now + answer["valid_ms"] / 1_000
            return

    def _send_request(self) -> None:
        deadline = SystemClock().monotonic() + RETRY_PERIOD_S
        while SystemClock().monotonic() < deadline:
            if self._try_each_address():
                return
            # A 503 (`NotRun` with a retry time) is temporary, so it is no refusal.
            sleep(0.1)
            self._refresh()
        self.n_refused += 1

    def _try_each_address(self) -> bool:
        body = chat_body(f"{self.number} {self.n_completed}", stream=True)
        first = self.number % max(len(self.addresses), 1)
        n_reachable = 0
        for address in self.addresses[first:] + self.addresses[:first]:
            try:
                answer = http_call(address, "POST", "/v1/chat/completions", body=body)
            except ConnectionRefusedError:
                continue
            except Exception:
                self.n_cut += 1
                return True
            n_reachable += 1
            if answer.status == 503:
                continue
            whole = answer.body.endswith(b"data: [DONE]\n\n")
            self.n_completed += whole
            self.n_cut += not whole
            return True
        self.n_refused += not n_reachable
        return False


def test_rolling_restart_cuts_off_and_refuses_no_request(fleet: Fleet):
    callers = [Caller(fleet=fleet, number=n) for n in range(N_CALLERS)]
    tasks = [spawn(caller.run) for caller in callers]
    sleep(0.2)
    reports = []
    for old in list(fleet.entries):
        fleet.start_entry()
        drain = Drain(
            instance=old,
            deadline_ms=20_000,
            clock=SystemClock(),
            validity_ms=VALIDITY_MS,
        )
        fleet.entries.remove(old)
        reports.append(drain.run())
    sleep(0.2)
    for caller in callers:
        caller.stopped = True
    joinall(tasks, raise_error=True)
    assert [(r.n_cut, r.n_unsettled) for r in reports] == [(0, 0)] * N_ENTRIES
    assert sum(caller.n_cut for caller in callers) == 0
    assert sum(caller.n_refused for caller in callers) == 0
    n_completed = sum(caller.n_completed for caller in callers)
    assert n_completed > N_CALLERS * N_ENTRIES
    ledger = fleet.control.log.machine.ledger
    wait_until(lambda: not ledger.intents, what="all settled")
    assert ledger.n_final + len(ledger.provisional) == n_completed
    assert ledger.counts.n_expired == 0


def test_stop_at_deadline_reports_requests_cut_off(fleet: Fleet):
    for fake in fleet.fakes:
        fake.behaviour.n_tokens = 10_000
    entry = fleet.entries[0]
    body = chat_body("long", stream=True, max_tokens=10_000)
    address = str(entry.http_address)
    call = spawn(http_call, address, "POST", "/v1/chat/completions", body=body)
    wait_until(lambda: entry.request_path.n_running == 1, what="running")
    report = Drain(instance=entry, deadline_ms=100, clock=SystemClock()).run()
    assert report.n_cut == 1
    assert "1 requests cut off" in report.describe()
    call.kill()
    fleet.entries.remove(entry)


def test_no_late_request_is_cut_at_the_deadline_of_a_stop(fleet: Fleet):
    for fake in fleet.fakes:
        fake.behaviour.between_tokens_ms = 50.0
    entry = fleet.entries.pop()
    address = str(entry.http_address)
    statuses = []

    def call_until_stopped(number: int) -> None:
        while True:
            body = chat_body(f"{number} {len(statuses)}", stream=True)
            try:
                answer = http_call(address, "POST", "/v1/chat/completions", body=body)
            except Exception:
                return
            statuses.append(answer.status)

    calls = [spawn(call_until_stopped, n) for n in range(N_CALLERS)]
    wait_until(lambda: len(statuses) >= 4 * N_CALLERS, what="answers")
    drain = Drain(
        instance=entry, deadline_ms=2_500, clock=SystemClock(), validity_ms=30_000
    )
    assert drain.run().n_cut == 0
    assert set(statuses) <= {200, 503}
    killall(calls)


def test_stop_waits_for_a_stream_that_outlasts_the_address_lists(fleet: Fleet):
    for fake in fleet.fakes:
        fake.behaviour.n_tokens = 60
        fake.behaviour.between_tokens_ms = 50.0
    entry = fleet.entries.pop()
    body = chat_body("long", stream=True)
    address = str(entry.http_address)
    call = spawn(http_call, address, "POST", "/v1/chat/completions", body=body)
    wait_until(lambda: entry.request_path.n_running == 1, what="running")
    drain = Drain(
        instance=entry, deadline_ms=30_000, clock=SystemClock(), validity_ms=0
    )
    assert drain.run().n_cut == 0
    assert call.get().body.endswith(b"data: [DONE]\n\n")


def test_stop_waits_until_all_is_settled(fleet: Fleet):
    entry = fleet.entries.pop()
    drain = Drain(
        instance=entry, deadline_ms=30_000, clock=SystemClock(), validity_ms=0
    )
    send_once = entry.settlements.send_once

    def send_when_drained(batch) -> bool:
        return drain.chart.state == "settling" and send_once(batch)

    entry.settlements.send_once = send_when_drained
    answer = http_call(
        str(entry.http_address), "POST", "/v1/chat/completions", body=chat_body("x")
    )
    assert answer.status == 200
    assert entry.settlements.n_pending == 1
    assert drain.run().n_unsettled == 0
    ledger = fleet.control.log.machine.ledger
    assert ledger.n_final == 1


def test_chart_reaches_every_state():
    chart = Chart(package="turmericreel.daemon", name="drain")
    assert unreachable_states(chart.definition) == set()


def test_late_caller_is_refused_at_once_while_a_stream_runs(fleet: Fleet):
    # Guards against connections that the kernel accepts and nobody reads.
    for fake in fleet.fakes:
        fake.behaviour.n_tokens = 40
        fake.behaviour.between_tokens_ms = 50.0
    entry = fleet.entries.pop()
    address = str(entry.http_address)
    body = chat_body("long", stream=True)
    call = spawn(http_call, address, "POST", "/v1/chat/completions", body=body)
    wait_until(lambda: entry.request_path.n_running == 1, what="running")
    drain = Drain(
        instance=entry, deadline_ms=30_000, clock=SystemClock(), validity_ms=0
    )
    draining = spawn(drain.run)
    wait_until(lambda: drain.chart.state == "finishing", what="no list is valid")
    late = http_call(address, "POST", "/v1/chat/completions", body=chat_body("late"))
    assert late.status == 503
    assert draining.get().n_cut == 0
    assert call.get().body.endswith(b"data: [DONE]\n\n")


def test_stop_counts_an_answer_until_it_is_written(fleet: Fleet):
    # Guards against an answer that is cut because its caller reads it slowly.
    entry = fleet.entries[0]
    application = entry.http_server.application
    answer = application(
        {"REQUEST_METHOD": "GET", "PATH_INFO": "/healthz", "wsgi.input": BytesIO()},
        lambda status, header: None,
    )
    assert application.n_open == 1
    assert list(answer)
    answer.close()
    assert application.n_open == 0
