"""Platform documents are decoded into internal types or rejected by typed failures."""

import json

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from turmericreel.model.check_routing import check_routing
from turmericreel.model.failures import FailureError, QueryInvalid, RoutingRejected
from turmericreel.model.registered_server import ServerState
from turmericreel.model.routing import RouteKind
from turmericreel.platform import configuration
from turmericreel.platform.configuration import PlatformCodec, decode_heartbeat
from turmericreel.platform.settings import (
    coordinator_settings,
    gateway_settings,
    read_settings,
)
from turmericreel.protocols.routing_messages import Servers

ROUTE = {
    "Name": "r-1",
    "Hostname": "a.example",
    "PathPrefix": "/a/",
    "RouteType": "streaming",
    "TimeoutMs": 25_000,
    "TargetLatencyMs": 3_000,
    "Priority": 1,
    "Sizes": ["small", "large"],
    "TrafficSplit": [{"Backend": "one", "Weight": 9}, {"Backend": "two", "Weight": 1}],
    "MaxAttempts": 3,
    "Public": False,
    "SessionAffinity": True,
    "StreamResume": True,
    "ItlTargetMs": 1_000,
}
PLAIN = {
    "Name": "r-2",
    "Hostname": "a.example",
    "PathPrefix": "/b/",
    "RouteType": "unsafe",
    "TimeoutMs": 800,
    "Backend": "two",
}
BODY = {
    "Version": 7,
    "Routes": [ROUTE, PLAIN],
    "Backends": [
        {
            "Name": "one",
            "HealthCheck": "/h",
            "MaxConnections": 10,
            "Protocol": "h1",
            "WarmupS": 3.0,
            "WarmupPerS": 10.0,
            "Runtime": {
                "Slots": 64,
                "KvCapacity": 1_000,
                "Models": [{"Name": "small", "Cost": 0.1}],
            },
        },
        {"Name": "two", "HealthCheck": "/h", "MaxConnections": 5},
    ],
    "Limits": {
        "MaxHeaderBytes": 16_384,
        "MaxBodyBytes": 4_194_304,
        "HeaderTimeoutMs": 3_000,
        "IdleTimeoutMs": 15_000,
    },
    "Tenants": [{"Name": "north", "ApiKeys": ["k1", "k2"], "Priority": 1}],
}
HEARTBEAT = {
    "Backend": "one",
    "Address": "10.0.0.9:8080",
    "Zone": "a",
    "Version": "v1",
    "Slots": 64,
    "State": "draining",
    "WarmupLeftMs": 120.5,
    "Sequence": 4,
    "born": 1_700_000_000_000,
    "Phase": "mixed",
}
SETTINGS = {
    "NodeName": "edge-1",
    "Serves": ["edge"],
    "Ip": "10.0.0.1",
    "Zone": "a",
    "Listen": {"Frontend": "10.0.0.1:80", "ControlPlane": "10.0.0.1:81"},
    "InternalPortRange": [7_000, 7_010],
    "SeedNodes": ["10.0.0.1:81", "10.0.0.2:81"],
    "Bootstrap": True,
    "DataDir": None,
    "HeartbeatMs": 1_200,
    "Limits": {"MaxFds": 4_100},
    "Bounds": {"GraceS": 8, "RetryBudgetRatio": 0.9, "SessionS": 5, "ttl_max_s": 1},
    "SomethingNew": 1,
}


def decode(body):
    return PlatformCodec().decode(json.dumps(body).encode())


def test_configuration_is_decoded():
    configuration = decode(BODY)
    check_routing(configuration)
    stream, plain = configuration.routes
    assert configuration.revision == 7
    assert stream.kind is RouteKind.STREAM and stream.is_idempotent
    assert [(s.service, s.weight) for s in stream.shares] == [("one", 9), ("two", 1)]
    assert stream.model_sizes == ("small", "large")
    assert plain.kind is RouteKind.UNSAFE and not plain.is_idempotent
    assert [s.service for s in plain.shares] == ["two"]
    assert configuration.services[0].engine.models[0].cost == 0.1
    assert configuration.services[1].engine is None
    assert configuration.limits.idle_timeout_ms == 15_000
    assert configuration.accounts[0].keys == ("k1", "k2")


