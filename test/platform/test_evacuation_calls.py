"""Operators evacuate data centres at any coordinator, as often as they repeat it."""

from io import BytesIO
from urllib.parse import unquote

import msgspec
import pytest
from prometheus_client import CollectorRegistry

from test.routing.small_system import small_system, wait_until
from turmericreel.coordinator.metrics import EvacuationCollector
from turmericreel.model.failures import FailureError, QueryInvalid
from turmericreel.platform.configuration import decode_data_centre
from turmericreel.platform.control_handlers import ControlHandlers
from turmericreel.platform.settings import CurrentSettings, read_settings

SETTINGS = {
    "NodeName": "m1",
    "Ip": "10.0.0.1",
    "Zone": "a",
    "Listen": {},
    "InternalPortRange": [7_340, 7_355],
    "SeedNodes": ["10.0.0.1:80"],
}


@pytest.fixture
def system(tmp_path):
    with small_system(tmp_path, n_coordinators=3) as running:
        for coordinator in running.coordinators:
            coordinator.evacuations.data_centres = lambda: {"a", "b"}
        yield running


def call(coordinator, method, path):
    """Call a coordinator; return the status and the header lines."""
    answers = []
    environ = {
        "REQUEST_METHOD": method,
        "PATH_INFO": unquote(path, "latin-1"),
        "turmericreel.raw_path": path,
        "wsgi.input": BytesIO(),
    }
    application = ControlHandlers(coordinator=coordinator).application()
    application(environ, lambda *answer: answers.append(answer)).close()
    ((status, header),) = answers
    return int(status.split()[0]), dict(header)


def evacuated(coordinator):
    orders = coordinator.machine.evacuations.values()
    return {order.data_centre for order in orders if order.is_evacuated}


def test_repeated_and_crossing_orders_are_acknowledged_again(system):
    leader = system.leader
    for method, name, expected in (
        ("POST", "a", {"a"}),
        ("POST", "a", {"a"}),
        ("POST", "b", {"a", "b"}),
        ("DELETE", "a", {"b"}),
        ("DELETE", "a", {"b"}),
        # A late repeat of the first order is taken for a new one.
        ("POST", "a", {"a", "b"}),
        ("DELETE", "b", {"a"}),
    ):
        assert call(leader, method, f"/-/evacuation/{name}")[0] == 200
        assert evacuated(leader) == expected
    for coordinator in system.coordinators:
        wait_until(lambda c=coordinator: evacuated(c) == {"a"}, "the orders everywhere")
    registry = CollectorRegistry()
    registry.register(EvacuationCollector(machine=leader.machine))
    for name, value in (("a", 1), ("b", 0)):
        metric, labels = "turmericreel_coordinator_evacuated", {"data_centre": name}
        assert registry.get_sample_value(metric, labels) == value


def test_other_coordinators_redirect_to_the_leader(system):
    leader = system.leader
    other = next(c for c in system.coordinators if c is not leader)
    wait_until(lambda: other.log.leader() == leader.settings.instance, "the leader")
    status, header = call(other, "POST", "/-/evacuation/a")
    expected = f"http://{leader.settings.instance}/-/evacuation/a"
    assert (status, header["Location"]) == (307, expected)
    assert evacuated(leader) == set()


def test_order_without_a_quorum_is_not_acknowledged(system):
    leader = system.leader
    for coordinator in list(system.coordinators):
        if coordinator is not leader:
            coordinator.stop()
    assert call(leader, "POST", "/-/evacuation/a")[0] >= 500


@pytest.mark.parametrize("name", ["", "a/b", "%ff", "a%0d%0ab", "x" * 2_000])
def test_order_that_names_no_data_centre_is_refused(system, name):
    assert call(system.leader, "POST", f"/-/evacuation/{name}")[0] == 400
    with pytest.raises(FailureError) as caught:
        decode_data_centre(name)
    assert isinstance(caught.value.failure, QueryInvalid)


def test_data_centre_is_refused_only_if_nobody_knows_it(system):
    leader = system.leader
    assert call(leader, "POST", "/-/evacuation/new")[0] == 400
    system.add_server("s1", data_centre="new")
    wait_until(lambda: "s1" in leader.hub.registry.servers, "the server")
    assert call(leader, "POST", "/-/evacuation/new")[0] == 200
    leader.hub.registry.servers.clear()
    assert call(leader, "DELETE", "/-/evacuation/new")[0] == 200
    leader.evacuations.data_centres = set
    assert call(leader, "POST", "/-/evacuation/s%c3%a3o-1")[0] == 200
    assert evacuated(leader) == {"são-1"}


def test_data_centres_are_those_of_the_settings_file_as_it_is_now(tmp_path):
    path = tmp_path / "settings.json"
    path.write_bytes(msgspec.json.encode(SETTINGS))
    current = CurrentSettings(path=path, settings=read_settings(path))
    assert current.data_centres() == set()
    zones = {"Zones": {"a": "north", "b": "north"}}
    path.write_bytes(msgspec.json.encode(SETTINGS | zones))
    current.modified_ns = 0
    assert current.data_centres() == {"a", "b"}
    path.write_bytes(b"{")
    current.modified_ns = 0
    assert current.data_centres() == {"a", "b"}
    assert current.seeds() == ["10.0.0.1:80"]
