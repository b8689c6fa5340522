"""The ledger: open intents, and one bill line for each of them.

A line is final when the usage of every attempt is known; it then moves from this table
to the archive.  A line with estimated usage, or whose intent expired, stays
provisional for `CORRECTION_WINDOW_MS`, in which a late usage report may correct it.
"""

from typing import Any

import msgspec

from turmericreel.model.failures import NotRun, NotRunReason, failure_to_wire
from turmericreel.model.ids import ClientAccountId, InstanceId, RequestId, ServiceName
from turmericreel.state.archive import LineArchive, MemoryArchive
from turmericreel.state.bill import BillLine, LedgerTotals
from turmericreel.state.commands.base import Done, Rejected
from turmericreel.state.commands.ledger import (
    AttemptRecord,
    OpenIntent,
    ReportUsage,
    SettleIntent,
)
from turmericreel.state.commands.union import Command, LogRecord, Result
from turmericreel.state.tables.table import Table
from turmericreel.util.expiry import ExpiryIndex

CORRECTION_WINDOW_MS = 120_000
RESEND_WINDOW_MS = 15_000
EXPIRED_OUTCOME = "Expired"


class Intent(msgspec.Struct, frozen=True, kw_only=True):
    """A request whose work may have begun, with the usage reported so far.

    Attributes
    ----------
    open_until_ms : int
        Log time from which the command that opens the intent is refused.
    deadline_ms : int
        Log time at which the intent expires if it has not been settled.
    """

    account: ClientAccountId
    service: ServiceName
    instance: InstanceId
    open_until_ms: int
    deadline_ms: int
    reports: tuple[AttemptRecord, ...] = ()


class ProvisionalLine(msgspec.Struct, frozen=True, kw_only=True):
    """A line that late reports may correct until `final_ms` of log time."""

    line: BillLine
    final_ms: int


class LedgerCounts(msgspec.Struct, kw_only=True):
    """Counts of irregular settlements and reports.

    Parameters
    ----------
    n_late_settlements : int
        Settlements with work that arrived after the line was final.  One that is
        resent after a long loss of the control connection counts too, so this and
        `unbilled_cost` are upper bounds.
    """

    n_expired: int = 0
    n_corrected: int = 0
    n_duplicate_reports: int = 0
    n_unmatched_reports: int = 0
    n_late_settlements: int = 0
    unbilled_cost: int = 0


class _Dump(msgspec.Struct, kw_only=True):
    intents: dict[RequestId, Intent]
    settled: dict[RequestId, int]
    provisional: dict[RequestId, ProvisionalLine]
    totals: LedgerTotals
    counts: LedgerCounts
    n_final: int