def test_unchanged_routes_are_decoded_once(monkeypatch):
    """Many gateways decode each change of a document with thousands of routes."""
    decoded = []
    translate = configuration._route

    def count_and_translate(entry):
        decoded.append(entry.name)
        return translate(entry)

    monkeypatch.setattr(configuration, "_route", count_and_translate)
    routes = [{**ROUTE, "PathPrefix": f"/{n}/", "Name": f"r-{n}"} for n in range(50)]
    codec = PlatformCodec()
    first = codec.decode(json.dumps({**BODY, "Routes": routes}).encode())
    assert len(decoded) == 50
    changed = [*routes[1:], {**routes[0], "TimeoutMs": 7_000}]
    body = json.dumps({**BODY, "Version": 8, "Routes": changed}).encode()
    second = codec.decode(body)
    assert len(decoded) == 51
    assert second.routes[:49] == first.routes[1:]
    assert second.routes[49].timeout_ms == 7_000
    assert second == PlatformCodec().decode(body)


def test_rejected_document_leaves_known_routes_as_they_are():
    codec = PlatformCodec()
    codec.decode(json.dumps(BODY).encode())
    known = dict(codec.known_routes)
    odd = {**BODY, "Routes": [{**ROUTE, "Name": "new"}, {**ROUTE, "TimeoutMs": "x"}]}
    with pytest.raises(FailureError) as caught:
        codec.decode(json.dumps(odd).encode())
    assert isinstance(caught.value.failure, RoutingRejected)
    assert codec.known_routes == known


def test_configuration_without_tenants_needs_no_key():
    body = {name: value for name, value in BODY.items() if name != "Tenants"}
    assert decode(body).accounts is None


@pytest.mark.parametrize(
    "change",
    [
        {"Version": "7"},
        {"Routes": None},
        {"Routes": [{**ROUTE, "RouteType": "other"}]},
        {"Backends": {}},
    ],
)
def test_invalid_configuration_raises_routing_rejected(change):
    with pytest.raises(FailureError) as caught:
        decode({**BODY, **change})
    assert isinstance(caught.value.failure, RoutingRejected)


def test_truncated_configuration_raises_routing_rejected():
    written = json.dumps(BODY).encode()
    for end in range(0, len(written) - 1, 37):
        with pytest.raises(FailureError) as caught:
            PlatformCodec().decode(written[:end])
        assert isinstance(caught.value.failure, RoutingRejected)


def test_heartbeat_is_decoded_as_registration():
    server = decode_heartbeat("i-1", json.dumps(HEARTBEAT).encode())
    assert (server.server, server.service) == ("i-1", "one")
    assert server.state is ServerState.DRAINING
    assert (server.incarnation, server.sequence) == (1_700_000_000_000, 4)
    assert server.warmup_left_ms == 120


@pytest.mark.parametrize("name", [n for n in HEARTBEAT if n not in ("born", "Phase")])
def test_heartbeat_with_field_of_wrong_type_raises_query_invalid(name):
    with pytest.raises(FailureError) as caught:
        decode_heartbeat("i-1", json.dumps({**HEARTBEAT, name: [None]}).encode())
    assert isinstance(caught.value.failure, QueryInvalid)


JSON_VALUES = st.recursive(
    st.none() | st.booleans() | st.integers() | st.floats() | st.text(max_size=5),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(
            st.sampled_from([*BODY, *ROUTE, *HEARTBEAT]), inner, max_size=4
        )
    ),
    max_leaves=12,
)


@given(st.binary(max_size=60) | JSON_VALUES.map(lambda v: json.dumps(v).encode()))
def test_arbitrary_bytes_raise_only_typed_failures(written):
    for decoder, failure in (
        (PlatformCodec().decode, RoutingRejected),
        (lambda data: decode_heartbeat("i-1", data), QueryInvalid),
    ):
        try:
            decoder(written)
        except FailureError as error:
            assert isinstance(error.failure, failure)


@given(st.sampled_from(sorted(HEARTBEAT)), JSON_VALUES)
def test_unexpected_field_value_is_rejected_or_accepted(name, value):
    try:
        server = decode_heartbeat(
            "i-1", json.dumps({**HEARTBEAT, name: value}).encode()
        )
    except FailureError as error:
        assert isinstance(error.failure, QueryInvalid)
    else:
        assert server.server == "i-1"
        msgspec.msgpack.encode(Servers(servers=(server,)))


