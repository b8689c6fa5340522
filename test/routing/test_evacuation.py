"""Servers of evacuated data centres get no more requests, whatever else fails."""

import shutil
from itertools import permutations
from time import monotonic
from uuid import uuid4

import pytest
from gevent import spawn

from test.routing.library import make_route, make_server
from test.routing.small_system import (
    NAMES,
    small_system,
    stream_route,
    wait_until,
)
from test.routing.test_hub import connect_gateway, make_hub
from test.routing.test_relays import ask_for_relay
from turmericreel.decisions.evacuation import EvacuatedDataCentres
from turmericreel.fakes.routed_server import Misbehaviour
from turmericreel.model.evacuation import Evacuation
from turmericreel.model.routing import RouteKind
from turmericreel.protocols.relay_messages import RelayFailed, RelayObstacle
from turmericreel.state.commands.union import LogRecord
from turmericreel.state.routing_machine import OrderEvacuation

ROUTES = (
    make_route("/safe/", max_attempts=3),
    make_route("/unsafe/", kind=RouteKind.UNSAFE),
    stream_route(max_attempts=3),
    stream_route("/sized/", max_attempts=3, model_sizes=("small", "large")),
)
SIZED = {
    "Accept": "text/event-stream",
    NAMES.model.replace("-", "_"): NAMES.any_model,
}


@pytest.fixture
def system(tmp_path):
    with small_system(tmp_path, n_gateways=2) as running:
        running.submit(*ROUTES)
        yield running


def add_servers(system, **options):
    """Add a server in each of three data centres; return them by its name."""
    return {
        name: system.add_server(f"s-{name}", data_centre=name, **options)
        for name in "abc"
    }


def evacuate(system, *data_centres, is_evacuated=True):
    """Order it at the leader, and wait until all gateways know."""
    for name in data_centres:
        system.leader.evacuations.order(name, is_evacuated=is_evacuated)
    wait_until(
        lambda: all(
            (name in g.view.evacuations.evacuated) == is_evacuated
            for g in system.gateways
            for name in data_centres
        ),
        "the order at all gateways",
    )


def send_all_kinds(system, n_each=6):
    """Send requests of all kinds through all gateways; return their statuses."""
    return {
        system.send(
            f"{prefix}{uuid4().hex}",
            attempt=f"attempt-{uuid4().hex}",
            body=b"x",
            gateway_index=index,
            **(SIZED if prefix == "/sized/" else {}),
        )
        for index in range(len(system.gateways))
        for _ in range(n_each)
        for prefix in ("/safe/", "/unsafe/", "/stream/", "/sized/")
    }


@pytest.mark.parametrize("n_evacuated", [1, 2])
def test_no_kind_of_attempt_reaches_an_evacuated_data_centre(system, n_evacuated):
    servers = add_servers(system)
    evacuated, left = list("abc")[:n_evacuated], list("abc")[n_evacuated:]
    evacuate(system, *evacuated)
    for name in left:
        # Attempts are repeated, streams resumed, and larger models asked.
        servers[name].confidence = "10"
        servers[name].misbehaviours.extend(
            [Misbehaviour.CUT_WITHIN, Misbehaviour.FAIL, Misbehaviour.CUT_BEFORE] * 5
        )
    send_all_kinds(system)
    assert not any(servers[name].received for name in evacuated)
    assert all(servers[name].received for name in left)
    evacuate(system, *evacuated, is_evacuated=False)
    for name in left:
        servers[name].misbehaviours.clear()
    assert send_all_kinds(system) == {200}
    # Servers of the gateways' own data centre are preferred.
    assert servers["a"].received


def test_running_stream_is_finished_undisturbed(system):
    server = system.add_server("s1", n_events=10, event_pause_s=0.05)
    other = system.add_server("s2", data_centre="b", n_events=10)
    evacuate(system, "b")
    call = spawn(system.call, "/stream/1", Accept="text/event-stream")
    wait_until(lambda: server.runs, "the stream")
    evacuate(system, "b", is_evacuated=False)
    evacuate(system, "a")
    status, _, body = call.get(timeout=5.0)
    assert (status, body.count(b"data:")) == (200, 10)
    assert (len(server.runs), len(other.runs)) == (1, 0)


def test_requests_are_refused_at_once_as_not_run_when_nothing_is_left(system):
    server = system.add_server("s1")
    evacuate(system, "a")
    for path in ("/safe/1", "/unsafe/1", "/stream/1"):
        began = monotonic()
        status, headers, body = system.call(path)
        assert (status, monotonic() - began < 0.2) == (503, True)
        assert float(headers["retry-after"]) > 0
        assert b"evacuated" in body
    assert server.received == []
    chooser = system.gateways[0].chooser
    assert chooser.n_refused_by_evacuation == 3
    assert (chooser.n_evacuated(), chooser.n_unavailable()) == (1, 0)
    evacuate(system, "a", is_evacuated=False)
    assert system.call("/safe/2")[0] == 200


def test_request_that_waited_for_a_place_obeys_an_order_that_came_meanwhile(system):
    servers = add_servers(system)
    chooser = system.gateways[0].chooser
    choose = chooser.brittle.choose

    def choose_late(*args, **options):
        chosen = choose(*args, **options)
        if not chooser.view.evacuations.evacuated:
            evacuate(system, chosen.data_centre)
        return chosen

    chooser.brittle.choose = choose_late
    assert system.call("/safe/1")[0] == 200
    (evacuated,) = chooser.view.evacuations.evacuated
    assert not servers[evacuated].received


