"""Judges versions by the evidence of all instances and tells where each stands.

A version is suspended when the sequential test fires, unless the evidence points at one
server, or at the rating service, whose scores fall for most versions at once.  It comes
back by steps of its share, each after healthy answers.
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

SUSPENSION_S = 600.0
SUSPENSION_LIMIT_S = 6 * 3_600.0
STEP_S = 60.0
RATED_PER_STEP = 30
SHARES = (0.02, 0.1, 0.5)
CULPRIT_FRACTION = 0.6
CLEARED_STATISTIC = 4.0
MIN_SEEN_ELSEWHERE = 6
DEFAULT_PRIOR = 0.5


@dataclass(frozen=True, kw_only=True)
class Evidence:
    """New sums of one version at one server."""

    service: ServiceName
    version: VersionId
    server: BackendServerId
    kind: str
    sums: ScoreSums


@dataclass(frozen=True, kw_only=True)
class Judgement:
    """A change of a version's standing, and why."""

    standing: VersionStanding
    reason: str


@dataclass(kw_only=True)
class ServerCase:
    """Evidence against one version at one server."""

    statistic: float = 0.0
    n_rated: int = 0
    n_answers: int = 0


@dataclass(kw_only=True)
class VersionCase:
    """Evidence against one version."""

    by_scores: float = 0.0
    by_failures: float = 0.0
    references: dict[str, Reference] = field(default_factory=dict)
    servers: dict[BackendServerId, ServerCase] = field(default_factory=dict)
    n_rated_in_step: int = 0
    n_suspensions: int = 0
    standing_number: int = 0
    standing_since: float = 0.0

    @property
    def statistic(self) -> float:
        """The stronger of the two kinds of evidence."""
        return max(self.by_scores, self.by_failures)

    def clear(self) -> None:
        """Begin the test anew."""
        self.by_scores = 0.0
        self.by_failures = 0.0
        self.servers = {}
        for reference in self.references.values():
            reference.pending = ScoreSums()

    def has_fallen(self) -> bool:
        """Tell whether recent scores of most kinds lie below their references."""
        known = [r for r in self.references.values() if r.n_recent >= 4]
        return bool(known) and 2 * sum(r.has_fallen() for r in known) > len(known)

    def is_recent(self) -> bool:
        """Tell whether there are scores enough to compare."""
        return any(r.n_recent >= 4 for r in self.references.values())


CaseKey = tuple[ServiceName, VersionId]


