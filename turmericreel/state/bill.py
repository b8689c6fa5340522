"""Bill lines, their totals and their compact encoding for storage."""

import msgspec

from turmericreel.model.ids import ClientAccountId, RequestId, ServiceName
from turmericreel.state.commands.ledger import AttemptRecord


class BillLine(msgspec.Struct, frozen=True, kw_only=True):
    """Bill of one request; costs are in micro-credits.

    Parameters
    ----------
    number : int
        Number of the line among all final lines, from 0; -1 while it is provisional.
    expired : bool
        Whether the intent's deadline passed before the entry instance settled it.
    """

    number: int = -1
    request: RequestId
    account: ClientAccountId
    service: ServiceName
    outcome: str
    cost: int
    settled_ms: int
    attempts: tuple[AttemptRecord, ...]
    expired: bool = False

    @property
    def provisional(self) -> bool:
        """Whether a late usage report may still change the line."""
        return self.expired or any(attempt.estimated for attempt in self.attempts)


class Totals(msgspec.Struct, kw_only=True):
    """Sums over final lines and their attempts."""

    n_lines: int = 0
    n_attempts: int = 0
    n_estimated: int = 0
    n_expired: int = 0
    prompt_tokens: int = 0
    completion_tokens: int = 0
    cached_tokens: int = 0
    cost: int = 0

    def add_attempt(self, attempt: AttemptRecord) -> None:
        """Add one attempt to the sums."""
        self.n_attempts += 1
        self.n_estimated += attempt.estimated
        self.prompt_tokens += attempt.prompt_tokens
        self.completion_tokens += attempt.completion_tokens
        self.cached_tokens += attempt.cached_tokens
        self.cost += attempt.cost


class LedgerTotals(msgspec.Struct, kw_only=True):
    """Totals of the final lines, by client account and by executing neighbour."""

    by_account: dict[ClientAccountId, Totals] = {}
    by_neighbour: dict[str, Totals] = {}

    def add(self, line: BillLine) -> None:
        """Add a final line to the totals."""
        account = self.by_account.setdefault(line.account, Totals())
        account.n_lines += 1
        account.n_expired += line.expired
        for attempt in line.attempts:
            account.add_attempt(attempt)
            neighbour = self.by_neighbour.setdefault(attempt.neighbour, Totals())
            neighbour.n_lines += 1
            neighbour.n_expired += line.expired
            neighbour.add_attempt(attempt)


class _PackedAttempt(msgspec.Struct, array_like=True):
    attempt: int
    server: str
    neighbour: str
    version: str
    prompt_tokens: int
    completion_tokens: int
    cached_tokens: int
    cost: int
    outcome: str
    estimated: bool


class _PackedLine(msgspec.Struct, array_like=True):
    number: int
    request: str
    account: str
    service: str
    outcome: str
    cost: int
    settled_ms: int
    attempts: list[_PackedAttempt]
    expired: bool


_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(_PackedLine)


def pack_line(line: BillLine) -> bytes:
    """Return the encoded line."""
    attempts = [
        _PackedAttempt(*msgspec.structs.astuple(attempt)) for attempt in line.attempts
    ]
    packed = _PackedLine(
        number=line.number,
        request=line.request,
        account=line.account,
        service=line.service,
        outcome=line.outcome,
        cost=line.cost,
        settled_ms=line.settled_ms,
        attempts=attempts,
        expired=line.expired,
    )
    return _ENCODER.encode(packed)


def unpack_line(packed: bytes) -> BillLine:
    """Return the line that `pack_line` encoded."""
    fields = msgspec.structs.asdict(_DECODER.decode(packed))
    attempts = tuple(
        AttemptRecord(**msgspec.structs.asdict(attempt))
        for attempt in fields.pop("attempts")
    )
    return BillLine(attempts=attempts, **fields)
