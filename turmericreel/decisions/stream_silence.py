"""Decides how long a run at a model engine may stay silent before it is given up.

Intended workload: model engines shared by many gateways, so that each gateway has few
runs at one engine and hears little of it.  Prompts may take seconds to prefill, full
engines let running requests pause, and a run that is given up costs a second prefill.
So the silence of a server to one gateway proves little, and that of a run only
something if later runs overtake it.
"""

from collections import deque
from dataclasses import dataclass, field
from math import inf

# A shorter silence would end before a lost packet is retransmitted.
MIN_HEAD_SILENCE_S = 0.4
# Multiple of the latency target that a server may take to begin an answer, extended
# under pressure.  A server that takes longer holds the request without running it.
HEAD_WAIT_FACTOR = 2.0
# Share of the time left that the wait for a prompt may take, so that another attempt
# has as much.
MAX_SHARE_OF_TIME_LEFT = 0.5
# Streams pause for about a second at a busy engine, and clients give up after several.
MIN_RUN_SILENCE_S = 2.5
# Multiple of the allowed pause; callers leave after eight of them.
RUN_SILENCE_FACTOR = 2.0
# One later run may have been small enough for the room that was left.
MIN_OVERTAKING = 2
# Runs remembered by server.
MAX_REMEMBERED = 32


@dataclass(frozen=True, kw_only=True)
class HeadWait:
    """How long an attempt waits for the head of its answer.

    Attributes
    ----------
    silence_s : float
        Seconds without a byte from the server, on any connection.
    total_s : float
        Seconds in total.
    """

    silence_s: float
    total_s: float


def choose_head_wait(
    *, target_s: float, pressure: float, prefill_s: float, left_s: float
) -> HeadWait:
    """Return how long to wait for the head of an answer.

    Parameters
    ----------
    target_s : float
        Latency target of the route in seconds.
    pressure : float
        Recent mean time to the first event as a fraction of the target.
    prefill_s : float
        Expected seconds until the prompt and those before it are prefilled; 0 if
        nothing is known of it.
    left_s : float
        Seconds until the deadline of the request.
    """
    silence_s = max(target_s, MIN_HEAD_SILENCE_S)
    most_s = max(left_s * MAX_SHARE_OF_TIME_LEFT, silence_s)
    extra_s = min(prefill_s, most_s - silence_s)
    return HeadWait(
        silence_s=silence_s + extra_s,
        total_s=silence_s * HEAD_WAIT_FACTOR * (1 + pressure) + extra_s,
    )


def longest_pause_s(allowed_pause_s: float | None) -> float:
    """Return the silence within a stream that no engine at work keeps, in seconds.

    Parameters
    ----------
    allowed_pause_s : float or None
        Pause between events that the route allows; None if it declares none.
    """
    if allowed_pause_s is None:
        return MIN_RUN_SILENCE_S
    return max(allowed_pause_s * RUN_SILENCE_FACTOR, MIN_RUN_SILENCE_S)


@dataclass(kw_only=True)
class BegunRuns:
    """Runs that lately got their second event at one server.

    So each has waited for the engine once between events.

    Attributes
    ----------
    begun : deque of tuple
        When each was sent, in seconds on the monotonic clock, and its priority; 0 is
        the most urgent.
    """

    begun: deque[tuple[float, int]] = field(
        default_factory=lambda: deque(maxlen=MAX_REMEMBERED)
    )

    def record(self, *, sent_at: float, priority: int) -> None:
        """Record the second event of a run."""
        self.begun.append((sent_at, priority))

    def n_overtaking(self, *, since: float, priority: int) -> int:
        """Return how many runs that are no more urgent were sent since and begun."""
        return sum(
            sent_at > since and other >= priority for sent_at, other in self.begun
        )


@dataclass(frozen=True, kw_only=True)
class RunSilence:
    """How long a run that has begun may stay without bytes while its server sends some.

    Attributes
    ----------
    begun : BegunRuns
        Of the run's server.
    priority : int
        Of the run; 0 is the most urgent.
    allowed_pause_s : float or None
        Pause between events that the route allows; None if it declares none, so that
        no run is given up for its own silence.
    """

    begun: BegunRuns
    priority: int
    allowed_pause_s: float | None

    def give_up_at(self, *, silent_since: float) -> float:
        """Return when the run is to be given up, by what is known now.

        It is infinite unless enough runs overtook it, since nothing else tells a run
        that is stuck from one that its engine has paused.
        """
        if self.allowed_pause_s is None:
            return inf
        n_overtaking = self.begun.n_overtaking(
            since=silent_since, priority=self.priority
        )
        if n_overtaking < MIN_OVERTAKING:
            return inf
        return silent_since + longest_pause_s(self.allowed_pause_s)
