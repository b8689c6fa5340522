"""Runs are given up for silence only where that is evidence against them."""

from math import inf

from hypothesis import given
from hypothesis import strategies as st

from turmericreel.decisions.stream_silence import (
    MAX_REMEMBERED,
    MIN_HEAD_SILENCE_S,
    MIN_OVERTAKING,
    MIN_RUN_SILENCE_S,
    BegunRuns,
    RunSilence,
    choose_head_wait,
    longest_pause_s,
)

SECONDS = st.floats(0.0, 60.0)


def silence_after(*overtaking, priority=1, pause_s=2.0) -> RunSilence:
    """Return the silence of a run that others, sent at times, may have overtaken."""
    begun = BegunRuns()
    for sent_at, other in overtaking:
        begun.record(sent_at=sent_at, priority=other)
    return RunSilence(begun=begun, priority=priority, allowed_pause_s=pause_s)


@given(
    target_s=SECONDS, pressure=st.floats(0.0, 4.0), prefill_s=SECONDS, left_s=SECONDS
)
def test_a_prompt_never_shortens_a_wait_and_leaves_time_for_another_attempt(
    target_s, pressure, prefill_s, left_s
):
    options = {"target_s": target_s, "pressure": pressure, "left_s": left_s}
    plain = choose_head_wait(prefill_s=0.0, **options)
    wait = choose_head_wait(prefill_s=prefill_s, **options)
    assert plain.silence_s == max(target_s, MIN_HEAD_SILENCE_S)
    assert wait.silence_s >= plain.silence_s
    assert wait.total_s >= max(plain.total_s, wait.silence_s)
    assert wait.silence_s <= max(plain.silence_s, left_s / 2 + 1e-9)


def test_the_wait_for_a_head_covers_the_prefill_of_long_prompts():
    wait = choose_head_wait(target_s=3.0, pressure=0.0, prefill_s=2.5, left_s=20.0)
    assert (wait.silence_s, wait.total_s) == (5.5, 8.5)


def test_a_silent_run_goes_on_while_no_later_run_has_begun():
    assert silence_after().give_up_at(silent_since=10.0) == inf
    earlier = [(9.0, 1)] * MAX_REMEMBERED
    assert silence_after(*earlier).give_up_at(silent_since=10.0) == inf


def test_one_later_run_is_no_evidence():
    later = [(11.0, 1)] * (MIN_OVERTAKING - 1)
    assert silence_after(*later).give_up_at(silent_since=10.0) == inf


def test_more_urgent_runs_are_no_evidence():
    # An engine preempts a run for them.
    urgent = [(11.0, 0)] * MAX_REMEMBERED
    assert silence_after(*urgent, priority=1).give_up_at(silent_since=10.0) == inf


def test_a_run_that_later_ones_overtook_is_given_up_after_twice_the_allowed_pause():
    later = [(11.0, 1), (11.5, 2)]
    assert silence_after(*later, pause_s=2.0).give_up_at(silent_since=10.0) == 14.0


def test_no_run_is_given_up_within_a_pause_of_a_busy_engine():
    later = [(10.1, 1)] * MIN_OVERTAKING
    silence = silence_after(*later, pause_s=0.1)
    assert silence.give_up_at(silent_since=10.0) == 10.0 + MIN_RUN_SILENCE_S


def test_a_route_that_declares_no_pause_keeps_its_runs():
    later = [(11.0, 1)] * MAX_REMEMBERED
    silence = silence_after(*later, pause_s=None)
    assert silence.give_up_at(silent_since=10.0) == inf


def test_a_server_may_pause_as_long_as_its_runs():
    assert longest_pause_s(None) == longest_pause_s(0.2) == MIN_RUN_SILENCE_S
    assert longest_pause_s(2.0) == 4.0


def test_only_the_latest_runs_are_remembered():
    begun = BegunRuns()
    for _ in range(10 * MAX_REMEMBERED):
        begun.record(sent_at=1.0, priority=1)
    assert begun.n_overtaking(since=0.0, priority=1) == MAX_REMEMBERED
