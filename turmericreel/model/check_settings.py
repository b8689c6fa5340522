"""Validates settings and reports every fault with its line and key."""

from collections.abc import Iterator
from copy import deepcopy
from ipaddress import ip_address
from pathlib import Path
from typing import Any

import msgspec

from turmericreel.model.check_references import key_hash_faults
from turmericreel.model.check_structure import PathFault, structure_faults
from turmericreel.model.check_text import parse_toml, reject_faults
from turmericreel.model.failures import FailureError, FileUnreadable
from turmericreel.model.line_index import KeyPath
from turmericreel.model.settings import Settings, default_settings_source

MIN_ELECTION_HEARTBEATS = 4
MAX_PORT = 65_535
LISTENERS = ("http", "control", "raft", "metrics")


def load_settings(path: Path | None) -> Settings:
    """Read settings from a file, or the defaults when `path` is None.

    Raises
    ------
    FailureError
        With `TextRejected` when settings are invalid, `FileUnreadable` when the file
        cannot be read.
    """
    if path is None:
        return parse_settings(default_settings_source())
    return parse_settings(read_source(path))


def read_source(path: Path) -> str:
    """Return the text of a UTF-8 file.

    Raises
    ------
    FailureError
        With `FileUnreadable`.
    """
    try:
        return path.read_text(encoding="utf-8")
    except (OSError, UnicodeDecodeError) as error:
        failure = FileUnreadable(path=str(path), detail=str(error))
        raise FailureError(failure) from error


def parse_settings(source: str) -> Settings:
    """Parse and validate settings.

    Parameters
    ----------
    source : str
        A TOML document.

    Raises
    ------
    FailureError
        With `TextRejected`, which lists all faults.
    """
    document = parse_toml(source)
    faults = structure_faults(document, Settings)
    if faults:
        reject_faults(
            source, [*faults, *_semantic_faults_of_valid_part(document, faults)]
        )
    settings = msgspec.convert(document, type=Settings)
    reject_faults(source, semantic_faults(settings))
    return settings


def _semantic_faults_of_valid_part(
    document: dict[str, Any], faults: list[PathFault]
) -> list[PathFault]:
    valid_part = deepcopy(document)
    for fault in faults:
        _remove_path(valid_part, fault.path)
    try:
        settings = msgspec.convert(valid_part, type=Settings)
    except msgspec.ValidationError:
        # A required key is missing, so the remaining keys cannot be checked.
        return []
    return semantic_faults(settings)


def _remove_path(table: dict[str, Any], path: KeyPath) -> None:
    for part in path:
        inner = table.get(part)
        if part == path[-1] or not isinstance(inner, dict):
            # The fault is at this key, or inside the list that is its value.
            table.pop(part, None)
            return
        table = inner


def semantic_faults(settings: Settings) -> list[PathFault]:
    """Return the faults that the types of the settings cannot express."""
    return [
        *_role_faults(settings),
        *_control_faults(settings),
        *_address_faults(settings),
        *_plain_text_faults(settings),
        *_tls_faults(settings),
        *key_hash_faults(_collect_key_hashes(settings)),
    ]


def _role_faults(settings: Settings) -> Iterator[PathFault]:
    roles = settings.instance.roles
    path = ("instance", "roles")
    if not roles:
        yield PathFault(path=path, detail="an instance needs at least one role")
    if len(set(roles)) != len(roles):
        yield PathFault(path=path, detail="a role is listed twice")
    if not settings.instance.id:
        yield PathFault(path=("instance", "id"), detail="must not be empty")
    if not settings.instance.data_centre:
        yield PathFault(path=("instance", "data_centre"), detail="must not be empty")
    if "control" in roles and "relay" in roles:
        detail = "a control instance already acts as a relay; leave out the relay role"
        yield PathFault(path=path, detail=detail)
    if "control" not in roles and not settings.control.peers:
        detail = (
            "an instance without the control role needs at least one control instance"
        )
        yield PathFault(path=("control", "peers"), detail=detail)


def _control_faults(settings: Settings) -> Iterator[PathFault]:
    control = settings.control
    name = settings.instance.id
    if control.election_ms < control.heartbeat_ms * MIN_ELECTION_HEARTBEATS:
        detail = f"must be at least {MIN_ELECTION_HEARTBEATS} times heartbeat_ms"
        yield PathFault(path=("control", "election_ms"), detail=detail)
    if "control" not in settings.instance.roles:
        return
    for key in ("peers", "raft_peers"):
        peers = getattr(control, key)
        if peers and name not in peers:
            detail = f"this control instance {name!r} must be included"
            yield PathFault(path=("control", key), detail=detail)
    if len(control.peers) > 1 and set(control.peers) != set(control.raft_peers):
        detail = "must list the same instances as control.peers"
        yield PathFault(path=("control", "raft_peers"), detail=detail)


def _address_faults(settings: Settings) -> Iterator[PathFault]:
    addresses = [
        (("listen", name), getattr(settings.listen, name)) for name in LISTENERS
    ]
    for table in ("peers", "raft_peers", "relays"):
        named = getattr(settings.control, table).items()
        addresses += [(("control", table, name), address) for name, address in named]
    if settings.listen.load:
        addresses.append((("listen", "load"), settings.listen.load))
    if settings.rating.address:
        addresses.append((("rating", "address"), settings.rating.address))
    for path, address in addresses:
        detail = _address_fault(address)
        if detail:
            yield PathFault(path=path, detail=f"{detail}, got {address!r}")


def _address_fault(address: str) -> str:
    host, separator, port = address.rpartition(":")
    if not separator or not port.isascii() or not port.isdigit():
        return "must be an IP address, a colon and a port"
    if int(port) > MAX_PORT:
        return f"the port must be at most {MAX_PORT}"
    try:
        ip_address(host.strip("[]"))
    except ValueError:
        return "the host must be an IP address"
    return ""


def _plain_text_faults(settings: Settings) -> Iterator[PathFault]:
    if settings.tls.enabled or settings.listen.allow_plain_text:
        return
    for name in LISTENERS:
        address = getattr(settings.listen, name)
        if _address_fault(address):
            continue
        host = ip_address(address.rpartition(":")[0].strip("[]"))
        if not host.is_loopback:
            yield PathFault(
                path=("listen", name),
                detail="plain text on an address other than loopback needs [tls] or "
                "allow_plain_text = true",
            )


def _tls_faults(settings: Settings) -> Iterator[PathFault]:
    tls = settings.tls
    if bool(tls.certificate) != bool(tls.private_key):
        detail = "certificate and private_key must be given together"
        yield PathFault(path=("tls",), detail=detail)
    if tls.enabled and not tls.authority:
        detail = "authority must be given to verify the certificates of other instances"
        yield PathFault(path=("tls",), detail=detail)


def _collect_key_hashes(settings: Settings) -> list[tuple[tuple, Any]]:
    return [
        ((table, "key_hashes", number), key_hash)
        for table in ("operators", "backend_servers")
        for number, key_hash in enumerate(getattr(settings, table).key_hashes)
    ]
