"""TLS on every listener, and mutual TLS between instances."""

from collections.abc import Iterator
from pathlib import Path

import msgspec
import pytest
import trustme
from gevent.socket import create_connection
from geventhttpclient.response import HTTPParseError

from test.library import (
    CALLER_KEY,
    TEXT,
    SmallSystem,
    solo_settings,
    start_fake,
    wait_until,
)
from turmericreel.client import Caller, Completed
from turmericreel.daemon.instance import Instance
from turmericreel.model.failures import FailureError
from turmericreel.model.settings import TlsSettings
from turmericreel.protocols.addresses import parse_address
from turmericreel.protocols.control_messages import ToInstance
from turmericreel.protocols.dropped_input import DROPPED_INPUT, DropReason, Endpoint
from turmericreel.protocols.frames import FrameStream
from turmericreel.protocols.http_client import build_http_client
from turmericreel.protocols.tls import client_context, connect_tls, server_context
from turmericreel.ui.operator_client import OperatorClient
from turmericreel.util.clock import SystemClock


def write_files(folder: Path, authority: trustme.CA) -> TlsSettings:
    """Write a certificate for the loopback address and return TLS settings for it."""
    folder.mkdir()
    issued = authority.issue_cert("127.0.0.1")
    issued.cert_chain_pems[0].write_to_path(str(folder / "certificate.pem"))
    issued.private_key_pem.write_to_path(str(folder / "key.pem"))
    authority.cert_pem.write_to_path(str(folder / "authority.pem"))
    return TlsSettings(
        certificate=str(folder / "certificate.pem"),
        private_key=str(folder / "key.pem"),
        authority=str(folder / "authority.pem"),
    )


@pytest.fixture
def tls(tmp_path) -> TlsSettings:
    """Return settings with a certificate of a trusted CA."""
    return write_files(tmp_path / "own", trustme.CA())


@pytest.fixture
def tls_system(tmp_path, tls) -> Iterator[SmallSystem]:
    """Yield an instance with TLS on all its listeners."""
    settings = msgspec.structs.replace(solo_settings(tmp_path), tls=tls)
    instance = Instance(settings=settings, clock=SystemClock())
    instance.start()
    yield SmallSystem(instance=instance)
    instance.stop()


def n_failed_handshakes(endpoint: Endpoint) -> float:
    reason = DropReason.HANDSHAKE_FAILED.value
    return DROPPED_INPUT.labels(door=endpoint.value, reason=reason)._value.get()


def get_status(address: str, path: str, authority: str | None) -> int:
    context = client_context(authority) if authority else None
    client = build_http_client(address, timeout_s=5, context=context)
    try:
        return client.get(path).status_code
    finally:
        client.close()


def test_instance_works_over_tls(tls_system: SmallSystem, tls: TlsSettings):
    control = tls_system.instance.control_client
    wait_until(control.lease_valid, what="lease over mutual TLS")
    operator = OperatorClient(
        address=tls_system.address,
        key=tls_system.operator.key,
        context=client_context(tls.authority),
    )
    assert operator.submit(submission="s", base_revision=0, text=TEXT) == 1
    assert get_status(tls_system.address, "/healthz", tls.authority) == 200
    metrics = f"127.0.0.1:{tls_system.instance.metrics_server.port}"
    assert get_status(metrics, "/metrics", tls.authority) == 200


def test_plain_text_and_untrusted_authorities_are_refused(
    tls_system: SmallSystem, tls: TlsSettings, tmp_path
):
    other = write_files(tmp_path / "other", trustme.CA())
    before = n_failed_handshakes(Endpoint.HTTP)
    with pytest.raises(Exception, match=r"(?i)certificate|verify"):
        get_status(tls_system.address, "/healthz", other.authority)
    with pytest.raises((OSError, HTTPParseError)):
        get_status(tls_system.address, "/healthz", None)
    wait_until(
        lambda: n_failed_handshakes(Endpoint.HTTP) >= before + 2, what="both counted"
    )
    assert get_status(tls_system.address, "/healthz", tls.authority) == 200


def test_control_listener_demands_a_certificate(
    tls_system: SmallSystem, tls: TlsSettings
):
    address = parse_address(f"127.0.0.1:{tls_system.instance.control_service.port}")
    before = n_failed_handshakes(Endpoint.CONTROL)
    sock = create_connection((address.host, address.port), timeout=5)
    context = client_context(tls.authority)
    stream = FrameStream(
        sock=connect_tls(sock, context, host=address.host),
        message_type=ToInstance,
        idle_timeout_s=5,
    )
    # The client's handshake ends first, so the rejection shows only on the first read.
    with pytest.raises(FailureError):
        stream.receive()
    stream.close()
    assert n_failed_handshakes(Endpoint.CONTROL) == before + 1


def test_missing_certificate_raises_failure_error(tls: TlsSettings):
    broken = msgspec.structs.replace(tls, certificate="nowhere.pem")
    with pytest.raises(FailureError, match="nowhere.pem"):
        server_context(broken)


def test_streams_and_bookings_work_over_tls(tls_system: SmallSystem, tls: TlsSettings):
    operator = OperatorClient(
        address=tls_system.address,
        key=tls_system.operator.key,
        context=client_context(tls.authority),
    )
    operator.submit(submission="s", base_revision=0, text=TEXT)
    context = client_context(tls.authority)
    for name, service, version in (
        ("oven-1", "helper-llm", "small"),
        ("booking-1", "booking-app", "v1"),
    ):
        fake = start_fake(name, service, [version], [tls_system.address])
        fake.announcer.context = context
        tls_system.fakes.append(fake)
    control = tls_system.instance.control_client
    wait_until(
        lambda: len(control.view.servers) == 2 and control.view.instances,
        what="servers over TLS",
    )
    caller = Caller(bootstrap=[tls_system.address], key=CALLER_KEY, context=context)
    stream = caller.stream("helper-llm", "echo:mine")
    assert "".join(stream) == "".join(f"mine:{n} " for n in range(16))
    booked = caller.call("booking-app", "POST", "/book", idempotency_key="k")
    assert isinstance(booked, Completed)
    for fake in tls_system.fakes:
        fake.stop()
