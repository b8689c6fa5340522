"""Counts the attempts at each service version, to evaluate roll-outs.

Attempts that end badly are counted only once it is known whether the path to their
server was lost, as that tells nothing of the version.
"""

from collections import Counter, defaultdict, deque
from collections.abc import Callable, Container
from dataclasses import dataclass, field
from math import inf

from turmericreel.model.ids import BackendServerId, ServiceName, VersionId
from turmericreel.model.registered_server import RegisteredServer
from turmericreel.model.routing import RouteName
from turmericreel.model.version_evidence import (
    LoadClass,
    VersionEvidence,
    load_class_of,
)
from turmericreel.model.wait_counts import WaitCounts, bucket_of

CountsKey = tuple[ServiceName, VersionId, RouteName]

# Events over which the wait for an event is averaged, so that a single pause between
# two events does not count as slowness.
EVENTS_PER_WAIT = 8
MIN_EVENTS_PER_WAIT = 2
# Bounds the memory while no report is due; the oldest attempts are counted then.
MAX_UNSETTLED = 1_024


@dataclass(kw_only=True)
class AttemptCounts:
    """Counts of the attempts at one version on one route, under one load."""

    n_attempts: int = 0
    n_sent: int = 0
    n_failed: int = 0
    first_finished: Counter[int] = field(default_factory=Counter)
    first_given_up: Counter[int] = field(default_factory=Counter)
    event_finished: Counter[int] = field(default_factory=Counter)
    event_given_up: Counter[int] = field(default_factory=Counter)
    # Also those that have ended but are not settled.
    running: set["AttemptCounter"] = field(default_factory=set)

    def first_waits(self, *, now: float) -> WaitCounts:
        """Return the waits for the first event, with those that go on."""
        unfinished = self.first_given_up + Counter(
            bucket_of(a.last_waited_at(now) - a.began)
            for a in self.running
            if not a.has_answer
        )
        return WaitCounts(
            finished=dict(self.first_finished), unfinished=dict(unfinished)
        )

    def event_waits(self, *, now: float) -> WaitCounts:
        """Return the mean waits for an event, with those that go on."""
        unfinished = self.event_given_up + Counter(
            a.unfinished_event_wait(now) for a in self.running if a.has_answer
        )
        return WaitCounts(
            finished=dict(self.event_finished), unfinished=dict(unfinished)
        )


class AttemptCounter:
    """Counts one attempt in progress; its end is counted once.

    Parameters
    ----------
    server : BackendServerId
    counts_by_load : dict of LoadClass to AttemptCounts
        A wait is counted under the load that the server had when the wait began.
    load : callable
        Returns the number of requests that the server has, as last known.
    began : float
        Seconds on the monotonic clock.
    is_counted : bool
        Whether the attempt counts as sent, and as failed if it fails.
    unsettled : deque of AttemptCounter
        Attempts that ended badly, to which this one adds itself.
    """

    def __init__(
        self,
        *,
        server: BackendServerId,
        counts_by_load: dict[LoadClass, AttemptCounts],
        load: Callable[[], float],
        began: float,
        is_counted: bool,
        unsettled: "deque[AttemptCounter]",
    ):
        self.server = server
        self.counts_by_load = counts_by_load
        self.load = load
        self.counts = self.first_counts = counts_by_load[load_class_of(load())]
        self.began = began
        self.is_counted = is_counted
        self.unsettled = unsettled
        self.ended_at = inf
        self.has_failed = False
        self.has_run = False
        self.has_answer = False
        self.is_excluded = False
        self.n_events = 0
        self.block_began = began
        self.last_event_at = began
        self.counts.n_attempts += 1
        self.counts.n_sent += is_counted
        self.counts.running.add(self)

    def update_load(self) -> None:
        """Count the waits from now on under the load that the server has now."""
        counts = self.counts_by_load[load_class_of(self.load())]
        self.counts.running.discard(self)
        counts.running.add(self)
        self.counts = counts

    def record_events(self, n_events: int, *, now: float) -> None:
        """Record events of a stream, or once a whole answer."""
        if self.is_excluded:
            return
        self.last_event_at = now
        if not self.has_answer:
            self.has_answer = True
            self.counts.first_finished[bucket_of(now - self.began)] += 1
            self.block_began = now
            return
        self.n_events += n_events
        if self.n_events >= EVENTS_PER_WAIT:
            self._finish_block()
            self.update_load()

    def record_end(self, *, failed: bool, ran: bool, now: float) -> None:
        """Record the end of the attempt, which is counted now or once it is settled.

        Parameters
        ----------
        failed : bool
        ran : bool
            Whether the server may have run the request.
        now : float
            Seconds on the monotonic clock.
        """
        if self.ended_at < inf or self.is_excluded:
            return
        self.ended_at = now
        self.has_failed = failed and self.is_counted
        self.has_run = ran
        if failed or (ran and not self.has_answer):
            self.unsettled.append(self)
            if len(self.unsettled) > MAX_UNSETTLED:
                self.unsettled.popleft().settle()
        else:
            self.settle()

    def settle(self) -> None:
        """Count the end of the attempt."""
        self.counts.running.discard(self)
        self.counts.n_failed += self.has_failed
        if not self.has_run:
            return
        if not self.has_answer:
            self.counts.first_given_up[bucket_of(self.ended_at - self.began)] += 1
            return
        if self.n_events >= MIN_EVENTS_PER_WAIT:
            self._finish_block()
        else:
            wait = self.unfinished_event_wait(self.ended_at)
            self.counts.event_given_up[wait] += 1

    def exclude(self) -> None:
        """Do not count the attempt as sent, nor how it goes on and ends."""
        self.is_excluded = True
        self.counts.running.discard(self)
        self.first_counts.n_sent -= self.is_counted

    def last_waited_at(self, now: float) -> float:
        """Return until when the attempt has waited."""
        return min(now, self.ended_at)

    def unfinished_event_wait(self, now: float) -> int:
        """Return the bucket of the least mean wait that the current block can have."""
        waited_s = self.last_waited_at(now) - self.block_began
        return bucket_of(waited_s / EVENTS_PER_WAIT)

    def _finish_block(self) -> None:
        wait_s = (self.last_event_at - self.block_began) / self.n_events
        self.counts.event_finished[bucket_of(wait_s)] += 1
        self.block_began = self.last_event_at
        self.n_events = 0


