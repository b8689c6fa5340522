"""The experiment command stores results and reports them."""

from pathlib import Path

from typer.testing import CliRunner

from turmericreel.experiments.registry import EXPERIMENTS
from turmericreel.experiments.results import Report, Row, Target
from turmericreel.ui.commands import app

RESULT = Report(
    name="small",
    seeds=(1,),
    rows=(Row(case="a case", policy="a policy", values={"p95 ms": 12.5}),),
    targets=(
        Target(name="a bound kept", bound=2.0, measured=1.0),
        Target(name="a bound broken", bound=2.0, measured=9.0),
    ),
)


def test_report_shows_the_results_that_run_stored(tmp_path: Path, monkeypatch):
    monkeypatch.setitem(EXPERIMENTS, "small", lambda seeds: RESULT)
    results = str(tmp_path / "results.json")
    run = CliRunner().invoke(app, ["experiment", "run", "small", "--results", results])
    shown = CliRunner().invoke(app, ["experiment", "report", "--results", results])
    assert run.exit_code == 0, run.output
    assert shown.exit_code == 0, shown.output
    assert "MISSED" in shown.output
    assert "4.50" in shown.output


def test_unknown_experiment_is_refused():
    result = CliRunner().invoke(app, ["experiment", "run", "none-such"])
    assert result.exit_code == 2


def test_all_experiments_are_listed():
    result = CliRunner().invoke(app, ["experiment", "list"])
    assert result.exit_code == 0
    assert all(name in result.output for name in EXPERIMENTS)
