"""Builders of objects for tests of decisions."""

from random import Random

from turmericreel.model.ids import (
    BackendServerId,
    ClientAccountId,
    ContentDigest,
    DataCentreId,
    Incarnation,
    RequestId,
    ServiceName,
    SessionId,
    VersionId,
)
from turmericreel.model.request import Request, RequestKind
from turmericreel.model.servers import BackendServer
from turmericreel.model.text import VersionText

SERVICE = ServiceName("helper-llm")
SMALL = VersionId("small")
STRONG = VersionId("strong")


def make_request(
    number: int = 0,
    *,
    kind: RequestKind = RequestKind.CHAT,
    account: str = "household",
    session: str | None = None,
    deadline: float = 1e9,
    repeatable: bool = True,
    body: bytes = b"{}",
) -> Request:
    """Return a request with a unique id and digest per number."""
    return Request(
        request_id=RequestId(f"r{number}"),
        account=ClientAccountId(account),
        service=SERVICE,
        kind=kind,
        deadline=deadline,
        method="POST",
        path="/v1/chat/completions",
        body=body,
        digest=ContentDigest(f"d{number}"),
        session=SessionId(session) if session else None,
        repeatable=repeatable,
    )


def make_server(
    name: str,
    *,
    versions: tuple[str, ...] = ("small", "strong"),
    data_centre: str = "north-mid-a",
    capacity: int = 8,
    incarnation: int = 1,
    answers_probes: bool = False,
) -> BackendServer:
    """Return a backend server of `SERVICE`."""
    return BackendServer(
        server=BackendServerId(name),
        incarnation=Incarnation(incarnation),
        service=SERVICE,
        versions=tuple(VersionId(v) for v in versions),
        data_centre=DataCentreId(data_centre),
        address="127.0.0.1:1",
        capacity=capacity,
        answers_probes=answers_probes,
    )


def make_versions(**prior_quality: float) -> dict[VersionId, VersionText]:
    """Return versions in the given order, each four times as expensive as the last."""
    price = 10
    versions = {}
    for name, prior in prior_quality.items():
        versions[VersionId(name)] = VersionText(
            model=name, output_price=price, input_price=price, prior_quality=prior
        )
        price *= 4
    return versions


def make_rng(seed: int = 1) -> Random:
    """Return a new seeded random source."""
    return Random(seed)
