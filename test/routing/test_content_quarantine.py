"""Crash records merge in any order and are refuted by signs of life."""

import pytest
from hypothesis import given
from hypothesis import strategies as st

from test.routing.library import make_server
from turmericreel.decisions.content_quarantine import (
    CRASH_RETENTION_MS,
    HEARTBEAT_DELAY_S,
    MAX_CONTENTS,
    MAX_CRASHES,
    MIN_HEARTBEAT_SPAN_S,
    REFUTATION_DELAY_MS,
    UNCONFIRMED_RETRY_AFTER_MS,
    ContentQuarantine,
    choose_trying_instance,
)
from turmericreel.decisions.sound_parts import SOUND_RETENTION_S
from turmericreel.gateway.crash_guard import UNRESOLVED_RETENTION_S, CrashGuard
from turmericreel.model.failures import FailureError, NotRun, NotRunReason
from turmericreel.model.ids import ClientAccountId, ContentDigest, PromptPartId
from turmericreel.model.server_crash import (
    CrashReport,
    ServerCrash,
    ServerProcess,
    content_of_account,
    part_digest,
)
from turmericreel.util.clock import ManualClock

POISON = ContentDigest("poison")
OTHER = ContentDigest("other")
NOW_MS = 1_000


def process(name: str, incarnation: int = 1) -> ServerProcess:
    return ServerProcess(name, incarnation)


def quarantine_with(n_crashes: int) -> ContentQuarantine:
    quarantine = ContentQuarantine()
    for n in range(n_crashes):
        quarantine.record_crash(POISON, process(f"s{n}"), now=0.0, now_ms=NOW_MS)
    return quarantine


def test_several_copies_at_one_process_count_as_one_crash():
    quarantine = ContentQuarantine()
    for _ in range(5):
        quarantine.record_crash(POISON, process("s1"), now=0.0, now_ms=NOW_MS)
    quarantine.record_crash(POISON, process("s1", 2), now=0.0, now_ms=NOW_MS)
    assert quarantine.n_crashes(POISON, now_ms=NOW_MS) == 2
    assert quarantine.n_crashes(OTHER, now_ms=NOW_MS) == 0


def send_heartbeats(quarantine, name: str, *times: float) -> list[ServerCrash]:
    return [c for t in times for c in quarantine.record_heartbeat(process(name), now=t)]


def test_process_that_goes_on_sending_heartbeats_did_not_crash():
    quarantine = quarantine_with(MAX_CRASHES)
    first, last = HEARTBEAT_DELAY_S, HEARTBEAT_DELAY_S + MIN_HEARTBEAT_SPAN_S
    assert send_heartbeats(quarantine, "s0", HEARTBEAT_DELAY_S / 2) == []
    for now in (first, first + 1.0, last):
        assert quarantine.record_heartbeat(process("s0", 2), now=now) == []
    refuted = send_heartbeats(quarantine, "s0", first, first + 1.0, last)
    assert [crash.refuted for crash in refuted] == [True]
    assert quarantine.n_crashes(POISON, now_ms=NOW_MS) == MAX_CRASHES - 1


def test_heartbeats_that_arrive_late_do_not_refute_a_crash():
    quarantine = quarantine_with(MAX_CRASHES)
    first = HEARTBEAT_DELAY_S + 1.0
    assert send_heartbeats(quarantine, "s0", first) == []
    burst = [first + n * 0.1 for n in range(10)]
    assert send_heartbeats(quarantine, "s1", *burst) == []
    assert send_heartbeats(quarantine, "s2", first, first + 9.0) == []
    assert quarantine.n_crashes(POISON, now_ms=NOW_MS) == MAX_CRASHES


def test_heartbeats_before_another_crash_of_the_process_do_not_refute_it():
    quarantine = quarantine_with(1)
    first, last = HEARTBEAT_DELAY_S, HEARTBEAT_DELAY_S + MIN_HEARTBEAT_SPAN_S
    send_heartbeats(quarantine, "s0", first, first + 1.0)
    later_ms = NOW_MS + int(last * 1_000)
    quarantine.record_crash(POISON, process("s0"), now=last, now_ms=later_ms)
    assert send_heartbeats(quarantine, "s0", last, last + HEARTBEAT_DELAY_S) == []
    assert quarantine.n_crashes(POISON, now_ms=NOW_MS) == 1


