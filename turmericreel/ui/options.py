"""Options that several commands share, and the operator client built from them."""

import json
from collections.abc import Callable
from contextvars import ContextVar
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer
from gevent import signal_handler
from gevent.event import Event
from rich.console import Console

from turmericreel.protocols.tls import client_context
from turmericreel.ui.operator_client import OperatorClient

DEFAULT_ADDRESS = "127.0.0.1:7080"

AddressOption = Annotated[
    str,
    typer.Option("--address", envvar="TURMERICREEL_ADDRESS", help="instance, ip:port"),
]
KeyOption = Annotated[
    str, typer.Option("--key", envvar="TURMERICREEL_KEY", help="operator's key")
]
JsonOption = Annotated[bool, typer.Option("--json", help="print JSON")]
AuthorityOption = Annotated[
    Path | None,
    typer.Option(
        envvar="TURMERICREEL_AUTHORITY",
        help="file of CA certificates to trust; enables TLS",
    ),
]


# Set by the option given before the command; read by every command that connects.
AUTHORITY: ContextVar[Path | None] = ContextVar("authority", default=None)


def tls_context():
    """Return the TLS context for instances, or None for plain text."""
    authority = AUTHORITY.get()
    return None if authority is None else client_context(str(authority))


def operator_client(address: str, key: str) -> OperatorClient:
    """Return a client of an instance that uses the operator's key."""
    return OperatorClient(address=address, key=key, context=tls_context())


def print_json(value: Any) -> None:
    """Print a value as one JSON document."""
    plain = msgspec.to_builtins(value)
    typer.echo(json.dumps(plain, indent=2, ensure_ascii=False))


def console() -> Console:
    """Return the console for tables."""
    return Console()


def progress_console() -> Console:
    """Return the console for progress messages, on standard error.

    Standard output holds only the result, so that programs can parse it.
    """
    return Console(stderr=True)


def wait_for_stop_signal() -> None:
    """Wait for SIGTERM or SIGINT."""
    stop_requested = Event()
    stop_on_signals(stop_requested.set)
    stop_requested.wait()


def stop_on_signals(callback: Callable[[], None]) -> None:
    """Call `callback` on SIGTERM and SIGINT."""
    for signal_number in (2, 15):
        signal_handler(signal_number, callback)
