"""Distribution of the times that callers wait for an answer or its next events."""

from collections import Counter
from collections.abc import Iterable
from math import log2

import msgspec

# A bucket spans a factor of 2 ** (1 / 4), about 19%.
BUCKETS_PER_DOUBLING = 4


class WaitCounts(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Numbers of waits by bucket of their duration, see `bucket_of`.

    Attributes
    ----------
    finished : dict of int to int
        Waits of known duration.
    unfinished : dict of int to int
        Waits that go on or were given up; the bucket is that of the time so far.
    """

    finished: dict[int, int] = {}
    unfinished: dict[int, int] = {}

    @property
    def n_finished(self) -> int:
        """Number of waits of known duration."""
        return sum(self.finished.values())

    def median_bucket(self) -> int:
        """Return the bucket of the median finished wait; 0 without one."""
        n_left = self.n_finished / 2
        for bucket in sorted(self.finished):
            n_left -= self.finished[bucket]
            if n_left <= 0:
                return bucket
        return 0

    def n_above(self, bucket: int) -> int:
        """Return the number of waits that are certainly above a bucket."""
        both = (self.finished, self.unfinished)
        return sum(n for counts in both for b, n in counts.items() if b > bucket)

    def n_known(self, bucket: int) -> int:
        """Return the number of waits that are certainly above a bucket or not."""
        return self.n_finished + sum(
            n for b, n in self.unfinished.items() if b > bucket
        )


def bucket_of(wait_s: float) -> int:
    """Return the bucket of a wait in seconds; 0 up to a millisecond."""
    return int(BUCKETS_PER_DOUBLING * log2(max(wait_s * 1_000, 1.0)))


def duration_ms(bucket: int) -> float:
    """Return the upper bound of a bucket in milliseconds."""
    return 2 ** ((bucket + 1) / BUCKETS_PER_DOUBLING)


def sum_of(counts: Iterable[WaitCounts]) -> WaitCounts:
    """Return the sums of several counts."""
    finished: Counter[int] = Counter()
    unfinished: Counter[int] = Counter()
    for item in counts:
        finished.update(item.finished)
        unfinished.update(item.unfinished)
    return WaitCounts(finished=dict(finished), unfinished=dict(unfinished))
