"""Instances over loopback: three control instances with disks, a relay, two entries."""

import socket
from pathlib import Path

import msgspec
import pytest

from test.library import OPERATOR_KEY, TEXT, http_call, start_fake, wait_until
from turmericreel.daemon.instance import Instance
from turmericreel.model.failures import FailureError
from turmericreel.model.ids import DataCentreId, InstanceId
from turmericreel.model.servers import LoadReport
from turmericreel.model.settings import (
    ControlSettings,
    InstanceSettings,
    ListenSettings,
    OperatorsSettings,
    Settings,
)
from turmericreel.ui.operator_client import OperatorClient
from turmericreel.util.clock import SystemClock
from turmericreel.util.keys import hash_key

ROLES = {
    "a": ("entry", "control"),
    "b": ("entry", "control"),
    "c": ("entry", "control"),
    "relay": ("relay",),
    "d": ("entry",),
    "e": ("entry",),
}


def free_addresses(n_addresses: int) -> list[str]:
    """Return addresses that are likely to be free."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(n_addresses)]
    addresses = [f"127.0.0.1:{sock.getsockname()[1]}" for sock in sockets]
    for sock in sockets:
        sock.close()
    return addresses


class System:
    """A system of running instances by name.

    Parameters
    ----------
    folder : Path
    """

    def __init__(self, folder: Path):
        self.folder = folder
        control = dict(zip("abc", free_addresses(3), strict=True))
        self.control = ControlSettings(
            peers=control,
            raft_peers=dict(zip("abc", free_addresses(3), strict=True)),
            relays={"relay": free_addresses(1)[0]},
            data_centres={"relay": DataCentreId("far")},
        )
        self.instances: dict[str, Instance] = {}
        for name in ROLES:
            self.start(name)

    def start(self, name: str) -> None:
        """Start an instance."""
        control = {**self.control.peers, **self.control.relays}
        settings = Settings(
            instance=InstanceSettings(
                id=InstanceId(name),
                data_centre=DataCentreId("far" if name in "de" else "near"),
                roles=ROLES[name],
                data_folder=str(self.folder / name),
            ),
            listen=ListenSettings(
                http="127.0.0.1:0",
                control=control.get(name, "127.0.0.1:0"),
                raft=self.control.raft_peers.get(name, "127.0.0.1:0"),
                metrics="127.0.0.1:0",
            ),
            control=self.control,
            operators=OperatorsSettings(key_hashes=[hash_key(OPERATOR_KEY)]),
        )
        self.instances[name] = Instance(settings=settings, clock=SystemClock())
        self.instances[name].start()

    def stop(self) -> None:
        """Stop all running instances."""
        for instance in self.instances.values():
            instance.stop()

    def entries(self) -> list[Instance]:
        """Return the running entry instances."""
        return [i for i in self.instances.values() if i.control_client is not None]

    def wait_for_leases(self) -> None:
        """Wait until every entry instance holds a lease."""
        wait_until(
            lambda: all(i.control_client.lease_valid() for i in self.entries()),
            what="a lease on every entry instance",
        )

    def leader(self) -> str:
        """Return the leader's name, or ``""``."""
        for name in "abc":
            if name in self.instances and self.instances[name].log.is_leader():
                return name
        return ""

    def operator(self, name: str) -> OperatorClient:
        """Return an operator's client for one instance."""
        address = str(self.instances[name].http_address)
        return OperatorClient(address=address, key=OPERATOR_KEY)


@pytest.fixture
def running(tmp_path):
    system = System(tmp_path)
    yield system
    system.stop()


def metric(instance: Instance, name: str) -> float | None:
    """Return the current value of a control metric, or None."""
    registry = instance.metrics_server.registry
    return registry.get_sample_value(f"turmericreel_control_{name}")


def test_tree_survives_its_leader_and_its_relay(running):
    running.wait_for_leases()
    revision = running.operator("d").submit(
        submission="first", base_revision=0, text=TEXT
    )
    wait_until(
        lambda: (
            running.operator("e").read("in_force", revision=str(revision))["waiting"]
            == 0
        ),
        what="the text in force on every instance",
    )
    for instance in running.entries():
        assert instance.control_client.view.revision == revision
    relay = running.instances["relay"].control_service
    assert {s.hello.instance for s in relay.subscribers.streams} == {"d", "e"}

    assert metric(running.instances["relay"], "subscribers") == 2
    assert metric(running.instances["relay"], "leader") == 0
    assert metric(running.instances["relay"], "oldest_revision") == revision
    assert metric(running.instances["d"], "revision") == revision
    assert metric(running.instances["d"], "lease_left_seconds") > 0

    home = str(running.instances["d"].http_address)
    fake = start_fake("oven-1", "helper-llm", ["small"], [home])
    wait_until(
        lambda: all(
            "oven-1" in i.control_client.view.servers for i in running.entries()
        ),
        what="the server known to every entry instance",
    )

    received_reports = []
    exchange = running.instances["e"].load_exchange
    exchange.report_load = lambda report, made_at: received_reports.append(report)
    load = LoadReport(
        server=fake.server.server,
        incarnation=fake.server.incarnation,
        running=3,
        waiting=2,
    )

    def report_received():
        http_call(home, "POST", "/v1/backend/load", body=msgspec.json.encode(load))
        return received_reports

    wait_until(report_received, what="a load report forwarded by the home")
    assert received_reports[0] == load

    running.instances.pop("relay").stop()
    lost = running.leader()
    running.instances.pop(lost).stop()
    wait_until(lambda: running.leader() != "", what="a new leader")
    running.wait_for_leases()

    def submitted():
        try:
            return running.operator("e").submit(
                submission="second",
                base_revision=revision,
                text=TEXT.replace("quality_target = 0.7", "quality_target = 0.6"),
            )
        except FailureError:
            return None

    second_revision = submitted()
    while second_revision is None:
        second_revision = submitted()
    assert second_revision == revision + 1
    wait_until(
        lambda: (
            running.operator("d").read("in_force", revision=str(second_revision))[
                "waiting"
            ]
            == 0
        ),
        what="the text in force on every instance after the loss",
    )
    for instance in running.entries():
        assert instance.control_client.view.revision == second_revision
    fake.leave()
    wait_until(
        lambda: (
            not any(
                "oven-1" in i.control_client.view.servers for i in running.entries()
            )
        ),
        what="the server gone on every entry instance",
    )
    fake.stop()
    wait_until(
        lambda: (
            len(running.entries()[0].control_client.view.instances)
            == len(running.entries())
        ),
        what="an instance list without the lost instance",
    )
