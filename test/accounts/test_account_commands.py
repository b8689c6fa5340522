"""Account commands print the ledger and fail if it is inconsistent."""

import pytest
from typer.testing import CliRunner

from test.accounts.tables import line
from test.library import OPERATOR_KEY, SmallSystem, chat_body, http_call
from turmericreel.ui.accounts import accounts_app


@pytest.fixture
def system_with_bills(system: SmallSystem) -> SmallSystem:
    for n in range(3):
        body = chat_body(f"question {n}")
        http_call(system.address, "POST", "/v1/chat/completions", body=body)
    return system


def run(system: SmallSystem, *arguments: str):
    options = ["--address", system.address, "--key", OPERATOR_KEY]
    return CliRunner().invoke(accounts_app, [*arguments, *options])


def test_account_and_neighbour_statements_are_equal(system_with_bills):
    by_account = run(system_with_bills, "statement", "household")
    by_neighbour = run(system_with_bills, "neighbour", "ovenslot")
    assert by_account.exit_code == by_neighbour.exit_code == 0
    assert by_account.output.splitlines()[-1].startswith("3 lines, ")
    assert by_account.output == by_neighbour.output
    assert run(system_with_bills, "statement", "nobody").output.startswith("0 lines")


def test_reconcile_finds_no_faults(system_with_bills):
    result = run(system_with_bills, "reconcile")
    assert result.exit_code == 0
    assert "3 lines, 0 faults" in result.output


def test_reconcile_fails_on_wrong_account_total(system_with_bills):
    ledger = system_with_bills.instance.log.machine.ledger
    ledger.totals.by_account["household"].cost += 1
    result = run(system_with_bills, "reconcile")
    assert result.exit_code == 1
    assert "account_totals household" in result.output


def test_statement_reports_missing_lines(system_with_bills):
    ledger = system_with_bills.instance.log.machine.ledger
    ledger.archive.append(line(9))
    result = run(system_with_bills, "statement", "household")
    assert result.exit_code == 1
    assert "lines 3 to 8 are missing" in result.output
