"""Registrations merge by incarnation and sequence, in whatever order they arrive."""

from itertools import permutations

from hypothesis import given
from hypothesis import strategies as st

from test.routing.library import make_server
from turmericreel.membership.instance_registry import (
    N_RETENTION_HEARTBEATS,
    GatewayInstance,
    GatewayLists,
    addresses_for,
)
from turmericreel.membership.server_registry import (
    TOMBSTONE_RETENTION_S,
    ServerRegistry,
)
from turmericreel.model.registered_server import ServerState

EXPIRY_S = 4.0


def registry():
    return ServerRegistry(expiry_s=EXPIRY_S)


def test_unchanged_heartbeat_postpones_expiry_without_a_change():
    servers = registry()
    assert servers.record_report(make_server(sequence=1), now=0.0)
    assert not servers.record_report(make_server(sequence=2), now=3.0)
    assert servers.expire(now=5.0) == []
    assert [s.server for s in servers.expire(now=7.0)] == ["s1"]


def test_older_heartbeat_is_ignored():
    servers = registry()
    servers.record_report(make_server(sequence=5, state=ServerState.DRAINING), now=0.0)
    assert not servers.record_report(make_server(sequence=4), now=0.1)
    assert servers.servers["s1"].state is ServerState.DRAINING


def test_late_heartbeat_does_not_restore_a_deregistered_server():
    servers = registry()
    servers.record_report(make_server(sequence=1), now=0.0)
    assert servers.deregister("s1", now=1.0)
    assert not servers.record_report(make_server(sequence=9), now=1.1)
    assert not servers.servers["s1"].is_usable


def test_restarted_server_registers_again_under_its_id():
    servers = registry()
    servers.record_report(make_server(incarnation=1, sequence=50), now=0.0)
    servers.deregister("s1", now=1.0)
    assert servers.record_report(make_server(incarnation=2, sequence=1), now=2.0)
    assert servers.servers["s1"].is_usable


def test_new_heartbeat_after_expiry_restores_the_server():
    servers = registry()
    servers.record_report(make_server(sequence=1), now=0.0)
    servers.expire(now=5.0)
    assert not servers.record_report(make_server(sequence=1), now=5.1)
    assert servers.record_report(make_server(sequence=2), now=5.2)
    assert servers.servers["s1"].is_usable


def test_delayed_heartbeat_for_an_address_in_newer_use_is_ignored():
    servers = registry()
    servers.record_report(
        make_server("new", address="127.0.0.1:1", incarnation=9), now=0.0
    )
    late = make_server("old", address="127.0.0.1:1", incarnation=3)
    assert not servers.record_report(late, now=0.1)
    assert "old" not in servers.servers


def test_tombstones_are_dropped_after_their_retention():
    servers = registry()
    servers.record_report(make_server(), now=0.0)
    servers.deregister("s1", now=1.0)
    servers.expire(now=2.0)
    assert "s1" in servers.servers
    servers.expire(now=2.0 + EXPIRY_S + TOMBSTONE_RETENTION_S)
    assert servers.servers == {}


def test_deregistering_an_unknown_server_changes_nothing():
    assert not registry().deregister("nobody", now=0.0)


REPORTS = st.builds(
    make_server,
    st.just("s1"),
    incarnation=st.integers(0, 2),
    sequence=st.integers(1, 3),
    state=st.sampled_from(ServerState),
)


@given(st.lists(REPORTS, min_size=1, max_size=4))
def test_reports_merge_to_the_same_state_in_any_order(reports):
    final_orders = set()
    for order in permutations(reports):
        servers = registry()
        for report in order:
            servers.record_report(report, now=0.0)
        final_orders.add(servers.servers["s1"]._order)
    assert len(final_orders) == 1


def gateway(name, data_centre, *, takes_clients=True):
    return GatewayInstance(
        instance=name,
        data_centre=data_centre,
        client_address=name,
        incarnation=1,
        takes_clients=takes_clients,
    )


def test_clients_get_local_gateways_when_there_are_enough():
    gateways = [gateway("a1", "a"), gateway("a2", "a"), gateway("b1", "b")]
    assert addresses_for(gateways, "a") == ["a1", "a2"]
    assert addresses_for(gateways, "b") == ["b1", "a1", "a2"]


def test_stopping_gateways_are_not_listed():
    gateways = [gateway("a1", "a", takes_clients=False), gateway("b1", "b")]
    assert addresses_for(gateways, "a") == ["b1"]


