"""Groups with more coordinators than a gateway connects to, some without a disk."""

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st

from test.routing.library import make_route, make_server
from test.routing.small_system import (
    roll_out_failing_version,
    small_system,
    wait_until,
)
from turmericreel.decisions.coordinator_choice import MAX_LINKS, choose_links
from turmericreel.model.failures import ControlUnavailable, FailureError, NotLeader

SAFE = make_route("/safe/")
COORDINATOR_NAMES = [f"c{n}" for n in range(8)]


def change_links(links, *, members, seeds=(), leader=None, seed=1):
    return choose_links(
        links, members=members, seeds=seeds, leader=leader, rng=Random(seed)
    )


def test_a_gateway_begins_with_the_seeds():
    change = change_links({}, members=(), seeds=("c1", "c2"))
    assert set(change.to_open) == {"c1", "c2"}


def test_a_link_to_the_leader_replaces_another_link():
    links = {"c1": True, "c2": True, "c3": True}
    members = ("c1", "c2", "c3", "c4")
    assert change_links(links, members=members, leader="c4").to_open == ("c4",)
    change = change_links({**links, "c4": True}, members=members, leader="c4")
    assert len(change.to_close) == 1
    assert "c4" not in change.to_close


def test_links_to_seeds_without_a_log_are_replaced():
    links = {"s1": True, "c1": True, "c2": True, "c3": True}
    change = change_links(links, members=("c1", "c2", "c3"), seeds=("s1",), leader="c1")
    assert change.to_close == ("s1",)


@given(
    links=st.dictionaries(st.sampled_from(COORDINATOR_NAMES), st.booleans()),
    members=st.sets(st.sampled_from(COORDINATOR_NAMES)),
    seeds=st.sets(st.sampled_from(COORDINATOR_NAMES)),
    leader=st.none() | st.sampled_from(COORDINATOR_NAMES),
    seed=st.integers(0, 100),
)
def test_working_links_are_closed_only_beyond_the_limit(
    links, members, seeds, leader, seed
):
    change = change_links(links, members=members, seeds=seeds, leader=leader, seed=seed)
    working = {i for i, connected in links.items() if connected}
    left = working - set(change.to_close)
    assert len(left) == min(len(working), MAX_LINKS)
    assert leader not in working or leader in left
    assert not set(change.to_open) & set(links)
    assert set(change.to_open) <= members | seeds
    if len(left) < MAX_LINKS and (members | seeds) - set(links):
        assert change.to_open


@pytest.fixture
def large_system(tmp_path):
    """Five voting coordinators, an observer without a disk, and three gateways."""
    with small_system(tmp_path, n_coordinators=3, n_gateways=3) as system:
        for n, has_disk in ((7, True), (8, True), (9, False)):
            newcomer = system.start_coordinator(
                f"127.0.1.{n}:{system.control_port}",
                is_founder=False,
                has_disk=has_disk,
            )
            system.coordinators.append(newcomer)
        wait_until(lambda: len(membership(system).voters) == 5, "five voters")
        wait_until(lambda: len(membership(system).observers) == 1, "an observer")
        yield system


def membership(system):
    return system.leader.log.member.core.state.membership


def all_connected_to(system, leader):
    return len(leader.hub.gateways) == len(system.gateways)


def test_all_gateways_are_connected_to_the_leader_and_to_a_new_one(large_system):
    large_system.submit(SAFE)
    leader = large_system.leader
    wait_until(
        lambda: all_connected_to(large_system, leader), "all gateways at the leader"
    )
    leader.stop()
    large_system.coordinators.remove(leader)
    wait_until(
        lambda: all_connected_to(large_system, large_system.leader),
        "all gateways at the new leader",
    )
    large_system.submit(SAFE, make_route("/more/"), revision=2)


def test_a_bad_version_is_found_with_the_evidence_of_all_gateways(large_system):
    assert roll_out_failing_version(large_system) < 50


def test_a_coordinator_joins_through_replaced_seeds(tmp_path):
    with small_system(tmp_path) as system:
        system.submit(SAFE)
        # No coordinator runs at this address.
        seeds = [f"127.0.1.99:{system.control_port}"]
        newcomer = system.start_coordinator(
            f"127.0.1.9:{system.control_port}", is_founder=False, seeds=seeds
        )
        system.coordinators.append(newcomer)
        with pytest.raises(FailureError) as caught:
            newcomer.record_heartbeat(make_server("s9"))
        assert isinstance(caught.value.failure, ControlUnavailable)
        seeds[:] = system.seeds
        wait_until(lambda: newcomer.machine.revision == 1, "the configuration")
        newcomer.record_heartbeat(make_server("s9"))
        wait_until(lambda: "s9" in system.gateways[0].view.servers, "the server")


def test_service_recovers_when_all_seeds_lost_their_state(tmp_path):
    """All seeds are coordinators without a disk, and every process was stopped."""
    with small_system(tmp_path, n_coordinators=3) as system:
        system.submit(SAFE)
        address = f"127.0.1.9:{system.control_port}"
        observer = system.start_coordinator(address, is_founder=False, has_disk=False)
        system.coordinators.append(observer)
        wait_until(lambda: observer.machine.revision == 1, "an observer")
        for instance in system.gateways + system.coordinators:
            instance.stop()
        founders, system.seeds = system.seeds, (address,)
        system.coordinators = [
            system.start_coordinator(address, is_founder=False, has_disk=False),
            *(system.start_coordinator(f, is_founder=False) for f in founders),
        ]
        system.gateways = [system.start_gateway(f"127.0.2.9:{system.control_port}")]
        wait_until(lambda: system.gateways[0].view.revision == 1, "the configuration")


def test_a_coordinator_without_a_disk_serves_operators_and_servers(large_system):
    large_system.submit(SAFE)
    observer = large_system.coordinators[-1]
    wait_until(lambda: observer.machine.revision == 1, "the configuration")
    with pytest.raises(FailureError) as caught:
        observer.read_routing()
    leader = large_system.leader.settings.instance
    assert caught.value.failure == NotLeader(leader=leader)
    wait_until(lambda: len(observer.hub.peers) == 5, "the other coordinators")
    observer.record_heartbeat(make_server("s9"))
    view = large_system.gateways[0].view
    wait_until(lambda: "s9" in view.servers, "the server at a gateway")
