"""Commands that print or write an instance's settings."""

import os
from pathlib import Path
from typing import Annotated

import typer

from turmericreel.model.failures import FailureError, FileUnreadable
from turmericreel.model.settings import default_settings_source
from turmericreel.util.keys import hash_key, new_key

settings_app = typer.Typer(no_args_is_help=True, help="Settings of an instance.")

OPERATORS_TABLE = "[operators]"
EMPTY_HASHES = "key_hashes = []"
DATA_FOLDER = 'data_folder = "data"'
PRIVATE_MODE = 0o600


@settings_app.command("default")
def default() -> None:
    """Print the shipped settings in full, with comments."""
    typer.echo(default_settings_source(), nl=False)


@settings_app.command("new")
def new(
    folder: Annotated[Path, typer.Argument(help="folder to write to")],
) -> None:
    """Write the shipped settings and a new operator's key to a folder.

    The key is written to operator.key, and its hash to settings.toml.
    """
    key = new_key()
    source = default_settings_source()
    before, table, after = source.partition(OPERATORS_TABLE)
    after = after.replace(EMPTY_HASHES, f'key_hashes = ["{hash_key(key)}"]', 1)
    source = before + table + after
    source = source.replace(DATA_FOLDER, f'data_folder = "{folder / "data"}"')
    try:
        folder.mkdir(parents=True, exist_ok=True)
        _write_new(folder / "operator.key", key + "\n")
        _write_new(folder / "settings.toml", source)
    except OSError as error:
        failure = FileUnreadable(path=str(folder), detail=str(error))
        raise FailureError(failure) from error
    typer.echo(f"wrote {folder / 'settings.toml'} and {folder / 'operator.key'}")


def _write_new(path: Path, text: str) -> None:
    flags = os.O_WRONLY | os.O_CREAT | os.O_EXCL
    with open(os.open(path, flags, PRIVATE_MODE), "w") as file:
        file.write(text)
