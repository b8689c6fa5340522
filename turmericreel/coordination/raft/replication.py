"""Leader side of Raft: replicates the log, commits entries and tracks the lease."""

from abc import ABC, abstractmethod
from dataclasses import dataclass
from enum import Enum

from turmericreel.coordination.raft.packing import EntryPacker
from turmericreel.coordination.raft.state import RaftState
from turmericreel.protocols.raft_messages import (
    Append,
    AppendAnswer,
    SnapshotChunk,
    SnapshotChunkAnswer,
)
from turmericreel.state.storage.entries import MemberId

BATCH_LIMIT_BYTES = 256 * 1024
BATCH_LIMIT_ENTRIES = 2_000
MAX_IN_FLIGHT_MESSAGES = 32
MAX_IN_FLIGHT_BYTES = 4 * 1024 * 1024


class SnapshotSource(ABC):
    """Source of the chunks of a leader's newest snapshot."""

    @abstractmethod
    def snapshot_chunk(self, offset: int) -> bytes:
        """Return the chunk that starts at byte `offset`."""


class ReplicationMode(Enum):
    """How entries are transferred to a member.

    `PROBE` sends one message at a time until the logs are known to match,
    `PIPELINE` keeps several messages in flight, and `SNAPSHOT` sends chunks of a
    snapshot because the entries that the member lacks were compacted.
    """

    PROBE = "probe"
    PIPELINE = "pipeline"
    SNAPSHOT = "snapshot"


@dataclass(kw_only=True)
class Progress:
    """Replication progress of another member, as tracked by the leader.

    Attributes
    ----------
    acked_sent_at : float
        When the newest message that the member has answered was sent, in seconds
        on the leader's monotonic clock.
    n_in_flight : int
        Number of messages with entries that are not answered yet.
    probe_sent : bool
        Whether a probe was sent since the last heartbeat or rejected message.
    snapshot_offset : int
        Bytes of the snapshot that the member has received.
    chunk_deadline : float
        When the current chunk is sent again if it is not answered, in seconds on
        the leader's monotonic clock.
    unpacks : bool
        Whether the member's newest answer said that it reads compressed entries.
    """

    next_index: int
    match_index: int = 0
    mode: ReplicationMode = ReplicationMode.PROBE
    acked_sent_at: float
    n_in_flight: int = 0
    probe_sent: bool = False
    snapshot_index: int = 0
    snapshot_offset: int = 0
    chunk_deadline: float = 0.0
    unpacks: bool = False


