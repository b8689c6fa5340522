"""Checks that the billed work equals the counted work.

The bill lines are summed again, page by page, and the sums are compared with the totals
that the ledger kept while it settled the lines.
"""

import msgspec

from turmericreel.state.archive import LinePage
from turmericreel.state.bill import BillLine, LedgerTotals, Totals


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """A mismatch found by the reconciliation.

    Parameters
    ----------
    kind : str
    where : str
        Number of a line, id of a request, name of an account or neighbour, or
        ``"all"``.
    expected : str
    found : str
    """

    kind: str
    where: str
    expected: str = ""
    found: str = ""


class Reconciliation(msgspec.Struct, kw_only=True):
    """Totals of bill lines, and the faults found in them.

    Parameters
    ----------
    next_after : int or None
        Position to read the next page from; None after the last one.
    """

    totals: LedgerTotals
    n_lines: int = 0
    faults: list[Fault] = []
    requests: list[str] = []
    next_after: int | None = None


def reconcile_page(page: LinePage) -> Reconciliation:
    """Sum the lines of a page and check each line for consistency."""
    checked = Reconciliation(totals=LedgerTotals(), next_after=page.next_after)
    for line in page.lines:
        checked.n_lines += 1
        checked.totals.add(line)
        checked.requests.append(line.request)
        checked.faults.extend(_line_faults(line))
    return checked


def merge(pages: list[Reconciliation]) -> Reconciliation:
    """Add up the sums of all pages, and find requests that were billed twice."""
    merged = Reconciliation(totals=LedgerTotals())
    seen: set[str] = set()
    for page in pages:
        merged.n_lines += page.n_lines
        merged.faults.extend(page.faults)
        _add_totals(merged.totals.by_account, page.totals.by_account)
        _add_totals(merged.totals.by_neighbour, page.totals.by_neighbour)
        for request in page.requests:
            if request in seen:
                merged.faults.append(Fault(kind="billed_twice", where=request))
            seen.add(request)
    return merged


def compare(
    merged: Reconciliation,
    ledger_totals: LedgerTotals,
    *,
    n_final: int,
    gaps: list[tuple[int, int]],
) -> list[Fault]:
    """Return all faults, those found in the lines included.

    Parameters
    ----------
    merged : Reconciliation
        Sums over all final lines.
    ledger_totals : LedgerTotals
        Totals that the ledger kept while it settled the lines.
    n_final : int
        Number of lines that are final in the ledger.
    gaps : list of (int, int)
        Ranges of line numbers missing in the archive; the ends are exclusive.
    """
    faults = list(merged.faults)
    faults += [
        Fault(kind="missing_lines", where=f"{first}", found=f"to {end - 1}")
        for first, end in gaps
    ]
    if merged.n_lines != n_final:
        faults.append(
            Fault(
                kind="line_count",
                where="all",
                expected=str(n_final),
                found=str(merged.n_lines),
            )
        )
    faults += _total_faults(
        "account", ledger_totals.by_account, merged.totals.by_account
    )
    faults += _total_faults(
        "neighbour", ledger_totals.by_neighbour, merged.totals.by_neighbour
    )
    ordered = sum(t.cost for t in merged.totals.by_account.values())
    done = sum(t.cost for t in merged.totals.by_neighbour.values())
    if ordered != done:
        faults.append(
            Fault(
                kind="ordered_against_done",
                where="all",
                expected=str(ordered),
                found=str(done),
            )
        )
    return faults


def _line_faults(line: BillLine) -> list[Fault]:
    faults = []
    total = sum(attempt.cost for attempt in line.attempts)
    where = str(line.number)
    if line.cost != total:
        faults.append(
            Fault(
                kind="line_cost",
                where=where,
                expected=str(total),
                found=str(line.cost),
            )
        )
    numbers = [attempt.attempt for attempt in line.attempts]
    if len(set(numbers)) != len(numbers):
        faults.append(Fault(kind="attempt_twice", where=where))
    return faults


def _add_totals(target: dict, added: dict) -> None:
    for name, totals in added.items():
        target_totals = target.setdefault(name, Totals())
        for field in Totals.__struct_fields__:
            setattr(
                target_totals,
                field,
                getattr(target_totals, field) + getattr(totals, field),
            )


def _total_faults(kind: str, ledger_totals: dict, summed: dict) -> list[Fault]:
    return [
        Fault(
            kind=f"{kind}_totals",
            where=name,
            expected=str(ledger_totals.get(name)),
            found=str(summed.get(name)),
        )
        for name in sorted(ledger_totals.keys() | summed.keys())
        if ledger_totals.get(name) != summed.get(name)
    ]
