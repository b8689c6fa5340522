"""Interface of retry policies, and a simple one."""

from abc import ABC, abstractmethod

from turmericreel.model.failures import Failure, Interrupted, NotRun, OutcomeUnknown
from turmericreel.model.request import Request

MAX_ATTEMPTS = 3


class RetryPolicy(ABC):
    """Decides whether failed attempts of an instance's requests are retried."""

    def start_request(self, request: Request) -> None:  # noqa: B027
        """Record that the first attempt of a request starts."""

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
        """Return whether another attempt may run.

        Parameters
        ----------
        request : Request
        failure : Failure
            How the last attempt failed.
        n_attempts : int
            Number of attempts so far.
        delivered : bool
            Whether any part of an answer has reached the caller.
        now : float
            Seconds on the monotonic clock.
        """


class BoundedRetries(RetryPolicy):
    """Baseline: a bounded number of retries if that is safe.

    It is safe if the attempt did not run or the request may be repeated.
    """

    def may_retry(
        self,
        request: Request,
        failure: Failure,
        *,
        n_attempts: int,
        delivered: bool,
        now: float,
    ) -> bool:
        """Return whether another attempt may run."""
        if n_attempts >= MAX_ATTEMPTS or delivered or now >= request.deadline:
            return False
        if isinstance(failure, NotRun):
            return True
        return isinstance(failure, OutcomeUnknown | Interrupted) and request.repeatable
