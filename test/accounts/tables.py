"""Builders for commands, and a log that applies them to the state machine."""

import msgspec

from turmericreel.model.ids import (
    AttemptNumber,
    BackendServerId,
    ClientAccountId,
    ContentDigest,
    IdempotencyKey,
    InstanceId,
    RequestId,
    ServiceName,
    VersionId,
)
from turmericreel.state.bill import BillLine
from turmericreel.state.commands.claims import (
    ClaimState,
    CloseClaim,
    OpenClaim,
    RecordedAnswer,
)
from turmericreel.state.commands.ledger import (
    AttemptRecord,
    OpenIntent,
    ReportUsage,
    SettleIntent,
)
from turmericreel.state.commands.union import LogRecord
from turmericreel.state.machine import StateMachine

ACCOUNT = ClientAccountId("household")
OTHER_ACCOUNT = ClientAccountId("landlord")
HOUR_MS = 3_600_000


class Log:
    """Log that applies commands at given log times, without replication."""

    def __init__(self):
        self.machine = StateMachine()
        self.index = 0

    def at(self, time_ms: int, command=None):
        """Apply a command at a log time and return its result."""
        self.index += 1
        return self.machine.apply(
            LogRecord(index=self.index, term=1, time_ms=time_ms, command=command)
        )

    def reload(self) -> None:
        """Replace the state by one loaded from its own snapshot."""
        snapshot = self.machine.dump()
        archive = self.machine.ledger.archive
        self.machine = StateMachine()
        self.machine.ledger.archive = archive
        self.machine.load(snapshot)


def open_intent(request: str = "r1", *, deadline_ms: int = 60_000) -> OpenIntent:
    """Return a command that opens an intent until log time 10 s."""
    return OpenIntent(
        request=RequestId(request),
        account=ACCOUNT,
        service=ServiceName("helper-llm"),
        instance=InstanceId("entry-1"),
        open_until_ms=10_000,
        deadline_ms=deadline_ms,
    )


def attempt(
    number: int = 1,
    *,
    cost: int = 7,
    estimated: bool = False,
    server: str = "oven-1",
    neighbour: str = "ovenslot",
) -> AttemptRecord:
    """Return the record of an attempt."""
    return AttemptRecord(
        attempt=AttemptNumber(number),
        server=BackendServerId(server),
        neighbour=neighbour,
        version=VersionId("small"),
        prompt_tokens=10,
        completion_tokens=cost,
        cached_tokens=0,
        cost=cost,
        outcome="Completed",
        estimated=estimated,
    )


def settle(request: str = "r1", *attempts: AttemptRecord) -> SettleIntent:
    """Return a command that settles an intent, by default with one attempt."""
    return SettleIntent(
        request=RequestId(request),
        outcome="Completed",
        attempts=attempts or (attempt(),),
    )


def report(request: str = "r1", *, work: AttemptRecord) -> ReportUsage:
    """Return a backend server's usage report as a command."""
    return ReportUsage(request=RequestId(request), work=work)


def line(number: int, *, account: ClientAccountId = ACCOUNT, n_attempts: int = 1):
    """Return a final bill line."""
    attempts = tuple(
        attempt(n, neighbour="ovenslot" if n % 2 else "draisinas")
        for n in range(1, n_attempts + 1)
    )
    return BillLine(
        number=number,
        request=RequestId(f"r{number}"),
        account=account,
        service=ServiceName("helper-llm"),
        outcome="Completed",
        cost=sum(a.cost for a in attempts),
        settled_ms=1_000,
        attempts=attempts,
    )


def open_claim(
    request: str = "r1",
    *,
    key: str = "k1",
    digest: str = "d1",
    created_ms: int | None = None,
    releasable: bool = False,
    account: ClientAccountId = ACCOUNT,
    service: str = "booking-app",
) -> OpenClaim:
    """Return a command that opens a claim with a deadline at 60 s, expiring at 1 h."""
    return OpenClaim(
        account=account,
        service=ServiceName(service),
        key=IdempotencyKey(key),
        request=RequestId(request),
        digest=ContentDigest(digest),
        instance=InstanceId("entry-1"),
        expires_ms=HOUR_MS,
        deadline_ms=60_000,
        created_ms=created_ms,
        releasable=releasable,
    )


def close_claim(
    request: str = "r1",
    *,
    key: str = "k1",
    state: ClaimState = ClaimState.COMPLETED,
    body: bytes = b"booked",
) -> CloseClaim:
    """Return a command that closes a claim."""
    answer = RecordedAnswer(status=200, content_type="text/plain", body=body)
    return CloseClaim(
        account=ACCOUNT,
        service=ServiceName("booking-app"),
        key=IdempotencyKey(key),
        request=RequestId(request),
        state=state,
        answer=answer if state is ClaimState.COMPLETED else None,
    )


def encoded(value) -> bytes:
    """Return the deterministic encoding of a value, for comparing states."""
    return msgspec.msgpack.encode(value, order="deterministic")