def test_content_that_completes_is_sound_at_all_gateways():
    here, there = quarantine_with(MAX_CRASHES), quarantine_with(MAX_CRASHES)
    there.merge(here.record_completion(POISON), now=0.0, now_ms=NOW_MS)
    assert there.n_crashes(POISON, now_ms=NOW_MS) == 0
    assert there.merge(quarantine_with(2).records(), now=0.0, now_ms=NOW_MS) == []
    assert there.n_crashes(POISON, now_ms=NOW_MS) == 0


def test_process_that_crashes_after_it_was_cleared_counts():
    quarantine = quarantine_with(1)
    quarantine.record_heartbeat(process("s0"), now=HEARTBEAT_DELAY_S)
    quarantine.record_crash(POISON, process("s0"), now=2.0, now_ms=NOW_MS + 2_000)
    assert quarantine.n_crashes(POISON, now_ms=NOW_MS + 2_000) == 1


def test_crashes_expire_and_are_dropped():
    quarantine = quarantine_with(MAX_CRASHES)
    expired_ms = NOW_MS + CRASH_RETENTION_MS
    assert quarantine.n_quarantined(now_ms=expired_ms - 1) == 1
    assert quarantine.n_quarantined(now_ms=expired_ms) == 0
    quarantine.drop_expired(now_ms=expired_ms)
    assert quarantine.records() == ()
    assert not quarantine.contents
    assert not quarantine.earliest_refutation


def test_refused_client_returns_early_only_while_the_crash_may_be_refuted():
    quarantine = quarantine_with(MAX_CRASHES)
    early = quarantine.retry_after_ms(POISON, now_ms=NOW_MS)
    late_ms = NOW_MS + REFUTATION_DELAY_MS
    late = quarantine.retry_after_ms(POISON, now_ms=late_ms)
    assert early == UNCONFIRMED_RETRY_AFTER_MS
    assert late_ms + late == NOW_MS + CRASH_RETENTION_MS


def test_number_of_contents_is_bounded():
    quarantine = quarantine_with(MAX_CRASHES)
    for n in range(MAX_CONTENTS + 50):
        content = ContentDigest(str(n))
        quarantine.record_crash(content, process("s1"), now=0.0, now_ms=NOW_MS)
    assert len(quarantine.crashes) == MAX_CONTENTS
    assert len(quarantine.contents[process("s1")]) == MAX_CONTENTS
    assert quarantine.n_quarantined(now_ms=NOW_MS) == 1


CRASHES = st.builds(
    ServerCrash,
    content=st.sampled_from([POISON, OTHER]),
    process=st.builds(
        ServerProcess, st.sampled_from(["s1", "s2"]), st.sampled_from([1, 2])
    ),
    expires_ms=st.integers(NOW_MS + 1, NOW_MS + 5),
    refuted=st.booleans(),
    revision=st.integers(0, 2),
)


@given(st.lists(CRASHES, max_size=12), st.randoms(use_true_random=False))
def test_records_merge_to_the_same_result_in_any_order(crashes, rng):
    first, second = ContentQuarantine(), ContentQuarantine()
    first.merge(crashes, now=0.0, now_ms=NOW_MS)
    shuffled = crashes * 2
    rng.shuffle(shuffled)
    second.merge(shuffled, now=0.0, now_ms=NOW_MS)
    assert set(first.records()) == set(second.records())
    assert second.merge(first.records(), now=0.0, now_ms=NOW_MS) == []


class GuardFixture:
    """A guard, its clock and the records that it reported."""

    def __init__(self):
        self.clock = ManualClock(now=1_000.0)
        self.reported: list[CrashReport] = []
        self.guard = CrashGuard(report=self.reported.extend, clock=self.clock)

    def n_crashes(self) -> int:
        now_ms = int(self.clock.monotonic() * 1_000)
        return self.guard.quarantine.n_crashes(POISON, now_ms=now_ms)


