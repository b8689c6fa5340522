"""Claims of calls under their idempotency keys, and the recorded answers.

A key is never granted twice.  A key that carries its creation time is refused once its
claim may have been deleted, so nothing needs to be stored for it.  For a key without a
creation time, a digest (tombstone) is stored permanently; each client account may have
a limited number of these.
"""

from typing import Any, NewType

import msgspec
import xxhash

from turmericreel.model.failures import NotRun, NotRunReason, failure_to_wire
from turmericreel.model.ids import ClientAccountId, ContentDigest, RequestId
from turmericreel.state.commands.base import Done, Rejected
from turmericreel.state.commands.claims import (
    ClaimGranted,
    ClaimHeld,
    ClaimState,
    CloseClaim,
    OpenClaim,
    RecordedAnswer,
)
from turmericreel.state.commands.union import Command, LogRecord, Result
from turmericreel.state.tables.table import Table
from turmericreel.util.expiry import ExpiryIndex

ClaimKey = NewType("ClaimKey", str)

CLAIM_RETENTION_MS = 3_600_000
MAX_CLOCK_SKEW_MS = 5_000
MAX_TOMBSTONES = 20_000


class Claim(msgspec.Struct, kw_only=True):
    """A call claimed under its idempotency key.

    Attributes
    ----------
    request : RequestId
        Holder of the claim.
    digest : ContentDigest
        Digest of the call's content, to detect a key reused for another content.
    expires_ms : int
        Log time at which the claim and its answer are deleted; extended while the
        claim is open.
    deadline_ms : int
        Log time at which an open claim is closed as unknown, or deleted if it is
        releasable.
    dated : bool
        Whether the key carries its creation time.
    releasable : bool
        Whether the call may be repeated, so that an unknown end frees the key.
    """

    request: RequestId
    account: ClientAccountId
    digest: ContentDigest
    state: ClaimState
    expires_ms: int
    deadline_ms: int
    dated: bool
    releasable: bool
    answer: RecordedAnswer | None = None


class _Dump(msgspec.Struct, kw_only=True):
    claims: dict[ClaimKey, Claim]
    tombstones: dict[ClientAccountId, list[bytes]]


def claim_key(command: OpenClaim | CloseClaim) -> ClaimKey:
    """Return the key of a call, unique across all accounts and services."""
    # Names may contain slashes, so the separator is a character that none can contain.
    return ClaimKey(f"{command.account}\0{command.service}\0{command.key}")


def tombstone_of(key: ClaimKey) -> bytes:
    """Return the digest of a key that is stored permanently."""
    return xxhash.xxh128_digest(key.encode())


