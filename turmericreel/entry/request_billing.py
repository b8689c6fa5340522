"""Accounting of one request: its intent, the work of its attempts and its bill."""

from collections.abc import Generator, Iterator
from itertools import count

from turmericreel.coordination.control_client import ControlClient
from turmericreel.entry.pieces import Finished, Piece, Started, Tokens, WholeAnswer
from turmericreel.entry.server_client import Dispatch
from turmericreel.model.failures import Failure, FailureError, NotRun
from turmericreel.model.ids import AttemptNumber, InstanceId
from turmericreel.model.request import Request, Usage
from turmericreel.model.text import VersionText
from turmericreel.state.commands.ledger import AttemptRecord, OpenIntent, SettleIntent
from turmericreel.util.clock import Clock

SETTLE_GRACE_MS = 30_000
OPEN_WINDOW_MS = 15_000

NOT_RUN = "NotRun"
COMPLETED = "Completed"
CANCELLED = "Cancelled"


class RequestBilling:
    """Records the work and the cost of one request.

    Parameters
    ----------
    request : Request
    control : ControlClient
    clock : Clock

    Attributes
    ----------
    failure : Failure or None
        Failure of the last attempt that is not proven to have had no effect.
    """

    def __init__(self, *, request: Request, control: ControlClient, clock: Clock):
        self.request = request
        self.control = control
        self.clock = clock
        self.attempts: list[AttemptRecord] = []
        self.attempt_numbers = count(1)
        self.outcome = NOT_RUN
        self.delivered = False
        self.failure: Failure | None = None

    def open(self) -> OpenIntent:
        """Return the intent, which must be durable before the first dispatch."""
        now_ms = self.clock.wall_ms()
        left_ms = int((self.request.deadline - self.clock.monotonic()) * 1_000)
        return OpenIntent(
            request=self.request.request_id,
            account=self.request.account,
            service=self.request.service,
            instance=InstanceId(self.control.hello.instance),
            open_until_ms=now_ms + OPEN_WINDOW_MS,
            deadline_ms=now_ms + left_ms + SETTLE_GRACE_MS,
        )

    def next_attempt(self) -> AttemptNumber:
        """Return the number of the next attempt, unique within the request."""
        return AttemptNumber(next(self.attempt_numbers))

    def settle(self) -> SettleIntent:
        """Return the command that settles the intent with the recorded attempts."""
        return SettleIntent(
            request=self.request.request_id,
            outcome=self.outcome,
            attempts=tuple(self.attempts),
        )

    @property
    def may_have_run(self) -> bool:
        """Whether any attempt is not proven to have had no effect."""
        return any(attempt.outcome != NOT_RUN for attempt in self.attempts)

    def record_attempt(
        self, dispatch: Dispatch, pieces: Generator[Piece, None, None]
    ) -> Iterator[Piece]:
        """Yield the pieces of an attempt and record its work, however it ends.

        The work is recorded before the last piece is yielded.
        """
        work = _AttemptWork(request=self.request)
        recorded = False
        try:
            for piece in pieces:
                if isinstance(piece, Tokens):
                    # Kept minimal, because it runs for every token piece.
                    work.n_tokens += len(piece.texts)
                    yield piece
                    continue
                work.record_piece(piece)
                if isinstance(piece, Finished | WholeAnswer):
                    self._record(dispatch, work, COMPLETED)
                    recorded = True
                yield piece
        except FailureError as error:
            if not isinstance(error.failure, NotRun):
                self.failure = error.failure
            if not recorded:
                work.record_failure(error)
                self._record(dispatch, work, error.failure.tag)
            raise
        except BaseException:
            if not recorded:
                self._record(dispatch, work, CANCELLED)
            raise
        finally:
            # Closing the generator closes the connection, which cancels the work.
            pieces.close()

    def _record(self, dispatch: Dispatch, work: "_AttemptWork", outcome: str) -> None:
        usage, estimated = work.usage_so_far()
        service = self.control.view.text.services[self.request.service]
        price = service.versions[dispatch.version]
        self.outcome = outcome
        self.attempts.append(
            AttemptRecord(
                attempt=dispatch.attempt,
                server=dispatch.server.server,
                neighbour=dispatch.server.neighbour,
                version=dispatch.version,
                prompt_tokens=usage.prompt_tokens,
                completion_tokens=usage.completion_tokens,
                cached_tokens=usage.cached_tokens,
                cost=cost_of(usage, price) if work.began else 0,
                outcome=outcome,
                estimated=estimated,
            )
        )


class _AttemptWork:
    """The work of one attempt, as far as its answer shows it.

    Work without evidence is not billed: an attempt that never answered costs nothing
    until its server reports usage.
    """

    def __init__(self, *, request: Request):
        self.request = request
        self.n_tokens = 0
        self.reported: Usage | None = None
        self.began = False
        self.not_run = False

    def record_piece(self, piece: Piece) -> None:
        """Record the start or the reported usage that a piece shows."""
        match piece:
            case Started():
                self.began = True
            case Finished(usage=usage):
                self.reported = usage
            case WholeAnswer():
                self.began = True
                self.reported = Usage()

    def record_failure(self, error: FailureError) -> None:
        """Record whether the failure proves that the attempt did not run."""
        self.not_run = isinstance(error.failure, NotRun)

    def usage_so_far(self) -> tuple[Usage, bool]:
        """Return the usage so far and whether it is an estimate."""
        if self.reported is not None:
            return self.reported, False
        if self.not_run:
            return Usage(), False
        if not self.began:
            return Usage(), True
        usage = Usage(
            prompt_tokens=self.request.prompt_tokens, completion_tokens=self.n_tokens
        )
        return usage, True


def cost_of(usage: Usage, price: VersionText) -> int:
    """Return the cost of one attempt in micro-credits, rounded up."""
    uncached_tokens = max(usage.prompt_tokens - usage.cached_tokens, 0)
    thousandths = (
        uncached_tokens * price.input_price
        + usage.cached_tokens * price.cached_price
        + usage.completion_tokens * price.output_price
    )
    return price.call_price + -(-thousandths // 1_000)