ODD_FIELDS = {
    "sequence over 64 bits": {"Sequence": 2**70},
    "sequence of many digits": {"Sequence": 10**4_000},
    "negative sequence": {"Sequence": -1},
    "slots over 64 bits": {"Slots": 10**30},
    "start time over 64 bits": {"born": 2**80},
    "warm-up over 64 bits": {"WarmupLeftMs": 1e300},
    "port over 16 bits": {"Address": "10.0.0.9:99999"},
    "port of many digits": {"Address": "10.0.0.9:" + "9" * 5_000},
    "port 0": {"Address": "10.0.0.9:0"},
    "long name": {"Version": "v" * 100_000},
}


@pytest.mark.parametrize("odd", ODD_FIELDS.values(), ids=ODD_FIELDS)
def test_odd_heartbeat_is_rejected_before_others_are_told(odd):
    body = json.dumps({**HEARTBEAT, **odd}).encode()
    with pytest.raises(FailureError) as caught:
        decode_heartbeat("i-1", body)
    assert isinstance(caught.value.failure, QueryInvalid)


@pytest.mark.parametrize("opening", [b"[", b'{"a":'])
def test_deeply_nested_field_is_rejected(opening):
    body = json.dumps(HEARTBEAT).encode()[:-1] + b',"X":' + opening * 100_000
    with pytest.raises(FailureError) as caught:
        decode_heartbeat("i-1", body)
    assert isinstance(caught.value.failure, QueryInvalid)
    with pytest.raises(FailureError) as caught:
        PlatformCodec().decode(
            json.dumps(BODY).encode()[:-1] + b',"X":' + opening * 9**6
        )
    assert isinstance(caught.value.failure, RoutingRejected)


@pytest.mark.parametrize(
    "odd",
    [
        {"Version": 2**70},
        {"Routes": [{**ROUTE, "TimeoutMs": 1e300}]},
        {"Routes": [{**ROUTE, "Priority": 2**70}]},
        {"Limits": {"MaxBodyBytes": 2**70}},
    ],
)
def test_configuration_with_a_number_too_large_is_rejected(odd):
    with pytest.raises(FailureError) as caught:
        PlatformCodec().decode(json.dumps({**BODY, **odd}).encode())
    assert isinstance(caught.value.failure, RoutingRejected)


def test_settings_are_translated(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(SETTINGS))
    settings = read_settings(path)
    gateway = gateway_settings(settings)
    assert gateway.client_address == "10.0.0.1:80"
    assert gateway.stop_deadline_ms == 8_000
    assert gateway.list_validity_ms == 1_000
    coordinator = coordinator_settings(settings)
    assert coordinator.is_founder
    assert coordinator.instance == "10.0.0.1:81"
    assert (coordinator.internal_port, coordinator.raft_port) == (7_000, 7_001)


def test_cold_rate_comes_from_the_configuration_and_its_bounds_from_settings(tmp_path):
    decoded = PlatformCodec().decode(json.dumps(BODY).encode())
    assert [s.cold_rate for s in decoded.services] == [10.0, None]
    for without in (0, 0.0, None):
        backend = {**BODY["Backends"][0], "WarmupPerS": without}
        body = {**BODY, "Backends": [backend, BODY["Backends"][1]]}
        decoded = PlatformCodec().decode(json.dumps(body).encode())
        assert decoded.services[0].cold_rate is None
    path = tmp_path / "settings.json"
    path.write_text(json.dumps(SETTINGS))
    strictest = gateway_settings(read_settings(path)).cold_bounds
    assert (strictest.overshoot, strictest.slack) == (1.0, 0.0)
    bounds = {**SETTINGS["Bounds"], "WarmupOvershoot": 1.5, "WarmupSlack": 5}
    path.write_text(json.dumps({**SETTINGS, "Bounds": bounds}))
    settings = read_settings(path)
    for translated in (gateway_settings(settings), coordinator_settings(settings)):
        assert translated.cold_bounds.overshoot == 1.5
        assert translated.cold_bounds.slack == 5


def test_coordinator_outside_its_seeds_is_no_founder(tmp_path):
    path = tmp_path / "settings.json"
    path.write_text(json.dumps({**SETTINGS, "SeedNodes": ["10.0.0.2:81"]}))
    assert not coordinator_settings(read_settings(path)).is_founder


def test_unreadable_settings_raise_failure(tmp_path):
    path = tmp_path / "settings.json"
    with pytest.raises(FailureError):
        read_settings(path)
    path.write_text("{")
    with pytest.raises(FailureError):
        read_settings(path)