def test_order_holds_at_gateways_that_lost_all_coordinators(system):
    servers = add_servers(system)
    evacuate(system, "a")
    for coordinator in system.coordinators:
        coordinator.stop()
    wait_until(
        lambda: (
            not any(
                link.connected
                for g in system.gateways
                for link in g.links.links.values()
            )
        ),
        "the loss of the coordinators",
    )
    assert send_all_kinds(system, n_each=3) == {200}
    assert not servers["a"].received


def test_gateway_that_is_cut_off_from_servers_gets_no_relay_there(system):
    servers = add_servers(system)
    wait_until(lambda: len(system.gateways[1].view.gateways) == 2, "both gateways")
    evacuate(system, "a")
    answer = ask_for_relay(system, servers["a"].address, source="127.0.2.1")
    assert answer == RelayFailed(
        obstacle=RelayObstacle.PATH, detail="in an evacuated data centre"
    )


def test_paths_are_checked_only_to_servers_that_may_run_requests(system):
    add_servers(system)
    evacuate(system, "a")
    gateway = system.gateways[0]
    checked = {server.server for server in gateway.path_checks.servers()}
    assert checked == {"s-b", "s-c"}
    gateway.chooser.loads.of("s-a").n_running = 1
    checked = {server.server for server in gateway.path_checks.servers()}
    assert checked == {"s-a", "s-b", "s-c"}


def test_order_survives_the_loss_of_the_leader_right_after_it(tmp_path):
    with small_system(tmp_path, n_coordinators=3, n_gateways=2) as system:
        system.submit(*ROUTES)
        servers = add_servers(system)
        leader = system.leader
        leader.evacuations.order("a", is_evacuated=True)
        system.coordinators.remove(leader)
        leader.stop()
        began = monotonic()
        wait_until(
            lambda: all(g.view.evacuations.evacuated == {"a"} for g in system.gateways),
            "the order at all gateways",
        )
        assert monotonic() - began < 5.0
        # It is repeated, as its acknowledgement may have been lost.
        evacuate(system, "a")
        assert send_all_kinds(system, n_each=3) == {200}
        assert not servers["a"].received


@pytest.mark.parametrize("has_cache", [True, False])
def test_order_survives_a_restart_of_everything(tmp_path, has_cache):
    with small_system(tmp_path, n_coordinators=3) as system:
        system.submit(*ROUTES)
        servers = add_servers(system)
        evacuate(system, "a", "b")
        evacuate(system, "b", is_evacuated=False)
        if has_cache:
            wait_until(
                lambda: all(
                    len(c.cache.load().evacuations) == 2 for c in system.coordinators
                ),
                "the saved state",
            )
        for part in (*system.gateways, *system.coordinators):
            getattr(part, "kill", part.stop)()
        instances = [c.settings.instance for c in system.coordinators]
        if not has_cache:
            for folder in tmp_path.glob("*/cache"):
                shutil.rmtree(folder)
        # One disk is lost too.
        shutil.rmtree(tmp_path / instances[-1].partition(":")[0])
        system.coordinators = [
            system.start_coordinator(i, is_founder=False) for i in instances
        ]
        for name in servers:
            system.send_heartbeat(f"s-{name}")
        system.gateways = [system.start_gateway(f"127.0.2.9:{system.control_port}")]
        wait_until(
            lambda: system.gateways[0].view.evacuations.evacuated == {"a"}, "the order"
        )
        system.wait_for_revision(1)
        wait_until(lambda: len(system.gateways[0].view.servers) == 3, "the servers")
        for server in servers.values():
            server.received.clear()
        assert send_all_kinds(system, n_each=3) == {200}
        assert not servers["a"].received
        assert servers["b"].received


ORDERS = [
    Evacuation(data_centre="a", number=3, is_evacuated=True),
    Evacuation(data_centre="a", number=5, is_evacuated=False),
    Evacuation(data_centre="b", number=4, is_evacuated=True),
    Evacuation(data_centre="a", number=5, is_evacuated=False),
]


def test_newest_orders_hold_in_whatever_sequence_they_are_received():
    servers = [make_server("s1", data_centre="a"), make_server("s2", data_centre="b")]
    for received in permutations(ORDERS):
        known = EvacuatedDataCentres()
        for order in received:
            known.receive([order])
        assert known.evacuated == {"b"}
        assert [server.server for server in known.allowed(servers)] == ["s1"]


def apply_orders(hub, *orders):
    for data_centre, is_evacuated in orders:
        command = OrderEvacuation(data_centre=data_centre, is_evacuated=is_evacuated)
        index = hub.machine.applied_index + 1
        hub.machine.apply(LogRecord(index=index, term=1, time_ms=0, command=command))


def test_connecting_gateway_knows_the_orders_before_the_servers():
    hub = make_hub()
    hub.record_heartbeat(make_server())
    apply_orders(hub, ("a", True))
    kinds = [type(m).__name__ for m in connect_gateway(hub, 1).collect()]
    assert kinds.index("Evacuations") < kinds.index("Servers")


def test_orders_of_a_snapshot_are_sent_and_nothing_older_is_while_the_log_is_replayed():
    hub, source = make_hub(), make_hub()
    session = connect_gateway(hub, 1)
    hub.distribute_changes()
    session.collect()
    apply_orders(source, ("a", True), ("b", True), ("a", False))
    hub.machine.load(source.machine.dump())
    hub.mark_unsent_changes()
    hub.distribute_changes()
    before = hub.distributed_state().evacuations
    assert session.collect()[-1].evacuations == before
    hub.hold_distributed_state()
    hub.machine.load(make_hub().machine.dump())
    for order in (("a", True), ("b", True), ("a", False)):
        assert hub.distributed_state().evacuations == before
        apply_orders(hub, order)
    assert hub.distributed_state().evacuations == before
    apply_orders(hub, ("a", True))
    assert {
        e.data_centre for e in hub.distributed_state().evacuations if e.is_evacuated
    } == {"a", "b"}
