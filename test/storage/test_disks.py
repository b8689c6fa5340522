"""The disk in memory behaves like a folder for any sequence of operations."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from turmericreel.state.storage.disk import FolderDisk, MemoryDisk

names = st.sampled_from(("a", "b"))
operations = st.one_of(
    st.tuples(st.just("append"), names, st.binary(max_size=5)),
    st.tuples(st.just("truncate"), names, st.integers(0, 3)),
    st.tuples(st.just("rename"), names, names),
    st.tuples(st.just("remove"), names),
    st.tuples(st.just("sync"), names),
)


def outcome(disk, operation):
    """Run an operation and return the names of all files, or why it did not run."""
    call, *arguments = operation
    if call in ("truncate", "sync") and arguments[0] not in disk.names():
        # A folder disk would create an empty file; storage never does this to an
        # absent file.
        return "not tried"
    try:
        getattr(disk, call)(*arguments)
    except FileNotFoundError:
        return "not there"
    return disk.names()


@given(st.lists(operations, max_size=20))
def test_memory_and_folder_disks_agree(tmp_path_factory, operation_sequence):
    folder = FolderDisk(folder=tmp_path_factory.mktemp("disk"))
    memory = MemoryDisk()
    for operation in operation_sequence:
        assert outcome(memory, operation) == outcome(folder, operation)
    for name in memory.names():
        assert memory.read(name) == folder.read(name)
        assert memory.read(name, offset=1, size=2) == folder.read(
            name, offset=1, size=2
        )
    folder.close()


def test_only_folder_disk_is_persistent(tmp_path):
    assert FolderDisk(folder=tmp_path).is_persistent
    assert not MemoryDisk().is_persistent
    with pytest.raises(FileNotFoundError):
        MemoryDisk().read("a")
