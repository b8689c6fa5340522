"""Half-open connections: a silent peer is detected and replaced."""

import msgspec
from gevent import spawn
from gevent.server import StreamServer
from gevent.socket import create_connection

from test.library import SmallSystem, solo_settings, wait_until
from turmericreel.daemon.instance import Instance
from turmericreel.model.ids import DataCentreId, Incarnation, InstanceId
from turmericreel.protocols.control_messages import Hello
from turmericreel.protocols.frames import FrameStream
from turmericreel.util.clock import SystemClock

LEASE_MS = 200


def test_instance_replaces_a_silent_control_instance(system: SmallSystem, tmp_path):
    accepted = []
    silent = StreamServer(("127.0.0.1", 0), lambda sock, peer: accepted.append(sock))
    silent.start()
    base = solo_settings(tmp_path / "entry")
    settings = msgspec.structs.replace(
        base,
        instance=msgspec.structs.replace(
            base.instance, id=InstanceId("entry"), roles=("entry",)
        ),
        control=msgspec.structs.replace(
            base.control,
            peers={InstanceId("silent"): f"127.0.0.1:{silent.server_port}"},
            lease_ms=LEASE_MS,
        ),
    )
    entry = Instance(settings=settings, clock=SystemClock())
    entry.start()
    wait_until(lambda: accepted, what="connected to the silent one")
    live = f"127.0.0.1:{system.instance.control_service.port}"
    entry.control_client.order.addresses.append(live)
    wait_until(entry.control_client.lease_valid, what="lease from the live one")
    entry.stop()
    silent.stop()


def test_control_listener_drops_a_subscriber_that_went_silent(system: SmallSystem):
    service = system.instance.control_service
    service.idle_timeout_s = 0.1
    sock = create_connection(("127.0.0.1", service.port), timeout=10)
    stream = FrameStream(sock=sock, message_type=Hello, idle_timeout_s=10)
    stream.send(
        Hello(
            instance=InstanceId("quiet"),
            incarnation=Incarnation(1),
            data_centre=DataCentreId("d"),
            http_address="",
        )
    )
    closed = spawn(read_until_closed, sock)
    wait_until(closed.ready, what="the silent subscriber was disconnected")
    assert system.instance.control_client.lease_valid()


def read_until_closed(sock) -> None:
    """Read until the other side closes."""
    try:
        while sock.recv(65_536):
            pass
    except ConnectionError:
        pass
