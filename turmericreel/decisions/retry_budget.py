"""A budget for retries and hedges, so that failures cannot multiply the load."""

from turmericreel.decisions.retry_policy import RetryPolicy
from turmericreel.model.failures import (
    Failure,
    Interrupted,
    NotRun,
    OutcomeUnknown,
    ProofKind,
)
from turmericreel.model.request import Request

RETRY_FRACTION = 0.1
MAX_BALANCE = 1.0
MAX_ATTEMPTS = 3
MIN_TIME_LEFT_S = 0.05


class RetryBudget(RetryPolicy):
    """Earns a tenth of a retry with each request and spends one on each retry.

    Retries never add more than `fraction` to the load over any span, but for the
    balance that was saved before it.  One budget serves retries, hedges and resumed
    streams of an instance.

    Parameters
    ----------
    fraction : float
        Retries earned by each request.
    max_balance : float
        Retries that may be saved.
    """

    def __init__(
        self, *, fraction: float = RETRY_FRACTION, max_balance: float = MAX_BALANCE
    ):
        self.fraction = fraction
        self.max_balance = max_balance
        self.balance = max_balance
        self.n_retries = 0

    def start_request(self, request: Request) -> None:
        """Earn on the first attempt of a request."""
        self.balance = min(self.max_balance, self.balance + self.fraction)

    def may_retry(
        self,
        request: Request,
        failure: Failure,
        *,
        n_attempts: int,
        delivered: bool,
        now: float,
    ) -> bool:
        """Tell whether another attempt may run, and pay for it."""
        if n_attempts >= MAX_ATTEMPTS or delivered:
            return False
        if now + MIN_TIME_LEFT_S >= request.deadline:
            return False
        if not _is_safe_to_retry(request, failure):
            return False
        # No server was reached, so that another attempt adds nothing to their load.
        if _is_connection_refused(failure):
            return True
        return self._spend()

    def may_hedge(self, request: Request, *, time_left_s: float) -> bool:
        """Tell whether a second copy may run beside a slow one, and pay for it."""
        if not request.repeatable or time_left_s < MIN_TIME_LEFT_S:
            return False
        return self._spend()

    def _spend(self) -> bool:
        if self.balance < 1.0:
            return False
        self.balance -= 1.0
        self.n_retries += 1
        return True


def _is_safe_to_retry(request: Request, failure: Failure) -> bool:
    if isinstance(failure, NotRun):
        return True
    # A stream that broke off is resumed, which repeats nothing that was delivered.
    repeats = isinstance(failure, OutcomeUnknown | Interrupted)
    return repeats and request.repeatable


def _is_connection_refused(failure: Failure) -> bool:
    if not isinstance(failure, NotRun):
        return False
    return failure.proof is ProofKind.CONNECTION_REFUSED
