"""No content crashes more than two servers, and no innocent content is quarantined."""

from collections import Counter

import msgspec
from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule

from turmericreel.model.ids import (
    BackendServerId,
    ContentDigest,
    Incarnation,
    VersionId,
)
from turmericreel.model.server_crash import part_digest
from turmericreel.state.commands.contents import (
    AdmitContent,
    ContentAdmitted,
    ContentEnd,
    ContentQuarantined,
    ContentWaits,
    EndContent,
    RefuteCrash,
)
from turmericreel.state.commands.union import LogRecord
from turmericreel.state.tables.contents import (
    MAX_CRASHES,
    QUARANTINE_MS,
    ContentTable,
)

POISON = ContentDigest("poison")
INNOCENT = [ContentDigest("innocent-1"), ContentDigest("innocent-2")]
VERSIONS = [VersionId("small"), VersionId("strong")]
N_SERVERS = 12
COPY_DEADLINE_MS = 30_000


def record(now_ms: int, index: int = 1) -> LogRecord:
    """Return a log record with the given time."""
    return LogRecord(index=index, term=1, time_ms=now_ms, command=None)


def admit(
    table: ContentTable,
    digest: str,
    copy: str,
    *,
    server: str = "s0",
    version: str = "small",
    now_ms: int = 0,
    parts: tuple[ContentDigest, ...] = (),
):
    """Ask the table to admit a copy."""
    command = AdmitContent(
        digest=ContentDigest(digest),
        copy=copy,
        version=VersionId(version),
        server=BackendServerId(server),
        incarnation=Incarnation(1),
        deadline_ms=now_ms + COPY_DEADLINE_MS,
        parts=parts,
    )
    return table.apply(command, record(now_ms))


def end(table: ContentTable, digest: str, copy: str, how: ContentEnd, now_ms: int = 0):
    """Report the end of a copy."""
    command = EndContent(digest=ContentDigest(digest), copy=copy, end=how)
    return table.apply(command, record(now_ms))


class PoisonMachine(RuleBasedStateMachine):
    """Callers send copies of one poison content and of two innocent contents."""

    def __init__(self):
        super().__init__()
        self.table = self.new_table()
        self.alive = [f"s{n}" for n in range(N_SERVERS)]
        self.running: dict[str, tuple[str, str]] = {}
        self.crashed_servers: set[str] = set()
        self.n_copies = 0
        self.first_copies: set[str] = set()
        self.first_copy_crashes: Counter[str] = Counter()
        self.now_ms = 0

    def new_table(self):
        """Return an empty table that knows the servers that are still running."""
        return ContentTable(is_registered=lambda server, _: server in self.alive)

    @rule(
        digest=st.sampled_from([POISON, POISON, *INNOCENT]),
        version=st.sampled_from(VERSIONS),
        pick=st.integers(0, N_SERVERS - 1),
    )
    def send(self, digest, version, pick):
        """Ask to admit a copy at a server that is still running."""
        server = self.alive[pick % len(self.alive)]
        self.n_copies += 1
        copy = f"request-{self.n_copies}/1"
        result = admit(
            self.table, digest, copy, server=server, version=version, now_ms=self.now_ms
        )
        if isinstance(result, ContentAdmitted):
            self.running[copy] = (digest, server)
            if self.table.contents[digest].n_crashes == 0:
                self.first_copies.add(copy)
        if digest in INNOCENT and isinstance(result, ContentQuarantined):
            # Both of its first copies ran at the same servers as both first copies of
            # the poison, so the two contents cannot be told apart.
            assert self.first_copy_crashes[digest] == MAX_CRASHES

    @rule(pick=st.integers(0, 100))
    def finish_innocent(self, pick):
        """Complete a running innocent copy."""
        copies = [c for c, (d, _) in self.running.items() if d != POISON]
        if copies:
            copy = copies[pick % len(copies)]
            digest, _ = self.running.pop(copy)
            end(self.table, digest, copy, ContentEnd.PROVED, self.now_ms)

    @rule(pick=st.integers(0, 100), lost=st.booleans())
    def crash(self, pick, lost):
        """Crash the server of a poison copy.

        If `lost`, the instance that sent the poison fails too, so its end is not
        reported.
        """
        copies = [c for c, (d, _) in self.running.items() if d == POISON]
        if not copies:
            return
        _, server = self.running[copies[pick % len(copies)]]
        self.crashed_servers.add(server)
        self.alive.remove(server)
        blamed = {
            self.running[c][0]
            for c in self.first_copies
            if c in self.running and self.running[c][1] == server
        }
        self.first_copy_crashes.update(blamed)
        on_server = [c for c, (_, s) in self.running.items() if s == server]
        for copy in on_server:
            digest, _ = self.running.pop(copy)
            if not (lost and digest == POISON):
                end(self.table, digest, copy, ContentEnd.CRASHED, self.now_ms)

    @rule(pick=st.integers(0, 100))
    def lose_path(self, pick):
        """Break the connection of a copy whose server goes on, and notice that."""
        if not self.running:
            return
        copy = sorted(self.running)[pick % len(self.running)]
        digest, server = self.running.pop(copy)
        end(self.table, digest, copy, ContentEnd.CRASHED, self.now_ms)
        command = RefuteCrash(
            digest=digest, server=BackendServerId(server), incarnation=Incarnation(1)
        )
        self.table.apply(command, record(self.now_ms))

    @rule(seconds=st.integers(1, 10))
    def wait(self, seconds):
        """Advance the time, in total by less than the duration of a quarantine."""
        if self.now_ms + seconds * 1_000 < QUARANTINE_MS:
            self.now_ms += seconds * 1_000

    @rule()
    def restart(self):
        """Restore the table from its snapshot."""
        dumped = msgspec.msgpack.decode(msgspec.msgpack.encode(self.table.dump()))
        self.table = self.new_table()
        self.table.load(dumped)

    @invariant()
    def at_most_two_servers_crash(self):
        """Check the bound after each step."""
        assert len(self.crashed_servers) <= MAX_CRASHES


PoisonMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=30, derandomize=True, deadline=None
)
TestPoisonMachine = PoisonMachine.TestCase


def test_simultaneous_copies_share_the_bound():
    table = ContentTable()
    results = [admit(table, POISON, f"r{n}/1", server=f"s{n}") for n in range(20)]
    admitted = [r for r in results if isinstance(r, ContentAdmitted)]
    assert len(admitted) == MAX_CRASHES


def test_proven_content_runs_without_bound():
    table = ContentTable()
    admit(table, "hello", "r0/1")
    end(table, "hello", "r0/1", ContentEnd.PROVED)
    results = [admit(table, "hello", f"r{n}/1") for n in range(1, 50)]
    assert all(isinstance(r, ContentAdmitted) for r in results)


def test_suspects_do_not_share_a_server():
    table = ContentTable()
    for digest in ("a", "b"):
        admit(table, digest, f"{digest}/1", server="s1")
        end(table, digest, f"{digest}/1", ContentEnd.CRASHED)
    first = admit(table, "a", "a/2", server="s2")
    second = admit(table, "b", "b/2", server="s2")
    elsewhere = admit(table, "b", "b/2", server="s3")
    assert isinstance(first, ContentAdmitted)
    assert second == ContentWaits(other_server=True)
    assert isinstance(elsewhere, ContentAdmitted)


def test_quarantine_ends_by_its_deadline_and_then_one_crash_suffices():
    table = ContentTable()
    for n in (1, 2):
        admit(table, POISON, f"r/{n}", server=f"s{n}")
        end(table, POISON, f"r/{n}", ContentEnd.CRASHED)
    quarantined = admit(table, POISON, "r/3", now_ms=QUARANTINE_MS - 1)
    later = admit(table, POISON, "r/4", now_ms=QUARANTINE_MS)
    end(table, POISON, "r/4", ContentEnd.CRASHED, QUARANTINE_MS)
    again = admit(table, POISON, "r/5", now_ms=2 * QUARANTINE_MS)
    assert quarantined == ContentQuarantined(until_ms=QUARANTINE_MS)
    assert isinstance(later, ContentAdmitted)
    assert again == ContentQuarantined(until_ms=3 * QUARANTINE_MS)


def test_lost_instance_counts_as_a_crash():
    table = ContentTable()
    admit(table, POISON, "r/1", server="s1")
    admit(table, POISON, "r/2", server="s2")
    result = admit(table, POISON, "r/3", server="s3", now_ms=COPY_DEADLINE_MS)
    assert isinstance(result, ContentQuarantined)


def test_resent_end_changes_nothing():
    table = ContentTable()
    admit(table, POISON, "r/1", server="s1")
    end(table, POISON, "r/1", ContentEnd.CRASHED)
    again = end(table, POISON, "r/1", ContentEnd.CRASHED)
    stale = admit(table, POISON, "r/1", server="s1")
    assert not again.changed
    assert stale == ContentWaits(other_server=False)


def test_proven_contents_are_removed_while_a_suspect_remains():
    table = ContentTable()
    admit(table, POISON, "r/1", server="s1")
    end(table, POISON, "r/1", ContentEnd.CRASHED)
    for n in range(1_000):
        now_ms = n * 1_000
        admit(table, f"c{n}", f"c{n}/1", server="s2", now_ms=now_ms)
        end(table, f"c{n}", f"c{n}/1", ContentEnd.PROVED, now_ms)
    assert len(table.contents) < 100
    assert POISON in table.contents


def test_copy_whose_server_outlives_its_deadline_is_no_crash():
    table = ContentTable(is_registered=lambda server, incarnation: server != "s3")
    admit(table, "slow", "r/1", server="s1")
    admit(table, "slow", "r/2", server="s2")
    admit(table, POISON, "r/3", server="s3")
    admit(table, POISON, "r/4", server="s4")
    slow = admit(table, "slow", "r/5", server="s5", now_ms=COPY_DEADLINE_MS)
    admit(table, POISON, "r/6", server="s6", now_ms=COPY_DEADLINE_MS)
    assert isinstance(slow, ContentAdmitted)
    assert table.contents[POISON].n_crashes == 1


