"""Runs the stages of a plan in order until an answer's score is high enough."""

from collections.abc import Iterator

from eliot import log_message

from turmericreel.decisions.version_policy import Plan, Stage
from turmericreel.entry.accounts import COMPLETED, RequestAccount
from turmericreel.entry.attempts import AttemptRunner
from turmericreel.entry.pieces import Piece, text_of
from turmericreel.entry.rating import Rater
from turmericreel.model.failures import FailureError
from turmericreel.model.request import Request
from turmericreel.util.clock import Clock


class StageRunner:
    """Runs plans; the attempts of all stages are billed together.

    Parameters
    ----------
    attempts : AttemptRunner
    rater : Rater
    clock : Clock
    """

    def __init__(self, *, attempts: AttemptRunner, rater: Rater, clock: Clock):
        self.attempts = attempts
        self.rater = rater
        self.clock = clock

    def run(
        self, request: Request, plan: Plan, account: RequestAccount
    ) -> Iterator[Piece]:
        """Yield the pieces of the first answer with a high enough score.

        The last stage is streamed without rating, whatever its `min_score`, because
        there is no further stage to escalate to.  When it fails before it delivers
        anything, the latest buffered answer of an earlier stage is delivered.

        Raises
        ------
        FailureError
            With the failure of the last stage that ran.
        """
        buffered: list[Piece] = []
        for stage in plan.stages[:-1]:
            if stage.min_score is None:
                yield from self._deliver(request, stage, account)
                return
            pieces = self._buffer(request, stage, account)
            buffered = pieces or buffered
            if buffered and not self._must_escalate(request, stage, pieces):
                yield from self._deliver_buffered(buffered, account)
                return
        try:
            yield from self._deliver(request, plan.stages[-1], account)
        except FailureError as error:
            if account.delivered or not buffered:
                raise
            log_message("stage:failed", failure=error.failure.describe())
            yield from self._deliver_buffered(buffered, account)

    def _deliver(
        self, request: Request, stage: Stage, account: RequestAccount
    ) -> Iterator[Piece]:
        for piece in self.attempts.run(request, stage.version, account):
            # Set before the piece is passed on, because handling a later failure
            # depends on it.
            account.delivered = True
            yield piece

    def _deliver_buffered(
        self, pieces: list[Piece], account: RequestAccount
    ) -> Iterator[Piece]:
        account.delivered = True
        account.outcome = COMPLETED
        yield from pieces

    def _buffer(
        self, request: Request, stage: Stage, account: RequestAccount
    ) -> list[Piece]:
        """Return all pieces of a stage's answer; none if it failed and may escalate."""
        try:
            return list(self.attempts.run(request, stage.version, account))
        except FailureError as error:
            if not self._may_escalate(request):
                raise
            log_message("stage:failed", failure=error.failure.describe())
            return []

    def _must_escalate(
        self, request: Request, stage: Stage, pieces: list[Piece]
    ) -> bool:
        if not self._may_escalate(request):
            return False
        if not pieces:
            return True
        score = self.rater.rate(request, stage.version, text_of(pieces))
        if score is None:
            return not stage.deliver_unrated
        if score < stage.min_score:
            return True
        self.rater.record_delivery(request, stage.version, score)
        return False

    def _may_escalate(self, request: Request) -> bool:
        return request.repeatable and self.clock.monotonic() < request.deadline
