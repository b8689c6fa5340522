"""Encoded sizes of sample messages, for the byte rates of the capacity page."""

import msgspec

from bench.stand_ins import backend_server
from turmericreel.model.ids import (
    AttemptNumber,
    ClientAccountId,
    DataCentreId,
    Incarnation,
    InstanceId,
    RequestId,
    ServiceName,
    SessionId,
)
from turmericreel.protocols.control_messages import (
    Answered,
    InstanceInfo,
    InstancesPush,
    Propose,
)
from turmericreel.protocols.frames import HEADER
from turmericreel.protocols.load_messages import LoadDigest, LoadInterest, ServerLoad
from turmericreel.state.commands.base import Done
from turmericreel.state.commands.ledger import AttemptRecord, OpenIntent, SettleIntent
from turmericreel.state.commands.sessions import BindSession, SessionBound
from turmericreel.state.commands.union import Batch, BatchApplied

UDP_HEADER_BYTES = 28
TIME_MS = 1_796_000_000_000
REQUEST = RequestId("0192f3a4b5c6d7e8f90a1b2c3d4e5f60")
ACCOUNT = ClientAccountId("account-17")
SERVICE = ServiceName("helper-llm")
SERVER = backend_server(17)


def _framed(message: msgspec.Struct) -> int:
    return len(msgspec.msgpack.encode(message)) + HEADER.size


def _datagram(message: msgspec.Struct) -> int:
    return len(msgspec.msgpack.encode(message)) + UDP_HEADER_BYTES


def digest_bytes() -> int:
    """Return the bytes of a datagram with the load of one server."""
    load = ServerLoad(SERVER.server, Incarnation(TIME_MS), 3, 1, 0.5, 412)
    return _datagram(LoadDigest(loads=(load,)))


def interest_bytes() -> int:
    """Return the bytes of a datagram that requests the load of one server."""
    return _datagram(
        LoadInterest(instance=InstanceId("entry-017"), servers=(SERVER.server,))
    )


def instance_bytes() -> int:
    """Return the bytes of a push with one changed instance."""
    info = InstanceInfo(
        instance=InstanceId("entry-017"),
        data_centre=DataCentreId("centre-1"),
        http_address="10.1.0.17:7080",
        incarnation=Incarnation(TIME_MS),
        load_address="10.1.0.17:7084",
    )
    return _framed(InstancesPush(instances=(info,)))


def proposal_bytes() -> int:
    """Return the bytes that billing one request to an assistant sends and receives."""
    bind = BindSession(
        account=ACCOUNT,
        service=SERVICE,
        session=SessionId(REQUEST),
        version=SERVER.versions[0],
        expires_ms=TIME_MS,
    )
    intent = OpenIntent(
        request=REQUEST,
        account=ACCOUNT,
        service=SERVICE,
        instance=InstanceId("entry-017"),
        open_until_ms=TIME_MS,
        deadline_ms=TIME_MS,
    )
    attempt = AttemptRecord(
        attempt=AttemptNumber(1),
        server=SERVER.server,
        neighbour=SERVER.neighbour,
        version=SERVER.versions[0],
        prompt_tokens=1_200,
        completion_tokens=280,
        cached_tokens=900,
        cost=14_300,
        outcome="completed",
    )
    settle = SettleIntent(request=REQUEST, outcome="completed", attempts=(attempt,))
    bound = SessionBound(version=SERVER.versions[0])
    messages = [
        Propose(call=100_000, command=Batch(commands=(bind, intent))),
        Answered(call=100_000, result=BatchApplied(results=(bound, Done()))),
        Propose(call=100_001, command=settle),
        Answered(call=100_001, result=Done()),
    ]
    return sum(_framed(message) for message in messages)