@pytest.fixture
def fixture():
    return GuardFixture()


def test_silent_server_that_ends_soon_afterwards_counts_as_crashed(fixture):
    server = make_server("s1")
    fixture.guard.record_unresolved(POISON, server, ended=False)
    assert fixture.n_crashes() == 0
    fixture.clock.advance(UNRESOLVED_RETENTION_S / 2)
    fixture.guard.record_ended_server(server)
    assert fixture.n_crashes() == 1
    assert [crash.content for crash in fixture.reported] == [POISON]


def test_server_that_ends_long_after_a_silent_attempt_did_not_end_under_it(fixture):
    server = make_server("s1")
    fixture.guard.record_unresolved(POISON, server, ended=False)
    fixture.clock.advance(UNRESOLVED_RETENTION_S)
    fixture.guard.record_ended_server(server)
    assert fixture.n_crashes() == 0
    fixture.guard.record_unresolved(POISON, server, ended=False)
    fixture.clock.advance(UNRESOLVED_RETENTION_S)
    fixture.guard.drop_expired()
    assert not fixture.guard.unresolved


def test_answer_on_an_earlier_connection_shows_that_the_server_went_on(fixture):
    server = make_server("s1")
    fixture.guard.record_lost_connection(POISON, make_server("s2"))
    opened_at = fixture.clock.monotonic()
    fixture.clock.advance(1.0)
    fixture.guard.record_unresolved(POISON, server, ended=False, is_answered=True)
    fixture.guard.record_later_answer(server, opened_at=opened_at)
    fixture.clock.advance(1.0)
    later = fixture.clock.monotonic()
    fixture.guard.record_later_answer(server, opened_at=later)
    assert fixture.n_crashes() == 1
    fixture.guard.record_later_answer(server, opened_at=opened_at)
    assert fixture.n_crashes() == 0
    fixture.guard.record_ended_server(server)
    assert fixture.n_crashes() == 0


def test_attempt_that_outlasts_its_server_counts_as_a_crash(fixture):
    fixture.guard.record_unresolved(POISON, make_server("s1"), ended=True)
    assert fixture.n_crashes() == 1


def test_running_copies_and_crashes_together_stay_within_the_limit(fixture):
    guard = fixture.guard
    for _ in range(5):
        guard.begin_attempt(POISON)
    for _ in range(5):
        guard.end_attempt(POISON)
    guard.record_lost_connection(POISON, make_server("s1"))
    for _ in range(MAX_CRASHES - 1):
        guard.begin_attempt(POISON)
    with pytest.raises(FailureError) as error:
        guard.begin_attempt(POISON)
    assert isinstance(error.value.failure, NotRun)
    assert error.value.failure.reason is NotRunReason.QUARANTINED
    guard.end_attempt(POISON)
    guard.begin_attempt(POISON)


def reports_of(quarantine: ContentQuarantine) -> list[CrashReport]:
    return [crash.report(now_ms=NOW_MS) for crash in quarantine.records()]


class SteppedClock(ManualClock):
    """A clock whose wall time differs from that of other instances."""

    def __init__(self, *, now: float, wall_step_ms: int):
        super().__init__(now=now)
        self.wall_step_ms = wall_step_ms

    def wall_ms(self) -> int:
        """Return the time that was last set plus the step, in milliseconds."""
        return super().wall_ms() + self.wall_step_ms


@pytest.mark.parametrize("step_ms", [-2 * CRASH_RETENTION_MS, 2 * CRASH_RETENTION_MS])
def test_step_of_the_wall_clock_does_not_forget_crashes(step_ms):
    reported = []
    clock = SteppedClock(now=1_000.0, wall_step_ms=0)
    stepped = CrashGuard(report=reported.extend, clock=clock)
    other = CrashGuard(report=reported.extend, clock=ManualClock(now=1_000.0))
    for name in ("s1", "s2"):
        stepped.record_lost_connection(POISON, make_server(name))
    clock.wall_step_ms = step_ms
    stepped.drop_expired()
    stepped.record_lost_connection(POISON, make_server("s3"))
    assert stepped.is_quarantined(POISON)
    other.receive(reported)
    assert other.is_quarantined(POISON)


