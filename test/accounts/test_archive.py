"""Archive of bill lines: paging, numbering, and recovery after crashes and damage."""

import pytest

from test.accounts.tables import ACCOUNT, OTHER_ACCOUNT, line
from turmericreel.model.failures import FailureError, StorageFailed
from turmericreel.reports.reconciliation import compare, merge, reconcile_page
from turmericreel.state.archive import LineGap, MemoryArchive
from turmericreel.state.bill import LedgerTotals, pack_line, unpack_line
from turmericreel.state.file_archive import FileArchive


def open_archive(folder) -> FileArchive:
    return FileArchive(folder=folder, n_segment_lines=10)


def make_lines(n_lines: int):
    for n in range(n_lines):
        account = OTHER_ACCOUNT if n % 3 == 0 else ACCOUNT
        yield line(n, account=account, n_attempts=1 + n % 2)


def fill(archive, n_lines: int = 35) -> None:
    for bill_line in make_lines(n_lines):
        archive.append(bill_line)


def read_all(archive, *, limit: int = 4, **filters):
    lines, after = [], -1
    while after is not None:
        page = archive.page(after=after, limit=limit, **filters)
        lines += page.lines
        after = page.next_after
    return lines


def test_packed_line_round_trips():
    original = line(3, n_attempts=2)
    assert unpack_line(pack_line(original)) == original


@pytest.mark.parametrize("limit", [1, 4, 100])
def test_file_and_memory_archives_return_same_lines(tmp_path, limit):
    files, memory = open_archive(tmp_path), MemoryArchive()
    fill(files)
    fill(memory)
    for filters in ({}, {"account": ACCOUNT}, {"neighbour": "draisinas"}):
        expected = read_all(memory, limit=1_000, **filters)
        assert read_all(files, limit=limit, **filters) == expected
        assert read_all(memory, limit=limit, **filters) == expected
    assert len(read_all(files, account=OTHER_ACCOUNT)) == 12


def test_reopened_archive_ignores_replayed_lines(tmp_path):
    first = open_archive(tmp_path)
    fill(first)
    first.close()
    second = open_archive(tmp_path)
    assert second.next_number == 35
    fill(second, 37)
    assert read_all(second) == list(make_lines(37))


@pytest.mark.parametrize("n_cut", [1, 9, 100])
def test_torn_tail_is_truncated_and_rewritten(tmp_path, n_cut):
    first = open_archive(tmp_path)
    fill(first)
    first.close()
    last = max(tmp_path.glob("*.bin"))
    last.write_bytes(last.read_bytes()[:-n_cut])
    second = open_archive(tmp_path)
    assert second.next_number < 35
    fill(second)
    assert read_all(second) == list(make_lines(35))


def test_missing_index_is_rebuilt(tmp_path):
    first = open_archive(tmp_path)
    fill(first)
    first.close()
    for path in tmp_path.glob("*.index"):
        path.unlink()
    second = open_archive(tmp_path)
    assert read_all(second, account=ACCOUNT) == read_all(first, account=ACCOUNT)


def test_damaged_line_raises_storage_failed(tmp_path):
    first = open_archive(tmp_path)
    fill(first)
    first.close()
    path = min(tmp_path.glob("*.bin"))
    data = bytearray(path.read_bytes())
    data[20] ^= 1
    path.write_bytes(bytes(data))
    with pytest.raises(FailureError) as caught:
        read_all(open_archive(tmp_path))
    assert isinstance(caught.value.failure, StorageFailed)


def test_lines_skipped_by_a_snapshot_are_reported_as_gap(tmp_path):
    archive = open_archive(tmp_path)
    for number in (0, 1, 7, 8):
        archive.append(line(number))
    assert archive.gaps() == [LineGap(first=2, end=7)]
    archive.close()
    assert open_archive(tmp_path).gaps() == [LineGap(first=2, end=7)]


def find_fault_kinds(lines, totals, *, n_final):
    archive = MemoryArchive()
    for bill_line in lines:
        archive.append(bill_line)
    whole = merge([reconcile_page(archive.page(limit=100))])
    gaps = [(gap.first, gap.end) for gap in archive.gaps()]
    return {f.kind for f in compare(whole, totals, n_final=n_final, gaps=gaps)}


def test_reconciliation_reports_each_kind_of_fault():
    lines = list(make_lines(6))
    totals = LedgerTotals()
    for bill_line in lines:
        totals.add(bill_line)
    assert find_fault_kinds(lines, totals, n_final=6) == set()
    assert "missing_lines" in find_fault_kinds(lines[:2] + lines[3:], totals, n_final=6)
    assert "line_count" in find_fault_kinds(lines[:5], totals, n_final=6)
    wrong = type(lines[0])(**{**_fields(lines[2]), "cost": 1})
    assert find_fault_kinds([*lines[:2], wrong, *lines[3:]], totals, n_final=6) == {
        "line_cost"
    }
    twice = type(lines[0])(**{**_fields(lines[1]), "request": lines[2].request})
    assert "billed_twice" in find_fault_kinds(
        [lines[0], twice, *lines[2:]], totals, n_final=6
    )


def _fields(bill_line) -> dict:
    return {name: getattr(bill_line, name) for name in bill_line.__struct_fields__}
