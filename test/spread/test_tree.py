"""Distribution over relays when links, processes and leaders fail."""

import pytest

from test.spread.library import announce, left, live_instance_names, small_text
from test.spread.tree import CLOCK_DRIFT, LEASE_BOUND_S, LEASE_MS, Tree
from turmericreel.control.subscriptions import RELAYED_GRACE_S
from turmericreel.model.ids import Revision
from turmericreel.protocols.control_messages import (
    ConfigurationDelta,
    ConfigurationPush,
    LeaseDenied,
    LeaseGranted,
    Redirected,
)

LEASE_S = LEASE_MS / 1_000


def test_text_reaches_all_instances_through_relays(tree):
    progress = tree.leader.subscribers.in_force(Revision(1))
    assert progress.is_complete
    assert progress.confirmed == 4
    for name in tree.entries:
        client = tree.nodes[name].client
        assert client.lease_valid()
        assert client.view.revision == 1


def test_update_sends_one_delta_per_link(tree):
    sent = []
    for link in tree.links():
        send = link.down.send
        link.down.send = lambda m, send=send: (sent.append(m), send(m))
    tree.submit(small_text(2))
    tree.settle()
    tree.renew_all()
    tree.renew_all()
    assert not [m for m in sent if isinstance(m, ConfigurationPush)]
    deltas = [m for m in sent if isinstance(m, ConfigurationDelta)]
    assert len(deltas) == len(tree.links())


def test_damaged_delta_base_is_replaced_by_whole_text(tree):
    view = tree.nodes["e4"].client.view
    view.source_texts[Revision(1)] = small_text(99)
    tree.submit(small_text(2))
    tree.settle()
    assert view.revision == 2
    assert view.source_texts[Revision(2)] == small_text(2)


@pytest.mark.parametrize("lost", ["r1", "e4"])
def test_cut_off_subscriber_delays_in_force_until_its_lease_ends(tree, lost):
    client = tree.nodes["e4"].client
    tree.cut(lost)
    revision = tree.submit(small_text(2))
    tree.settle()
    tree.renew_all()
    assert client.lease_valid()
    waited = tree.leader.subscribers.in_force(revision)
    assert not waited.is_complete
    assert 0 < waited.left_ms <= LEASE_BOUND_S * 1_000
    tree.clock.advance(LEASE_BOUND_S + 0.01)
    assert not client.lease_valid()
    assert tree.leader.subscribers.in_force(revision).is_complete


def test_relay_without_a_lease_grants_none(tree):
    tree.cut("r1")
    tree.clock.advance(LEASE_BOUND_S + 0.01)
    client = tree.nodes["e4"].client
    tree.exchange("e4")
    assert tree.nodes["e4"].link is not None
    assert not client.lease_valid()


@pytest.mark.parametrize("relay_rate", [1 - CLOCK_DRIFT, 1 + CLOCK_DRIFT])
@pytest.mark.parametrize("entry_rate", [1 - CLOCK_DRIFT, 1 + CLOCK_DRIFT])
@pytest.mark.parametrize("leader_rate", [1 - CLOCK_DRIFT, 1 + CLOCK_DRIFT])
def test_relayed_lease_ends_before_leader_assumes_its_expiry(
    leader_rate, relay_rate, entry_rate
):
    # The rates are relative to true time, and the bound holds between any clock and
    # true time.
    rates = {"c1": leader_rate, "r1": relay_rate, "e1": entry_rate}
    tree = Tree(controls=["c1"], relays=["r1"], entries=["e1"], rates=rates)
    tree.set_leader("c1")
    tree.connect_all()
    tree.clock.advance(5)
    tree.renew_all()
    tree.connect("e1", "r1")
    tree.submit(small_text(1))
    tree.settle()
    tree.exchange("r1")
    tree.clock.advance(1.0)
    tree.exchange("e1")
    client = tree.nodes["e1"].client
    assert client.lease_valid()
    tree.cut("r1")
    revision = tree.submit(small_text(2))
    while client.lease_valid():
        assert not tree.leader.subscribers.in_force(revision).is_complete
        tree.clock.advance(0.01)


def test_one_way_partition_ends_lease_and_triggers_reconnect(tree):
    link = tree.nodes["e4"].link
    client = tree.nodes["e4"].client
    for _ in range(3):
        tree.clock.advance(LEASE_S / 4)
        client.renew_now()
        while link.deliver_up():
            pass
        link.down.messages.clear()
    assert client.should_reconnect()
    tree.clock.advance(LEASE_BOUND_S)
    assert not client.lease_valid()


