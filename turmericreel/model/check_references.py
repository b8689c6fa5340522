"""Checks the cross-references in the operators' text.

The checks work on the parsed document rather than on the typed text, so that reference
faults and structure faults are reported together.
"""

import re
from collections.abc import Iterator
from typing import Any

from turmericreel.model.check_structure import PathFault

NAME_PATTERN = re.compile(r"[A-Za-z0-9][A-Za-z0-9._-]*")
KEY_HASH_PATTERN = re.compile(r"sha256:[0-9a-f]{64}")
REPEATABLE_PATTERN = re.compile(r"[A-Z]+ /\S*")


def reference_faults(document: dict[str, Any]) -> list[PathFault]:
    """Return the faults in names, references, dependencies and key hashes."""
    services = _subtables(document.get("services"))
    accounts = _subtables(document.get("client_accounts"))
    return [
        *_name_faults(services, accounts),
        *_service_faults(services),
        *_cycle_faults(services),
        *_account_faults(services, accounts),
        *key_hash_faults(_collect_key_hashes(accounts)),
    ]


def key_hash_faults(hashes: list[tuple[tuple, Any]]) -> Iterator[PathFault]:
    """Yield a fault for each malformed or duplicate key hash.

    Parameters
    ----------
    hashes : list of tuple
        Pairs of a path in the document and the value found there.
    """
    first_paths: dict[str, tuple] = {}
    for path, key_hash in hashes:
        if not isinstance(key_hash, str):
            continue
        if not KEY_HASH_PATTERN.fullmatch(key_hash):
            detail = f"must be sha256: and 64 hex digits, got {key_hash!r}"
            yield PathFault(path=path, detail=detail)
        elif key_hash in first_paths:
            owner = ".".join(str(part) for part in first_paths[key_hash])
            yield PathFault(path=path, detail=f"duplicate of the key hash at {owner}")
        else:
            first_paths[key_hash] = path


def _subtables(value: Any) -> dict[str, dict]:
    if not isinstance(value, dict):
        return {}
    return {name: table for name, table in value.items() if isinstance(table, dict)}


def _enumerate_strings(value: Any) -> list[tuple[int, str]]:
    if not isinstance(value, list):
        return []
    return [(n, item) for n, item in enumerate(value) if isinstance(item, str)]


def _name_faults(services: dict, accounts: dict) -> Iterator[PathFault]:
    named = [("services", name) for name in services]
    named += [("client_accounts", name) for name in accounts]
    for service, table in services.items():
        versions = _subtables(table.get("versions"))
        named += [("services", service, "versions", name) for name in versions]
    for path in named:
        if not NAME_PATTERN.fullmatch(path[-1]):
            detail = (
                "a name may contain only letters, digits, dots, hyphens and underscores"
            )
            yield PathFault(path=path, detail=detail)


def _service_faults(services: dict[str, dict]) -> Iterator[PathFault]:
    for name, service in services.items():
        path = ("services", name)
        if service.get("versions") == {}:
            yield PathFault(path=path, detail="the service has no versions")
        for number, other in _enumerate_strings(service.get("depends_on")):
            if other not in services:
                yield PathFault(
                    path=(*path, "depends_on", number),
                    detail=f"depends on unknown service {other!r}",
                )
        for number, route in _enumerate_strings(service.get("repeatable")):
            if not REPEATABLE_PATTERN.fullmatch(route):
                yield PathFault(
                    path=(*path, "repeatable", number),
                    detail=f"must be an HTTP method and a path, got {route!r}",
                )


def _cycle_faults(services: dict[str, dict]) -> Iterator[PathFault]:
    for name in services:
        cycle = _find_cycle(services, name)
        if cycle:
            yield PathFault(
                path=("services", name, "depends_on"),
                detail=f"circular dependency: {' -> '.join(cycle)}",
            )


def _find_cycle(services: dict[str, dict], start: str) -> list[str]:
    predecessors: dict[str, str] = {}
    pending = [start]
    while pending:
        name = pending.pop()
        for _, other in _enumerate_strings(services[name].get("depends_on")):
            if other == start:
                return _rebuild_cycle(predecessors, start, name)
            if other in services and other not in predecessors:
                predecessors[other] = name
                pending.append(other)
    return []


def _rebuild_cycle(predecessors: dict[str, str], start: str, last: str) -> list[str]:
    cycle = [start]
    while last != start:
        cycle.insert(0, last)
        last = predecessors[last]
    return [start, *cycle]


def _account_faults(services: dict, accounts: dict) -> Iterator[PathFault]:
    for name, account in accounts.items():
        yield from _allowed_faults(services, name, account)
        for service in _subtables(account.get("objectives")):
            if service not in services:
                path = ("client_accounts", name, "objectives", service)
                yield PathFault(path=path, detail=f"unknown service {service!r}")


def _allowed_faults(services: dict, name: str, account: dict) -> Iterator[PathFault]:
    allowed = account.get("allowed")
    for service in allowed if isinstance(allowed, dict) else {}:
        path = ("client_accounts", name, "allowed", service)
        if service not in services:
            yield PathFault(path=path, detail=f"unknown service {service!r}")
            continue
        versions = services[service].get("versions")
        known = versions if isinstance(versions, dict) else {}
        for number, version in _enumerate_strings(allowed[service]):
            if version not in known:
                yield PathFault(
                    path=(*path, number),
                    detail=f"unknown version {version!r} of {service!r}",
                )


def _collect_key_hashes(accounts: dict[str, dict]) -> list[tuple[tuple, Any]]:
    return [
        (("client_accounts", name, "key_hashes", number), key_hash)
        for name, account in accounts.items()
        for number, key_hash in _enumerate_strings(account.get("key_hashes"))
    ]
