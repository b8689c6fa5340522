"""Commands that read the snapshots of a control instance's data folder."""

from pathlib import Path
from typing import Annotated

import msgspec
import typer
from rich.table import Table

from turmericreel.model.failures import FailureError, StorageFailed
from turmericreel.state.machine import StateMachine
from turmericreel.state.storage.disk import FolderDisk
from turmericreel.state.storage.entries import SnapshotMeta
from turmericreel.state.storage.snapshots import SNAPSHOT_SUFFIX, SnapshotStore
from turmericreel.ui.options import JsonOption, console, print_json

snapshot_app = typer.Typer(no_args_is_help=True, help="Snapshots of the state.")

FolderArgument = Annotated[
    Path, typer.Argument(help="a group's folder below the data folder, or a snapshot")
]


@snapshot_app.command("inspect")
def inspect(path: FolderArgument, as_json: JsonOption = False) -> None:
    """Show the last index, voters and table sizes of the newest snapshot."""
    name, meta, data = _read(path)
    sizes = _table_sizes(data)
    if as_json:
        print_json({"name": name, "meta": meta, "tables": sizes})
        return
    table = Table(title=name)
    table.add_column("what")
    table.add_column("value", justify="right")
    for row in (
        ("last index", meta.index),
        ("term", meta.term),
        ("bytes", meta.size_bytes),
        ("voters", " ".join(meta.membership.voters)),
        *((f"table {part}", f"{size} bytes") for part, size in sizes.items()),
    ):
        table.add_row(row[0], str(row[1]))
    console().print(table)


@snapshot_app.command("verify")
def verify(path: FolderArgument, as_json: JsonOption = False) -> None:
    """Check the newest snapshot's checksums, and that the state loads from it."""
    name, meta, data = _read(path)
    machine = StateMachine()
    try:
        machine.load(data)
        reloaded = StateMachine()
        reloaded.load(machine.dump())
    except Exception as error:
        # Any error while loading means that the snapshot is unusable.
        raise _storage_failed(
            path, f"{name}: the state does not load: {error}"
        ) from error
    if reloaded.dump() != machine.dump():
        raise _storage_failed(
            path, f"{name}: the state differs after dumping and loading it again"
        )
    if as_json:
        print_json({"name": name, "index": meta.index, "whole": True})
    else:
        typer.echo(f"{name}: valid up to index {meta.index}")


def _read(path: Path) -> tuple[str, SnapshotMeta, bytes]:
    if not path.exists():
        raise _storage_failed(path, "no such folder")
    folder = path.parent if path.is_file() else path
    store = SnapshotStore(disk=FolderDisk(folder=folder))
    names = [n for n in store.disk.names() if n.endswith(SNAPSHOT_SUFFIX)]
    if path.is_file():
        names = [path.name]
    if not names:
        raise _storage_failed(path, "no snapshot")
    meta, data = store.read(names[-1])
    return names[-1], meta, data


def _table_sizes(data: bytes) -> dict[str, int]:
    parts = msgspec.msgpack.decode(data, type=dict[str, msgspec.Raw])
    return {name: len(bytes(part)) for name, part in parts.items()}


def _storage_failed(path: Path, detail: str) -> FailureError:
    return FailureError(StorageFailed(path=str(path), detail=detail))
