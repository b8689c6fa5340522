"""A control group of three instances survives the loss of its leader."""

import re
from collections.abc import Iterator

import msgspec
import pytest
from gevent.socket import socket

from test.library import (
    OPERATOR_KEY,
    TEXT,
    http_call,
    solo_settings,
    wait_until,
)
from turmericreel.daemon.instance import Instance
from turmericreel.model.ids import InstanceId
from turmericreel.model.settings import Settings
from turmericreel.ui.operator_client import OperatorClient
from turmericreel.util.clock import SystemClock

NAMES = tuple(InstanceId(f"control-{n}") for n in range(3))


def free_addresses(n_addresses: int) -> list[str]:
    sockets = [socket() for _ in range(n_addresses)]
    for sock in sockets:
        sock.bind(("127.0.0.1", 0))
    addresses = [f"127.0.0.1:{sock.getsockname()[1]}" for sock in sockets]
    for sock in sockets:
        sock.close()
    return addresses


def group_settings(folder) -> dict[InstanceId, Settings]:
    addresses = free_addresses(2 * len(NAMES))
    control = dict(zip(NAMES, addresses[::2], strict=True))
    raft = dict(zip(NAMES, addresses[1::2], strict=True))
    settings_by_name = {}
    for name in NAMES:
        base = solo_settings(folder / name)
        settings_by_name[name] = msgspec.structs.replace(
            base,
            instance=msgspec.structs.replace(base.instance, id=name),
            listen=msgspec.structs.replace(
                base.listen, control=control[name], raft=raft[name]
            ),
            control=msgspec.structs.replace(
                base.control, peers=control, raft_peers=raft
            ),
        )
    return settings_by_name


@pytest.fixture
def group(tmp_path) -> Iterator[dict[InstanceId, Instance]]:
    """Yield three instances with the entry and control roles."""
    running = {
        name: Instance(settings=settings, clock=SystemClock())
        for name, settings in group_settings(tmp_path).items()
    }
    for instance in running.values():
        instance.start()
    yield running
    for instance in running.values():
        instance.stop()


def operator(instance: Instance) -> OperatorClient:
    return OperatorClient(address=str(instance.http_address), key=OPERATOR_KEY)


def wait_for_leases(group: dict[InstanceId, Instance]) -> None:
    wait_until(
        lambda: all(i.control_client.lease_valid() for i in group.values()),
        what="a lease on every instance",
    )


def metric(instance: Instance, name: str) -> float:
    address = f"127.0.0.1:{instance.metrics_server.port}"
    page = http_call(address, "GET", "/metrics").body.decode()
    return float(re.search(rf"^{name} (\S+)$", page, re.MULTILINE).group(1))


def leader_of(group: dict[InstanceId, Instance]) -> InstanceId:
    wait_until(lambda: any(i.log.is_leader() for i in group.values()), what="a leader")
    return next(name for name, i in group.items() if i.log.is_leader())


def test_text_survives_leader_loss(group):
    leader = leader_of(group)
    wait_for_leases(group)
    follower = next(name for name in group if name != leader)
    submit = operator(group[follower]).submit
    assert submit(submission="first", base_revision=0, text=TEXT) == 1
    group.pop(leader).stop()
    assert leader_of(group) != leader
    wait_for_leases(group)
    for instance in group.values():
        assert operator(instance).read("current_text") == {"revision": 1, "text": TEXT}
    assert sum(metric(i, "turmericreel_log_leader") for i in group.values()) == 1
    assert all(metric(i, "turmericreel_log_voters") == 3 for i in group.values())
    # A resent submission gets the first answer again, and a new one is accepted.
    assert submit(submission="first", base_revision=0, text=TEXT) == 1
    assert submit(submission="second", base_revision=1, text=TEXT + "\n") == 2