class EvidenceCounter:
    """Counts attempts by service, version and route since the process started.

    Attributes
    ----------
    counts : dict of CountsKey to dict of LoadClass to AttemptCounts
    unsettled : deque of AttemptCounter
        Attempts that ended badly and are not counted as ended yet.
    """

    def __init__(self):
        self.counts: dict[CountsKey, dict[LoadClass, AttemptCounts]] = defaultdict(
            lambda: defaultdict(AttemptCounts)
        )
        self.unsettled: deque[AttemptCounter] = deque()

    def begin(
        self,
        server: RegisteredServer,
        route: RouteName,
        *,
        now: float,
        after_failure: bool = False,
        load: Callable[[], float] = float,
    ) -> AttemptCounter:
        """Count the start of an attempt.

        `load` returns the number of requests that the server has, as last known.

        Attempts after a failure of the same request do not count as sent or failed,
        because some requests fail at every server.
        """
        key = (server.service, server.version, route)
        return AttemptCounter(
            server=server.server,
            counts_by_load=self.counts[key],
            load=load,
            began=now,
            is_counted=not after_failure,
            unsettled=self.unsettled,
        )

    def exclude(self, server: BackendServerId, *, running: bool) -> None:
        """Drop the attempts that a lost path to a server has broken.

        Parameters
        ----------
        server : BackendServerId
        running : bool
            Whether to drop also those that are in progress, which it may have held up.
        """
        affected = {a for a in self.unsettled if a.server == server}
        if running:
            for counts_by_load in self.counts.values():
                for counts in counts_by_load.values():
                    affected |= {a for a in counts.running if a.server == server}
        for attempt in affected:
            attempt.exclude()
        for attempt in affected.intersection(self.unsettled):
            self.unsettled.remove(attempt)

    def for_services(
        self,
        services: set[ServiceName],
        *,
        now: float,
        held: Container[BackendServerId] = (),
    ) -> tuple[VersionEvidence, ...]:
        """Return the evidence about the given services.

        Attempts that ended badly at servers in `held` still count as running.
        """
        self._settle(held)
        return tuple(
            VersionEvidence(
                service=service,
                version=version,
                route=route,
                n_sent=counts.n_sent,
                n_failed=counts.n_failed,
                n_running=len(counts.running),
                first_waits=counts.first_waits(now=now),
                event_waits=counts.event_waits(now=now),
                load=load,
                n_attempts=counts.n_attempts,
            )
            for (service, version, route), counts_by_load in self.counts.items()
            if service in services
            for load, counts in counts_by_load.items()
        )

    def _settle(self, held: Container[BackendServerId]) -> None:
        for _ in range(len(self.unsettled)):
            attempt = self.unsettled.popleft()
            if attempt.server in held:
                self.unsettled.append(attempt)
            else:
                attempt.settle()
