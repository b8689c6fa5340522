"""A poison request in a running system is quarantined after it crashed two servers."""

from test.library import (
    OPERATOR_KEY,
    TEXT,
    chat_body,
    http_call,
    start_instance,
    wait_until,
)
from turmericreel.fakes.backend_server import (
    FakeBackendServer,
    FakeBehaviour,
    FakeFault,
)
from turmericreel.model.ids import (
    BackendServerId,
    DataCentreId,
    Incarnation,
    ServiceName,
    VersionId,
)
from turmericreel.model.servers import BackendServer
from turmericreel.ui.operator_client import OperatorClient

POISON_WORD = "poison"
CHAT = "/v1/chat/completions"
OK = 200
QUARANTINED = 422


def start_server(name: str, home: str, behaviour: FakeBehaviour) -> FakeBackendServer:
    server = BackendServer(
        server=BackendServerId(name),
        incarnation=Incarnation(1),
        service=ServiceName("helper-llm"),
        versions=(VersionId("small"), VersionId("strong")),
        data_centre=DataCentreId("north-mid-a"),
        address="127.0.0.1:0",
    )
    fake = FakeBackendServer(server=server, homes=[home], behaviour=behaviour)
    fake.start()
    return fake


def test_resent_poison_request_crashes_two_servers(tmp_path):
    instance = start_instance(tmp_path)
    address = str(instance.http_address)
    operator = OperatorClient(address=address, key=OPERATOR_KEY)
    operator.submit(submission="s", base_revision=0, text=TEXT)
    poisonable = FakeBehaviour(poison=POISON_WORD)
    fakes = [start_server(f"oven-{n}", address, poisonable) for n in range(5)]
    client = instance.control_client
    wait_until(
        lambda: len(client.view.servers) == 5 and client.lease_valid(),
        what="five servers registered",
    )
    try:
        body = chat_body("poison")
        answers = [http_call(address, "POST", CHAT, body=body) for _ in range(6)]
        crashed = [fake for fake in fakes if fake.record.n_crashes]
        innocent = http_call(address, "POST", CHAT, body=chat_body("hello"))
    finally:
        for fake in fakes:
            fake.stop()
        instance.stop()
    assert len(crashed) == 2
    assert answers[-1].status == 422
    assert answers[-1].json()["error"]["reason"] == "quarantined"
    assert innocent.status == 200


def test_connections_that_break_while_servers_go_on_quarantine_no_request(
    tmp_path, monkeypatch
):
    monkeypatch.setattr("turmericreel.entry.contents.SURVIVAL_CHECK_DELAY_S", 0.5)
    instance = start_instance(tmp_path)
    address = str(instance.http_address)
    operator = OperatorClient(address=address, key=OPERATOR_KEY)
    operator.submit(submission="s", base_revision=0, text=TEXT)
    breaking = FakeBehaviour(fault=FakeFault.NO_ANSWER)
    fakes = [start_server(f"oven-{n}", address, breaking) for n in range(5)]
    client = instance.control_client
    wait_until(
        lambda: len(client.view.servers) == 5 and client.lease_valid(),
        what="five servers registered",
    )

    def status() -> int:
        return http_call(address, "POST", CHAT, body=chat_body("hello")).status

    try:
        wait_until(lambda: status() == QUARANTINED, what="a quarantine")
        breaking.fault = FakeFault.NONE
        wait_until(lambda: status() == OK, what="an answer")
    finally:
        for fake in fakes:
            fake.stop()
        instance.stop()
