"""Validates a parsed TOML document against struct types and lists every fault."""

import types
from collections.abc import Iterator
from dataclasses import dataclass
from enum import Enum
from typing import Annotated, Any, NewType, Union, get_args, get_origin

import msgspec

from turmericreel.model.line_index import KeyPath


@dataclass(frozen=True, kw_only=True)
class PathFault:
    """A fault and its path in the document."""

    path: KeyPath
    detail: str


def structure_faults(value: Any, expected: Any, path: KeyPath = ()) -> list[PathFault]:
    """Return all faults of a value that should have a certain type.

    Parameters
    ----------
    value : object
        A value that the TOML parser returned.
    expected : type
        A `msgspec.Struct`, or the type of one of its fields.
    path : tuple
        Path of the value in the document.
    """
    return list(_check(value, expected, path))


def _check(value: Any, expected: Any, path: KeyPath) -> Iterator[PathFault]:
    plain = _plain_type(expected)
    origin = get_origin(plain)
    if isinstance(plain, type) and issubclass(plain, msgspec.Struct):
        yield from _check_struct(value, plain, path)
    elif origin is dict and isinstance(value, dict):
        (_, item_type) = get_args(plain)
        for key, item in value.items():
            yield from _check(item, item_type, (*path, key))
    elif origin in (list, tuple) and isinstance(value, list):
        item_type = get_args(plain)[0]
        for number, item in enumerate(value):
            yield from _check(item, item_type, (*path, number))
        if get_origin(expected) is Annotated and not value:
            yield from _check_leaf(value, expected, path)
    else:
        yield from _check_leaf(value, expected, path)


def _plain_type(expected: Any) -> Any:
    if isinstance(expected, NewType):
        return _plain_type(expected.__supertype__)
    if get_origin(expected) is Annotated:
        return _plain_type(get_args(expected)[0])
    if get_origin(expected) in (Union, types.UnionType):
        # TOML has no null, so a value that is present has the type that is not None.
        present = [a for a in get_args(expected) if a is not type(None)]
        return _plain_type(present[0]) if len(present) == 1 else expected
    return expected


def _check_struct(value: Any, struct: type, path: KeyPath) -> Iterator[PathFault]:
    if not isinstance(value, dict):
        yield PathFault(path=path, detail=f"must be a table, got {value!r}")
        return
    known = {field.encode_name: field for field in msgspec.structs.fields(struct)}
    for key, item in value.items():
        if key not in known:
            names = ", ".join(sorted(known))
            yield PathFault(
                path=(*path, key), detail=f"unknown key; known keys are {names}"
            )
            continue
        yield from _check(item, known[key].type, (*path, key))
    for name, field in known.items():
        if field.required and name not in value:
            yield PathFault(path=path, detail=f"key {name!r} is missing")


def _check_leaf(value: Any, expected: Any, path: KeyPath) -> Iterator[PathFault]:
    try:
        msgspec.convert(value, type=expected)
    except msgspec.ValidationError as error:
        yield PathFault(path=path, detail=_describe_fault(value, expected, str(error)))


def _describe_fault(value: Any, expected: Any, message: str) -> str:
    plain = _plain_type(expected)
    if isinstance(plain, type) and issubclass(plain, Enum):
        choices = ", ".join(member.value for member in plain)
        return f"must be one of {choices}, got {value!r}"
    # msgspec appends a path relative to the value, which is misleading here.
    reason = message.split(" - at ")[0]
    return f"{reason[:1].lower()}{reason[1:]}, got {value!r}"
