"""Queries of the ledger: paged statements, totals and reconciliation."""

from typing import Any

from turmericreel.control.calls import QueryContext
from turmericreel.model.ids import ClientAccountId
from turmericreel.reports.reconciliation import Reconciliation, reconcile_page
from turmericreel.state.archive import LinePage, has_neighbour
from turmericreel.state.bill import BillLine

MAX_PAGE_LINES = 1_000
MAX_RECONCILE_PAGE_LINES = 5_000


def statement(context: QueryContext) -> list[BillLine]:
    """Return a page of a client account's bill lines, oldest first.

    The argument `after` is the number of the last line of the previous page.  A page
    holds up to `MAX_PAGE_LINES` final lines; the provisional lines end the last page.
    """
    account = ClientAccountId(context.arguments["account"])
    ledger = context.machine.ledger
    page = ledger.archive.page(
        account=account, after=_after(context), limit=MAX_PAGE_LINES
    )
    provisional_lines = [p.line for p in ledger.provisional.values()]
    return _with_provisional(
        page, [x for x in provisional_lines if x.account == account]
    )


def neighbour_statement(context: QueryContext) -> list[BillLine]:
    """Return a page of the bill lines with work done by a neighbour's servers."""
    neighbour = context.arguments["neighbour"]
    ledger = context.machine.ledger
    page = ledger.archive.page(
        neighbour=neighbour, after=_after(context), limit=MAX_PAGE_LINES
    )
    provisional_lines = [p.line for p in ledger.provisional.values()]
    return _with_provisional(
        page, [x for x in provisional_lines if has_neighbour(x, neighbour)]
    )


def account_totals(context: QueryContext) -> dict[str, Any]:
    """Return the totals of the final lines and the numbers of open items."""
    ledger = context.machine.ledger
    return {
        "totals": ledger.totals,
        "counts": ledger.counts,
        "n_final": ledger.n_final,
        "n_provisional": len(ledger.provisional),
        "n_open": len(ledger.intents),
        "gaps": [(gap.first, gap.end) for gap in ledger.archive.gaps()],
    }


def reconcile(context: QueryContext) -> Reconciliation:
    """Total and check one page of final lines.

    Lines with the number `before` or above are excluded, so that lines which become
    final between two page requests are not counted.
    """
    ledger = context.machine.ledger
    after = _after(context)
    before = int(context.arguments.get("before", ledger.n_final))
    limit = min(MAX_RECONCILE_PAGE_LINES, max(before - after - 1, 0))
    page = ledger.archive.page(after=after, limit=limit)
    return reconcile_page(truncate_page(page, before=before))


def truncate_page(page: LinePage, *, before: int) -> LinePage:
    """Return a page without the lines numbered `before` or above."""
    lines = [line for line in page.lines if line.number < before]
    next_after = page.next_after
    if len(lines) < len(page.lines) or (lines and lines[-1].number == before - 1):
        next_after = None
    return LinePage(lines=lines, next_after=next_after)


def _after(context: QueryContext) -> int:
    return int(context.arguments.get("after", "-1"))


def _with_provisional(
    page: LinePage, provisional_lines: list[BillLine]
) -> list[BillLine]:
    if page.next_after is not None:
        return page.lines
    return page.lines + provisional_lines