class ClaimTable(Table):
    """Grants each idempotency key to one request.

    Attributes
    ----------
    claims : dict of ClaimKey to Claim
    tombstones : dict of ClientAccountId to set of bytes
        Digests of expired keys without a creation time.
    deadlines, expiries : ExpiryIndex
        Deadlines of the open claims, and expiry times of all claims.
    """

    commands = (OpenClaim, CloseClaim)

    def __init__(self):
        self._replace({}, {})

    def _replace(
        self,
        claims: dict[ClaimKey, Claim],
        tombstones: dict[ClientAccountId, set[bytes]],
    ) -> None:
        self.claims = claims
        self.tombstones = tombstones
        self.deadlines = ExpiryIndex()
        self.expiries = ExpiryIndex()
        for key, claim in claims.items():
            self._index(key, claim)

    def _index(self, key: ClaimKey, claim: Claim) -> None:
        self.expiries.add(key, claim.expires_ms)
        if claim.state is ClaimState.OPEN:
            self.deadlines.add(key, claim.deadline_ms)

    def advance(self, now_ms: int) -> None:
        """Close overdue claims and delete those past their retention."""
        for key in self.deadlines.pop_due(now_ms):
            claim = self.claims[key]
            if claim.releasable:
                self._remove(key)
            else:
                claim.state = ClaimState.UNKNOWN
        for key in self.expiries.pop_due(now_ms):
            self._expire(key)

    def has_due(self, now_ms: int) -> bool:
        """Return whether an open claim is overdue."""
        return self.deadlines.has_due(now_ms)

    def apply(self, command: Command, record: LogRecord) -> Result:
        """Open or close a claim."""
        if isinstance(command, OpenClaim):
            return self._open(command, record.time_ms)
        return self._close(command)

    def _open(self, command: OpenClaim, now_ms: int) -> Result:
        key = claim_key(command)
        claim = self.claims.get(key)
        if claim is not None and claim.state is not ClaimState.NOT_RUN:
            # After a failover the same proposal of the holder may be applied twice.
            if claim.request == command.request and claim.state is ClaimState.OPEN:
                return ClaimGranted(expires_ms=claim.expires_ms)
            return ClaimHeld(
                request=claim.request,
                state=claim.state,
                answer=claim.answer,
                same_content=claim.digest == command.digest,
                expires_ms=claim.expires_ms,
            )
        refused = self._refusal(command, key, now_ms)
        if refused is not None:
            return Rejected(failure=failure_to_wire(refused))
        if claim is not None:
            self._remove(key)
        return self._grant(command, key)

    def _grant(self, command: OpenClaim, key: ClaimKey) -> Result:
        claim = Claim(
            request=command.request,
            account=command.account,
            digest=command.digest,
            state=ClaimState.OPEN,
            expires_ms=_expiry_of(command),
            deadline_ms=command.deadline_ms,
            dated=command.created_ms is not None,
            releasable=command.releasable,
        )
        self.claims[key] = claim
        self._index(key, claim)
        return ClaimGranted(expires_ms=claim.expires_ms)

    def _refusal(self, command: OpenClaim, key: ClaimKey, now_ms: int) -> NotRun | None:
        digests = self.tombstones.get(command.account, ())
        if tombstone_of(key) in digests:
            return NotRun(reason=NotRunReason.KEY_EXPIRED)
        if command.created_ms is None:
            if len(digests) < MAX_TOMBSTONES or command.releasable:
                return None
            return NotRun(
                reason=NotRunReason.KEY_REQUIRED,
                detail="this account must send keys that carry their creation time",
            )
        if _expiry_of(command) <= now_ms:
            return NotRun(reason=NotRunReason.KEY_EXPIRED)
        if command.created_ms > now_ms + MAX_CLOCK_SKEW_MS:
            return NotRun(
                reason=NotRunReason.BAD_REQUEST,
                detail="the creation time of the idempotency key is in the future",
            )
        return None

    def _close(self, command: CloseClaim) -> Result:
        key = claim_key(command)
        claim = self.claims.get(key)
        if claim is None or claim.request != command.request:
            return Done(changed=False)
        if claim.state in (ClaimState.COMPLETED, ClaimState.NOT_RUN):
            return Done(changed=False)
        if claim.state is ClaimState.OPEN:
            self.deadlines.discard(key, claim.deadline_ms)
        claim.state = command.state
        claim.answer = command.answer
        return Done()

    def _expire(self, key: ClaimKey) -> None:
        claim = self.claims[key]
        if claim.state is ClaimState.OPEN:
            # The call may still be running, so its claim must not be deleted.
            claim.expires_ms = claim.deadline_ms + CLAIM_RETENTION_MS
            self.expiries.add(key, claim.expires_ms)
            return
        needs_tombstone = not (
            claim.dated or claim.releasable or claim.state is ClaimState.NOT_RUN
        )
        if needs_tombstone:
            digests = self.tombstones.setdefault(claim.account, set())
            digests.add(tombstone_of(key))
        del self.claims[key]

    def _remove(self, key: ClaimKey) -> None:
        claim = self.claims.pop(key)
        self.expiries.discard(key, claim.expires_ms)
        self.deadlines.discard(key, claim.deadline_ms)

    def dump(self) -> Any:
        """Return the claims and tombstones."""
        tombstones = {
            account: sorted(digests) for account, digests in self.tombstones.items()
        }
        return _Dump(claims=self.claims, tombstones=tombstones)

    def load(self, dumped: Any) -> None:
        """Replace the table by a decoded dump."""
        parts = msgspec.convert(dumped, type=_Dump)
        tombstones = {
            account: set(digests) for account, digests in parts.tombstones.items()
        }
        self._replace(parts.claims, tombstones)


def _expiry_of(command: OpenClaim) -> int:
    if command.created_ms is None:
        return command.expires_ms
    return command.created_ms + CLAIM_RETENTION_MS
