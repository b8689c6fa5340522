"""The leader's pool of health evidence, and the interface of its judges."""

from abc import ABC, abstractmethod
from collections import deque

import msgspec

from turmericreel.coordination.evidence import EvidenceKey, EvidenceSum
from turmericreel.model.ids import BackendServerId
from turmericreel.protocols.evidence_messages import (
    EvidenceDigest,
    EvidenceItem,
    EvidenceReport,
)
from turmericreel.state.commands.union import Command
from turmericreel.state.machine import StateMachine
from turmericreel.util.clock import Clock

WINDOW_S = 60.0
SLICE_S = 1.0


class EvidencePool:
    """Sums of the evidence that all instances reported within a sliding window.

    A new leader starts with an empty pool, so a failover needs no action by the
    reporting instances.

    Parameters
    ----------
    clock : Clock
    window_s : float
        Seconds for which an item counts.
    """

    def __init__(self, *, clock: Clock, window_s: float = WINDOW_S):
        self.clock = clock
        self.window_s = window_s
        self.slices: deque[tuple[float, EvidenceSum]] = deque()

    def add(self, report: EvidenceReport) -> None:
        """Add a report to the current slice."""
        now = self.clock.monotonic()
        self._drop_expired(now)
        if not self.slices or self.slices[-1][0] + SLICE_S <= now:
            self.slices.append((now, EvidenceSum()))
        self.slices[-1][1].add(report.items)

    def clear(self) -> None:
        """Drop all evidence, as when this instance does not lead."""
        self.slices.clear()

    def by_server(self) -> dict[EvidenceKey, EvidenceItem]:
        """Return the sums by service, version, server and kind."""
        self._drop_expired(self.clock.monotonic())
        total = EvidenceSum()
        for _, evidence in self.slices:
            total.add(evidence.items.values())
        return total.items

    def by_version(self) -> dict[EvidenceKey, EvidenceItem]:
        """Return the sums by service, version and kind, over all servers."""
        total = EvidenceSum()
        for item in self.by_server().values():
            total.add([msgspec.structs.replace(item, server=BackendServerId(""))])
        return total.items

    def digest(self) -> EvidenceDigest:
        """Return the sums by version, which are sent to every instance."""
        return EvidenceDigest(items=tuple(self.by_version().values()))

    def _drop_expired(self, now: float) -> None:
        while self.slices and self.slices[0][0] + self.window_s <= now:
            self.slices.popleft()


class HealthJudge(ABC):
    """Proposes commands from pooled evidence; called once a second on the leader."""

    @abstractmethod
    def judge(
        self, pool: EvidencePool, machine: StateMachine, *, now: float
    ) -> list[Command]:
        """Return the commands to propose; each must be idempotent by its own id.

        Parameters
        ----------
        pool : EvidencePool
        machine : StateMachine
            Replicated state as applied on this instance; must not be changed.
        now : float
            Seconds on the monotonic clock.
        """

    def bad_servers(self, *, now: float) -> tuple[BackendServerId, ...]:
        """Return the servers that recent evidence blames instead of a version."""
        return ()


class NoJudge(HealthJudge):
    """Judge that proposes nothing."""

    def judge(
        self, pool: EvidencePool, machine: StateMachine, *, now: float
    ) -> list[Command]:
        """Return no commands."""
        return []
