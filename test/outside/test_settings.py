"""Validation of settings, and completeness of the default settings file."""

import tomllib

import msgspec
import pytest

from turmericreel.model.check_settings import load_settings, parse_settings
from turmericreel.model.failures import FailureError
from turmericreel.model.settings import Settings, default_settings_source

FAULTY = """\
[instance]
id = "a"
data_centre = "north-mid-a"
roles = ["entry", "oracle"]
colour = "blue"

[listen]
http = "0.0.0.0:7080"
control = "localhost:7081"

[tls]
certificate = ""
private_key = "key.pem"

[control]
lease_ms = "long"
peers.a = "127.0.0.1:99999"

[operators]
key_hashes = ["sha256:short"]
"""


def faults_of(source: str) -> list[tuple[int, str]]:
    with pytest.raises(FailureError) as caught:
        parse_settings(source)
    return [(fault.line, fault.key) for fault in caught.value.failure.faults]


def test_all_faults_are_named_with_line_and_key():
    assert faults_of(FAULTY) == [
        (4, "instance.roles.1"),
        (5, "instance.colour"),
        (8, "listen.http"),
        (9, "listen.control"),
        (11, "tls"),
        (16, "control.lease_ms"),
        (17, "control.peers.a"),
        (20, "operators.key_hashes.0"),
    ]


def test_plain_text_beyond_loopback_needs_setting():
    source = default_settings_source().replace("127.0.0.1:7080", "10.0.0.7:7080")
    assert [key for _, key in faults_of(source)] == ["listen.http"]
    allowed_source = source.replace(
        "allow_plain_text = false", "allow_plain_text = true"
    )
    assert parse_settings(allowed_source).listen.http == "10.0.0.7:7080"


def test_entry_instance_needs_control_instances():
    source = '[instance]\nid = "a"\ndata_centre = "d"\nroles = ["entry"]\n'
    assert [key for _, key in faults_of(source)] == ["control.peers"]


def keys_of(struct: type, prefix: str = "") -> set[str]:
    keys = set()
    for field in msgspec.structs.fields(struct):
        name = prefix + field.encode_name
        if isinstance(field.type, type) and issubclass(field.type, msgspec.Struct):
            keys |= keys_of(field.type, name + ".")
        else:
            keys.add(name)
    return keys


def document_keys(table: dict, prefix: str = "") -> set[str]:
    keys = set()
    for name, value in table.items():
        if isinstance(value, dict) and value:
            keys |= document_keys(value, f"{prefix}{name}.")
        else:
            keys.add(prefix + name)
    return keys


def test_shipped_file_names_every_key_with_its_default():
    document = tomllib.loads(default_settings_source())
    assert document_keys(document) == keys_of(Settings)
    instance_table = {"id": document["instance"]["id"], "data_centre": "local"}
    assert load_settings(None) == msgspec.convert(
        {"instance": instance_table}, type=Settings
    )


def test_control_instances_must_know_each_other():
    source = default_settings_source().replace(
        "[control.raft_peers]",
        'solo = "127.0.0.1:1"\nother = "127.0.0.1:2"\n[control.raft_peers]\n'
        'other = "127.0.0.1:3"',
    )
    faults = faults_of(source.replace("heartbeat_ms = 100", "heartbeat_ms = 500"))
    assert [key for _, key in faults] == [
        "control.election_ms",
        "control.raft_peers",
        "control.raft_peers",
    ]
