"""Runs one request: opens it by a log record, runs its stages and settles it."""

from collections.abc import Callable, Iterator
from dataclasses import dataclass, replace

from gevent import sleep

from turmericreel.coordination.control_client import ControlClient
from turmericreel.decisions.version_policy import Plan
from turmericreel.entry.claims import CallClaim, replay_answer
from turmericreel.entry.opening import OpenedRequest, RequestOpener, opening_failure
from turmericreel.entry.pieces import Finished, Piece, Started, WholeAnswer
from turmericreel.entry.request_billing import RequestBilling
from turmericreel.entry.sessions import bind_session, plan_for_session
from turmericreel.entry.settlements import Settlement, Settlements
from turmericreel.entry.stages import StageRunner
from turmericreel.model.failures import (
    CommitUnknown,
    ControlUnavailable,
    FailureError,
    NotRun,
    OutcomeUnknown,
)
from turmericreel.model.ids import VersionId
from turmericreel.model.request import Request
from turmericreel.model.text import VersionText
from turmericreel.state.commands.claims import ClaimHeld, ClaimState
from turmericreel.util.clock import Clock

CLAIM_POLL_S = 0.1
FINAL_PIECE_TYPES = (Finished, WholeAnswer)


@dataclass(frozen=True, kw_only=True)
class RequestTimeouts:
    """Limits on how long a request waits for other parties, in seconds.

    Parameters
    ----------
    settlement_s : float
        For the billing record to be durable, before the end of an answer.
    call_outcome_s : float
        For the outcome of a call that must not be repeated to be durable, likewise
        before the end of its answer.
    key_holder_s : float
        For the end of another call that holds the same idempotency key.
    """

    settlement_s: float = 0.25
    call_outcome_s: float = 2.0
    key_holder_s: float = 5.0


DEFAULT_TIMEOUTS = RequestTimeouts()


