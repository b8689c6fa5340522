"""Simulated model engines with queues, driven by an event loop."""

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import count

from turmericreel.model.ids import (
    BackendServerId,
    DataCentreId,
    Incarnation,
    ServiceName,
    VersionId,
)
from turmericreel.model.request import Request
from turmericreel.model.servers import BackendServer, LoadReport

PREFILL_BASE_S = 0.03
PREFILL_TOKENS_PER_S = 20_000.0
BETWEEN_TOKENS_S = 0.02
BATCH_SLOWDOWN = 0.5
CROSS_DATA_CENTRE_S = 0.006
VERSION = VersionId("strong")


class EventLoop:
    """Runs callbacks in the order of their simulated times (seconds)."""

    def __init__(self):
        self.now = 0.0
        self.heap: list = []
        self.tie_breakers = count()

    def at(self, when: float, callback: Callable[[], None]) -> None:
        """Schedule a callback at a simulated time."""
        heapq.heappush(self.heap, (when, next(self.tie_breakers), callback))

    def run(self, until: float) -> None:
        """Run all callbacks that are due until a simulated time."""
        while self.heap and self.heap[0][0] <= until:
            self.now, _, callback = heapq.heappop(self.heap)
            callback()
        self.now = until


@dataclass(kw_only=True, eq=False)
class Job:
    """One attempt at one engine.

    Attributes
    ----------
    on_first_token : callable
        Called at the first token.
    on_end : callable
        Called at the end, with whether the answer is complete.
    start_delay_s : float
        Delay before the prefill, in seconds.
    """

    request: Request
    on_first_token: Callable[[], None]
    on_end: Callable[[bool], None]
    start_delay_s: float = 0.0
    alive: bool = True


@dataclass(kw_only=True)
class Engine:
    """A server that runs `capacity` jobs concurrently and queues the rest."""

    server: BackendServer
    loop: EventLoop
    running: set[Job] = field(default_factory=set)
    queue: list = field(default_factory=list)
    tie_breakers: count = field(default_factory=count)
    up: bool = True

    def submit(self, job: Job) -> bool:
        """Start or queue a job; return False if the engine is down."""
        if not self.up:
            return False
        if len(self.running) < self.server.capacity:
            self._start(job)
        else:
            # Engines serve queued jobs by priority, then in the order of arrival.
            order = (-job.request.priority, next(self.tie_breakers))
            heapq.heappush(self.queue, (*order, job))
        return True

    def crash(self) -> None:
        """Fail all jobs and refuse new ones."""
        self.up = False
        jobs = [*self.running, *(job for *_, job in self.queue)]
        self.running = set()
        self.queue = []
        for job in jobs:
            job.alive = False
            job.on_end(False)

    def report(self) -> LoadReport:
        """Return the current load."""
        return LoadReport(
            server=self.server.server,
            incarnation=self.server.incarnation,
            running=len(self.running),
            waiting=len(self.queue),
        )

    def _start(self, job: Job) -> None:
        self.running.add(job)
        prefill_s = prefill_time(job.request) + job.start_delay_s
        busy_fraction = len(self.running) / self.server.capacity
        decode_s = decode_time(job.request, busy_fraction)
        first_token_at = self.loop.now + prefill_s
        self.loop.at(first_token_at, lambda: self._first_token(job))
        self.loop.at(first_token_at + decode_s, lambda: self._finish(job))

    def _first_token(self, job: Job) -> None:
        if job.alive:
            job.on_first_token()

    def _finish(self, job: Job) -> None:
        if not job.alive:
            return
        job.alive = False
        self.running.discard(job)
        if self.queue:
            self._start(heapq.heappop(self.queue)[-1])
        job.on_end(True)


def prefill_time(request: Request) -> float:
    """Return the seconds from the start of a job to its first token."""
    return PREFILL_BASE_S + request.prompt_tokens / PREFILL_TOKENS_PER_S


def decode_time(request: Request, busy_fraction: float) -> float:
    """Return the seconds from the first token to the last.

    Parameters
    ----------
    request : Request
    busy_fraction : float
        Running jobs over the capacity of the engine.
    """
    return (
        request.max_tokens * BETWEEN_TOKENS_S * (1.0 + BATCH_SLOWDOWN * busy_fraction)
    )


def make_engines(
    loop: EventLoop,
    service: ServiceName,
    *,
    n_servers: int = 9,
    capacity: int = 8,
    data_centres: tuple[str, ...] = ("a", "b", "c"),
    answers_probes: bool = False,
) -> dict[BackendServerId, Engine]:
    """Return engines distributed over the data centres in turn."""
    engines = {}
    for n in range(n_servers):
        server = BackendServer(
            server=BackendServerId(f"s{n}"),
            incarnation=Incarnation(1),
            service=service,
            versions=(VERSION,),
            data_centre=DataCentreId(data_centres[n % len(data_centres)]),
            address="127.0.0.1:1",
            capacity=capacity,
            answers_probes=answers_probes,
        )
        engines[server.server] = Engine(server=server, loop=loop)
    return engines
