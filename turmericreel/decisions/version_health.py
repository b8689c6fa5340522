"""Suspends and restores versions based on the pooled evidence of all instances.

A version is suspended when the sequential test raises an alarm, unless the evidence
points at a single server, or at the rating service, in which case the scores of most
versions fall at once.  A suspended version returns with a share of the requests that
grows in steps, each after healthy answers.
"""

from collections.abc import Iterable
from dataclasses import dataclass, field

from turmericreel.decisions.change_detector import (
    ALARM_THRESHOLD,
    LEARNING_THRESHOLD,
    Reference,
    ScoreSums,
    evidence_of_failures,
)
from turmericreel.model.health import HealthState, VersionStanding
from turmericreel.model.ids import BackendServerId, ServiceName, VersionId

FIRST_SUSPENSION_S = 600.0
MAX_SUSPENSION_S = 6 * 3_600.0
MIN_STEP_S = 60.0
MIN_RATED_PER_STEP = 30
RETURN_SHARES = (0.02, 0.1, 0.5)
MIN_OUTLIER_FRACTION = 0.6
MAX_OTHERS_STATISTIC = 4.0
MIN_SAMPLES_ELSEWHERE = 6
DEFAULT_PRIOR_QUALITY = 0.5


@dataclass(frozen=True, kw_only=True)
class Evidence:
    """New sums of the answers of one kind of one version at one server."""

    service: ServiceName
    version: VersionId
    server: BackendServerId
    kind: str
    sums: ScoreSums


@dataclass(frozen=True, kw_only=True)
class Judgement:
    """A change of a version's standing, and its reason."""

    standing: VersionStanding
    reason: str


@dataclass(kw_only=True)
class ServerTestState:
    """State of the test for one version at one server."""

    statistic: float = 0.0
    n_rated: int = 0
    n_answers: int = 0


@dataclass(kw_only=True)
class VersionTestState:
    """State of the test for one version."""

    score_statistic: float = 0.0
    failure_statistic: float = 0.0
    references: dict[str, Reference] = field(default_factory=dict)
    servers: dict[BackendServerId, ServerTestState] = field(default_factory=dict)
    n_rated_in_step: int = 0
    n_suspensions: int = 0
    standing_number: int = 0
    standing_since: float = 0.0

    @property
    def statistic(self) -> float:
        """The greater of the two test statistics."""
        return max(self.score_statistic, self.failure_statistic)

    def reset(self) -> None:
        """Restart the test; the references are kept."""
        self.score_statistic = 0.0
        self.failure_statistic = 0.0
        self.servers = {}
        for reference in self.references.values():
            reference.pending = ScoreSums()

    def has_fallen(self) -> bool:
        """Return whether recent scores of most kinds lie below their references."""
        known = [r for r in self.references.values() if r.n_recent >= 4]
        return bool(known) and 2 * sum(r.has_fallen() for r in known) > len(known)

    def has_recent_scores(self) -> bool:
        """Return whether there are enough recent scores to compare."""
        return any(r.n_recent >= 4 for r in self.references.values())


VersionKey = tuple[ServiceName, VersionId]