class RequestRun:
    """One request from its opening record to its settlement.

    Parameters
    ----------
    request : Request
    control : ControlClient
    settlements : Settlements
    stages : StageRunner
    allowed : callable
        Returns the versions that a request may run on.
    plan : callable
        Returns the plan for a request among its allowed versions.
    timeouts : RequestTimeouts
    clock : Clock
    """

    def __init__(
        self,
        *,
        request: Request,
        control: ControlClient,
        settlements: Settlements,
        stages: StageRunner,
        allowed: Callable[[Request], dict[VersionId, VersionText]],
        plan: Callable[[Request, dict[VersionId, VersionText]], Plan],
        timeouts: RequestTimeouts,
        clock: Clock,
    ):
        self.request = request
        self.control = control
        self.settlements = settlements
        self.stages = stages
        self.allowed = allowed
        self.plan = plan
        self.timeouts = timeouts
        self.clock = clock
        self.opener = RequestOpener(control=control, clock=clock)
        self.billing = RequestBilling(request=request, control=control, clock=clock)
        self.claim: CallClaim | None = None
        if request.idempotency_key is not None:
            self.claim = CallClaim(request=request, control=control, clock=clock)
        self.has_proposed = False
        self.settlement: Settlement | None = None

    def run(self) -> Iterator[Piece]:
        """Run the request and yield the pieces of its answer.

        Raises
        ------
        FailureError
            With `NotRun`, `OutcomeUnknown` or `Interrupted`.
        """
        opened, plan = self._open()
        if opened.held is not None:
            yield from map(self._with_key_expiry, replay_answer(opened.held))
            return
        try:
            if self.claim is not None:
                self.claim.record_dispatch()
            for piece in self.stages.run(self.request, plan, self.billing):
                if self.claim is not None:
                    self.claim.record_piece(piece)
                    piece = self._with_key_expiry(piece)
                if isinstance(piece, FINAL_PIECE_TYPES):
                    self._settle_before_end()
                yield piece
        except FailureError as error:
            reported = self._failure_for_caller(error)
            self._record_failure(reported)
            raise reported from error
        finally:
            self._settle()

    def _with_key_expiry(self, piece: Piece) -> Piece:
        if self.claim is None or not isinstance(piece, Started | WholeAnswer):
            return piece
        return replace(piece, key_expires_ms=self.claim.expires_ms)

    def _failure_for_caller(self, error: FailureError) -> FailureError:
        """Return the failure to report, never `NotRun` once an attempt may have run."""
        if isinstance(error.failure, CommitUnknown | ControlUnavailable):
            error = opening_failure(error.failure, self.control)
        if not isinstance(error.failure, NotRun) or not self.billing.may_have_run:
            return error
        if self.billing.failure is not None:
            return FailureError(self.billing.failure)
        detail = f"an attempt may have run before this: {error.failure.describe()}"
        return FailureError(
            OutcomeUnknown(request_id=self.request.request_id, detail=detail)
        )

    def _open(self) -> tuple[OpenedRequest, Plan | None]:
        """Open the request, or return the earlier claim of the call that it resends."""
        try:
            return self._open_planned()
        except BaseException as error:
            # The record may have been committed although its answer was lost, or
            # although the request cannot run.  Close what it opened.
            if isinstance(error, FailureError):
                self._record_failure(error)
            if self.has_proposed:
                self._settle()
            raise

    def _open_planned(self) -> tuple[OpenedRequest, Plan | None]:
        allowed, plan, refusal = self._try_plan()
        if plan is None and self.claim is None:
            raise refusal
        opened = self._propose(plan)
        if opened.held is not None:
            opened = self._wait_for_holder(opened, plan)
        if opened.held is not None:
            return opened, None
        if plan is None:
            raise refusal
        return opened, plan_for_session(plan, opened.version, allowed)

    def _try_plan(self):
        # A resend must get its recorded outcome even when no version could run it now.
        try:
            allowed = self.allowed(self.request)
            return allowed, self.plan(self.request, allowed), None
        except FailureError as error:
            return {}, None, error

    def _propose(self, plan: Plan | None) -> OpenedRequest:
        commands = []
        if self.claim is not None:
            commands.append(self.claim.open())
        if plan is not None:
            bind = bind_session(
                self.request,
                plan.stages[0].version,
                self.control,
                self.clock,
            )
            if bind is not None:
                commands.append(bind)
            commands.append(self.billing.open())
        self.has_proposed = True
        opened = self.opener.open(self.request, commands)
        if self.claim is not None:
            self.claim.expires_ms = opened.key_expires_ms
        return opened

    def _wait_for_holder(
        self, opened: OpenedRequest, plan: Plan | None
    ) -> OpenedRequest:
        """Wait, for a bounded time, for the running call that holds the same key.

        If that call is proved not to have run, the key is granted to this request.
        """
        clock = self.clock
        deadline = min(
            self.request.deadline, clock.monotonic() + self.timeouts.key_holder_s
        )
        while _is_running(opened.held) and clock.monotonic() < deadline:
            sleep(CLAIM_POLL_S)
            opened = self._propose(plan)
        return opened

    def _record_failure(self, error: FailureError) -> None:
        self.billing.outcome = error.failure.tag
        if self.claim is not None:
            self.claim.record_failure(error.failure)

    def _settle_before_end(self) -> None:
        """Settle, and wait for a bounded time until the settlement is durable.

        The caller then gets the last piece after the bill is durable, as far as
        possible.
        """
        closes_claim = self.claim is not None and not self.request.repeatable
        timeouts = self.timeouts
        wait_s = timeouts.call_outcome_s if closes_claim else timeouts.settlement_s
        self._settle().durable.wait(timeout=wait_s)

    def _settle(self) -> Settlement:
        if self.settlement is None:
            commands = [] if self.claim is None else [self.claim.close()]
            commands.append(self.billing.settle())
            self.settlement = self.settlements.put(*commands)
        return self.settlement


def _is_running(held: ClaimHeld | None) -> bool:
    return held is not None and held.state is ClaimState.OPEN and held.same_content
