"""Body of a streamed answer."""

import errno
from collections.abc import Callable, Iterator

from turmericreel.entry.caller_watch import CallerWatch
from turmericreel.gateway.attempts import Answer
from turmericreel.gateway.metrics import RequestOutcome
from turmericreel.model.failures import FailureError


class StreamedAnswer:
    """Response body that streams events; closing it ends the attempt.

    Parameters
    ----------
    answer : Answer
    watch : CallerWatch
        Already started.
    on_close : callable
        Called with the outcome of the request and a detail, once.
    """

    def __init__(
        self,
        *,
        answer: Answer,
        watch: CallerWatch,
        on_close: Callable[[RequestOutcome, str], None],
    ):
        self.events = answer.events
        self.watch = watch
        self.on_close = on_close
        self.outcome = RequestOutcome.CLIENT_LEFT
        self.detail = ""

    def __iter__(self) -> Iterator[bytes]:
        """Yield the events as they arrive."""
        try:
            yield from self.events
        except FailureError as error:
            self.outcome = RequestOutcome.BROKEN
            self.detail = error.failure.describe()
            # The connection must close without the final chunk, so that the client
            # sees that the answer is incomplete.
            raise BrokenPipeError(errno.EPIPE, self.detail) from error
        self.outcome = RequestOutcome.ANSWERED

    def close(self) -> None:
        """End the attempt; one that is not complete is cancelled at the server."""
        try:
            self.watch.stop()
            self.events.close()
        finally:
            self.on_close(self.outcome, self.detail)
