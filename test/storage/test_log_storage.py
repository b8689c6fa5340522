"""Storage recovers exactly the acknowledged state, or raises `StorageFailed`."""

from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path
from random import Random
from threading import Thread

import msgspec
import pytest

from turmericreel.fakes.faulty_disk import DiskCrashed, FaultyDisk, Survival
from turmericreel.model.failures import FailureError, StorageFailed
from turmericreel.state.storage.disk import Disk, FolderDisk
from turmericreel.state.storage.entries import (
    Entry,
    HardState,
    Identity,
    MemberId,
    Membership,
    SnapshotMeta,
)
from turmericreel.state.storage.framing import pack_frame
from turmericreel.state.storage.log_storage import LogStorage, RecoveredState
from turmericreel.state.storage.small_files import FORMAT_VERSION, FileHeader
from turmericreel.state.storage.snapshots import CHUNK_BYTES

MEMBER = MemberId("a#1")
IDENTITY = Identity(member=MEMBER, initial=Membership(voters=(MEMBER,)))
SEGMENT_LIMIT_BYTES = 600
N_TORN_SEEDS = 12
LARGE_DATA = b"later" * (CHUNK_BYTES // 4)


def entries(first: int, last: int, *, term: int = 1) -> list[Entry]:
    return [
        Entry(index=n, term=term, time_ms=n, data=b"command %d " % n * 9)
        for n in range(first, last + 1)
    ]


def open_storage(disk: Disk) -> LogStorage:
    return LogStorage(disk=disk, segment_limit_bytes=SEGMENT_LIMIT_BYTES)


def visible(recovered: RecoveredState) -> tuple:
    """Return the recovered state that a member uses after a restart."""
    meta = recovered.snapshot
    later = [e for e in recovered.entries if e.index > meta.index]
    return recovered.hard_state, meta.index, recovered.snapshot_data, later


@dataclass(kw_only=True)
class Step:
    """One storage call, and the state that must be recovered after it."""

    call: Callable[[LogStorage], object]
    visible: tuple


def history() -> list[Step]:
    """Return the calls of one member: votes, appends, conflicts and snapshots."""
    none, first, second = HardState(), HardState(term=1, vote=MEMBER), HardState(term=2)
    meta = SnapshotMeta(index=20, term=2, time_ms=20)
    far = SnapshotMeta(index=90, term=2, time_ms=90)
    replaced = entries(1, 8) + entries(9, 14, term=2)
    grown = replaced + entries(15, 40, term=2)
    return [
        Step(call=lambda s: s.save_identity(IDENTITY), visible=(none, 0, None, [])),
        Step(call=lambda s: s.save(first, []), visible=(first, 0, None, [])),
        Step(
            call=lambda s: s.save(None, entries(1, 3)),
            visible=(first, 0, None, entries(1, 3)),
        ),
        Step(
            call=lambda s: s.save(None, entries(4, 12)),
            visible=(first, 0, None, entries(1, 12)),
        ),
        Step(
            call=lambda s: s.save(second, []), visible=(second, 0, None, entries(1, 12))
        ),
        Step(
            call=lambda s: s.save(None, entries(9, 14, term=2)),
            visible=(second, 0, None, replaced),
        ),
        Step(
            call=lambda s: s.save(None, entries(15, 40, term=2)),
            visible=(second, 0, None, grown),
        ),
        Step(
            call=lambda s: s.write_snapshot(meta, b"state"),
            visible=(second, 20, b"state", entries(21, 40, term=2)),
        ),
        Step(
            call=lambda s: s.compact(14),
            visible=(second, 20, b"state", entries(21, 40, term=2)),
        ),
        Step(
            call=lambda s: s.save(None, entries(41, 42, term=2)),
            visible=(second, 20, b"state", entries(21, 42, term=2)),
        ),
        Step(
            call=lambda s: s.install_snapshot(far, LARGE_DATA),
            visible=(second, 90, LARGE_DATA, []),
        ),
        Step(
            call=lambda s: s.save(None, entries(91, 93, term=2)),
            visible=(second, 90, LARGE_DATA, entries(91, 93, term=2)),
        ),
    ]


def run_until_crash(disk: Disk, steps: list[Step]) -> int:
    """Run steps until the disk crashes; return how many were acknowledged."""
    storage = open_storage(disk)
    done = 0
    try:
        storage.recover()
        for step in steps:
            step.call(storage)
            done += 1
    except DiskCrashed:
        pass
    return done


def n_operations() -> int:
    disk = FaultyDisk()
    assert run_until_crash(disk, history()) == len(history())
    return disk.n_operations


def allowed_after(n_acknowledged: int) -> list[tuple]:
    empty = (HardState(), 0, None, [])
    states = [empty, *(step.visible for step in history())]
    return states[n_acknowledged : n_acknowledged + 2]


@pytest.mark.parametrize("survival", list(Survival))
def test_crash_at_every_write_and_sync_point(survival):
    n_seeds = N_TORN_SEEDS if survival is Survival.TORN else 1
    for crash_at in range(n_operations() + 1):
        for seed in range(n_seeds):
            disk = FaultyDisk(crash_at=crash_at)
            n_acknowledged = run_until_crash(disk, history())
            restarted = disk.after_crash(survival, Random(seed))
            found = visible(open_storage(restarted).recover())
            assert found in allowed_after(n_acknowledged), (crash_at, seed)


def test_crash_during_recovery_loses_nothing():
    torn = FaultyDisk(crash_at=n_operations() - 1)
    n_acknowledged = run_until_crash(torn, history())
    for crash_at in range(20):
        disk = torn.after_crash(Survival.TORN, Random(3))
        disk.crash_at = crash_at
        try:
            open_storage(disk).recover()
        except DiskCrashed:
            disk = disk.after_crash(Survival.NOTHING, Random(0))
        disk.crash_at = None
        assert visible(open_storage(disk).recover()) in allowed_after(n_acknowledged)


def test_write_cut_at_any_byte_after_300_entries():
    disk = FaultyDisk()
    storage = open_storage(disk)
    storage.save_identity(IDENTITY)
    for n in range(1, 301):
        storage.save(None, entries(n, n))
    name = storage.segments.segments[-1].name
    before = len(disk.files[name].current)
    storage.save(None, entries(301, 301))
    whole = disk.files[name].current
    for size in range(before, len(whole) + 1):
        cut = disk.after_crash(Survival.EVERYTHING, Random(0))
        cut.files[name].current = whole[:size]
        last = 301 if size == len(whole) else 300
        assert open_storage(cut).recover().entries == entries(1, last), size


def filled_disk() -> FaultyDisk:
    disk = FaultyDisk()
    run_until_crash(disk, history()[:7])
    return disk


def raises_storage_failed(call: Callable[[], object]) -> bool:
    with pytest.raises(FailureError) as caught:
        call()
    return isinstance(caught.value.failure, StorageFailed)


def test_flipped_bit_in_any_file_fails_recovery():
    filled = filled_disk()
    for name in filled.names():
        for offset in range(0, len(filled.files[name].current), 3):
            disk = filled.after_crash(Survival.EVERYTHING, Random(0))
            disk.flip(name, offset, bit=offset % 8)
            assert raises_storage_failed(open_storage(disk).recover), (name, offset)


def test_flipped_bit_in_snapshot_fails_recovery():
    disk = FaultyDisk()
    run_until_crash(disk, history()[:8])
    name = next(n for n in disk.names() if n.endswith(".snapshot"))
    disk.flip(name, len(disk.files[name].current) - 3)
    assert raises_storage_failed(open_storage(disk).recover)


@pytest.mark.parametrize("lost", ["identity", "term", "000000000002.log"])
def test_missing_file_fails_recovery(lost):
    disk = filled_disk()
    del disk.files[lost]
    assert raises_storage_failed(open_storage(disk).recover)


def test_writes_wait_while_the_disk_is_full_and_are_whole_after_it():
    for extra in range(0, 400, 23):
        disk = filled_disk()
        storage = open_storage(disk)
        storage.waits_for_room = True
        storage.recover()
        disk.capacity_bytes = sum(len(f.current) for f in disk.files.values()) + extra
        steps = [
            lambda s=storage: s.save(HardState(term=3), entries(41, 45, term=3)),
            lambda s=storage: s.write_snapshot(SnapshotMeta(index=42, term=3), b"x"),
            lambda s=storage: s.save(None, entries(46, 60, term=3)),
        ]
        for step in steps:
            caller = Thread(target=step)
            caller.start()
            caller.join(timeout=0.05)
            disk.capacity_bytes = None
            caller.join()
        restarted = open_storage(disk.after_crash(Survival.NOTHING, Random(1)))
        found = restarted.recover()
        assert found.hard_state == HardState(term=3), extra
        assert found.snapshot.index == 42
        assert found.entries[-20:] == [
            *entries(41, 45, term=3),
            *entries(46, 60, term=3),
        ]
        assert storage.failure is None


def test_full_disk_fails_and_keeps_acknowledged_state():
    disk = filled_disk()
    storage = open_storage(disk)
    before = visible(storage.recover())
    disk.capacity_bytes = sum(len(f.current) for f in disk.files.values()) + 100
    assert raises_storage_failed(lambda: storage.save(None, entries(41, 60, term=2)))
    disk.capacity_bytes = None
    assert raises_storage_failed(lambda: storage.save(None, entries(41, 41, term=2)))
    restarted = disk.after_crash(Survival.TORN, Random(1))
    assert visible(open_storage(restarted).recover()) == before


def test_failed_sync_is_never_retried():
    for fail_at in range(4):
        disk = filled_disk()
        storage = open_storage(disk)
        before = visible(storage.recover())
        disk.fail_sync_at = disk.n_syncs + fail_at
        assert raises_storage_failed(lambda s=storage: _save_many_entries(s))
        n_syncs = disk.n_syncs
        assert raises_storage_failed(
            lambda s=storage: s.save(None, entries(41, 41, term=2))
        )
        assert disk.n_syncs == n_syncs
        restarted = disk.after_crash(Survival.NOTHING, Random(0))
        found = visible(open_storage(restarted).recover())
        assert found[3][: len(before[3])] == before[3]


def _save_many_entries(storage: LogStorage) -> None:
    for n in range(41, 60):
        storage.save(HardState(term=7), entries(n, n, term=2))


def test_file_of_a_newer_format_is_refused():
    disk = filled_disk()
    newer = FileHeader(kind="segment", version=FORMAT_VERSION + 1, number=9)
    disk.append("000000000009.log", pack_frame(msgspec.msgpack.encode(newer)))
    assert raises_storage_failed(open_storage(disk).recover)


def test_folder_disk_recovers_every_step(tmp_path: Path):
    for step in history():
        storage = open_storage(FolderDisk(folder=tmp_path / "a" / "b"))
        storage.recover()
        step.call(storage)
        storage.close()
        reopened = open_storage(FolderDisk(folder=tmp_path / "a" / "b"))
        assert visible(reopened.recover()) == step.visible
        reopened.close()
