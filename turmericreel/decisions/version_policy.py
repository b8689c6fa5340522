"""Choice of the version that a request runs on: the interface and a simple policy."""

from abc import ABC, abstractmethod
from dataclasses import dataclass

from turmericreel.model.failures import FailureError, NotRun, NotRunReason
from turmericreel.model.ids import BackendServerId, DataCentreId, ServiceName, VersionId
from turmericreel.model.request import Request, RequestKind, Usage
from turmericreel.model.text import OperatorsText, VersionState, VersionText


@dataclass(frozen=True, kw_only=True)
class Stage:
    """One step of a plan: an answer of one version.

    Parameters
    ----------
    version : VersionId
    min_score : float or None
        When given, the answer is rated before it is delivered, and the next stage
        runs if the score is below this.
    deliver_unrated : bool
        Whether to deliver the answer when it cannot be rated.
    """

    version: VersionId
    min_score: float | None = None
    deliver_unrated: bool = True


@dataclass(frozen=True, kw_only=True)
class Plan:
    """Stages to run in order until an answer is good enough to deliver."""

    stages: tuple[Stage, ...]


@dataclass(frozen=True, kw_only=True)
class AnswerObserved:
    """Result of one attempt, from which policies learn.

    Parameters
    ----------
    score : float or None
        From the rating service, 0 to 1; None if the answer was not rated.
    first_token_s : float or None
        Seconds from dispatch to the first token.
    duration_s : float
        Seconds from dispatch to the end.
    failed : bool
        Whether the attempt ended in an error that the server or version caused.
    escalated : bool
        Whether an answer of another version to this request was rejected before.
    """

    request: Request
    version: VersionId
    server: BackendServerId
    data_centre: DataCentreId
    usage: Usage
    score: float | None = None
    first_token_s: float | None = None
    duration_s: float = 0.0
    failed: bool = False
    escalated: bool = False


@dataclass(frozen=True, kw_only=True)
class PooledScores:
    """Sums of the scores that all instances recorded within `window_s` seconds.

    Parameters
    ----------
    counts : tuple of int
        Number of scores in each bin of the histogram.
    """

    service: ServiceName
    kind: RequestKind
    version: VersionId
    n_rated: int
    score_sum: float
    square_sum: float
    window_s: float
    counts: tuple[int, ...] = ()


class VersionPolicy(ABC):
    """Chooses versions and learns from answers."""

    @abstractmethod
    def plan(
        self,
        request: Request,
        candidates: dict[VersionId, VersionText],
        *,
        quality_target: float,
        now: float,
    ) -> Plan:
        """Return the plan for a request.

        Parameters
        ----------
        request : Request
        candidates : dict of VersionId to VersionText
            Versions that are allowed, accept new requests and have a healthy server.
        quality_target : float
            Quality that the plan should reach, 0 to 1.
        now : float
            Seconds on the monotonic clock.
        """

    @abstractmethod
    def observe(self, observed: AnswerObserved, *, now: float) -> None:
        """Learn from an answer; called again if its rating arrives later."""

    def record_pooled(self, scores: PooledScores, *, now: float) -> None:  # noqa: B027
        """Learn from the recent scores of all instances."""

    def record_rating_failure(self, *, now: float) -> None:  # noqa: B027
        """Record that an answer could not be rated."""


class CheapestVersion(VersionPolicy):
    """Takes the cheapest candidate and learns nothing; a baseline."""

    def plan(
        self,
        request: Request,
        candidates: dict[VersionId, VersionText],
        *,
        quality_target: float,
        now: float,
    ) -> Plan:
        """Return a plan of one stage."""
        return Plan(stages=(Stage(version=by_price(candidates)[0]),))

    def observe(self, observed: AnswerObserved, *, now: float) -> None:
        """Ignore the answer."""


def allowed_versions(
    text: OperatorsText, request: Request
) -> dict[VersionId, VersionText]:
    """Return the versions that the client account may use and that are in service.

    Raises
    ------
    FailureError
        With `NotRun` if the service is unknown or there is no such version.
    """
    service = text.services.get(request.service)
    account = text.client_accounts.get(request.account)
    if service is None:
        raise FailureError(NotRun(reason=NotRunReason.UNKNOWN_SERVICE))
    allowed_names = account.allowed.get(request.service, []) if account else []
    allowed = {
        version: service.versions[version]
        for version in allowed_names
        if service.versions[version].state is not VersionState.WITHDRAWN
    }
    if not allowed:
        raise FailureError(NotRun(reason=NotRunReason.VERSION_NOT_ALLOWED))
    return allowed


def by_price(candidates: dict[VersionId, VersionText]) -> list[VersionId]:
    """Return the versions ordered by price, cheapest first."""
    return sorted(
        candidates,
        key=lambda v: (candidates[v].output_price + candidates[v].call_price, v),
    )
