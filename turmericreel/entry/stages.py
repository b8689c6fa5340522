"""Runs the stages of a plan in order until an answer's score is high enough."""

from collections.abc import Iterator

from eliot import log_message

from turmericreel.decisions.version_policy import Plan, Stage
from turmericreel.entry.attempts import AttemptRunner
from turmericreel.entry.pieces import Piece, text_of
from turmericreel.entry.rating import Rater
from turmericreel.entry.request_billing import COMPLETED, RequestBilling
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
        self, request: Request, plan: Plan, billing: RequestBilling
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
                yield from self._deliver(request, stage, billing)
                return
            pieces = self._buffer(request, stage, billing)
            buffered = pieces or buffered
            if buffered and not self._must_escalate(request, stage, pieces):
                yield from self._deliver_buffered(buffered, billing)
                return
        try:
            yield from self._deliver(request, plan.stages[-1], billing)
        except FailureError as error:
            if billing.delivered or not buffered:
                raise
            log_message("stage:failed", failure=error.failure.describe())
            yield from self._deliver_buffered(buffered, billing)

    def _deliver(
        self, request: Request, stage: Stage, billing: RequestBilling
    ) -> Iterator[Piece]:
        for piece in self.attempts.run(request, stage.version, billing):
            # Set before the piece is passed on, because handling a later failure
            # depends on it.
            billing.delivered = True
            yield piece

    def _deliver_buffered(
        self, pieces: list[Piece], billing: RequestBilling
    ) -> Iterator[Piece]:
        billing.delivered = True
        billing.outcome = COMPLETED
        yield from pieces

    def _buffer(
        self, request: Request, stage: Stage, billing: RequestBilling
    ) -> list[Piece]:
        """Return all pieces of a stage's answer; none if it failed and may escalate."""
        try:
            return list(self.attempts.run(request, stage.version, billing))
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
