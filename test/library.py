"""Helpers that start small complete systems for tests and send requests to them."""

from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import msgspec
from gevent import sleep
from geventhttpclient import HTTPClient

from turmericreel.daemon.instance import Instance
from turmericreel.fakes.backend_server import FakeBackendServer, FakeBehaviour
from turmericreel.model.ids import (
    BackendServerId,
    DataCentreId,
    Incarnation,
    InstanceId,
    ServiceName,
    VersionId,
)
from turmericreel.model.servers import BackendServer
from turmericreel.model.settings import (
    InstanceSettings,
    ListenSettings,
    OperatorsSettings,
    Settings,
)
from turmericreel.protocols.chat import ChatRequest
from turmericreel.ui.operator_client import OperatorClient
from turmericreel.util.clock import SystemClock
from turmericreel.util.keys import hash_key

OPERATOR_KEY = "tr_operator"
CALLER_KEY = "tr_caller"
WAIT_TIMEOUT_S = 60.0

TEXT = f"""
[client_accounts.household]
key_hashes = ["{hash_key(CALLER_KEY)}"]
requests_per_second = 10000.0
allowed = {{ "helper-llm" = ["small", "strong"], "booking-app" = ["v1"] }}

[services.helper-llm]
kind = "assistant"
quality_target = 0.7

[services.helper-llm.versions.small]
model = "oven-small"
input_price = 10
output_price = 40
prior_quality = 0.8

[services.helper-llm.versions.strong]
model = "oven-strong"
input_price = 100
output_price = 400
prior_quality = 0.95

[services.booking-app]
kind = "plain"
repeatable = ["GET /slots"]

[services.booking-app.versions.v1]
model = "java"
call_price = 5
"""


@dataclass(kw_only=True)
class HttpResult:
    """HTTP answer that a caller received."""

    status: int
    header: dict[str, str]
    body: bytes

    def json(self) -> Any:
        """Return the decoded body."""
        return msgspec.json.decode(self.body)


def http_call(
    address: str,
    method: str,
    path: str,
    *,
    body: bytes = b"",
    key: str = CALLER_KEY,
    **header: str,
) -> HttpResult:
    """Send one HTTP request; underscores in header names become hyphens."""
    host, _, port = address.rpartition(":")
    client = HTTPClient(host, port=int(port), connection_timeout=5, network_timeout=20)
    sent = {"Authorization": f"Bearer {key}"}
    sent |= {name.replace("_", "-"): value for name, value in header.items()}
    try:
        response = client.request(method, path, body=body, headers=sent)
        received = {name.title(): value for name, value in response.items()}
        return HttpResult(
            status=response.status_code, header=received, body=bytes(response.read())
        )
    finally:
        client.close()


def chat_body(text: str, *, stream: bool = False, max_tokens: int = 256) -> bytes:
    """Return the body of a chat request to the service helper-llm."""
    return msgspec.json.encode(
        ChatRequest(
            model="helper-llm",
            messages=[{"role": "user", "content": text}],
            stream=stream,
            max_tokens=max_tokens,
        )
    )


def wait_until(condition, *, what: str) -> None:
    """Wait until a condition holds; fail after `WAIT_TIMEOUT_S`, naming `what`."""
    clock = SystemClock()
    deadline = clock.monotonic() + WAIT_TIMEOUT_S
    while not condition():
        assert clock.monotonic() < deadline, f"timed out waiting for: {what}"
        sleep(0.01)


def start_fake(
    name: str,
    service: str,
    versions: list[str],
    homes: list[str],
    behaviour: FakeBehaviour | None = None,
    *,
    answers_probes: bool = False,
) -> FakeBackendServer:
    """Start a fake backend server that announces itself to `homes`."""
    fake = FakeBackendServer(
        server=BackendServer(
            server=BackendServerId(name),
            incarnation=Incarnation(1),
            service=ServiceName(service),
            versions=tuple(VersionId(v) for v in versions),
            data_centre=DataCentreId("north-mid-a"),
            address="127.0.0.1:0",
            neighbour="ovenslot",
            answers_probes=answers_probes,
        ),
        homes=homes,
        behaviour=behaviour or FakeBehaviour(),
    )
    fake.start()
    return fake


@dataclass(kw_only=True)
class SmallSystem:
    """One instance and its fake backend servers."""

    instance: Instance
    fakes: list[FakeBackendServer] = field(default_factory=list)

    @property
    def address(self) -> str:
        """HTTP address of the instance, as ``ip:port``."""
        return str(self.instance.http_address)

    @property
    def operator(self) -> OperatorClient:
        """New client that uses the operator's key."""
        return OperatorClient(address=self.address, key=OPERATOR_KEY)

    def stop(self) -> None:
        """Stop the fake servers and the instance."""
        for fake in self.fakes:
            fake.stop()
        self.instance.stop()


def solo_settings(folder: Path) -> Settings:
    """Return settings of a single entry and control instance, on free ports."""
    return Settings(
        instance=InstanceSettings(
            id=InstanceId("solo"),
            data_centre=DataCentreId("north-mid-a"),
            data_folder=str(folder / "data"),
        ),
        listen=ListenSettings(
            http="127.0.0.1:0", control="127.0.0.1:0", metrics="127.0.0.1:0"
        ),
        operators=OperatorsSettings(key_hashes=[hash_key(OPERATOR_KEY)]),
    )


def start_instance(folder: Path) -> Instance:
    """Start a single instance that has the entry and control roles."""
    instance = Instance(settings=solo_settings(folder), clock=SystemClock())
    instance.start()
    return instance


def start_small_system(folder: Path) -> SmallSystem:
    """Start an instance, submit `TEXT`, and start three fake backend servers."""
    system = SmallSystem(instance=start_instance(folder))
    system.operator.submit(submission="first", base_revision=0, text=TEXT)
    homes = [system.address]
    system.fakes = [
        start_fake("oven-1", "helper-llm", ["small"], homes),
        start_fake("oven-2", "helper-llm", ["small", "strong"], homes),
        start_fake("booking-1", "booking-app", ["v1"], homes),
    ]
    client = system.instance.control_client
    wait_until(
        lambda: len(client.view.servers) == 3 and client.lease_valid(),
        what="three servers registered",
    )
    return system