def test_content_that_ends_servers_for_one_account_is_sound_for_others(fixture):
    shared = ContentDigest("shared")
    bad, bystander, sound = (
        content_of_account(shared, ClientAccountId(name)) for name in "abc"
    )
    for name in ("s1", "s2", "s3"):
        fixture.guard.record_lost_connection(bad, make_server(name))
    fixture.guard.record_lost_connection(bystander, make_server("s1"))
    assert fixture.guard.is_quarantined(bad)
    assert not fixture.guard.is_quarantined(sound)
    fixture.guard.record_lost_connection(bystander, make_server("s4"))
    assert fixture.guard.is_quarantined(sound)
    fixture.guard.record_completion(sound, make_server(), status=200)
    assert not fixture.guard.is_quarantined(sound)
    assert fixture.guard.is_quarantined(bad)


def test_answer_of_another_version_does_not_clear_a_content(fixture):
    for name in ("s1", "s2", "s3"):
        fixture.guard.record_lost_connection(POISON, make_server(name, version="v1"))
        other = make_server("s4", version="v2")
        fixture.guard.record_completion(POISON, other, status=200)
    assert fixture.n_crashes() == MAX_CRASHES
    same = make_server("s5", version="v1")
    fixture.guard.record_completion(POISON, same, status=200)
    assert fixture.n_crashes() == 0


BAD, SYSTEM, RARE = (part_digest(PromptPartId(p)) for p in ("bad", "system", "rare"))


def quarantine_of(**processes: str) -> ContentQuarantine:
    """Return a quarantine in which each part ended the given processes."""
    quarantine = ContentQuarantine()
    for part, names in processes.items():
        digest = part_digest(PromptPartId(part))
        for name in names:
            quarantine.record_crash(digest, process(name), now=0.0, now_ms=NOW_MS)
    return quarantine


def test_crashes_under_a_worse_part_do_not_count_against_its_neighbours():
    quarantine = quarantine_of(bad="abcde", rare="abc")
    assert quarantine.n_unexplained(RARE, now_ms=NOW_MS) == 0
    assert quarantine.n_unexplained(BAD, now_ms=NOW_MS) == 5
    elsewhere = quarantine_of(bad="abcde", rare="xyz")
    assert elsewhere.n_unexplained(RARE, now_ms=NOW_MS) == 3


def test_part_of_one_content_that_ends_servers_is_not_refused():
    quarantine = quarantine_of(system="abc", bad="ab")
    for name in "abc":
        quarantine.record_crash(POISON, process(name), now=0.0, now_ms=NOW_MS)
    assert quarantine.n_unexplained(SYSTEM, now_ms=NOW_MS) == 0
    assert quarantine.n_unexplained(POISON, now_ms=NOW_MS) == MAX_CRASHES
    quarantine.record_crash(SYSTEM, process("d"), now=0.0, now_ms=NOW_MS)
    assert quarantine.n_unexplained(SYSTEM, now_ms=NOW_MS) == MAX_CRASHES + 1


def test_content_that_ran_on_every_ended_server_does_not_clear_a_part():
    quarantine = quarantine_of(bad="abcd")
    for name in "abcde":
        quarantine.record_crash(POISON, process(name), now=0.0, now_ms=NOW_MS)
    bad = part_digest(PromptPartId("bad"))
    assert quarantine.n_unexplained(bad, now_ms=NOW_MS) == MAX_CRASHES + 1


