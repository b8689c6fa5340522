"""The captured log alone shows the cause of a failed request."""

import json

import pytest
from eliot import add_destinations, remove_destination
from gevent import spawn
from typer.testing import CliRunner

from test.routing.library import make_route
from test.routing.small_system import NAMES, small_system, wait_until
from turmericreel.fakes.routed_server import Misbehaviour
from turmericreel.model.routing import RouteKind
from turmericreel.reports.explain import explain, read_lines
from turmericreel.ui.commands import app
from turmericreel.util.bounded_log import BoundedLog

SAFE = make_route("/safe/")
UNSAFE = make_route("/unsafe/", kind=RouteKind.UNSAFE)


@pytest.fixture
def log_file(tmp_path):
    path = tmp_path / "gateway.log"
    with path.open("wb") as file:
        log = BoundedLog(fd=file.fileno())
        log.start()
        add_destinations(log)
        yield path
        remove_destination(log)
        log.task.kill()


def call(system, path, request_id, **options):
    headers = {NAMES.attempt_id.replace("-", "_"): request_id}
    return system.call(path, **headers, **options)[0]


def lines_of(path, request_id):
    wait_until(
        lambda: any(
            "refused" in line or "ended" in line
            for line in path.read_text().splitlines()
            if request_id in line
        ),
        "the request's last line",
    )
    found = explain(request_id, read_lines("gateway", path.open("rb")))
    assert found.n_unreadable == 0
    return [(line.message_type, line.fields) for line in found.lines]


def test_a_request_refused_because_all_servers_are_full(tmp_path, log_file):
    with small_system(tmp_path) as system:
        system.submit(SAFE)
        for name in ("s1", "s2"):
            system.add_server(name).misbehaviours.append(Misbehaviour.REFUSE)
        assert call(system, "/safe/1", "full-1") == 503
    lines = lines_of(log_file, "full-1")
    failures = [f["failure"] for kind, f in lines if kind == "gateway:attempt_failed"]
    assert len(failures) == 2
    assert all("refused_by_server" in failure for failure in failures)
    kind, fields = next(line for line in lines if line[0] == "gateway:refused")
    assert fields["status"] == 503 and fields["revision"] == 1


def test_request_failed_by_a_closed_server_connection(tmp_path, log_file):
    with small_system(tmp_path) as system:
        system.submit(UNSAFE)
        system.add_server("s1", version="v7").misbehaviours.append(
            Misbehaviour.CUT_BEFORE
        )
        options = {"method": "POST", "body": b"x"}
        assert call(system, "/unsafe/1", "cut-1", **options) == 502
    lines = dict(lines_of(log_file, "cut-1"))
    assert lines["gateway:sent"]["server"] == "s1"
    assert lines["gateway:sent"]["version"] == "v7"
    assert "connection closed" in lines["gateway:attempt_failed"]["failure"]
    assert lines["gateway:refused"]["status"] == 502


def test_a_request_refused_while_its_gateway_stops(tmp_path, log_file):
    with small_system(tmp_path) as system:
        system.submit(SAFE)
        system.add_server("s1")
        gateway = system.gateways[0]
        sock = system.connect()
        stop = spawn(gateway.stop)
        wait_until(lambda: gateway.application.refusing, "the end of service")
        sock.sendall(
            b"GET /safe/1 HTTP/1.1\r\nHost: example\r\n"
            + f"{NAMES.attempt_id}: stop-1\r\n\r\n".encode()
        )
        answer = sock.recv(65_536)
        assert b"503" in answer
        stop.join()
    kinds = [kind for kind, _ in lines_of(log_file, "stop-1")]
    assert kinds.index("gateway:stopping") < kinds.index("gateway:refused")


def write_log(path, *messages):
    path.write_text("".join(json.dumps(m) + "\n" for m in messages) + "not a line\n")


def test_command_merges_logs_of_several_processes_in_order(tmp_path):
    first, second = tmp_path / "a.log", tmp_path / "b.log"
    write_log(
        first,
        {"timestamp": 1.0, "message_type": "gateway:configuration", "revision": 3},
        {"timestamp": 3.0, "message_type": "gateway:sent", "request": "r1"},
        {"timestamp": 2.0, "message_type": "gateway:sent", "request": "other"},
    )
    write_log(
        second,
        {"timestamp": 2.5, "message_type": "gateway:refused", "request": "r1"},
        {"timestamp": 2.4, "message_type": "gateway:server", "server": "s1"},
    )
    runner = CliRunner()
    result = runner.invoke(app, ["explain", "r1", str(first), str(second), "--json"])
    assert result.exit_code == 0
    found = json.loads(result.stdout)
    assert [line["message_type"] for line in found["lines"]] == [
        "gateway:configuration",
        "gateway:server",
        "gateway:refused",
        "gateway:sent",
    ]
    assert found["n_unreadable"] == 2
    shown = runner.invoke(app, ["explain", "r1", str(first)])
    assert "gateway:sent" in shown.stdout
    missing = runner.invoke(app, ["explain", "r9", str(first)])
    assert missing.exit_code == 4


def test_log_collector_prefix_is_ignored():
    raw = b'  12.5 edge-1 {"timestamp": 1.5, "message_type": "gateway:sent"}\n'
    (line,) = read_lines("x", [raw])
    assert line.message_type == "gateway:sent"