def test_lease_grant_received_after_its_expiry_is_void(tree):
    link = tree.nodes["e4"].link
    client = tree.nodes["e4"].client
    client.renew_now()
    while link.deliver_up():
        pass
    tree.clock.advance(LEASE_BOUND_S)
    while link.deliver_down():
        pass
    assert not client.lease_valid()


def test_partitioned_region_catches_up_after_reconnect(tree):
    client = tree.nodes["e3"].client
    tree.cut("c3")
    for n in range(2, 40):
        tree.submit(small_text(n))
        tree.settle()
        tree.clock.advance(5)
        tree.renew_all()
        assert not client.lease_valid()
        assert client.view.revision == 1
    assert tree.leader.subscribers.in_force(Revision(39)).is_complete
    tree.connect("c3", "c1")
    tree.settle()
    tree.renew_all()
    assert client.lease_valid()
    assert client.view.revision == 39


def test_data_centre_lost_with_its_control_instances(tree):
    for name in ("c2", "r1", "e2", "e4"):
        tree.restart(name)
    revision = tree.submit(small_text(2))
    tree.settle()
    tree.renew_all()
    assert not tree.leader.subscribers.in_force(revision).is_complete
    tree.clock.advance(LEASE_BOUND_S + 0.01)
    tree.renew_all()
    progress = tree.leader.subscribers.in_force(revision)
    assert progress.is_complete
    assert progress.confirmed == 2
    tree.clock.advance(RELAYED_GRACE_S)
    tree.renew_all()
    assert live_instance_names(tree) == {"e1", "e3"}
    tree.connect_all()
    tree.renew_all()
    assert live_instance_names(tree) == {"e1", "e2", "e3", "e4"}


def test_restarted_instance_gets_no_lease_from_stale_relay(tree):
    # An instance without stored state starts and connects to a relay that lags.
    tree.cut("r1")
    tree.submit(small_text(2))
    tree.restart("e2")
    tree.connect("e2", "r1")
    tree.clock.advance(LEASE_BOUND_S)
    tree.exchange("e2")
    assert not tree.nodes["e2"].client.lease_valid()


def test_departed_server_is_removed_within_lease_after_home_failure(tree):
    tree.commit(announce("s1", home="e4"))
    tree.settle()
    tree.renew_all()
    assert all("s1" in tree.nodes[e].client.view.servers for e in tree.entries)
    tree.commit(left("s1"))
    tree.restart("e4")
    tree.cut("c2")
    tree.settle()
    tree.renew_all()
    for name in ("e1", "e3"):
        assert "s1" not in tree.nodes[name].client.view.servers
    tree.clock.advance(LEASE_BOUND_S)
    assert not tree.nodes["e2"].client.lease_valid()


@pytest.mark.parametrize("name", ["e1", "e4"])
def test_departure_is_delivered_before_lease_grant(tree, name):
    tree.commit(announce("s1", home="e4"))
    tree.settle()
    tree.renew_all()
    tree.commit(left("s1"))
    tree.clock.advance(LEASE_BOUND_S)
    tree.exchange("r1")
    # The departure is not pushed to the instance before it renews its lease.
    client, link = tree.nodes[name].client, tree.nodes[name].link
    assert "s1" in client.view.servers
    client.renew_now()
    while link.deliver_up() or link.deliver_down():
        pass
    assert client.lease_valid()
    assert "s1" not in client.view.servers


def test_moving_to_stale_relay_does_not_restore_departed_server(tree):
    tree.commit(announce("s1", home="e1"))
    tree.settle()
    tree.renew_all()
    tree.cut("r1")
    tree.commit(left("s1"))
    tree.settle()
    tree.renew_all()
    assert "s1" not in tree.nodes["e1"].client.view.servers
    # The relay that lags still lists the server.
    tree.connect("e1", "r1")
    tree.settle()
    tree.exchange("e1")
    assert "s1" not in tree.nodes["e1"].client.view.servers


def test_sender_at_full_fan_out_redirects_subscribers(tree):
    service = tree.nodes["r1"].service
    service.fan_out = 1
    tree.connect("e1", "r1")
    assert isinstance(tree.nodes["e1"].link.down.receive(), Redirected)


def test_lease_is_denied_for_an_older_revision(tree):
    tree.submit(small_text(2))
    client, link = tree.nodes["e1"].client, tree.nodes["e1"].link
    client.renew_now()
    while link.deliver_up():
        pass
    answers = []
    while link.down.messages:
        answers.append(link.down.receive())
    assert not [m for m in answers if isinstance(m, LeaseGranted)]
    assert [m for m in answers if isinstance(m, LeaseDenied)]
    assert [m for m in answers if isinstance(m, ConfigurationDelta)]
