"""Dependencies: a service whose dependency is down answers "not run" immediately."""

from test.library import TEXT, SmallSystem, chat_body, http_call, wait_until
from turmericreel.decisions.dependencies import down_dependencies
from turmericreel.model.check_text import parse_text
from turmericreel.model.ids import (
    BackendServerId,
    DataCentreId,
    Incarnation,
    ServiceName,
    VersionId,
)
from turmericreel.model.servers import BackendServer

CHAIN = """
[services.a]
kind = "plain"
depends_on = ["b"]
versions.v1.model = "x"
[services.b]
kind = "plain"
depends_on = ["c"]
versions.v1.model = "x"
[services.c]
kind = "plain"
versions.v1 = { model = "x", state = "withdrawn" }
versions.v2.model = "x"
"""


def server(service: str, version: str) -> BackendServer:
    return BackendServer(
        server=BackendServerId(f"{service}-{version}"),
        incarnation=Incarnation(1),
        service=ServiceName(service),
        versions=(VersionId(version),),
        data_centre=DataCentreId("d"),
        address="127.0.0.1:1",
    )


def test_withdrawn_version_does_not_keep_a_dependency_up():
    text = parse_text(CHAIN)
    up = [server("b", "v1"), server("c", "v2")]
    assert down_dependencies(text, up) == {}
    withdrawn = [server("b", "v1"), server("c", "v1")]
    assert down_dependencies(text, withdrawn) == {"a": "c", "b": "c"}
    assert down_dependencies(text, [server("c", "v2")]) == {"a": "b"}


def test_dependant_is_not_run_while_its_dependency_is_down(system: SmallSystem):
    depends = 'kind = "assistant"\ndepends_on = ["booking-app"]'
    text = TEXT.replace('kind = "assistant"', depends)
    system.operator.submit(submission="second", base_revision=1, text=text)
    control = system.instance.control_client
    wait_until(lambda: control.view.revision == 2, what="revision 2")
    chat = ("POST", "/v1/chat/completions")
    wait_until(control.lease_valid, what="lease")
    assert http_call(system.address, *chat, body=chat_body("hi")).status == 200
    system.fakes[2].leave()
    wait_until(lambda: "booking-1" not in control.view.servers, what="booking gone")
    n_before = sum(len(fake.record.requests) for fake in system.fakes)
    answer = http_call(system.address, *chat, body=chat_body("hi"))
    assert answer.json()["error"]["reason"] == "dependency_down"
    assert sum(len(fake.record.requests) for fake in system.fakes) == n_before
