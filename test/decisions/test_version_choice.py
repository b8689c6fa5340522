"""Tests of the version policy, of roll-out shares and of rating samples.

The cheapest plan that meets the quality target with confidence is chosen.
"""

from random import Random

from test.decisions.library import (
    SERVICE,
    SMALL,
    STRONG,
    make_request,
    make_rng,
    make_versions,
)
from turmericreel.decisions.cascade_policy import CascadePolicy
from turmericreel.decisions.rating_sampler import RatingSampler
from turmericreel.decisions.rollout import (
    offered_versions,
    standings_of,
    without_suspended,
)
from turmericreel.decisions.version_policy import AnswerObserved, PooledScores
from turmericreel.model.health import HealthState, VersionStanding
from turmericreel.model.ids import BackendServerId, DataCentreId, VersionId
from turmericreel.model.request import RequestKind, Usage
from turmericreel.model.text import VersionState, VersionText

TARGET = 0.7


def trained_policy(scores: dict[str, list[float]], *, exploration: float = 0.0):
    """Return a policy that learned these scores, and the versions."""
    versions = make_versions(small=0.5, strong=0.9)
    policy = CascadePolicy(rng=make_rng(), exploration=exploration)
    policy.plan(make_request(), versions, quality_target=TARGET, now=0.0)
    for version, values in scores.items():
        for score in values:
            rate(policy, version, score)
    return policy, versions


def rate(policy: CascadePolicy, version: str, score: float, now: float = 0.0) -> None:
    """Pass one rated answer to the policy."""
    observed = AnswerObserved(
        request=make_request(),
        version=VersionId(version),
        server=BackendServerId("s1"),
        data_centre=DataCentreId("a"),
        usage=Usage(),
        score=score,
    )
    policy.observe(observed, now=now)


def planned_versions(policy, versions, *, now: float = 10.0, **request):
    """Return the versions of the plan's stages."""
    plan = policy.plan(
        make_request(1, **request), versions, quality_target=TARGET, now=now
    )
    return [stage.version for stage in plan.stages]


def test_strong_version_is_planned_without_history():
    policy, versions = trained_policy({})
    assert planned_versions(policy, versions) == [STRONG]


def test_good_cheap_version_runs_alone():
    policy, versions = trained_policy({"small": [0.8, 0.85] * 100})
    assert planned_versions(policy, versions) == [SMALL]


def test_mixed_cheap_version_is_rated_and_escalated():
    policy, versions = trained_policy({"small": [0.9] * 120 + [0.1] * 80})
    assert planned_versions(policy, versions) == [SMALL, STRONG]


def test_session_gets_one_version_that_meets_the_target_alone():
    policy, versions = trained_policy({"small": [0.9] * 120 + [0.1] * 80})
    assert planned_versions(policy, versions, session="s") == [STRONG]


def test_no_cascade_is_planned_near_the_deadline():
    policy, versions = trained_policy({"small": [0.9] * 120 + [0.1] * 80})
    assert planned_versions(policy, versions, deadline=13.0) == [STRONG]


def test_rating_service_down_means_no_cascade():
    policy, versions = trained_policy({"small": [0.9] * 120 + [0.1] * 80})
    for _ in range(3):
        policy.record_rating_failure(now=10.0)
    assert planned_versions(policy, versions, now=10.5) == [STRONG]
    assert planned_versions(policy, versions, now=20.0) == [SMALL, STRONG]


def test_scores_that_shift_for_all_versions_are_not_learned():
    rng = Random(3)
    policy, versions = trained_policy({})
    for _ in range(600):
        rate(policy, "small", min(1.0, rng.gauss(0.4, 0.1)))
        policy.plan(make_request(), versions, quality_target=TARGET, now=0.0)
        rate(policy, "strong", min(1.0, rng.gauss(0.75, 0.1)))
    for _ in range(600):
        rate(policy, "small", min(1.0, rng.gauss(0.8, 0.1)))
        rate(policy, "strong", min(1.0, rng.gauss(0.98, 0.02)))
    assert planned_versions(policy, versions) == [STRONG]


def test_exploration_is_bounded_and_falls_back_to_the_strong_version():
    policy, versions = trained_policy({}, exploration=0.1)
    plans = [
        policy.plan(make_request(n), versions, quality_target=TARGET, now=10.0)
        for n in range(5_000)
    ]
    exploring = [plan for plan in plans if len(plan.stages) > 1]
    assert 0 < len(exploring) <= 0.12 * len(plans)
    assert all(plan.stages[-1].version == STRONG for plan in exploring)
    assert all(not plan.stages[0].deliver_unrated for plan in exploring)


def test_scores_of_other_instances_are_learned_once():
    policy, versions = trained_policy({"small": [0.8] * 10})
    pooled = PooledScores(
        service=SERVICE,
        kind=RequestKind.CHAT,
        version=SMALL,
        n_rated=210,
        score_sum=168.0,
        square_sum=134.4,
        window_s=60.0,
    )
    for now in (30.0, 61.0, 62.0):
        policy.record_pooled(pooled, now=now)
    assert 205 <= next(iter(policy.quality.estimates.values())).n_scores <= 212


def test_rollout_serves_its_share_of_sessions():
    versions = make_versions(small=0.5)
    fresh = VersionText(model="m", state=VersionState.ROLLING_OUT, share=0.2)
    versions[VersionId("fresh")] = fresh
    offered = [
        offered_versions(make_request(n, session=f"s{n}"), versions, {})
        for n in range(2_000)
    ]
    share = sum(list(o) == ["fresh"] for o in offered) / 2_000
    again = [
        offered_versions(make_request(n + 9_999, session=f"s{n}"), versions, {})
        for n in range(2_000)
    ]
    assert 0.17 < share < 0.23
    assert [list(o) for o in offered] == [list(o) for o in again]


def test_suspended_version_is_never_offered():
    versions = make_versions(small=0.5, strong=0.9)
    standings = standings_of(
        [
            VersionStanding(
                service=SERVICE, version=v, state=HealthState.SUSPENDED, share=0.0
            )
            for v in (SMALL, STRONG)
        ]
    )
    only = {(SERVICE, SMALL): standings[(SERVICE, SMALL)]}
    assert list(offered_versions(make_request(), versions, only)) == [STRONG]
    assert offered_versions(make_request(), versions, standings) == {}
    assert list(without_suspended(SERVICE, versions, only)) == [STRONG]


def test_low_score_starts_a_burst_of_ratings():
    sampler = RatingSampler(sample=1e-9, rng=make_rng())
    for _ in range(40):
        sampler.record_score(SERVICE, SMALL, RequestKind.CHAT, 0.8)
    assert not sampler.should_rate(SERVICE, SMALL, RequestKind.CHAT)
    sampler.record_score(SERVICE, SMALL, RequestKind.CHAT, 0.3)
    assert all(sampler.should_rate(SERVICE, SMALL, RequestKind.CHAT) for _ in range(12))
    assert not sampler.should_rate(SERVICE, SMALL, RequestKind.CHAT)
