"""Inspecting a data folder reports what a start would find, and changes nothing."""

from random import Random

from test.raft.small_group import SmallGroup
from turmericreel.fakes.faulty_disk import FaultyDisk, Survival
from turmericreel.model.failures import StorageFailed
from turmericreel.state.storage.inspect import inspect_disk, inspect_folder


def used_disk() -> FaultyDisk:
    group = SmallGroup(names=("a",), seed=1, snapshot_after_bytes=600, n_kept_entries=2)
    for n in range(1, 31):
        group.submit_and_wait(f"t{n}", base=n - 1)
    return group.nodes["a"].disk.after_crash(Survival.EVERYTHING, Random(0))


def newest_segment(disk: FaultyDisk) -> str:
    return [name for name in disk.names() if name.endswith(".log")][-1]


def test_report_lists_folder_content():
    report = inspect_disk(used_disk())
    assert report.failure is None
    assert report.repairs == ()
    assert report.identity.member.startswith("a#")
    assert report.hard_state.term == 1
    assert 0 < report.first_index <= report.snapshot.index <= report.last_index
    assert report.last_index == 31
    sizes = {size.table: size.size_bytes for size in report.tables}
    assert sizes["configuration"] > sizes["claims"]


def test_torn_tail_is_reported_and_not_repaired():
    disk = used_disk()
    name = newest_segment(disk)
    disk.files[name].current = disk.files[name].current[:-1]
    before = {n: f.current for n, f in disk.files.items()}
    report = inspect_disk(disk)
    assert report.failure is None
    assert len(report.repairs) == 1
    assert {n: f.current for n, f in disk.files.items()} == before


def test_corrupt_folder_is_reported():
    disk = used_disk()
    disk.flip(newest_segment(disk), 40)
    assert isinstance(inspect_disk(disk).failure, StorageFailed)


def test_missing_folder_is_reported(tmp_path):
    report = inspect_folder(tmp_path / "nothing")
    assert isinstance(report.failure, StorageFailed)
    assert not (tmp_path / "nothing").exists()
