"""Calls to the leader: proposals and queries, retried while that is safe."""

from collections.abc import Callable
from itertools import count

from gevent import sleep
from gevent.event import AsyncResult, Event
from gevent.timeout import Timeout

from turmericreel.model.failures import (
    CommitUnknown,
    ControlOverloaded,
    ControlUnavailable,
    Failure,
    FailureError,
    NotLeader,
)
from turmericreel.protocols.control_messages import Message, Propose, Query
from turmericreel.state.commands.union import Command, Result
from turmericreel.util.clock import Clock

RETRY_PAUSE_S = 0.05
CONNECTED_CHECK_INTERVAL_S = 0.05


def retry_pause_s(failure: Failure) -> float | None:
    """Return the seconds before a retry, or None if a retry would not help."""
    match failure:
        case ControlOverloaded(retry_after_ms=retry_after_ms):
            return retry_after_ms / 1_000
        case NotLeader() | CommitUnknown() | ControlUnavailable():
            return RETRY_PAUSE_S
    return None


class ControlCalls:
    """Sends calls to the leader and matches the answers by call number.

    Commands are idempotent by their own ids, so a command whose answer was lost is
    proposed again until the timeout.

    Parameters
    ----------
    send : callable
        Sends a message and returns whether it was sent.
    connected : Event
        Set while there is a stream.
    should_subscribe : callable
        Returns whether this instance should be subscribed; if not, a lost stream is
        not opened again.
    clock : Clock
    """

    def __init__(
        self,
        *,
        send: Callable[[Message], bool],
        connected: Event,
        should_subscribe: Callable[[], bool],
        clock: Clock,
    ):
        self.send = send
        self.connected = connected
        self.should_subscribe = should_subscribe
        self.clock = clock
        self.call_numbers = count(1)
        self.answers: dict[int, AsyncResult] = {}

    def propose(self, command: Command, *, timeout: float) -> Result:
        """Commit a command and return its result; the timeout is in seconds.

        Raises
        ------
        FailureError
            With `ControlUnavailable` if the command cannot have been committed, with
            `CommitUnknown` if it may have been, or with the leader's failure.
        """
        return self._call(lambda call: Propose(call=call, command=command), timeout)

    def query(self, what: str, arguments: dict[str, str], *, timeout: float) -> bytes:
        """Send a query and return the answer, encoded as msgpack."""
        return self._call(
            lambda call: Query(call=call, what=what, arguments=arguments), timeout
        )

    def finish(self, call: int, value: object) -> None:
        """Deliver an answer to the waiting caller, unless it has timed out."""
        if call in self.answers:
            self.answers[call].set(value)

    def fail(self, call: int, error: FailureError) -> None:
        """Raise a failure in the waiting caller, unless it has timed out."""
        if call in self.answers:
            self.answers[call].set_exception(error)

    def fail_all(self) -> None:
        """Fail all waiting calls with `CommitUnknown` after the stream was lost."""
        answers, self.answers = self.answers, {}
        for answer in answers.values():
            if not answer.ready():
                failure = CommitUnknown(detail="stream lost")
                answer.set_exception(FailureError(failure))

    def _call(self, build: Callable[[int], Message], timeout: float):
        deadline = self.clock.monotonic() + timeout
        may_be_committed = False
        while True:
            remaining_s = deadline - self.clock.monotonic()
            # The relay of an instance that has become leader does not reconnect.
            if remaining_s <= 0 or not self.should_subscribe():
                raise FailureError(
                    CommitUnknown() if may_be_committed else ControlUnavailable()
                )
            if not self.connected.wait(
                timeout=min(remaining_s, CONNECTED_CHECK_INTERVAL_S)
            ):
                continue
            try:
                return self._call_once(build, remaining_s)
            except FailureError as error:
                may_be_committed |= isinstance(error.failure, CommitUnknown)
                pause_s = retry_pause_s(error.failure)
                if pause_s is None:
                    raise
            sleep(pause_s)

    def _call_once(self, build: Callable[[int], Message], remaining_s: float):
        call = next(self.call_numbers)
        answer = self.answers[call] = AsyncResult()
        try:
            if not self.send(build(call)):
                raise FailureError(CommitUnknown(detail="stream lost"))
            with Timeout(remaining_s, False):
                return answer.get()
            raise FailureError(CommitUnknown(detail="no answer in time"))
        finally:
            self.answers.pop(call, None)