class VersionHealthTest:
    """Runs the test for all versions.

    The state is kept in memory only: a new leader starts with an empty one and knows
    just the standings, which are replicated.
    """

    def __init__(self):
        self.test_states: dict[VersionKey, VersionTestState] = {}
        self.bad_servers: dict[BackendServerId, float] = {}

    def observe(
        self, evidence: Iterable[Evidence], priors: dict[VersionKey, float]
    ) -> None:
        """Add new evidence to the test.

        Parameters
        ----------
        evidence : iterable of Evidence
        priors : dict
            Prior quality of each version in the operators' text.
        """
        for item in evidence:
            key = (item.service, item.version)
            test_state = self.test_states.setdefault(key, VersionTestState())
            self._add(test_state, item, priors.get(key, DEFAULT_PRIOR_QUALITY))

    def judge(
        self,
        standings: dict[VersionKey, VersionStanding],
        in_service: dict[ServiceName, set[VersionId]],
        *,
        now: float,
    ) -> list[Judgement]:
        """Return the changes of standing that the evidence calls for.

        Parameters
        ----------
        standings : dict
            Present standings; a version without one is healthy.
        in_service : dict
            Versions of each service that are not withdrawn.
        now : float
            Seconds on the monotonic clock.
        """
        judgements = []
        for key, test_state in self.test_states.items():
            standing = standings.get(key) or VersionStanding(
                service=key[0], version=key[1], state=HealthState.HEALTHY
            )
            if test_state.standing_number != standing.number:
                test_state.standing_number = standing.number
                test_state.standing_since = now
                test_state.n_rated_in_step = 0
            judgement = self._judge_one(
                key, test_state, standing, standings, in_service, now
            )
            if judgement is not None:
                judgements.append(judgement)
        return judgements

    def _add(self, test_state: VersionTestState, item: Evidence, prior: float) -> None:
        reference = test_state.references.setdefault(item.kind, Reference(mean=prior))
        by_score = reference.evidence_of_fall(item.sums)
        reference.update_recent(item.sums)
        test_state.score_statistic = max(0.0, test_state.score_statistic + by_score)
        by_failure = evidence_of_failures(item.sums)
        test_state.failure_statistic = max(
            0.0, test_state.failure_statistic + by_failure
        )
        server = test_state.servers.setdefault(item.server, ServerTestState())
        server.statistic = max(0.0, server.statistic + by_score + by_failure)
        server.n_rated += item.sums.n_rated
        server.n_answers += item.sums.n_answers
        test_state.n_rated_in_step += item.sums.n_rated
        reference.add_pending(item.sums)
        if test_state.score_statistic <= LEARNING_THRESHOLD:
            for known in test_state.references.values():
                known.apply_pending()

    def _judge_one(
        self,
        key: VersionKey,
        test_state: VersionTestState,
        standing: VersionStanding,
        standings: dict[VersionKey, VersionStanding],
        in_service: dict[ServiceName, set[VersionId]],
        now: float,
    ) -> Judgement | None:
        if standing.state is HealthState.SUSPENDED:
            # Ratings that arrive now are of answers from before the suspension, and
            # add no evidence.
            test_state.reset()
            return self._end_suspension(test_state, standing, now)
        if test_state.servers:
            self._record_bad_server(test_state, now)
        if test_state.statistic >= ALARM_THRESHOLD:
            return self._judge_alarm(
                key, test_state, standing, standings, in_service, now
            )
        if standing.state is HealthState.RETURNING:
            return _next_step(test_state, standing, now)
        return None

    def _record_bad_server(self, test_state: VersionTestState, now: float) -> None:
        """Record a server that is alone in giving bad answers.

        A single server may be too small a part of the version's answers to raise the
        alarm for the version.
        """
        if max(c.statistic for c in test_state.servers.values()) < ALARM_THRESHOLD:
            return
        server = _outlier_server(test_state)
        if server is not None:
            self.bad_servers[server] = now
            test_state.servers[server] = ServerTestState()

    def _judge_alarm(
        self,
        key: VersionKey,
        test_state: VersionTestState,
        standing: VersionStanding,
        standings: dict[VersionKey, VersionStanding],
        in_service: dict[ServiceName, set[VersionId]],
        now: float,
    ) -> Judgement | None:
        server = _outlier_server(test_state)
        if server is not None:
            self.bad_servers[server] = now
            test_state.reset()
            return None
        scores_dominate = test_state.score_statistic >= test_state.failure_statistic
        if scores_dominate and self._ratings_shifted(key):
            test_state.reset()
            return None
        if _is_last_available(key, standings, in_service):
            return None
        reason = "scores fell" if scores_dominate else "answers failed"
        test_state.reset()
        test_state.n_suspensions += 1
        return _judgement(standing, HealthState.SUSPENDED, 0.0, reason)

    def _ratings_shifted(self, key: VersionKey) -> bool:
        """Return whether the scores of most other versions fell as well."""
        others = [
            c for k, c in self.test_states.items() if k != key and c.has_recent_scores()
        ]
        n_fallen = sum(test_state.has_fallen() for test_state in others)
        return bool(others) and 2 * n_fallen > len(others)

    def _end_suspension(
        self, test_state: VersionTestState, standing: VersionStanding, now: float
    ) -> Judgement | None:
        length_s = FIRST_SUSPENSION_S * 2 ** max(0, test_state.n_suspensions - 1)
        if now - test_state.standing_since < min(length_s, MAX_SUSPENSION_S):
            return None
        return _judgement(
            standing, HealthState.RETURNING, RETURN_SHARES[0], "first step"
        )


def _next_step(
    test_state: VersionTestState, standing: VersionStanding, now: float
) -> Judgement | None:
    if (
        now - test_state.standing_since < MIN_STEP_S
        or test_state.n_rated_in_step < MIN_RATED_PER_STEP
    ):
        return None
    later = [share for share in RETURN_SHARES if share > standing.share]
    if later:
        return _judgement(standing, HealthState.RETURNING, later[0], "next step")
    return _judgement(standing, HealthState.HEALTHY, 1.0, "healthy at every step")


def _judgement(
    standing: VersionStanding, state: HealthState, share: float, reason: str
) -> Judgement:
    changed = VersionStanding(
        service=standing.service,
        version=standing.version,
        state=state,
        share=share,
        number=standing.number + 1,
    )
    return Judgement(standing=changed, reason=reason)


def _outlier_server(test_state: VersionTestState) -> BackendServerId | None:
    """Return the single server that the evidence points at, or None.

    The other servers must have enough answers to compare with, and none of them may
    show signs of a fault.
    """
    if len(test_state.servers) < 2:
        return None
    scores_dominate = test_state.score_statistic >= test_state.failure_statistic
    worst = max(
        test_state.servers, key=lambda server: test_state.servers[server].statistic
    )
    others = [c for server, c in test_state.servers.items() if server != worst]
    n_samples = sum(c.n_rated if scores_dominate else c.n_answers for c in others)
    if n_samples < MIN_SAMPLES_ELSEWHERE:
        return None
    if max(c.statistic for c in others) >= MAX_OTHERS_STATISTIC:
        return None
    total = sum(c.statistic for c in test_state.servers.values())
    if test_state.servers[worst].statistic < MIN_OUTLIER_FRACTION * total:
        return None
    return worst


def _is_last_available(
    key: VersionKey,
    standings: dict[VersionKey, VersionStanding],
    in_service: dict[ServiceName, set[VersionId]],
) -> bool:
    service, version = key
    others = in_service.get(service, set()) - {version}
    return not any(_serves(standings.get((service, other))) for other in others)


def _serves(standing: VersionStanding | None) -> bool:
    return standing is None or standing.state is not HealthState.SUSPENDED