def test_gateway_lost_by_one_coordinator_only_stays_listed():
    lists = GatewayLists()
    listed, lost = gateway("a1", "a"), gateway("a1", "a", takes_clients=False)
    for source in ("x", "y", "z"):
        lists.record_report(source, [listed], complete=True)
    lists.record_report("x", [lost], complete=False)
    assert [g.instance for g in lists.agreed_gateways()] == ["a1"]
    lists.record_report("y", [lost], complete=False)
    assert lists.agreed_gateways() == ()


def test_last_list_is_retained_without_coordinators():
    lists = GatewayLists()
    lists.record_report("x", [gateway("a1", "a")], complete=True)
    lists.record_report("y", [gateway("a2", "a")], complete=True)
    lists.drop_source("x")
    lists.drop_source("y")
    assert [g.instance for g in lists.agreed_gateways()] == ["a2"]


def test_complete_list_replaces_the_previous_list():
    lists = GatewayLists()
    lists.record_report("x", [gateway("a1", "a")], complete=True)
    lists.record_report("x", [gateway("a2", "a")], complete=True)
    assert [g.instance for g in lists.agreed_gateways()] == ["a2"]


def test_retained_list_is_dropped_some_heartbeats_after_another_coordinator_connects():
    lists = GatewayLists()
    lists.record_report("x", [gateway("a1", "a"), gateway("a2", "a")], complete=True)
    lists.drop_source("x")
    lists.record_report("y", [gateway("a1", "a")], complete=True)
    for _ in range(N_RETENTION_HEARTBEATS):
        # Gateways of the other coordinator need a moment to reconnect to this one.
        assert [g.instance for g in lists.agreed_gateways()] == ["a1", "a2"]
        lists.record_heartbeat("y")
    assert [g.instance for g in lists.agreed_gateways()] == ["a1"]


def test_gateway_reported_as_lost_is_removed_from_the_list():
    lists = GatewayLists()
    lists.record_report("x", [gateway("a1", "a"), gateway("a2", "a")], complete=True)
    lists.record_report("x", [], complete=False, lost=["a1"])
    assert [g.instance for g in lists.agreed_gateways()] == ["a2"]


SOURCES = ["c1", "c2", "c3"]
LIST_EVENTS = st.lists(
    st.one_of(
        st.tuples(
            st.just("report"),
            st.sampled_from(SOURCES),
            st.sets(st.integers(0, 4)),
            st.booleans(),
            st.sets(st.integers(0, 4)),
        ),
        st.tuples(st.just("heartbeat"), st.sampled_from(SOURCES)),
        st.tuples(st.just("drop"), st.sampled_from(SOURCES)),
    ),
    max_size=30,
)


@given(LIST_EVENTS)
def test_list_of_many_gateways_is_counted_only_after_a_change(events):
    """The kept result always equals that of counting again."""
    lists = GatewayLists()
    for event in events:
        match event:
            case ("report", source, numbers, complete, lost):
                gateways = [
                    gateway(f"a{n}", "a", takes_clients=n != 4) for n in sorted(numbers)
                ]
                gone = [f"a{n}" for n in sorted(lost)]
                lists.record_report(source, gateways, complete=complete, lost=gone)
            case ("heartbeat", source):
                lists.record_heartbeat(source)
            case ("drop", source):
                lists.drop_source(source)
        kept = lists.agreed_gateways()
        assert lists.agreed_gateways() is kept
        assert kept == lists._count_votes()


def test_heartbeat_that_only_counts_the_warm_up_down_is_no_change():
    servers = registry()
    assert servers.record_report(make_server(sequence=1, cold_ms=3_000), now=0.0)
    assert not servers.record_report(make_server(sequence=2, cold_ms=2_000), now=1.0)
    assert not servers.record_report(make_server(sequence=3, cold_ms=900), now=2.2)
    assert not servers.record_report(make_server(sequence=4), now=3.1)


def test_server_that_gets_cold_again_or_is_warm_early_is_a_change():
    servers = registry()
    servers.record_report(make_server(sequence=1), now=0.0)
    assert servers.record_report(make_server(sequence=2, cold_ms=3_000), now=1.0)
    assert servers.record_report(make_server(sequence=3, cold_ms=3_000), now=2.0)
    assert servers.record_report(make_server(sequence=4), now=3.0)
    assert not servers.record_report(make_server(sequence=5), now=4.0)


def test_registration_is_passed_on_with_the_warm_up_that_is_left():
    servers = registry()
    servers.record_report(make_server(sequence=1, cold_ms=3_000), now=0.0)
    (server,) = servers.current_servers(now=1.0)
    assert server.warmup_left_ms == 2_000
    (server,) = servers.current_servers(now=5.0)
    assert server.warmup_left_ms == 0
