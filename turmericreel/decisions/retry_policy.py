"""Whether a failed attempt may be followed by another: interface and simple policy."""

from abc import ABC, abstractmethod

from turmericreel.model.failures import Failure, Interrupted, NotRun, OutcomeUnknown
from turmericreel.model.request import Request

MAX_ATTEMPTS = 3


class RetryPolicy(ABC):
    """Decides on further attempts of one instance's requests."""

    def start_request(self, request: Request) -> None:  # noqa: B027
        """Learn that the first attempt of a request begins."""

    @abstractmethod
    def may_retry(
        self,
        request: Request,
        failure: Failure,
        *,
        n_attempts: int,
        delivered: bool,
        now: float,
    ) -> bool:
        """Tell whether another attempt may run.

        Parameters
        ----------
        request : Request
        failure : Failure
            How the last attempt failed.
        n_attempts : int
            Attempts so far.
        delivered : bool
            Whether any part of an answer has reached the caller.
        now : float
            Seconds on the monotonic clock.
        """


class BoundedRetries(RetryPolicy):
    """Retries what did not run, or what may be repeated, a few times; a baseline."""

    def may_retry(
        self,
        request: Request,
        failure: Failure,
        *,
        n_attempts: int,
        delivered: bool,
        now: float,
    ) -> bool:
        """Tell whether another attempt may run."""
        if n_attempts >= MAX_ATTEMPTS or delivered or now >= request.deadline:
            return False
        if isinstance(failure, NotRun):
            return True
        return isinstance(failure, OutcomeUnknown | Interrupted) and request.repeatable
