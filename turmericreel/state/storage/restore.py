"""Creates a new group from one surviving data folder after a permanent quorum loss.

All entries of the survivor's log are treated as committed, also those that it did not
know to be committed.  Entries that only the lost members stored are lost; the operator
accepts this risk.
"""

from pathlib import Path

import msgspec

from turmericreel.model.failures import FailureError, StorageFailed
from turmericreel.model.ids import InstanceId
from turmericreel.state.commands.union import Command, LogRecord
from turmericreel.state.machine import StateMachine
from turmericreel.state.storage.disk import Disk, FolderDisk
from turmericreel.state.storage.entries import (
    Entry,
    EntryKind,
    HardState,
    Identity,
    Membership,
    SnapshotMeta,
    member_id,
)
from turmericreel.state.storage.log_storage import LogStorage, RecoveredState


def restore_group(
    *, source: Path, target: Path, instance: InstanceId, incarnation: int
) -> SnapshotMeta:
    """Write the state of a surviving data folder as a new group of one instance.

    Parameters
    ----------
    source : Path
        Folder of one group on the surviving instance.
    target : Path
        Absent or empty folder, which becomes the group's folder of `instance`.
    instance : InstanceId
    incarnation : int
        A number that the instance has not used before, such as the current time.

    Returns
    -------
    SnapshotMeta
        The snapshot that the new group starts from.

    Raises
    ------
    FailureError
        With `StorageFailed` when the source is damaged or the target is not empty.
    """
    if not source.is_dir():
        raise FailureError(StorageFailed(path=str(source), detail="no such folder"))
    return restore_disk(
        source=FolderDisk(folder=source),
        target=FolderDisk(folder=target),
        instance=instance,
        incarnation=incarnation,
    )


def restore_disk(
    *, source: Disk, target: Disk, instance: InstanceId, incarnation: int
) -> SnapshotMeta:
    """Write the state on a surviving disk as a new group of one instance.

    Like `restore_group`, from one disk to another.
    """
    if target.names():
        raise FailureError(
            StorageFailed(path=target.path, detail="the target folder is not empty")
        )
    recovered = _recover_source(source)
    machine = _replay(recovered)
    member = member_id(instance, incarnation)
    membership = Membership(voters=(member,))
    term = recovered.hard_state.term + 1
    meta = SnapshotMeta(
        index=machine.applied_index,
        term=term,
        time_ms=_last_time_ms(recovered),
        membership=membership,
    )
    storage = LogStorage(disk=target)
    storage.recover()
    storage.save_identity(Identity(member=member, initial=membership))
    storage.save(HardState(term=term), [])
    written = storage.write_snapshot(meta, machine.dump())
    storage.close()
    return written


def _recover_source(source: Disk) -> RecoveredState:
    storage = LogStorage(disk=source)
    recovered = storage.recover()
    storage.close()
    if recovered.identity is None:
        raise FailureError(
            StorageFailed(path=source.path, detail="the source folder is empty")
        )
    return recovered


def _replay(recovered: RecoveredState) -> StateMachine:
    machine = StateMachine()
    if recovered.snapshot_data is not None:
        machine.load(recovered.snapshot_data)
    decoder = msgspec.msgpack.Decoder(Command)
    for entry in recovered.entries:
        if entry.index > machine.applied_index:
            machine.apply(_to_log_record(entry, decoder))
    return machine


def _to_log_record(entry: Entry, decoder: msgspec.msgpack.Decoder) -> LogRecord:
    command = None
    if entry.kind is EntryKind.COMMAND:
        command = decoder.decode(entry.data)
    return LogRecord(
        index=entry.index, term=entry.term, time_ms=entry.time_ms, command=command
    )


def _last_time_ms(recovered: RecoveredState) -> int:
    if recovered.entries:
        return max(recovered.snapshot.time_ms, recovered.entries[-1].time_ms)
    return recovered.snapshot.time_ms
