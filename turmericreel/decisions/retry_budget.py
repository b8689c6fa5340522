"""Limits retries and hedges, so that failures cannot multiply the load."""

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
    """Token bucket that earns a fraction of a retry with each request.

    Over any time span, retries add at most `fraction` to the load, plus the balance
    saved before.  Retries, hedges and resumed streams of an instance share one budget.

    Parameters
    ----------
    fraction : float
        Retries earned by each request.
    max_balance : float
        Most retries that can be saved; also the initial balance.
    """

    def __init__(
        self, *, fraction: float = RETRY_FRACTION, max_balance: float = MAX_BALANCE
    ):
        self.fraction = fraction
        self.max_balance = max_balance
        self.balance = max_balance
        self.n_retries = 0

    def start_request(self, request: Request) -> None:
        """Add a request's share to the balance when its first attempt starts."""
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
        """Return whether another attempt may run, and spend a retry on it if so."""
        if n_attempts >= MAX_ATTEMPTS or delivered:
            return False
        if now + MIN_TIME_LEFT_S >= request.deadline:
            return False
        if not _is_safe_to_retry(request, failure):
            return False
        # The connection was refused, so the failed attempt added no load: no charge.
        if _is_connection_refused(failure):
            return True
        return self._spend()

    def may_hedge(self, request: Request, *, time_left_s: float) -> bool:
        """Return whether a slow attempt may be hedged, and spend a retry if so."""
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
    # An interrupted stream is resumed after the part that was delivered.
    repeats = isinstance(failure, OutcomeUnknown | Interrupted)
    return repeats and request.repeatable


def _is_connection_refused(failure: Failure) -> bool:
    if not isinstance(failure, NotRun):
        return False
    return failure.proof is ProofKind.CONNECTION_REFUSED
