"""Handling of the entries and snapshots that a leader sends."""

from turmericreel.coordination.raft.packing import unpack_entries
from turmericreel.coordination.raft.state import RaftState, ReceivedSnapshot
from turmericreel.coordination.raft.tail import MembershipHistory
from turmericreel.protocols.raft_messages import (
    Append,
    AppendAnswer,
    SnapshotChunk,
    SnapshotChunkAnswer,
)
from turmericreel.state.storage.entries import SnapshotMeta


class Following:
    """Receiving side of log replication in one member.

    Parameters
    ----------
    state : RaftState
    """

    def __init__(self, *, state: RaftState):
        self.state = state
        self.incoming = SnapshotMeta()
        self.buffer = bytearray()

    def receive_entries(self, message: Append, now: float) -> None:
        """Append the entries that match the log, and reply with the match index."""
        state = self.state
        if message.term < state.term:
            self._answer(message, accepted=False, match_index=0)
            return
        self._record_sender(message, now)
        if not self._matches_log(message):
            self._answer(message, accepted=False, match_index=self._match_hint(message))
            return
        entries = message.entries or unpack_entries(message.packed)
        for entry in entries:
            local_term = state.tail.term_at(entry.index)
            if local_term == entry.term or entry.index <= state.tail.start_index:
                continue
            if local_term is not None:
                state.truncate_from(entry.index)
            state.append(entry)
        match_index = message.prev_index + len(entries)
        self.advance_commit_index(min(message.commit_index, match_index))
        self._answer(message, accepted=True, match_index=match_index)

    def receive_chunk(self, message: SnapshotChunk, now: float) -> None:
        """Collect a snapshot; the last chunk installs it in place of the log."""
        state = self.state
        if message.term < state.term:
            self._answer_chunk(message, 0)
            return
        self._record_sender(message, now)
        if self._log_covers(message.meta):
            # Entries after the snapshot may be part of a quorum, so they are kept.
            self.advance_commit_index(message.meta.index)
            self._reset_buffer()
            self._answer_chunk(message, message.meta.size_bytes)
            return
        if message.meta != self.incoming:
            self.incoming = message.meta
            self.buffer = bytearray()
        if message.offset == len(self.buffer):
            self.buffer += message.data
        received = len(self.buffer)
        if received == message.meta.size_bytes:
            self._install(message.meta)
        self._answer_chunk(message, received)

    def advance_commit_index(self, index: int) -> None:
        """Move the commit index forward."""
        self.state.commit_index = max(self.state.commit_index, index)

    def _record_sender(self, message: Append | SnapshotChunk, now: float) -> None:
        self.state.follow(term=message.term, leader=message.sender)
        self.state.record_leader_contact(now)

    def _matches_log(self, message: Append) -> bool:
        tail = self.state.tail
        if message.prev_index < tail.start_index:
            # Compacted entries were committed, so they are equal to the leader's.
            return True
        return tail.term_at(message.prev_index) == message.prev_term

    def _log_covers(self, meta: SnapshotMeta) -> bool:
        if meta.index <= self.state.commit_index:
            return True
        return self.state.tail.term_at(meta.index) == meta.term

    def _match_hint(self, message: Append) -> int:
        tail = self.state.tail
        if message.prev_index > tail.last_index:
            return tail.last_index
        # Skips all entries of the conflicting term, so that the leader need not
        # probe them one by one.
        first = tail.first_of_term(message.prev_index)
        return max(first - 1, self.state.commit_index)

    def _install(self, meta: SnapshotMeta) -> None:
        state = self.state
        data = bytes(self.buffer)
        self._reset_buffer()
        state.outputs.snapshot = ReceivedSnapshot(meta=meta, data=data)
        state.outputs.entries = []
        state.tail.reset(meta.index, meta.term)
        state.memberships = MembershipHistory(
            index=meta.index, membership=meta.membership
        )
        state.snapshot = meta
        state.commit_index = meta.index
        state.applied_index = meta.index
        state.persisted_index = meta.index
        state.last_time_ms = max(state.last_time_ms, meta.time_ms)
        state.update_role()

    def _reset_buffer(self) -> None:
        self.incoming = SnapshotMeta()
        self.buffer = bytearray()

    def _answer(self, message: Append, *, accepted: bool, match_index: int) -> None:
        state = self.state
        state.send(
            AppendAnswer(
                sender=state.member,
                receiver=message.sender,
                term=state.term,
                accepted=accepted,
                match_index=match_index,
                prev_index=message.prev_index,
                sent_at=message.sent_at,
                unpacks=True,
            )
        )

    def _answer_chunk(self, message: SnapshotChunk, received_bytes: int) -> None:
        state = self.state
        state.send(
            SnapshotChunkAnswer(
                sender=state.member,
                receiver=message.sender,
                term=state.term,
                index=message.meta.index,
                received_bytes=received_bytes,
                sent_at=message.sent_at,
            )
        )