class Replication:
    """Replicates the log of a leader to the other members.

    Parameters
    ----------
    state : RaftState
    source : SnapshotSource

    Attributes
    ----------
    term_first_index : int
        Index of the first entry of the leader's term.
    """

    def __init__(self, *, state: RaftState, source: SnapshotSource):
        self.state = state
        self.source = source
        self.packer = EntryPacker()
        self.progress: dict[MemberId, Progress] = {}
        self.heartbeat_deadline = 0.0
        self.leader_since = 0.0
        self.term_first_index = 0

    def start_term(self, now: float) -> None:
        """Reset the progress of all members at the start of a term as leader."""
        self.progress = {}
        self.leader_since = now
        self.term_first_index = self.state.tail.last_index + 1
        self.heartbeat_deadline = now

    def tick(self, now: float) -> None:
        """Send heartbeats when they are due."""
        if now >= self.heartbeat_deadline:
            self.broadcast(now, heartbeat=True)

    def broadcast(self, now: float, *, heartbeat: bool = False) -> None:
        """Send each member the entries that it lacks, or else a heartbeat if asked."""
        self._sync_progress(now)
        if heartbeat:
            self.heartbeat_deadline = now + self.state.timing.heartbeat_s
        for member, progress in self.progress.items():
            if heartbeat:
                progress.probe_sent = False
            sent = self._send_pending(member, progress, now)
            if heartbeat and not sent:
                self._send_append(member, progress, now, [])

    def handle_append_answer(self, message: AppendAnswer, now: float) -> None:
        """Update a member's progress and send it further entries."""
        progress = self._record_answer(message)
        if progress is None:
            return
        progress.unpacks = message.unpacks
        progress.n_in_flight = max(0, progress.n_in_flight - 1)
        if progress.mode is ReplicationMode.SNAPSHOT and not message.accepted:
            return
        if message.accepted:
            self._advance_match(progress, message.match_index)
        elif message.prev_index > progress.match_index:
            # A rejection at or below the match index is outdated and is ignored.
            progress.mode = ReplicationMode.PROBE
            progress.n_in_flight = 0
            progress.probe_sent = False
            lowest = progress.match_index + 1
            highest = min(message.match_index + 1, message.prev_index)
            progress.next_index = max(lowest, highest)
        self._send_pending(message.sender, progress, now)

    def handle_chunk_answer(self, message: SnapshotChunkAnswer, now: float) -> None:
        """Send the next chunk of a snapshot, or the entries after it."""
        progress = self._record_answer(message)
        if progress is None or progress.mode is not ReplicationMode.SNAPSHOT:
            return
        if message.index != progress.snapshot_index:
            return
        if message.received_bytes <= progress.snapshot_offset:
            # A duplicate answer, or the member lost the chunks it had received; the
            # next chunk is sent from this offset once `chunk_deadline` has passed.
            progress.snapshot_offset = message.received_bytes
            return
        progress.chunk_deadline = now
        progress.snapshot_offset = message.received_bytes
        if message.received_bytes >= self.state.snapshot.size_bytes:
            self._advance_match(progress, message.index)
        self._send_pending(message.sender, progress, now)

    def commit(self) -> None:
        """Commit the entries that a quorum has made durable.

        Replicas are counted only for entries of the current term.
        """
        state = self.state
        voters = state.membership.voters
        matches = sorted((self._match_index(v) for v in voters), reverse=True)
        index = matches[state.membership.quorum - 1]
        # Entries of earlier terms are committed along with one of this term.
        if index > state.commit_index and state.tail.term_at(index) == state.term:
            state.commit_index = index

    def quorum_acked_sent_at(self, now: float) -> float:
        """Return the send time of the newest message that a quorum has answered.

        Returns
        -------
        float
            Seconds on the leader's monotonic clock; the leader counts as answering
            at `now`.
        """
        voters = self.state.membership.voters
        times = sorted((self._acked_sent_at(v, now) for v in voters), reverse=True)
        return times[self.state.membership.quorum - 1]

    def most_current_voter(self, now: float) -> MemberId | None:
        """Return the reachable other voter with the highest match index, if any."""
        oldest = now - self.state.timing.election_s
        voters = [
            voter
            for voter in self.state.membership.voters
            if voter in self.progress and self.progress[voter].acked_sent_at >= oldest
        ]
        if not voters:
            return None
        return max(voters, key=lambda v: (self.progress[v].match_index, v))

    def _match_index(self, voter: MemberId) -> int:
        if voter == self.state.member:
            return self.state.persisted_index
        return self.progress[voter].match_index if voter in self.progress else 0

    def _acked_sent_at(self, voter: MemberId, now: float) -> float:
        if voter == self.state.member:
            return now
        if voter not in self.progress:
            return self.leader_since
        return self.progress[voter].acked_sent_at

    def _sync_progress(self, now: float) -> None:
        peers = self._receivers()
        for removed in [m for m in self.progress if m not in peers]:
            del self.progress[removed]
        for member in peers:
            if member not in self.progress:
                self.progress[member] = Progress(
                    next_index=self.state.tail.last_index + 1,
                    acked_sent_at=self.leader_since,
                )

    def _receivers(self) -> list[MemberId]:
        # A removed member still receives the entry that removes it, until that commits.
        state = self.state
        committed = state.memberships.at(state.commit_index)
        leaving = set(committed.members) - set(state.membership.members)
        leaving.discard(state.member)
        return state.peers + sorted(leaving)

    def _record_answer(
        self, message: AppendAnswer | SnapshotChunkAnswer
    ) -> Progress | None:
        progress = self.progress.get(message.sender)
        if progress is not None:
            progress.acked_sent_at = max(progress.acked_sent_at, message.sent_at)
        return progress

    def _advance_match(self, progress: Progress, index: int) -> None:
        progress.mode = ReplicationMode.PIPELINE
        progress.match_index = max(progress.match_index, index)
        progress.next_index = max(progress.next_index, progress.match_index + 1)

    def _send_pending(self, member: MemberId, progress: Progress, now: float) -> bool:
        if progress.next_index <= self.state.tail.start_index:
            progress.mode = ReplicationMode.SNAPSHOT
        if progress.mode is ReplicationMode.SNAPSHOT:
            return self._send_chunk(member, progress, now)
        if progress.mode is ReplicationMode.PROBE:
            return self._send_probe(member, progress, now)
        sent = False
        while (
            progress.next_index <= self.state.tail.last_index
            and progress.n_in_flight < MAX_IN_FLIGHT_MESSAGES
            and self._in_flight_bytes(progress) < MAX_IN_FLIGHT_BYTES
        ):
            entries = self._batch(progress)
            self._send_append(member, progress, now, entries)
            progress.next_index += len(entries)
            progress.n_in_flight += 1
            sent = True
        return sent

    def _send_probe(self, member: MemberId, progress: Progress, now: float) -> bool:
        if progress.probe_sent:
            return False
        progress.probe_sent = True
        self._send_append(member, progress, now, self._batch(progress))
        return True

    def _in_flight_bytes(self, progress: Progress) -> int:
        tail = self.state.tail
        return tail.size_after(progress.match_index, progress.next_index - 1)

    def _batch(self, progress: Progress) -> list:
        return self.state.tail.batch(
            progress.next_index,
            limit_bytes=BATCH_LIMIT_BYTES,
            limit=BATCH_LIMIT_ENTRIES,
        )

    def _send_append(
        self, member: MemberId, progress: Progress, now: float, entries: list
    ) -> None:
        state = self.state
        # During a snapshot transfer the previous entry may be compacted already; the
        # message then refers to the last compacted one, whose term is known.
        prev_index = max(progress.next_index - 1, state.tail.start_index)
        packed = self.packer.pack(entries) if progress.unpacks else b""
        state.send(
            Append(
                sender=state.member,
                receiver=member,
                term=state.term,
                prev_index=prev_index,
                prev_term=state.tail.term_at(prev_index),
                entries=[] if packed else entries,
                commit_index=state.commit_index,
                sent_at=now,
                packed=packed,
            ),
            early=True,
        )

    def _send_chunk(self, member: MemberId, progress: Progress, now: float) -> bool:
        state = self.state
        if progress.snapshot_index != state.snapshot.index:
            progress.snapshot_index = state.snapshot.index
            progress.snapshot_offset = 0
            progress.chunk_deadline = now
        if now < progress.chunk_deadline:
            return False
        progress.chunk_deadline = now + state.timing.election_s
        data = b""
        if progress.snapshot_offset < state.snapshot.size_bytes:
            data = self.source.snapshot_chunk(progress.snapshot_offset)
        state.send(
            SnapshotChunk(
                sender=state.member,
                receiver=member,
                term=state.term,
                meta=state.snapshot,
                offset=progress.snapshot_offset,
                data=data,
                sent_at=now,
            ),
            early=True,
        )
        return True
