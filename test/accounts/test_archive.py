"""The archive of bill lines: paged, numbered, and whole after a crash or a tear."""

import pytest

from test.accounts.tables import ACCOUNT, OTHER_ACCOUNT, line
from turmericreel.model.failures import FailureError, StorageFailed
from turmericreel.reports.reconciliation import compare, merge, reconcile_page
from turmericreel.state.archive import LineGap, MemoryArchive
from turmericreel.state.bill import LedgerTotals, pack_line, unpack_line
from turmericreel.state.file_archive import FileArchive


def archive_in(folder) -> FileArchive:
    return FileArchive(folder=folder, n_segment_lines=10)


def some_lines(n_lines: int):
    for n in range(n_lines):
        account = OTHER_ACCOUNT if n % 3 == 0 else ACCOUNT
        yield line(n, account=account, n_attempts=1 + n % 2)


def fill(archive, n_lines: int = 35) -> None:
    for each in some_lines(n_lines):
        archive.append(each)


def read_all(archive, *, limit: int = 4, **who):
    lines, after = [], -1
    while after is not None:
        page = archive.page(after=after, limit=limit, **who)
        lines += page.lines
        after = page.next_after
    return lines


def test_packed_line_is_the_same_line():
    original = line(3, n_attempts=2)
    assert unpack_line(pack_line(original)) == original


@pytest.mark.parametrize("limit", [1, 4, 100])
def test_pages_of_files_and_of_memory_agree(tmp_path, limit):
    files, memory = archive_in(tmp_path), MemoryArchive()
    fill(files)
    fill(memory)
    for who in ({}, {"account": ACCOUNT}, {"neighbour": "draisinas"}):
        expected = read_all(memory, limit=1_000, **who)
        assert read_all(files, limit=limit, **who) == expected
        assert read_all(memory, limit=limit, **who) == expected
    assert len(read_all(files, account=OTHER_ACCOUNT)) == 12


def test_reopened_archive_ignores_what_is_replayed(tmp_path):
    first = archive_in(tmp_path)
    fill(first)
    first.close()
    second = archive_in(tmp_path)
    assert second.next_number == 35
    fill(second, 37)
    assert read_all(second) == list(some_lines(37))


@pytest.mark.parametrize("n_cut", [1, 9, 100])
def test_torn_end_is_cut_off_and_written_again(tmp_path, n_cut):
    first = archive_in(tmp_path)
    fill(first)
    first.close()
    last = max(tmp_path.glob("*.bin"))
    last.write_bytes(last.read_bytes()[:-n_cut])
    second = archive_in(tmp_path)
    assert second.next_number < 35
    fill(second)
    assert read_all(second) == list(some_lines(35))


def test_lost_index_is_made_again(tmp_path):
    first = archive_in(tmp_path)
    fill(first)
    first.close()
    for path in tmp_path.glob("*.index"):
        path.unlink()
    second = archive_in(tmp_path)
    assert read_all(second, account=ACCOUNT) == read_all(first, account=ACCOUNT)


def test_damaged_line_is_an_error_not_a_wrong_bill(tmp_path):
    first = archive_in(tmp_path)
    fill(first)
    first.close()
    path = min(tmp_path.glob("*.bin"))
    data = bytearray(path.read_bytes())
    data[20] ^= 1
    path.write_bytes(bytes(data))
    with pytest.raises(FailureError) as caught:
        read_all(archive_in(tmp_path))
    assert isinstance(caught.value.failure, StorageFailed)


def test_lines_that_a_snapshot_skipped_are_known_to_be_missing(tmp_path):
    archive = archive_in(tmp_path)
    for number in (0, 1, 7, 8):
        archive.append(line(number))
    assert archive.gaps() == [LineGap(first=2, end=7)]
    archive.close()
    assert archive_in(tmp_path).gaps() == [LineGap(first=2, end=7)]


def check(lines, kept, *, n_final):
    archive = MemoryArchive()
    for each in lines:
        archive.append(each)
    whole = merge([reconcile_page(archive.page(limit=100))])
    gaps = [(gap.first, gap.end) for gap in archive.gaps()]
    return {f.kind for f in compare(whole, kept, n_final=n_final, gaps=gaps)}


def test_reconciliation_finds_what_does_not_add_up():
    lines = list(some_lines(6))
    kept = LedgerTotals()
    for each in lines:
        kept.add(each)
    assert check(lines, kept, n_final=6) == set()
    assert "missing_lines" in check(lines[:2] + lines[3:], kept, n_final=6)
    assert "line_count" in check(lines[:5], kept, n_final=6)
    wrong = type(lines[0])(**{**_fields(lines[2]), "cost": 1})
    assert check([*lines[:2], wrong, *lines[3:]], kept, n_final=6) == {"line_cost"}
    twice = type(lines[0])(**{**_fields(lines[1]), "request": lines[2].request})
    assert "billed_twice" in check([lines[0], twice, *lines[2:]], kept, n_final=6)


def _fields(each) -> dict:
    return {name: getattr(each, name) for name in each.__struct_fields__}
