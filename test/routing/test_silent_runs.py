"""Silent runs are given up only on evidence, and where another attempt may follow."""

import socket
from collections import deque
from math import inf

import pytest
from gevent import joinall, sleep, spawn

from test.routing.small_system import small_system, stream_route, wait_until
from test.routing.test_small_day import EVENTS, stream
from turmericreel.entry.server_connections import ServerConnection
from turmericreel.fakes.routed_server import Misbehaviour
from turmericreel.gateway.forwarded_answer import ForwardedAnswer
from turmericreel.gateway.server_loads import ServerLoad
from turmericreel.protocols.addresses import Address
from turmericreel.util.clock import SystemClock

DECISIONS = "turmericreel.decisions.stream_silence"
TIMEOUT_MS = 5_000
ALLOWED_PAUSE_MS = 100
N_CALLERS = 8
ADDRESS = Address(host="127.0.0.1", port=1)


@pytest.fixture
def system(tmp_path, monkeypatch):
    monkeypatch.setattr(f"{DECISIONS}.MIN_RUN_SILENCE_S", 0.3)
    with small_system(tmp_path) as running:
        yield running


def paused_route(**options):
    options = {"timeout_ms": TIMEOUT_MS, "max_attempts": 2, **options}
    return stream_route(event_gap_target_ms=ALLOWED_PAUSE_MS, **options)


def keep_calling(system, *, until, apart_s: float = 0.0) -> list:
    """Return the answers of several callers that send streams one after the other."""
    answers = []

    def call(number: int) -> None:
        sleep(number * apart_s)
        while not until():
            answers.append(stream(system)[2])

    joinall([spawn(call, number) for number in range(N_CALLERS)], raise_error=True)
    return answers


def n_given_up(system) -> float:
    counter = system.gateways[0].dispatcher.silent_runs.metrics.silent_runs
    (metric,) = counter.labels(is_given_up="true").collect()
    return metric.samples[0].value


def resumed_after(system) -> list[str]:
    return [r[2] for s in system.servers.values() for r in s.runs if r[2]]


def test_stuck_run_is_resumed_while_its_server_goes_on_with_others(system):
    # Guards against the bytes of other runs that keep a stuck one waiting.
    system.submit(paused_route())
    servers = [system.add_server(name, event_pause_s=0.01) for name in ("s1", "s2")]
    for server in servers:
        server.misbehaviours.append(Misbehaviour.SILENT_WITHIN)
    answers = keep_calling(system, until=lambda: len(resumed_after(system)) == 2)
    assert set(answers) == {EVENTS}
    assert resumed_after(system) == ["2", "2"]
    assert n_given_up(system) == 2


def test_slow_runs_of_a_busy_server_are_not_resumed(system):
    # Guards against second prefills that a full engine has to do as well.
    system.submit(paused_route())
    server = system.add_server("s1", event_pause_s=0.4)
    system.add_server("s2")
    # All runs go to the first one, and could be resumed at the second.
    system.gateways[0].chooser.loads.of("s2").pause_deadline = inf
    n_runs = 3 * N_CALLERS
    callers = spawn(
        keep_calling, system, until=lambda: len(server.runs) >= n_runs, apart_s=0.05
    )
    wait_until(lambda: len(server.runs) >= n_runs, "the runs")
    assert resumed_after(system) == []
    assert set(callers.get()) == {EVENTS}


def test_last_attempt_is_not_given_up_for_silence(system):
    # Guards against a failure in place of an answer that still comes.
    system.submit(paused_route(max_attempts=1))
    server = system.add_server("s1")
    server.n_places, server.work_s = 4, 1.5
    assert stream(system)[2] == EVENTS
    assert len(server.runs) == 1
    assert system.gateways[0].dispatcher.budget.retries == deque()


def test_silent_attempt_is_not_given_up_without_another_server(system):
    system.submit(paused_route(max_attempts=3))
    server = system.add_server("s1")
    server.n_places, server.work_s = 4, 1.5
    assert stream(system)[2] == EVENTS
    assert len(server.runs) == 1


def test_route_without_a_declared_pause_gives_silent_attempts_up_as_before(system):
    system.submit(stream_route(timeout_ms=TIMEOUT_MS, max_attempts=1))
    server = system.add_server("s1")
    server.n_places, server.work_s = 4, 1.5
    assert stream(system)[0] == 502


def test_silent_attempt_is_given_up_where_another_server_is_left(system):
    system.submit(paused_route())
    servers = [system.add_server(name) for name in ("s1", "s2")]
    servers[0].misbehaviours.extend([Misbehaviour.SILENT] * 20)
    for _ in range(20):
        assert stream(system)[2] == EVENTS
        if servers[0].runs:
            break
    assert servers[0].runs


def test_retry_that_was_reserved_is_taken_from_the_budget_once(system):
    system.submit(paused_route())
    servers = [system.add_server(name) for name in ("s1", "s2")]
    silent = Misbehaviour.SILENT
    servers[0].misbehaviours.append(silent)
    servers[1].misbehaviours.append(silent)
    n_before = len(system.gateways[0].dispatcher.budget.retries)
    spawn(stream, system).join(1.5)
    assert len(system.gateways[0].dispatcher.budget.retries) == n_before + 1


@pytest.mark.parametrize("pause_s", [0.0, 0.4])
def test_server_is_not_silent_while_its_events_are_not_read(pause_s):
    # Guards against a sound run that is given up because its client is slow.
    near, far = socket.socketpair()
    answer = ForwardedAnswer(
        load=ServerLoad(),
        connection=ServerConnection(address=ADDRESS, sock=near, opened_at=0.0),
        method="GET",
        clock=SystemClock(),
        deadline=SystemClock().monotonic() + 10.0,
    )
    far.sendall(b"HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nans")
    answer.read_header()
    answer.set_idle_timeout(0.1)
    blocks = answer.blocks(idle_timeout_s=0.1)
    assert next(blocks) == b"ans"
    sleep(pause_s)
    far.sendall(b"wer")
    assert b"".join(blocks) == b"wer"
    answer.close()
    far.close()