def test_part_that_no_answer_clears_is_tried_again_less_and_less_often():
    quarantine = ContentQuarantine()
    now_ms, trials = 0, []
    for n in range(MAX_CRASHES + 3):
        quarantine.record_crash(SYSTEM, process(f"s{n}"), now=0.0, now_ms=now_ms)
        if n + 1 < MAX_CRASHES:
            assert not quarantine.is_trial_due(SYSTEM, now_ms=now_ms + 4_000)
            continue
        began_ms = now_ms
        while not quarantine.is_trial_due(SYSTEM, now_ms=now_ms):
            now_ms += 1_000
        trials.append((now_ms - began_ms) // 1_000)
    assert trials == [5, 20, 80, 320]


def test_two_parts_that_ended_different_servers_both_count():
    quarantine = quarantine_of(bad="abcde", rare="avwx")
    assert quarantine.n_unexplained(RARE, now_ms=NOW_MS) == 3


def guard_with(quarantine, **options) -> CrashGuard:
    guard = CrashGuard(report=lambda crashes: None, clock=ManualClock(), **options)
    guard.receive(reports_of(quarantine))
    return guard


def is_admitted(guard: CrashGuard, *parts: ContentDigest) -> bool:
    try:
        guard.begin_attempt(OTHER, parts)
    except FailureError:
        return False
    return True


def test_one_request_at_a_time_tries_a_part_that_shares_all_its_crashes():
    guard = guard_with(quarantine_of(bad="abc", system="abcd"))
    assert not is_admitted(guard, SYSTEM)
    guard = guard_with(quarantine_of(bad="abc", system="abc"))
    assert not is_admitted(guard, SYSTEM, BAD)
    assert is_admitted(guard, SYSTEM)
    assert not is_admitted(guard, SYSTEM)
    guard.record_answered_parts([SYSTEM])
    assert is_admitted(guard, SYSTEM)
    assert not is_admitted(guard, SYSTEM, BAD)
    shared = quarantine_of(bad="abc", system="abc")
    assert not is_admitted(guard_with(shared, tries_part=lambda p: False), SYSTEM)


def test_part_is_not_tried_again_after_its_trial_ended_a_server():
    guard = guard_with(quarantine_of(bad="abc", system="abc"))
    assert is_admitted(guard, SYSTEM)
    guard.record_lost_connection(OTHER, make_server("a"), [SYSTEM])
    guard.end_attempt(OTHER, [SYSTEM])
    assert not is_admitted(guard, SYSTEM)


def test_part_that_was_answered_here_clears_the_records_of_other_gateways():
    reported = []
    guard = CrashGuard(report=reported.extend, clock=ManualClock())
    guard.record_answered_parts([SYSTEM])
    guard.receive(reports_of(quarantine_of(system="abc", bad="abc")))
    assert [(c.content, c.refuted) for c in reported] == [(SYSTEM, True)] * 3
    assert is_admitted(guard, SYSTEM)
    assert not is_admitted(guard, SYSTEM, BAD)


def test_answered_parts_are_not_blamed_for_a_lost_connection():
    reported = []
    guard = CrashGuard(report=reported.extend, clock=ManualClock())
    guard.record_answered_parts([SYSTEM])
    guard.record_lost_connection(OTHER, make_server("s1"), [SYSTEM, BAD])
    assert [crash.content for crash in reported] == [OTHER, BAD]


def test_part_that_ends_a_new_version_is_blamed_although_the_old_one_answered_it():
    clock = ManualClock()
    guard = CrashGuard(report=lambda crashes: None, clock=clock)
    guard.record_answered_parts([SYSTEM])
    clock.advance(SOUND_RETENTION_S)
    for n in range(MAX_CRASHES):
        guard.record_lost_connection(OTHER, make_server(f"s{n}"), [SYSTEM])
    assert not is_admitted(guard, SYSTEM)


def test_one_gateway_tries_each_part():
    instances = [f"10.0.0.{n}:80" for n in range(12)]
    parts = [part_digest(PromptPartId(f"p{n}")) for n in range(99)]
    chosen = {choose_trying_instance(part, instances) for part in parts}
    assert len(chosen) > 6
    assert choose_trying_instance(BAD, instances) in instances
    assert choose_trying_instance(BAD, []) is None


def test_long_part_ids_are_hashed():
    assert len(part_digest(PromptPartId("x" * 10_000))) < 64
