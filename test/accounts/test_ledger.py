"""The ledger makes one line per intent, also with late, duplicate or lost commands."""

import pytest

from test.accounts.tables import (
    Log,
    attempt,
    encoded,
    open_intent,
    report,
    settle,
)
from turmericreel.state.commands.base import Done, Rejected
from turmericreel.state.tables.ledger import CORRECTION_WINDOW_MS, EXPIRED_OUTCOME


@pytest.fixture
def log() -> Log:
    return Log()


def lines(log: Log):
    ledger = log.machine.ledger
    final = ledger.archive.page(limit=100).lines
    return final + [p.line for p in ledger.provisional.values()]


def test_settled_intent_makes_one_final_line(log):
    log.at(0, open_intent())
    assert log.at(1, settle()) == Done()
    assert log.at(2, settle()) == Done(changed=False)
    assert log.at(3, open_intent()) == Done(changed=False)
    assert [line.cost for line in lines(log)] == [7]
    assert log.machine.ledger.intents == {}
    assert log.machine.ledger.counts.n_late_settlements == 0


def test_delayed_duplicate_of_a_settled_intent_is_rejected(log):
    log.at(0, open_intent())
    log.at(1, settle())
    log.at(100_000)
    assert log.machine.ledger.settled == {}
    assert isinstance(log.at(100_001, open_intent()), Rejected)
    log.at(900_000)
    assert len(lines(log)) == 1


def test_overdue_intent_makes_one_line_marked_as_expired(log):
    log.at(0, open_intent(deadline_ms=20_000))
    log.at(19_000)
    assert lines(log) == []
    log.at(20_000)
    (line,) = lines(log)
    assert line.expired
    assert line.outcome == EXPIRED_OUTCOME
    assert line.cost == 0
    log.at(20_000 + CORRECTION_WINDOW_MS)
    assert log.machine.ledger.provisional == {}
    assert len(lines(log)) == 1
    assert log.machine.ledger.counts.n_expired == 1


def test_settlement_after_the_deadline_corrects_the_line_once(log):
    log.at(0, open_intent(deadline_ms=20_000))
    log.at(20_000)
    assert log.at(30_000, settle()) == Done()
    assert log.at(30_001, settle("r1", attempt(cost=9))) == Done(changed=False)
    (line,) = lines(log)
    assert (line.cost, line.expired, line.outcome) == (7, True, "Completed")


def test_settlement_after_the_line_is_final_is_counted_as_unbilled(log):
    log.at(0, open_intent(deadline_ms=20_000))
    log.at(20_000)
    log.at(21_000 + CORRECTION_WINDOW_MS)
    assert log.at(22_000 + CORRECTION_WINDOW_MS, settle()) == Done(changed=False)
    assert log.machine.ledger.counts.n_late_settlements == 1
    assert log.machine.ledger.counts.unbilled_cost == 7


def test_report_replaces_an_estimate_in_either_order(log):
    for request, report_first in (("r1", True), ("r2", False)):
        log.at(0, open_intent(request))
        steps = [
            report(request, work=attempt(cost=9)),
            settle(request, attempt(cost=5, estimated=True)),
        ]
        for step in steps if report_first else reversed(steps):
            assert log.at(1, step) == Done()
    assert [line.cost for line in lines(log)] == [9, 9]
    assert log.machine.ledger.provisional == {}


def test_duplicate_report_changes_nothing(log):
    log.at(0, open_intent())
    duplicate = report(work=attempt(cost=9))
    log.at(1, duplicate)
    assert log.at(2, duplicate) == Done(changed=False)
    log.at(3, settle("r1", attempt(estimated=True)))
    assert log.at(4, duplicate) == Done(changed=False)
    assert log.machine.ledger.counts.n_duplicate_reports == 2
    assert [line.cost for line in lines(log)] == [9]


def test_report_does_not_replace_the_usage_in_the_answer(log):
    log.at(0, open_intent())
    log.at(1, report(work=attempt(cost=900)))
    log.at(2, settle())
    assert [line.cost for line in lines(log)] == [7]


def test_report_of_another_server_or_attempt_is_not_billed(log):
    log.at(0, open_intent())
    log.at(1, report(work=attempt(cost=900, server="oven-9")))
    log.at(2, settle("r1", attempt(estimated=True)))
    log.at(3, report(work=attempt(4, cost=900)))
    assert [line.cost for line in lines(log)] == [7]
    assert log.machine.ledger.counts.n_unmatched_reports == 2


def test_only_reported_usage_is_billed_after_a_crash(log):
    log.at(0, open_intent(deadline_ms=20_000))
    log.at(1, report(work=attempt(1, cost=3)))
    log.at(20_000)
    log.at(21_000, report(work=attempt(2, cost=4)))
    log.at(22_000, report(work=attempt(2, cost=4)))
    (line,) = lines(log)
    assert line.cost == 7
    assert line.expired
    log.at(23_000 + CORRECTION_WINDOW_MS)
    assert log.at(24_000 + CORRECTION_WINDOW_MS, report(work=attempt(3))) == Done(
        changed=False
    )
    assert lines(log)[0].cost == 7


def test_estimate_without_a_report_becomes_final(log):
    log.at(0, open_intent())
    log.at(1, settle("r1", attempt(estimated=True)))
    assert log.machine.ledger.n_final == 0
    log.at(1_000 + CORRECTION_WINDOW_MS)
    assert log.machine.ledger.n_final == 1
    assert log.machine.ledger.totals.by_account["household"].n_estimated == 1


def test_state_restored_from_a_snapshot_behaves_like_the_original(log):
    log.at(0, open_intent("r1", deadline_ms=20_000))
    log.at(0, open_intent("r2"))
    log.at(0, open_intent("r3"))
    log.at(1, settle("r2"))
    log.at(1, settle("r3", attempt(estimated=True)))
    log.reload()
    assert log.at(2, open_intent("r2")) == Done(changed=False)
    for time_ms in (20_000, 30_000, 200_000):
        log.at(time_ms)
    ledger = log.machine.ledger
    assert ledger.intents == ledger.settled == ledger.provisional == {}
    assert sorted(line.request for line in lines(log)) == ["r1", "r2", "r3"]


def test_replicas_expire_intents_into_identical_lines():
    logs = [Log(), Log()]
    for n, log in enumerate(logs):
        for k in range(50):
            log.at(0, open_intent(f"r{k}", deadline_ms=20_000 + k % 7))
        if n:
            log.reload()
        log.at(30_000)
        log.at(300_000)
    first, second = ([*lines(log)] for log in logs)
    assert encoded(first) == encoded(second)


def test_overdue_intent_is_due_without_other_records(log):
    log.at(0, open_intent(deadline_ms=20_000))
    assert not log.machine.has_due(9_000)
    assert log.machine.has_due(20_000)
    log.at(20_000)
    assert not log.machine.has_due(20_001)
