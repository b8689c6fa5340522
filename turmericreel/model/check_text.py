"""Validates the operators' text and reports every fault with its line and key."""

import re
from typing import Any

import msgspec
import rtoml

from turmericreel.model.check_references import reference_faults
from turmericreel.model.check_structure import PathFault, structure_faults
from turmericreel.model.failures import FailureError, TextFault, TextRejected
from turmericreel.model.line_index import LineIndex
from turmericreel.model.text import OperatorsText

MAX_TEXT_BYTES = 2 * 1024 * 1024
SYNTAX_POSITION_PATTERN = re.compile(r" at line (\d+) column \d+$")


def parse_text(source: str) -> OperatorsText:
    """Parse and validate the operators' text.

    Parameters
    ----------
    source : str
        A TOML document.

    Returns
    -------
    OperatorsText

    Raises
    ------
    FailureError
        With `TextRejected`, which lists all faults.
    """
    if len(source.encode(errors="surrogatepass")) > MAX_TEXT_BYTES:
        detail = f"the text is larger than {MAX_TEXT_BYTES} bytes"
        raise _rejected_error([TextFault(line=1, key="", detail=detail)])
    document = parse_toml(source)
    try:
        text = msgspec.convert(document, type=OperatorsText)
    except msgspec.ValidationError:
        # The converter stops at the first fault; the slower check finds them all.
        faults = structure_faults(document, OperatorsText)
        reject_faults(source, [*faults, *reference_faults(document)])
        raise
    reject_faults(source, reference_faults(document))
    return text


def parse_toml(source: str) -> dict[str, Any]:
    """Parse a TOML document.

    Raises
    ------
    FailureError
        With `TextRejected`, which holds the first syntax error.
    """
    try:
        # Every instance parses the whole text at each revision, so a fast parser is
        # used.
        return rtoml.loads(source)
    except (rtoml.TomlParsingError, ValueError) as error:
        detail = SYNTAX_POSITION_PATTERN.sub("", str(error))
        fault = TextFault(line=_syntax_error_line(source, error), key="", detail=detail)
        raise _rejected_error([fault]) from error


def reject_faults(source: str, faults: list[PathFault]) -> None:
    """Raise the given faults, located by line; do nothing if there are none.

    Raises
    ------
    FailureError
        With `TextRejected`, sorted by line.
    """
    if not faults:
        return
    index = LineIndex(source=source)
    located = [
        TextFault(
            line=index.line_of(fault.path),
            key=".".join(str(part) for part in fault.path),
            detail=fault.detail,
        )
        for fault in faults
    ]
    raise _rejected_error(sorted(located, key=lambda f: (f.line, f.key)))


def _rejected_error(faults: list[TextFault]) -> FailureError:
    return FailureError(TextRejected(faults=tuple(faults)))


def _syntax_error_line(source: str, error: Exception) -> int:
    found = SYNTAX_POSITION_PATTERN.search(str(error))
    if found is not None:
        return int(found.group(1))
    return source.count("\n") + 1
