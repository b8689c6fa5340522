"""Commands: one line per user error, documented exit codes, JSON output."""

import json

import pytest
from typer.testing import CliRunner

from test.library import OPERATOR_KEY, TEXT, SmallSystem
from turmericreel.model.check_settings import load_settings
from turmericreel.model.failures import (
    CommitUnknown,
    FailureError,
    NotInForce,
    QueryInvalid,
    StorageFailed,
    SubmitConflict,
    TextRejected,
)
from turmericreel.state.storage.disk import FolderDisk
from turmericreel.state.storage.entries import SnapshotMeta
from turmericreel.state.storage.snapshots import SnapshotStore
from turmericreel.ui import errors
from turmericreel.ui.commands import app
from turmericreel.ui.submit import Submitter
from turmericreel.util.clock import ManualClock
from turmericreel.util.keys import hash_key


def run(*arguments: str, **options):
    return CliRunner().invoke(app, arguments, **options)


def run_with_system(system: SmallSystem, *arguments: str):
    return run(*arguments, "--address", system.address, "--key", OPERATOR_KEY)


def test_check_names_all_faults_and_exits_with_its_code(tmp_path, monkeypatch, capsys):
    path = tmp_path / "text.toml"
    path.write_text('colour = "blue"\nsize = 1\n')
    monkeypatch.setattr("sys.argv", ["turmericreel", "check", "text", str(path)])
    with pytest.raises(SystemExit) as left:
        errors.run()
    assert left.value.code == errors.EXIT_REJECTED
    lines = capsys.readouterr().err.strip().splitlines()
    assert [line.split(":")[1].strip() for line in lines] == ["colour", "size"]


def test_new_settings_hold_the_hash_of_the_new_key(tmp_path):
    folder = tmp_path / "run"
    assert run("settings", "new", str(folder)).exit_code == 0
    key = (folder / "operator.key").read_text().strip()
    settings = load_settings(folder / "settings.toml")
    assert settings.operators.key_hashes == [hash_key(key)]
    assert (folder / "operator.key").stat().st_mode & 0o077 == 0
    again = run("settings", "new", str(folder))
    assert isinstance(again.exception, FailureError)
    assert (folder / "operator.key").read_text().strip() == key


def test_submit_and_read_back(system: SmallSystem, tmp_path):
    path = tmp_path / "text.toml"
    path.write_text(TEXT + "# changed\n")
    submitted = run_with_system(system, "submit", str(path), "--base", "1", "--json")
    assert submitted.exit_code == 0, submitted.output
    answer = json.loads(submitted.stdout)
    assert (answer["revision"], answer["waiting"]) == (2, 0)
    assert answer["confirmed"] == 1
    shown = run_with_system(system, "config", "show")
    assert shown.stdout == path.read_text()
    listed = json.loads(run_with_system(system, "config", "history", "--json").stdout)
    assert [kept["revision"] for kept in listed] == [1, 2]
    changed = run_with_system(system, "config", "diff", "1", "2")
    assert "+# changed" in changed.stdout
    first = run_with_system(system, "config", "show", "--revision", "1")
    assert first.stdout == TEXT
    unknown = run_with_system(system, "config", "show", "--revision", "9")
    assert isinstance(unknown.exception.failure, QueryInvalid)
    conflict = run_with_system(system, "submit", str(path), "--base", "1")
    assert isinstance(conflict.exception.failure, SubmitConflict)
    status = json.loads(run_with_system(system, "status", "--json").stdout)
    assert len(status["servers"]) == 3


def test_faulty_text_is_rejected_before_it_is_sent(tmp_path):
    path = tmp_path / "text.toml"
    path.write_text("colour = 1")
    nowhere = ("--address", "127.0.0.1:1", "--key", "k", "--base", "0")
    rejected = run("submit", str(path), *nowhere)
    assert isinstance(rejected.exception.failure, TextRejected)


class LossyClient:
    """Operator client that loses its first `n_lost` answers."""

    def __init__(self, *, n_lost: int, waiting: list[int]):
        self.n_lost = n_lost
        self.waiting = waiting
        self.submissions: list[str] = []

    def submit(self, *, submission: str, base_revision: int, text: str) -> int:
        """Record a submission; raise `CommitUnknown` if its answer is lost."""
        self.submissions.append(submission)
        if len(self.submissions) <= self.n_lost:
            raise FailureError(CommitUnknown())
        return 7

    def read(self, what: str, **arguments: str) -> dict:
        """Return how many instances have confirmed the revision."""
        left = self.waiting.pop(0) if len(self.waiting) > 1 else self.waiting[0]
        return {"confirmed": 3 - left, "waiting": left, "left_ms": 10}


def build_submitter(client: LossyClient) -> Submitter:
    clock = ManualClock()
    return Submitter(clients=[client], deadline=10.0, clock=clock, sleep=clock.advance)


def test_submission_with_a_lost_answer_is_resent_with_the_same_id():
    client = LossyClient(n_lost=3, waiting=[2, 1, 0])
    submitter = build_submitter(client)
    assert submitter.submit(submission="s", base_revision=6, text="") == 7
    assert client.submissions == ["s"] * 4
    shown = []
    progress = submitter.wait_in_force(7, shown.append)
    assert [s["waiting"] for s in shown] == [2, 1, 0]
    assert progress["confirmed"] == 3


def test_submit_gives_up_at_its_deadline():
    submitter = build_submitter(LossyClient(n_lost=10_000, waiting=[1]))
    with pytest.raises(FailureError) as lost:
        submitter.submit(submission="s", base_revision=6, text="")
    assert isinstance(lost.value.failure, CommitUnknown)
    with pytest.raises(FailureError) as waited:
        submitter.wait_in_force(7, lambda progress: None)
    assert isinstance(waited.value.failure, NotInForce)


def test_key_new_prints_the_hash_of_its_key():
    answer = json.loads(run("key", "new", "--json").stdout)
    assert answer["hash"] == hash_key(answer["key"])
    hashed = json.loads(run("key", "hash", "--json", input=answer["key"]).stdout)
    assert hashed == answer


def test_snapshot_is_inspected_and_verified(system: SmallSystem, tmp_path):
    folder = tmp_path / "group"
    missing = run("snapshot", "verify", str(folder))
    assert isinstance(missing.exception.failure, StorageFailed)
    store = SnapshotStore(disk=FolderDisk(folder=folder))
    machine = system.instance.log.machine
    store.write(SnapshotMeta(index=7, term=2), machine.dump())
    inspected = json.loads(run("snapshot", "inspect", str(folder), "--json").stdout)
    assert inspected["meta"]["index"] == 7
    assert inspected["tables"]["configuration"] > len(TEXT)
    verified = json.loads(run("snapshot", "verify", str(folder), "--json").stdout)
    assert verified["whole"]
    (path,) = folder.glob("*.snapshot")
    damaged = bytearray(path.read_bytes())
    damaged[len(damaged) // 2] ^= 1
    path.write_bytes(damaged)
    refused = run("snapshot", "verify", str(folder))
    assert isinstance(refused.exception.failure, StorageFailed)
    assert path.exists()
