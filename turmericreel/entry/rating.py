"""Interface for rating answers, used by plans that escalate on a low score."""

from abc import ABC, abstractmethod

from turmericreel.model.ids import VersionId
from turmericreel.model.request import Request


class Rater(ABC):
    """Scores answers; a failure to score must not block delivery."""

    @abstractmethod
    def rate(self, request: Request, version: VersionId, text: str) -> float | None:
        """Return a score from 0 to 1, or None when the answer could not be rated.

        Parameters
        ----------
        request : Request
            Its deadline, on the monotonic clock, bounds the time for rating.
        version : VersionId
            Version that produced the answer.
        text : str
            The complete text of the answer.
        """

    def record_delivery(
        self, request: Request, version: VersionId, score: float
    ) -> None:
        """Record that an answer with this score is delivered to its caller."""
        return


class NoRater(Rater):
    """Rates nothing; every answer counts as unrated."""

    def rate(self, request: Request, version: VersionId, text: str) -> float | None:
        """Return None."""
        return None