class VersionHealthTest:
    """The judge's memory; a new leader begins without it, but for the standings."""

    def __init__(self):
        self.cases: dict[CaseKey, VersionCase] = {}
        self.bad_servers: dict[BackendServerId, float] = {}

    def observe(
        self, evidence: Iterable[Evidence], priors: dict[CaseKey, float]
    ) -> None:
        """Take in new evidence.

        Parameters
        ----------
        evidence : iterable of Evidence
        priors : dict
            Prior quality of each version in the text.
        """
        for item in evidence:
            key = (item.service, item.version)
            case = self.cases.setdefault(key, VersionCase())
            self._add(case, item, priors.get(key, DEFAULT_PRIOR))

    def judge(
        self,
        standings: dict[CaseKey, VersionStanding],
        in_service: dict[ServiceName, set[VersionId]],
        *,
        now: float,
    ) -> list[Judgement]:
        """Return the changes of standing that the evidence asks for.

        Parameters
        ----------
        standings : dict
            Where the judged versions stand now.
        in_service : dict
            Versions of each service that are not withdrawn.
        now : float
            Seconds on the monotonic clock.
        """
        judgements = []
        for key, case in self.cases.items():
            standing = standings.get(key) or VersionStanding(
                service=key[0], version=key[1], state=HealthState.HEALTHY
            )
            if case.standing_number != standing.number:
                case.standing_number = standing.number
                case.standing_since = now
                case.n_rated_in_step = 0
            judgement = self._judge_one(key, case, standing, standings, in_service, now)
            if judgement is not None:
                judgements.append(judgement)
        return judgements

    def _add(self, case: VersionCase, item: Evidence, prior: float) -> None:
        reference = case.references.setdefault(item.kind, Reference(mean=prior))
        by_score = reference.evidence_of_fall(item.sums)
        reference.update_recent(item.sums)
        case.by_scores = max(0.0, case.by_scores + by_score)
        by_failure = evidence_of_failures(item.sums)
        case.by_failures = max(0.0, case.by_failures + by_failure)
        server = case.servers.setdefault(item.server, ServerCase())
        server.statistic = max(0.0, server.statistic + by_score + by_failure)
        server.n_rated += item.sums.n_rated
        server.n_answers += item.sums.n_answers
        case.n_rated_in_step += item.sums.n_rated
        reference.add_pending(item.sums)
        if case.by_scores <= LEARNING_THRESHOLD:
            for known in case.references.values():
                known.apply_pending()

    def _judge_one(
        self,
        key: CaseKey,
        case: VersionCase,
        standing: VersionStanding,
        standings: dict[CaseKey, VersionStanding],
        in_service: dict[ServiceName, set[VersionId]],
        now: float,
    ) -> Judgement | None:
        if standing.state is HealthState.SUSPENDED:
            # Late ratings of answers from before the suspension prove nothing new.
            case.clear()
            return self._end_suspension(case, standing, now)
        if case.servers:
            self._blame_servers(case, now)
        if case.statistic >= ALARM_THRESHOLD:
            return self._alarm(key, case, standing, standings, in_service, now)
        if standing.state is HealthState.RETURNING:
            return _next_step(case, standing, now)
        return None

    def _blame_servers(self, case: VersionCase, now: float) -> None:
        """Name a server whose answers alone fell, however little that moves the sum."""
        if max(c.statistic for c in case.servers.values()) < ALARM_THRESHOLD:
            return
        server = _culprit(case)
        if server is not None:
            self.bad_servers[server] = now
            case.servers[server] = ServerCase()

    def _alarm(
        self,
        key: CaseKey,
        case: VersionCase,
        standing: VersionStanding,
        standings: dict[CaseKey, VersionStanding],
        in_service: dict[ServiceName, set[VersionId]],
        now: float,
    ) -> Judgement | None:
        server = _culprit(case)
        if server is not None:
            self.bad_servers[server] = now
            case.clear()
            return None
        by_scores = case.by_scores >= case.by_failures
        if by_scores and self._rating_moved(key):
            case.clear()
            return None
        if _is_last(key, standings, in_service):
            return None
        reason = "scores fell" if by_scores else "answers failed"
        case.clear()
        case.n_suspensions += 1
        return _judgement(standing, HealthState.SUSPENDED, 0.0, reason)

    def _rating_moved(self, key: CaseKey) -> bool:
        """Tell whether most other versions fell as well."""
        others = [c for k, c in self.cases.items() if k != key and c.is_recent()]
        n_fallen = sum(case.has_fallen() for case in others)
        return bool(others) and 2 * n_fallen > len(others)

    def _end_suspension(
        self, case: VersionCase, standing: VersionStanding, now: float
    ) -> Judgement | None:
        length_s = SUSPENSION_S * 2 ** max(0, case.n_suspensions - 1)
        if now - case.standing_since < min(length_s, SUSPENSION_LIMIT_S):
            return None
        return _judgement(standing, HealthState.RETURNING, SHARES[0], "first step")


def _next_step(
    case: VersionCase, standing: VersionStanding, now: float
) -> Judgement | None:
    if now - case.standing_since < STEP_S or case.n_rated_in_step < RATED_PER_STEP:
        return None
    later = [share for share in SHARES if share > standing.share]
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


def _culprit(case: VersionCase) -> BackendServerId | None:
    """Return the one server that the evidence points at, or None."""
    if len(case.servers) < 2:
        return None
    by_scores = case.by_scores >= case.by_failures
    worst = max(case.servers, key=lambda server: case.servers[server].statistic)
    others = [c for server, c in case.servers.items() if server != worst]
    n_seen = sum(c.n_rated if by_scores else c.n_answers for c in others)
    if n_seen < MIN_SEEN_ELSEWHERE:
        return None
    if max(c.statistic for c in others) >= CLEARED_STATISTIC:
        return None
    total = sum(c.statistic for c in case.servers.values())
    if case.servers[worst].statistic < CULPRIT_FRACTION * total:
        return None
    return worst


def _is_last(
    key: CaseKey,
    standings: dict[CaseKey, VersionStanding],
    in_service: dict[ServiceName, set[VersionId]],
) -> bool:
    service, version = key
    others = in_service.get(service, set()) - {version}
    return not any(_serves(standings.get((service, other))) for other in others)


def _serves(standing: VersionStanding | None) -> bool:
    return standing is None or standing.state is not HealthState.SUSPENDED
