"""Commands that create and hash keys."""

import typer

from turmericreel.ui.options import JsonOption, print_json
from turmericreel.util.keys import hash_key, key_id, new_key

key_app = typer.Typer(no_args_is_help=True, help="Keys of callers and operators.")


@key_app.command("new")
def new(as_json: JsonOption = False) -> None:
    """Print a new key, its hash and its public id.

    Give the key to its user, and put only the hash in the settings (operators) or in
    the operators' text (client accounts).
    """
    _print(new_key(), as_json)


@key_app.command("hash")
def hash_from_stdin(as_json: JsonOption = False) -> None:
    """Read a key from standard input and print its hash."""
    _print(typer.get_text_stream("stdin").readline().strip(), as_json)


def _print(key: str, as_json: bool) -> None:
    key_hash = hash_key(key)
    if as_json:
        print_json({"key": key, "hash": key_hash, "id": key_id(key_hash)})
        return
    typer.echo(f"key   {key}")
    typer.echo(f"hash  {key_hash}")
    typer.echo(f"id    {key_id(key_hash)}")
