"""The documentation lists exactly the log lines of gateways and coordinators."""

import ast
import re
from pathlib import Path

import pytest

import turmericreel

ROOT = Path(turmericreel.__file__).parent
PAGE = ROOT.parent / "docs" / "OPERATIONS.md"
# All modules that write log lines in a gateway or a coordinator.
SOURCES = [
    *ROOT.glob("gateway/*.py"),
    *ROOT.glob("coordinator/*.py"),
    *ROOT.glob("platform/*.py"),
    ROOT / "entry" / "door_log.py",
    *ROOT.glob("coordination/raft/*.py"),
    ROOT / "state" / "routing_state_cache.py",
]
ROW = re.compile(r"^\| `(\w+:\w+)` \| .* \| (.*) \|$", re.MULTILINE)
# The writer task builds this line itself, without a call of `log_message`.
WRITTEN_WITHOUT_LOG_MESSAGE = {"log:dropped"}


def message_types(node: ast.expr) -> list[str]:
    """Return the message types that a call's first argument may have."""
    if isinstance(node, ast.IfExp):
        return message_types(node.body) + message_types(node.orelse)
    assert isinstance(node, ast.Constant), ast.unparse(node)
    return [node.value]


def logged_fields() -> dict[str, set[str]]:
    """Return the fields of each message type in the sources."""
    found: dict[str, set[str]] = {}
    for path in SOURCES:
        for node in ast.walk(ast.parse(path.read_text())):
            if not isinstance(node, ast.Call):
                continue
            if getattr(node.func, "id", "") == "log_message":
                for name in message_types(node.args[0]):
                    fields = {keyword.arg for keyword in node.keywords}
                    found.setdefault(name, set()).update(fields)
    return found


def documented_fields() -> dict[str, set[str]]:
    """Return the fields of each message type on the page."""
    return {
        name: set(re.findall(r"`(\w+)`", fields))
        for name, fields in ROW.findall(PAGE.read_text())
    }


def test_every_line_is_documented_with_all_its_fields():
    assert logged_fields() == {
        n: f
        for n, f in documented_fields().items()
        if n not in WRITTEN_WITHOUT_LOG_MESSAGE
    }


@pytest.mark.parametrize("name", sorted(logged_fields()))
def test_lines_about_a_request_carry_its_id(name):
    fields = logged_fields()[name]
    if name.startswith("gateway:") and {"route", "tried", "asked", "after"} & fields:
        assert "request" in fields
