"""A new group is restored from a surviving folder, and other instances join it."""

from pathlib import Path

import pytest
from gevent import sleep

from test.raft.small_group import (
    SmallGroup,
    submission,
    submit_texts,
    voters_of,
    wait_for_revision,
)
from test.raft.test_raft_log import NAMES, single_member_log
from turmericreel.model.failures import FailureError, StorageFailed
from turmericreel.model.ids import InstanceId
from turmericreel.state.storage.disk import FolderDisk
from turmericreel.state.storage.restore import restore_disk, restore_group


def write_survivor_folder(folder: Path) -> None:
    log = single_member_log(FolderDisk(folder=folder), [])
    log.start()
    while not log.is_leader():
        sleep(0.01)
    for n in range(1, 31):
        log.propose(submission(f"t{n}", base=n - 1), timeout=5.0)
    log.stop()


def test_restored_group_continues_from_survivor_state(tmp_path):
    write_survivor_folder(tmp_path / "old")
    meta = restore_group(
        source=tmp_path / "old",
        target=tmp_path / "new",
        instance=NAMES[0],
        incarnation=77,
    )
    assert meta.index == 31
    log = single_member_log(FolderDisk(folder=tmp_path / "new"), [])
    log.start()
    while not log.is_leader():
        sleep(0.01)
    assert log.member.core.state.member == "a#77"
    assert log.member.core.state.term > 1
    assert log.propose(submission("t31", base=30), timeout=5.0).revision == 31
    # The deduplication table is restored, too.
    assert log.propose(submission("t7", base=6), timeout=5.0).revision == 7
    log.stop()


def test_folder_in_use_is_not_overwritten(tmp_path):
    write_survivor_folder(tmp_path / "old")
    with pytest.raises(FailureError) as caught:
        restore_group(
            source=tmp_path / "old",
            target=tmp_path / "old",
            instance=NAMES[0],
            incarnation=1,
        )
    assert isinstance(caught.value.failure, StorageFailed)


def test_other_instances_join_a_restored_group_with_empty_folders():
    group = SmallGroup(seed=1, snapshot_after_bytes=600, n_kept_entries=2)
    submit_texts(group, 1, 20)
    wait_for_revision(group, 20)
    saved = group.nodes["a"].disk
    for name in group.nodes:
        group.lose_disk(name)
    restore_disk(
        source=saved,
        target=group.nodes["a"].disk,
        instance=InstanceId("a"),
        incarnation=77,
    )
    for name in group.nodes:
        group.start(name)
    group.run_until(
        lambda: group.leader() and voters_of(group, group.leader()) == ["a", "b", "c"],
        what="three voters again",
    )
    submit_texts(group, 21, 21)
    wait_for_revision(group, 21)