class LedgerTable(Table):
    """Stores open intents and settles each of them once.

    Attributes
    ----------
    archive : LineArchive
        Store of the final lines.
    settled : dict of RequestId to int
        Settled requests, each with the log time in milliseconds until which it is
        stored; a delayed command cannot open the intent again after that time.
    """

    commands = (OpenIntent, SettleIntent, ReportUsage)

    def __init__(self):
        self.archive: LineArchive = MemoryArchive()
        self._replace(_Dump(intents={}, settled={}, provisional={}, **_empty_totals()))

    def _replace(self, parts: _Dump) -> None:
        self.intents = parts.intents
        self.settled = parts.settled
        self.provisional = parts.provisional
        self.totals = parts.totals
        self.counts = parts.counts
        self.n_final = parts.n_final
        self.intent_expiry = ExpiryIndex()
        self.settled_expiry = ExpiryIndex()
        self.final_expiry = ExpiryIndex()
        for request, intent in self.intents.items():
            self.intent_expiry.add(request, intent.deadline_ms)
        for request, until_ms in self.settled.items():
            self.settled_expiry.add(request, until_ms)
        for request, provisional in self.provisional.items():
            self.final_expiry.add(request, provisional.final_ms)

    def advance(self, now_ms: int) -> None:
        """Settle overdue intents, and finalize overdue provisional lines."""
        for request in self.intent_expiry.pop_due(now_ms):
            self._expire(request, now_ms)
        for request in self.settled_expiry.pop_due(now_ms):
            del self.settled[request]
        for request in self.final_expiry.pop_due(now_ms):
            self._archive(self.provisional.pop(request).line)

    def has_due(self, now_ms: int) -> bool:
        """Return whether an intent or a provisional line is overdue."""
        return self.intent_expiry.has_due(now_ms) or self.final_expiry.has_due(now_ms)

    def apply(self, command: Command, record: LogRecord) -> Result:
        """Open an intent, settle one, or record a usage report."""
        match command:
            case OpenIntent():
                return self._open(command, record.time_ms)
            case SettleIntent():
                return self._settle(command, record.time_ms)
        return self._record_report(command)

    def _open(self, command: OpenIntent, now_ms: int) -> Result:
        if command.request in self.intents or command.request in self.settled:
            return Done(changed=False)
        if now_ms >= command.open_until_ms:
            failure = NotRun(
                reason=NotRunReason.CONTROL_UNAVAILABLE,
                detail="the intent arrived too late to be opened",
            )
            return Rejected(failure=failure_to_wire(failure))
        self.intents[command.request] = Intent(
            account=command.account,
            service=command.service,
            instance=command.instance,
            open_until_ms=command.open_until_ms,
            deadline_ms=command.deadline_ms,
        )
        self.intent_expiry.add(command.request, command.deadline_ms)
        return Done()

    def _settle(self, command: SettleIntent, now_ms: int) -> Result:
        intent = self.intents.pop(command.request, None)
        if intent is None:
            return self._settle_late(command)
        self.intent_expiry.discard(command.request, intent.deadline_ms)
        attempts = merge_reports(command.attempts, intent.reports)
        self.counts.n_unmatched_reports += count_unmatched_reports(
            attempts, intent.reports
        )
        self._add_line(intent, command.request, command.outcome, attempts, now_ms)
        return Done()

    def _expire(self, request: RequestId, now_ms: int) -> None:
        intent = self.intents.pop(request)
        self.counts.n_expired += 1
        self._add_line(intent, request, EXPIRED_OUTCOME, intent.reports, now_ms)

    def _add_line(
        self,
        intent: Intent,
        request: RequestId,
        outcome: str,
        attempts: tuple[AttemptRecord, ...],
        now_ms: int,
    ) -> None:
        line = BillLine(
            request=request,
            account=intent.account,
            service=intent.service,
            outcome=outcome,
            cost=sum(attempt.cost for attempt in attempts),
            settled_ms=now_ms,
            attempts=attempts,
            expired=outcome == EXPIRED_OUTCOME,
        )
        settled_until_ms = max(intent.open_until_ms, now_ms + RESEND_WINDOW_MS)
        self.settled[request] = settled_until_ms
        self.settled_expiry.add(request, settled_until_ms)
        if not line.provisional:
            self._archive(line)
            return
        final_ms = now_ms + CORRECTION_WINDOW_MS
        self.provisional[request] = ProvisionalLine(line=line, final_ms=final_ms)
        self.final_expiry.add(request, final_ms)

    def _settle_late(self, command: SettleIntent) -> Result:
        known = self.provisional.get(command.request)
        if known is None:
            if command.attempts and command.request not in self.settled:
                self.counts.n_late_settlements += 1
                self.counts.unbilled_cost += sum(a.cost for a in command.attempts)
            return Done(changed=False)
        if known.line.outcome != EXPIRED_OUTCOME:
            return Done(changed=False)
        attempts = merge_reports(command.attempts, known.line.attempts)
        self.counts.n_unmatched_reports += count_unmatched_reports(
            attempts, known.line.attempts
        )
        self._correct(known, attempts, outcome=command.outcome)
        return Done()

    def _record_report(self, command: ReportUsage) -> Result:
        request, work = command.request, command.work
        intent = self.intents.get(request)
        if intent is not None:
            if any(r.attempt == work.attempt for r in intent.reports):
                return self._count_duplicate()
            reports = (*intent.reports, work)
            self.intents[request] = msgspec.structs.replace(intent, reports=reports)
            return Done()
        known = self.provisional.get(request)
        if known is None:
            if request in self.settled:
                return self._count_duplicate()
            self.counts.n_unmatched_reports += 1
            return Done(changed=False)
        return self._record_late_report(known, work)

    def _record_late_report(
        self, known: ProvisionalLine, work: AttemptRecord
    ) -> Result:
        line = known.line
        attempts = merge_reports(line.attempts, (work,))
        if attempts == line.attempts:
            if any(a.attempt == work.attempt for a in line.attempts):
                return self._count_duplicate()
            if line.outcome != EXPIRED_OUTCOME:
                self.counts.n_unmatched_reports += 1
                return Done(changed=False)
            # The intent expired unsettled: the server is the only source for this
            # attempt.
            attempts = (*attempts, work)
        self._correct(known, attempts, outcome=line.outcome)
        return Done()

    def _correct(
        self,
        known: ProvisionalLine,
        attempts: tuple[AttemptRecord, ...],
        *,
        outcome: str,
    ) -> None:
        self.counts.n_corrected += 1
        line = msgspec.structs.replace(
            known.line,
            attempts=attempts,
            cost=sum(attempt.cost for attempt in attempts),
            outcome=outcome,
        )
        if line.provisional:
            self.provisional[line.request] = ProvisionalLine(
                line=line, final_ms=known.final_ms
            )
            return
        del self.provisional[line.request]
        self.final_expiry.discard(line.request, known.final_ms)
        self._archive(line)

    def _count_duplicate(self) -> Result:
        self.counts.n_duplicate_reports += 1
        return Done(changed=False)

    def _archive(self, line: BillLine) -> None:
        final = msgspec.structs.replace(line, number=self.n_final)
        self.n_final += 1
        self.totals.add(final)
        self.archive.append(final)

    def dump(self) -> Any:
        """Return the table without the archive, which is synced to disk first."""
        self.archive.sync()
        return _Dump(
            intents=self.intents,
            settled=self.settled,
            provisional=self.provisional,
            totals=self.totals,
            counts=self.counts,
            n_final=self.n_final,
        )

    def load(self, dumped: Any) -> None:
        """Replace the table by a decoded dump; the archive keeps its lines."""
        self._replace(msgspec.convert(dumped, type=_Dump))


def merge_reports(
    attempts: tuple[AttemptRecord, ...], reports: tuple[AttemptRecord, ...]
) -> tuple[AttemptRecord, ...]:
    """Replace the estimated attempts by the usage that their servers reported.

    A report is used only if its attempt number, server and version all match.
    """
    reported = {(report.attempt, report.server): report for report in reports}
    merged = []
    for attempt in attempts:
        report = reported.get((attempt.attempt, attempt.server))
        matches = report is not None and report.version == attempt.version
        if attempt.estimated and matches:
            attempt = msgspec.structs.replace(
                report, outcome=attempt.outcome, neighbour=attempt.neighbour
            )
        merged.append(attempt)
    return tuple(merged)


def count_unmatched_reports(
    attempts: tuple[AttemptRecord, ...], reports: tuple[AttemptRecord, ...]
) -> int:
    """Return the number of reports that match no attempt and server in `attempts`."""
    attempted = {(attempt.attempt, attempt.server) for attempt in attempts}
    return sum((report.attempt, report.server) not in attempted for report in reports)


def _empty_totals() -> dict[str, Any]:
    return {"totals": LedgerTotals(), "counts": LedgerCounts(), "n_final": 0}
