"""Gateways that reach no server serve their clients through other gateways."""

from time import monotonic

import pytest
from gevent import joinall, sleep, spawn

from test.routing.gateway_paths import Cut, FirstTries, GatewayPaths
from test.routing.library import SERVICE, make_route
from test.routing.small_system import NAMES, small_system, stream_route, wait_until
from turmericreel.decisions.server_paths import LOST_PATH_S, PathState
from turmericreel.decisions.version_split import is_canary, session_hash
from turmericreel.model.routing import RolloutStage, RouteKind
from turmericreel.protocols.addresses import parse_address

N_GATEWAYS = 6
N_SERVERS = 4
# Time after the cut from which first tries count.
CONTACT_S = 3.0
COUNTED_S = 4.0
# Of all first tries in that time, those that may fail.
MAX_FAILED = 10
MAX_FAILED_FRACTION = 1 / 50
PER_SECOND = 16.0
# Requests at a new version that a lost path breaks; so many failures end a roll-out.
N_BROKEN = 8


@pytest.fixture
def system(tmp_path):
    with small_system(tmp_path, n_coordinators=3, n_gateways=N_GATEWAYS) as running:
        running.submit(
            make_route("/safe/", max_attempts=2),
            make_route("/unsafe/", kind=RouteKind.UNSAFE, max_attempts=1),
            stream_route(max_attempts=3),
        )
        paths = [GatewayPaths(gateway) for gateway in running.gateways]
        servers = [running.add_server(f"s{n}") for n in range(N_SERVERS)]
        beats = spawn(send_heartbeats, running, servers)
        running.paths, running.beats = paths, beats
        yield running
        beats.kill()
        for path in paths:
            path.stop()


def send_heartbeats(system, servers) -> None:
    while True:
        for server in servers:
            if not server.is_down:
                system.send_heartbeat(server.server)
        sleep(0.5)


def run_cut(system, cut_off: set[int], how: Cut) -> tuple[FirstTries, float]:
    """Cut gateways off from all servers beside traffic; return it and the time."""
    tries = FirstTries(system, per_second=PER_SECOND)
    traffic = spawn(tries.run, 1.0 + CONTACT_S + COUNTED_S)
    sleep(1.0)
    cut_at = monotonic()
    for index in cut_off:
        system.paths[index].cut(how)
    traffic.get()
    return tries, cut_at


@pytest.mark.parametrize("n_cut_off", [1, 5])
@pytest.mark.parametrize("how", list(Cut))
def test_cut_off_gateways_serve_first_tries(system, how, n_cut_off):
    cut_off = set(range(n_cut_off))
    tries, cut_at = run_cut(system, cut_off, how)
    since = cut_at + CONTACT_S
    counted = {"since": since, "until": since + COUNTED_S}
    here = tries.n_served(cut_off, **counted)
    others = tries.n_served(set(range(N_GATEWAYS)) - cut_off, **counted)
    max_failed = MAX_FAILED + MAX_FAILED_FRACTION * (here.total() + others.total())
    assert here[False] <= max_failed
    assert here[True] / here.total() >= 2 / 3 * others[True] / others.total()
    assert others[False] <= max_failed
    runs = [run[0] for server in system.servers.values() for run in server.runs]
    unsafe = [attempt for attempt in runs if "/unsafe/" in attempt]
    assert len(unsafe) == len(set(unsafe))


def send_stream_with_part(system, index: int, number: int) -> int:
    return system.send(
        f"/stream/{index}-{number}",
        attempt=f"stream-{index}-{number}",
        body=b"x",
        gateway_index=index,
        **{NAMES.prompt_parts: f"shared:10,own-{index}-{number}:10"},
    )


def wait_until_crashes_are_refuted(system) -> None:
    """Wait until all gateways know the same crashes, and none of them counts."""

    def are_refuted() -> bool:
        known = [gateway.guard.quarantine.records() for gateway in system.gateways]
        contents = [{crash.content for crash in records} for records in known]
        return all(c == contents[0] for c in contents) and all(
            crash.refuted for records in known for crash in records
        )

    assert any(g.guard.quarantine.records() for g in system.gateways)
    wait_until(are_refuted, "refuted crashes")


def test_gateways_that_lose_their_paths_blame_no_request_and_no_server(system):
    for server in system.servers.values():
        server.event_pause_s, server.n_events = 0.2, 8
    running = [
        spawn(send_stream_with_part, system, index, number)
        for index in range(N_GATEWAYS)
        for number in range(N_SERVERS)
    ]
    sleep(0.4)
    # Only the other paths may show that the servers go on.
    system.beats.kill()
    for paths in system.paths[:-1]:
        paths.cut(Cut.RESET)
    joinall(running[:-N_SERVERS])
    wait_until_crashes_are_refuted(system)
    assert send_stream_with_part(system, N_GATEWAYS - 1, N_SERVERS) == 200
    joinall(running)
    assert all(
        gateway.chooser.loads.n_suspended(now=monotonic()) == 0
        for gateway in system.gateways
    )


def test_connections_that_are_lost_after_the_path_end_no_server(system):
    for server in system.servers.values():
        server.event_pause_s, server.n_events = 0.1, 15
    running = [
        spawn(send_stream_with_part, system, 0, number) for number in range(N_SERVERS)
    ]
    sleep(0.4)
    system.beats.kill()
    system.paths[0].cut(Cut.LIVE_ON)
    gateway = system.gateways[0]
    for server in system.servers.values():
        gateway.path_checks.check(parse_address(server.address))
    paths = gateway.connections.paths
    wait_until(
        lambda: paths.n_in(PathState.RELAYED) == N_SERVERS, "all servers relayed"
    )
    system.paths[0].cut(Cut.RESET)
    joinall(running)
    wait_until_crashes_are_refuted(system)


def test_gateways_that_lose_their_paths_end_no_rollout(tmp_path):
    with small_system(tmp_path, n_gateways=2) as system:
        system.submit(make_route("/unsafe/", kind=RouteKind.UNSAFE, max_attempts=1))
        servers = [system.add_server("old"), system.add_server("new", version="v2")]
        paths = [GatewayPaths(gateway) for gateway in system.gateways]
        canary = RolloutStage.CANARY
        names = [f"session-{n}" for n in range(200)]
        canaries = [n for n in names if is_canary(session_hash(n))][:N_BROKEN]

        def send(session: str) -> int:
            header = {NAMES.session.replace("-", "_"): session}
            return system.call(f"/unsafe/{session}", method="POST", **header)[0]

        system.leader.order_rollout(SERVICE, "v2", duration_ms=20_000)
        views = [gateway.view for gateway in system.gateways]
        wait_until(lambda: all(v.rollouts for v in views), "the roll-out")
        wait_until(
            lambda: all(v.rollouts[SERVICE].stage is canary for v in views), "a canary"
        )
        for server in servers:
            server.n_places, server.work_s = len(names), 0.5
        answered = [spawn(send, session) for session in names[:80]]
        joinall(answered)
        assert {task.value for task in answered} == {200}
        broken = [spawn(send, session) for session in canaries]
        sleep(0.2)
        paths[0].cut(Cut.RESET)
        joinall(broken)
        assert {task.value for task in broken} == {502}
        sleep(LOST_PATH_S)
        assert system.leader.machine.rollouts[SERVICE].stage is canary
        evidence = system.gateways[0].status().evidence
        assert sum(counted.n_failed for counted in evidence) == 0
        for path in paths:
            path.stop()
