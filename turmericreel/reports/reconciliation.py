"""Proves that the work that was counted is the work that was billed.

The lines are summed up anew, page by page, and the sums are held against the totals
that the ledger kept while it settled them.
"""

import msgspec

from turmericreel.state.archive import LinePage
from turmericreel.state.bill import BillLine, LedgerTotals, Totals


class Fault(msgspec.Struct, frozen=True, kw_only=True):
    """Something that does not add up.

    Parameters
    ----------
    kind : str
    where : str
        The line's number, or the name of an account or neighbour.
    expected : str
    found : str
    """

    kind: str
    where: str
    expected: str = ""
    found: str = ""


class Reconciliation(msgspec.Struct, kw_only=True):
    """Sums over lines, and the faults found in them.

    Parameters
    ----------
    next_after : int or None
        Where the next page begins; None after the last one.
    """

    totals: LedgerTotals
    n_lines: int = 0
    faults: list[Fault] = []
    requests: list[str] = []
    next_after: int | None = None


def reconcile_page(page: LinePage) -> Reconciliation:
    """Sum up a page and check each line in itself."""
    checked = Reconciliation(totals=LedgerTotals(), next_after=page.next_after)
    for line in page.lines:
        checked.n_lines += 1
        checked.totals.add(line)
        checked.requests.append(line.request)
        checked.faults.extend(_line_faults(line))
    return checked


def merge(pages: list[Reconciliation]) -> Reconciliation:
    """Add pages up, and find requests that were billed twice."""
    whole = Reconciliation(totals=LedgerTotals())
    seen: set[str] = set()
    for page in pages:
        whole.n_lines += page.n_lines
        whole.faults.extend(page.faults)
        _add_totals(whole.totals.by_account, page.totals.by_account)
        _add_totals(whole.totals.by_neighbour, page.totals.by_neighbour)
        for request in page.requests:
            if request in seen:
                whole.faults.append(Fault(kind="billed_twice", where=request))
            seen.add(request)
    return whole


def compare(
    whole: Reconciliation,
    ledger_totals: LedgerTotals,
    *,
    n_final: int,
    gaps: list[tuple[int, int]],
) -> list[Fault]:
    """Return everything that does not add up.

    Parameters
    ----------
    whole : Reconciliation
        Sums over all final lines.
    kept : LedgerTotals
        Totals that the ledger kept.
    n_final : int
        Number of lines that the ledger made final.
    gaps : list of (int, int)
        Numbers of lines that the archive lacks.
    """
    faults = list(whole.faults)
    faults += [
        Fault(kind="missing_lines", where=f"{first}", found=f"to {end - 1}")
        for first, end in gaps
    ]
    if whole.n_lines != n_final:
        faults.append(
            Fault(
                kind="line_count",
                where="all",
                expected=str(n_final),
                found=str(whole.n_lines),
            )
        )
    faults += _total_faults(
        "account", ledger_totals.by_account, whole.totals.by_account
    )
    faults += _total_faults(
        "neighbour", ledger_totals.by_neighbour, whole.totals.by_neighbour
    )
    ordered = sum(t.cost for t in whole.totals.by_account.values())
    done = sum(t.cost for t in whole.totals.by_neighbour.values())
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