def refute(table: ContentTable, digest: str, server: str, *, parts=()):
    """Report that a server went on although the connection of a copy broke."""
    command = RefuteCrash(
        digest=ContentDigest(digest),
        server=BackendServerId(server),
        incarnation=Incarnation(1),
        parts=parts,
    )
    return table.apply(command, record(0))


def crash_at(table: ContentTable, digest: str, *servers: str, parts=()) -> None:
    """Admit one copy for each server, then report a crash of each."""
    copies = [f"{digest}-{server}/1" for server in servers]
    for server, copy in zip(servers, copies, strict=True):
        admit(table, digest, copy, server=server, parts=parts)
    for copy in copies:
        end(table, digest, copy, ContentEnd.CRASHED)


def test_lost_paths_to_servers_that_go_on_end_no_content():
    table = ContentTable(is_registered=lambda server, incarnation: True)
    crash_at(table, "sound", "s1", "s2", parts=(SYSTEM,))
    assert isinstance(admit(table, "sound", "r/3"), ContentQuarantined)
    assert refute(table, "sound", "s1", parts=(SYSTEM,)).changed
    assert isinstance(admit(table, "sound", "r/4"), ContentAdmitted)
    end(table, "sound", "r/4", ContentEnd.RELEASED)
    refute(table, "sound", "s2", parts=(SYSTEM,))
    content = table.contents[ContentDigest("sound")]
    assert (content.n_crashes, content.n_quarantines) == (0, 0)
    assert not refute(table, "sound", "s2").changed
    results = [admit(table, f"other-{n}", "r/1", parts=(SYSTEM,)) for n in range(9)]
    assert all(isinstance(result, ContentAdmitted) for result in results)


def test_servers_that_ended_still_count_beside_a_refuted_crash():
    table = ContentTable(is_registered=lambda server, incarnation: server == "s1")
    crash_at(table, POISON, "s1", "s2")
    assert not refute(table, POISON, "s2").changed
    refute(table, POISON, "s1")
    assert isinstance(admit(table, POISON, "r/4", server="s4"), ContentAdmitted)
    assert isinstance(admit(table, POISON, "r/5", server="s5"), ContentWaits)
    end(table, POISON, "r/4", ContentEnd.CRASHED)
    assert isinstance(admit(table, POISON, "r/6", server="s6"), ContentQuarantined)
    refute(table, POISON, "s1")
    assert isinstance(admit(table, POISON, "r/7", server="s7"), ContentQuarantined)


BAD, SYSTEM, DOCUMENT = (part_digest(p) for p in ("bad", "system", "document"))


def crash_with_parts(table: ContentTable, number: int, *parts: ContentDigest) -> bool:
    """Send a request unlike any other; it ends its server.  Return if admitted."""
    digest, copy = f"content-{number}", f"request-{number}/1"
    admitted = admit(table, digest, copy, server=f"s{number}", parts=parts)
    if not isinstance(admitted, ContentAdmitted):
        return False
    end(table, digest, copy, ContentEnd.CRASHED)
    return True


def complete_with_parts(table: ContentTable, number: int, *parts: ContentDigest):
    digest, copy = f"sound-{number}", f"sound-{number}/1"
    admitted = admit(table, digest, copy, server="sound", parts=parts)
    end(table, digest, copy, ContentEnd.PROVED)
    return admitted


def test_part_that_ends_servers_is_refused_in_other_requests():
    table = ContentTable()
    complete_with_parts(table, 0, SYSTEM, DOCUMENT)
    n_ended = sum(crash_with_parts(table, n, SYSTEM, DOCUMENT, BAD) for n in range(9))
    assert n_ended == 3
    assert isinstance(complete_with_parts(table, 1, SYSTEM, DOCUMENT), ContentAdmitted)


def test_sound_part_that_was_never_answered_is_tried_without_the_bad_one():
    table = ContentTable()
    assert sum(crash_with_parts(table, n, SYSTEM, BAD) for n in range(9)) == 3
    admit(table, "first", "first/1", parts=(SYSTEM,))
    assert isinstance(
        admit(table, "second", "second/1", parts=(SYSTEM,)), ContentQuarantined
    )
    end(table, "first", "first/1", ContentEnd.PROVED)
    assert isinstance(complete_with_parts(table, 2, SYSTEM), ContentAdmitted)
    assert not crash_with_parts(table, 20, SYSTEM, BAD)


def test_refused_parts_survive_a_snapshot_and_older_snapshots_load():
    table = ContentTable()
    for number in range(9):
        crash_with_parts(table, number, SYSTEM, BAD)
    dumped = msgspec.msgpack.decode(msgspec.msgpack.encode(table.dump()))
    restored = ContentTable()
    restored.load(dumped)
    assert not crash_with_parts(restored, 20, SYSTEM, BAD)
    older = ContentTable()
    older.load(dumped["contents"])
    assert older.contents.keys() == table.contents.keys()
    assert crash_with_parts(older, 21, SYSTEM, BAD)
