"""A server's answer that a gateway reads and forwards to a client."""

from collections.abc import Callable
from math import inf

from turmericreel.decisions.stream_silence import BegunRuns, RunSilence
from turmericreel.entry.server_answer import MIN_FINAL_STATUS, ServerAnswer
from turmericreel.gateway.client_request import Headers, end_to_end_headers
from turmericreel.gateway.server_loads import ServerLoad
from turmericreel.model.failures import FailureError

# Pause after which a silent run that was not given up is judged again.
JUDGE_AGAIN_S = 0.5
ANY_SILENCE = RunSilence(begun=BegunRuns(), priority=0, allowed_pause_s=None)


class ForwardedAnswer(ServerAnswer):
    """A server's answer that is forwarded to a client.

    An answer without a length is complete when the server closes the connection, but
    not when the connection is reset.

    Parameters
    ----------
    load : ServerLoad
        Load of the server.  Bytes that the server sends on any connection restart the
        idle timeout.
    may_give_up : callable
        Called with the answer when its server or its run was silent for too long
        before the deadline; returns whether to give it up.
    run_silence : RunSilence
        How long the run may be silent once its answer has begun.

    Attributes
    ----------
    head_deadline : float
        When the header must be complete, in seconds on the monotonic clock.
    is_resumable : bool
        Whether another server could continue what was read.
    judge_again_at : float
        Until when a silent run is not judged again; 0 before it was.
    ended_with_connection : bool
        Whether only the closed connection showed where the answer ends.
    """

    requires_stated_end = False

    def __init__(
        self,
        *,
        load: ServerLoad,
        may_give_up: Callable[["ForwardedAnswer"], bool] = lambda answer: True,
        run_silence: RunSilence = ANY_SILENCE,
        **options,
    ):
        self.load = load
        self.may_give_up = may_give_up
        self.run_silence = run_silence
        self.head_deadline = inf
        self.is_resumable = True
        self.judge_again_at = 0.0
        self.ended_with_connection = False
        super().__init__(**options)

    def set_idle_timeout(self, idle_timeout_s: float | None) -> None:
        """Set the time without bytes from the server after which reading fails.

        Parameters
        ----------
        idle_timeout_s : float or None
            None sets no limit other than the deadline.
        """
        self.idle_timeout_s = idle_timeout_s
        self._restart_timer()

    @property
    def has_head(self) -> bool:
        """Whether the header of the final answer has been read."""
        return self.parser.headers_complete and self.status >= MIN_FINAL_STATUS

    @property
    def n_overtaking(self) -> int:
        """Runs that the server began although they were sent during the silence."""
        return self.run_silence.begun.n_overtaking(
            since=self.last_read, priority=self.run_silence.priority
        )

    def silent_s(self) -> float:
        """Return the seconds since the last byte of this answer, or since sending."""
        return self.clock.monotonic() - self.last_read

    def _on_timer(self) -> None:
        now = self.clock.monotonic()
        is_silent = self._remaining_s() <= 0 and now < self.deadline
        if is_silent and not self.may_give_up(self):
            self.judge_again_at = now + JUDGE_AGAIN_S
        super()._on_timer()

    def _heard_at(self) -> float:
        return max(self.last_read, self.load.last_byte_at)

    def _remaining_s(self) -> float:
        now = self.clock.monotonic()
        left = super()._remaining_s()
        if not self.has_head:
            left = min(left, self.head_deadline - now)
        elif self.is_reading:
            left = min(left, self._run_silence_left_s(now))
        left = max(left, self.judge_again_at - now)
        return min(left, self.deadline - now)

    def _run_silence_left_s(self, now: float) -> float:
        if self.run_silence.allowed_pause_s is None:
            return inf
        give_up_at = self.run_silence.give_up_at(silent_since=self.last_read)
        # Other runs may overtake this one at any time.
        return min(give_up_at - now, JUDGE_AGAIN_S)

    def _read_block(self) -> int:
        try:
            n_bytes = super()._read_block()
            self.load.last_byte_at = self.last_read
            return n_bytes
        except FailureError:
            if not self._may_end_with_connection():
                raise
            self.ended_with_connection = True
            self.parser.message_complete = True
            return 0

    def _may_end_with_connection(self) -> bool:
        if not self.has_head or self.timed_out or self.was_reset:
            return False
        return not self.states_its_end

    def forwarded_headers(self) -> Headers:
        """Return the end-to-end headers, which are forwarded to the client."""
        return end_to_end_headers(list(self.parser.items()))
