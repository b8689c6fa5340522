"""Service-level counts of all instances, in time buckets of several widths.

Older counts are kept only in wider buckets.
"""

from collections import Counter
from enum import Enum
from typing import Any, NewType

import msgspec

from turmericreel.model.ids import InstanceId
from turmericreel.model.service_levels import (
    Blame,
    BlameCount,
    LatencyHistogram,
    LevelCount,
    LevelRecord,
)
from turmericreel.state.commands.base import Done
from turmericreel.state.commands.service_levels import RecordServiceLevels
from turmericreel.state.commands.union import Command, LogRecord, Result
from turmericreel.state.tables.table import Table

MAX_BLAMES = 32

LevelKey = NewType("LevelKey", str)


class Resolution(Enum):
    """Width of a bucket in milliseconds."""

    FIVE_MINUTES = 5 * 60_000
    HOUR = 3_600_000
    DAY = 24 * 3_600_000


MAX_BUCKETS = {
    Resolution.FIVE_MINUTES: 73,
    Resolution.HOUR: 73,
    Resolution.DAY: 31,
}


class LevelBucket(msgspec.Struct, kw_only=True):
    """Counts of one time interval, which starts at `start_ms`."""

    start_ms: int
    levels: LevelRecord


class LevelSeries(msgspec.Struct, kw_only=True):
    """Buckets of one service and account by resolution, oldest first."""

    buckets: dict[Resolution, list[LevelBucket]] = msgspec.field(default_factory=dict)


class _Dump(msgspec.Struct, kw_only=True):
    series: dict[LevelKey, LevelSeries]
    sequences: dict[InstanceId, tuple[int, int]]


class ServiceLevelTable(Table):
    """Sums the service-level records of all instances, each record once.

    Attributes
    ----------
    series : dict of LevelKey to LevelSeries
    sequences : dict of InstanceId to tuple of int
        Incarnation and sequence number of the last command of each instance.
    """

    commands = (RecordServiceLevels,)

    def __init__(self):
        self.series: dict[LevelKey, LevelSeries] = {}
        self.sequences: dict[InstanceId, tuple[int, int]] = {}

    def apply(self, command: Command, record: LogRecord) -> Result:
        """Add the records of an instance, unless the command was applied before."""
        received = (command.incarnation, command.sequence)
        if received <= self.sequences.get(command.instance, (0, 0)):
            return Done(changed=False)
        self.sequences[command.instance] = received
        for levels in command.records:
            self._add(levels, record.time_ms)
        return Done()

    def _add(self, levels: LevelRecord, time_ms: int) -> None:
        key = LevelKey(f"{levels.service}/{levels.account}")
        series = self.series.setdefault(key, LevelSeries())
        for resolution in Resolution:
            buckets = series.buckets.setdefault(resolution, [])
            start_ms = time_ms - time_ms % resolution.value
            if not buckets or buckets[-1].start_ms < start_ms:
                empty = LevelRecord(service=levels.service, account=levels.account)
                buckets.append(LevelBucket(start_ms=start_ms, levels=empty))
                del buckets[: -MAX_BUCKETS[resolution]]
            merge_levels(buckets[-1].levels, levels)

    def dump(self) -> Any:
        """Return all series, and the sequence numbers of the instances."""
        return _Dump(series=self.series, sequences=self.sequences)

    def load(self, dumped: Any) -> None:
        """Replace the table by a decoded dump."""
        parts = msgspec.convert(dumped, type=_Dump, strict=False)
        self.series = parts.series
        self.sequences = parts.sequences


def merge_levels(into: LevelRecord, other: LevelRecord) -> None:
    """Add the counts of `other` to `into`; only the most frequent blames are kept."""
    for indicator, count in other.counts.items():
        into.counts.setdefault(indicator, LevelCount()).add(count)
    into.first_token = _sum(into.first_token, other.first_token)
    into.between_tokens = _sum(into.between_tokens, other.between_tokens)
    blames: Counter[Blame] = Counter()
    for blamed in [*into.blames, *other.blames]:
        blames[blamed.blame] += blamed.n_bad
    into.blames = [
        BlameCount(blame=blame, n_bad=n_bad)
        for blame, n_bad in blames.most_common(MAX_BLAMES)
    ]


def _sum(a: LatencyHistogram, b: LatencyHistogram) -> LatencyHistogram:
    total = LatencyHistogram()
    total.add(a)
    total.add(b)
    return total
