"""Registrations merge by incarnation and sequence, in any order."""

from itertools import permutations

from hypothesis import given
from hypothesis import strategies as st

from test.routing.library import make_server
from turmericreel.membership.instance_registry import (
    BEATS_OF_KEPT_LIST,
    GatewayInstance,
    GatewayLists,
    addresses_for,
)
from turmericreel.membership.server_registry import TOMBSTONE_S, ServerRegistry
from turmericreel.model.registered_server import ServerState

EXPIRY_S = 4.0


def registry():
    return ServerRegistry(expiry_s=EXPIRY_S)


def test_a_heartbeat_that_only_confirms_is_no_change_but_puts_off_expiry():
    servers = registry()
    assert servers.hear(make_server(sequence=1), now=0.0)
    assert not servers.hear(make_server(sequence=2), now=3.0)
    assert servers.expire(now=5.0) == []
    assert [s.server for s in servers.expire(now=7.0)] == ["s1"]


def test_an_older_heartbeat_changes_nothing():
    servers = registry()
    servers.hear(make_server(sequence=5, state=ServerState.DRAINING), now=0.0)
    assert not servers.hear(make_server(sequence=4), now=0.1)
    assert servers.servers["s1"].state is ServerState.DRAINING


def test_a_late_heartbeat_does_not_bring_back_a_server_that_signed_off():
    servers = registry()
    servers.hear(make_server(sequence=1), now=0.0)
    assert servers.sign_off("s1", now=1.0)
    assert not servers.hear(make_server(sequence=9), now=1.1)
    assert not servers.servers["s1"].is_usable


def test_a_server_that_starts_again_under_its_id_is_new():
    servers = registry()
    servers.hear(make_server(incarnation=1, sequence=50), now=0.0)
    servers.sign_off("s1", now=1.0)
    assert servers.hear(make_server(incarnation=2, sequence=1), now=2.0)
    assert servers.servers["s1"].is_usable


def test_a_heartbeat_after_expiry_brings_the_server_back():
    servers = registry()
    servers.hear(make_server(sequence=1), now=0.0)
    servers.expire(now=5.0)
    assert not servers.hear(make_server(sequence=1), now=5.1)
    assert servers.hear(make_server(sequence=2), now=5.2)
    assert servers.servers["s1"].is_usable


def test_a_delayed_heartbeat_loses_its_address_to_a_newer_incarnation():
    servers = registry()
    servers.hear(make_server("new", address="127.0.0.1:1", incarnation=9), now=0.0)
    late = make_server("old", address="127.0.0.1:1", incarnation=3)
    assert not servers.hear(late, now=0.1)
    assert "old" not in servers.servers


def test_tombstones_are_dropped_in_the_end():
    servers = registry()
    servers.hear(make_server(), now=0.0)
    servers.sign_off("s1", now=1.0)
    servers.expire(now=2.0)
    assert "s1" in servers.servers
    servers.expire(now=2.0 + EXPIRY_S + TOMBSTONE_S)
    assert servers.servers == {}


def test_signing_off_an_unknown_server_is_no_change():
    assert not registry().sign_off("nobody", now=0.0)


REPORTS = st.builds(
    make_server,
    st.just("s1"),
    incarnation=st.integers(0, 2),
    sequence=st.integers(1, 3),
    state=st.sampled_from(ServerState),
)


@given(st.lists(REPORTS, min_size=1, max_size=4))
def test_all_orders_of_the_same_reports_end_alike(reports):
    ends = set()
    for order in permutations(reports):
        servers = registry()
        for report in order:
            servers.hear(report, now=0.0)
        ends.add(servers.servers["s1"]._order)
    assert len(ends) == 1


def gateway(name, data_centre, *, takes_clients=True):
    return GatewayInstance(
        instance=name,
        data_centre=data_centre,
        client_address=name,
        incarnation=1,
        takes_clients=takes_clients,
    )


def test_clients_get_their_own_data_centre_when_enough_gateways_are_there():
    gateways = [gateway("a1", "a"), gateway("a2", "a"), gateway("b1", "b")]
    assert addresses_for(gateways, "a") == ["a1", "a2"]
    assert addresses_for(gateways, "b") == ["b1", "a1", "a2"]


def test_gateways_that_stop_are_not_listed():
    gateways = [gateway("a1", "a", takes_clients=False), gateway("b1", "b")]
    assert addresses_for(gateways, "a") == ["b1"]


def test_a_gateway_that_only_one_coordinator_lost_stays_on_the_list():
    lists = GatewayLists()
    there, lost = gateway("a1", "a"), gateway("a1", "a", takes_clients=False)
    for source in ("x", "y", "z"):
        lists.hear(source, [there], complete=True)
    lists.hear("x", [lost], complete=False)
    assert [g.instance for g in lists.agreed()] == ["a1"]
    lists.hear("y", [lost], complete=False)
    assert lists.agreed() == ()


def test_the_last_list_is_kept_when_no_coordinator_is_left():
    lists = GatewayLists()
    lists.hear("x", [gateway("a1", "a")], complete=True)
    lists.hear("y", [gateway("a2", "a")], complete=True)
    lists.forget("x")
    lists.forget("y")
    assert [g.instance for g in lists.agreed()] == ["a2"]


def test_a_complete_list_replaces_what_was_said_before():
    lists = GatewayLists()
    lists.hear("x", [gateway("a1", "a")], complete=True)
    lists.hear("x", [gateway("a2", "a")], complete=True)
    assert [g.instance for g in lists.agreed()] == ["a2"]


def test_a_kept_list_ends_some_beats_after_another_coordinator_is_there():
    lists = GatewayLists()
    lists.hear("x", [gateway("a1", "a"), gateway("a2", "a")], complete=True)
    lists.forget("x")
    lists.hear("y", [gateway("a1", "a")], complete=True)
    for _ in range(BEATS_OF_KEPT_LIST):
        # Gateways that were connected to the other need a moment to come here.
        assert [g.instance for g in lists.agreed()] == ["a1", "a2"]
        lists.hear_beat("y")
    assert [g.instance for g in lists.agreed()] == ["a1"]


def test_a_gateway_that_a_coordinator_does_not_hear_any_more_is_off_its_list():
    lists = GatewayLists()
    lists.hear("x", [gateway("a1", "a"), gateway("a2", "a")], complete=True)
    lists.hear("x", [], complete=False, lost=["a1"])
    assert [g.instance for g in lists.agreed()] == ["a2"]
