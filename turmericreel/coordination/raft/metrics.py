"""Prometheus metrics of a replicated log, read at each scrape."""

from collections.abc import Iterator

from prometheus_client.core import GaugeMetricFamily
from prometheus_client.registry import Collector

from turmericreel.coordination.raft.raft_log import RaftLog


class RaftCollector(Collector):
    """Collects metrics of one member's log.

    Parameters
    ----------
    log : RaftLog
    """

    def __init__(self, *, log: RaftLog):
        self.log = log

    def collect(self) -> Iterator[GaugeMetricFamily]:
        """Yield all metrics."""
        core = self.log.member.core
        if core is None:
            return
        state = core.state
        values = {
            "leader": (
                "Whether this member holds the leader lease.",
                self.log.is_leader(),
            ),
            "voter": ("Whether this member is a voter.", state.is_voter),
            "voters": ("Number of voters.", len(state.membership.voters)),
            "term": ("Current term, which is the fencing token.", state.term),
            "last_index": ("Index of the last log entry.", state.tail.last_index),
            "commit_index": ("Index of the last committed entry.", state.commit_index),
            "applied_index": (
                "Index of the last applied entry.",
                self.log.machine.applied_index,
            ),
            "snapshot_bytes": (
                "Size of the newest snapshot in bytes.",
                state.snapshot.size_bytes,
            ),
            "held_entries": (
                "Number of log entries in memory.",
                len(state.tail.entries),
            ),
            "held_bytes": (
                "Size of the log entries in memory in bytes.",
                state.tail.size_bytes,
            ),
            "stored_bytes": (
                "Size of the stored log, without the snapshot, in bytes.",
                self.log.member.storage.segments.size_bytes,
            ),
            "waiting_proposals": (
                "Number of proposals waiting for commit.",
                len(self.log.member.applier.waiters),
            ),
        }
        for name, (text, value) in values.items():
            yield GaugeMetricFamily(f"turmericreel_log_{name}", text, value=value)
