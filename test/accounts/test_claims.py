"""Claims: a key is granted once, and refused after the retention."""

import pytest

from test.accounts.tables import (
    HOUR_MS,
    OTHER_ACCOUNT,
    Log,
    close_claim,
    open_claim,
)
from turmericreel.model.failures import NotRunReason, failure_from_wire
from turmericreel.state.commands.base import Rejected
from turmericreel.state.commands.claims import ClaimGranted, ClaimHeld, ClaimState
from turmericreel.state.tables import claims
from turmericreel.state.tables.claims import CLAIM_RETENTION_MS


@pytest.fixture
def log() -> Log:
    return Log()


def reason(result) -> NotRunReason:
    assert isinstance(result, Rejected)
    return failure_from_wire(result.failure).reason


def test_first_request_is_granted_and_may_resend_command(log):
    assert isinstance(log.at(0, open_claim("r1")), ClaimGranted)
    assert isinstance(log.at(1, open_claim("r1")), ClaimGranted)
    held = log.at(2, open_claim("r2"))
    assert isinstance(held, ClaimHeld)
    assert (held.request, held.state) == ("r1", ClaimState.OPEN)


def test_holder_is_not_granted_again_after_its_call_ended(log):
    log.at(0, open_claim("r1"))
    log.at(1, close_claim("r1"))
    assert isinstance(log.at(2, open_claim("r1")), ClaimHeld)


def test_resend_gets_recorded_answer_after_snapshot(log):
    log.at(0, open_claim("r1"))
    log.at(1, close_claim("r1"))
    log.reload()
    held = log.at(2, open_claim("r2"))
    assert held.answer.body == b"booked"
    assert held.same_content
    assert not log.at(3, open_claim("r3", digest="d2")).same_content


def test_call_proven_not_run_releases_key(log):
    log.at(0, open_claim("r1"))
    log.at(1, close_claim("r1", state=ClaimState.NOT_RUN))
    assert isinstance(log.at(2, open_claim("r2")), ClaimGranted)
    log.at(3, close_claim("r1"))
    assert log.at(4, open_claim("r3")).state is ClaimState.OPEN


def test_overdue_claim_is_unknown_until_late_end_is_recorded(log):
    log.at(0, open_claim("r1"))
    log.at(60_000)
    assert log.at(60_001, open_claim("r2")).state is ClaimState.UNKNOWN
    log.at(61_000, close_claim("r1"))
    assert log.at(62_000, open_claim("r2")).answer.body == b"booked"


def test_overdue_claim_of_repeatable_call_releases_key(log):
    log.at(0, open_claim("r1", releasable=True))
    log.at(60_000)
    assert isinstance(log.at(60_001, open_claim("r2", releasable=True)), ClaimGranted)


@pytest.mark.parametrize("state", [ClaimState.COMPLETED, ClaimState.UNKNOWN])
@pytest.mark.parametrize("reload", [False, True])
@pytest.mark.parametrize("created_ms", [None, 0])
def test_resend_after_retention_is_refused(log, state, reload, created_ms):
    log.at(0, open_claim("r1", created_ms=created_ms))
    log.at(1, close_claim("r1", state=state))
    log.at(HOUR_MS + 1_000)
    assert log.machine.claims.claims == {}
    if reload:
        log.reload()
    again = log.at(HOUR_MS + 2_000, open_claim("r2", created_ms=created_ms))
    assert reason(again) is NotRunReason.KEY_EXPIRED


def test_dated_key_leaves_no_tombstone(log):
    log.at(0, open_claim("r1", created_ms=0))
    log.at(1, close_claim("r1"))
    log.at(HOUR_MS + 1_000)
    assert log.machine.claims.tombstones == {}


def test_number_of_undated_key_tombstones_is_bounded(log, monkeypatch):
    monkeypatch.setattr(claims, "MAX_TOMBSTONES", 2)
    for n in range(2):
        log.at(0, open_claim(f"r{n}", key=f"k{n}"))
        log.at(0, close_claim(f"r{n}", key=f"k{n}"))
    log.at(HOUR_MS + 1_000)
    refused = log.at(HOUR_MS + 1_001, open_claim("r9", key="k9"))
    assert reason(refused) is NotRunReason.KEY_REQUIRED
    dated = open_claim("r9", key="k9", created_ms=HOUR_MS)
    assert isinstance(log.at(HOUR_MS + 1_002, dated), ClaimGranted)
    other = open_claim("r8", key="k8", account=OTHER_ACCOUNT)
    assert isinstance(log.at(HOUR_MS + 1_003, other), ClaimGranted)


def test_key_created_in_the_future_is_refused(log):
    early = open_claim("r1", created_ms=60_000)
    assert reason(log.at(0, early)) is NotRunReason.BAD_REQUEST


def test_claim_of_running_call_outlives_retention(log):
    log.at(0, open_claim("r1", created_ms=30_000 - CLAIM_RETENTION_MS))
    log.at(31_000)
    assert log.at(31_001, open_claim("r2")).state is ClaimState.OPEN


def test_names_with_slashes_do_not_share_claims(log):
    log.at(0, open_claim("r1", service="a", key="b/c"))
    assert isinstance(log.at(1, open_claim("r2", service="a/b", key="c")), ClaimGranted)
