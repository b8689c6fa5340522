"""Raft state machine of one member, without I/O, clocks or tasks.

`step` and `tick` take messages and the current time, and `collect_outputs` returns
what must be made durable, sent and applied.  The caller must make outputs durable
before its next call.  Only a leader's entries may become durable later; the caller then
reports them to `mark_persisted`.
"""

from random import Random

import msgspec

from turmericreel.coordination.raft.elections import Elections
from turmericreel.coordination.raft.following import Following
from turmericreel.coordination.raft.reconfiguration import Reconfiguration
from turmericreel.coordination.raft.replication import Replication, SnapshotSource
from turmericreel.coordination.raft.state import Outputs, RaftState, Role
from turmericreel.coordination.raft.timing import RaftTiming
from turmericreel.protocols.raft_messages import (
    Append,
    AppendAnswer,
    PreVote,
    PreVoteAnswer,
    RaftMessage,
    SnapshotChunk,
    SnapshotChunkAnswer,
    TimeoutNow,
    Vote,
    VoteAnswer,
)
from turmericreel.state.storage.entries import (
    Entry,
    EntryKind,
    MemberId,
    Membership,
    SnapshotMeta,
)
from turmericreel.state.storage.log_storage import RecoveredState


class RaftCore:
    """Raft state machine of one member.

    Parameters
    ----------
    member : MemberId
    recovered : RecoveredState
        State read from the disk.
    timing : RaftTiming
    source : SnapshotSource
    rng : Random
    now : float
        Seconds on this member's monotonic clock; the same holds for all methods.
    removes_silent_voters : bool
        See `Reconfiguration`.
    """

    def __init__(
        self,
        *,
        member: MemberId,
        recovered: RecoveredState,
        timing: RaftTiming,
        source: SnapshotSource,
        rng: Random,
        now: float,
        removes_silent_voters: bool = False,
    ):
        self.state = RaftState(
            member=member, recovered=recovered, timing=timing, rng=rng, now=now
        )
        self.elections = Elections(state=self.state)
        self.following = Following(state=self.state)
        self.replication = Replication(state=self.state, source=source)
        self.reconfiguration = Reconfiguration(
            state=self.state,
            replication=self.replication,
            removes_silent_voters=removes_silent_voters,
        )

    def tick(self, now: float) -> None:
        """Do the work due at `now`.

        This is the start of an election, or, for a leader, the quorum check,
        membership changes and heartbeats.
        """
        state = self.state
        if state.role is Role.LEADER:
            self._check_quorum(now)
        else:
            self.elections.tick(now)
            if self.elections.win_as_only_voter():
                self._become_leader(now)
        if state.role is Role.LEADER:
            self._change_membership(now)
            self.replication.tick(now)

    def step(self, message: RaftMessage, now: float) -> None:
        """Handle a message from another member."""
        state = self.state
        if message.receiver != state.member:
            return
        match message:
            case PreVote():
                self.elections.answer_pre_vote(message, now)
            case PreVoteAnswer():
                self.elections.count_pre_vote(message, now)
            case Vote():
                self.elections.answer_vote(message, now)
            case VoteAnswer():
                if self.elections.count_vote(message):
                    self._become_leader(now)
            case Append():
                self.following.receive_entries(message, now)
            case SnapshotChunk():
                self.following.receive_chunk(message, now)
            case AppendAnswer() | SnapshotChunkAnswer():
                self._handle_acknowledgement(message, now)
            case TimeoutNow():
                self.elections.handle_timeout_now(message, now)

    def propose(self, commands: list[bytes], *, time_ms: int, now: float) -> int:
        """Append commands as the leader and return the index of the first.

        Parameters
        ----------
        time_ms : int
            Wall time in milliseconds; raised to the newest time stamp in the log if
            it is lower.
        """
        first = self.state.tail.last_index + 1
        for data in commands:
            self._append(EntryKind.COMMAND, data, time_ms)
        self.replication.broadcast(now)
        return first

    def mark_persisted(self, last: Entry) -> None:
        """Record that an entry and all entries before it are durable."""
        state = self.state
        if state.tail.term_at(last.index) != last.term:
            return
        state.persisted_index = max(state.persisted_index, last.index)
        if state.role is Role.LEADER:
            self._commit()

    def collect_outputs(self) -> Outputs:
        """Return the pending outputs and clear them."""
        state = self.state
        outputs, state.outputs = state.outputs, Outputs()
        first = state.applied_index + 1
        outputs.committed = state.tail.slice(first, state.commit_index)
        state.applied_index = state.commit_index
        return outputs

    def compact_log(self, meta: SnapshotMeta, *, index: int) -> None:
        """Record a durable snapshot of this member and drop entries up to `index`."""
        self.state.snapshot = meta
        self.state.tail.compact(index)
        self.state.memberships.compact(meta.index)

    def transfer_leadership(self, now: float) -> MemberId | None:
        """Transfer leadership to the most up-to-date voter and return that voter.

        Returns None when this member does not lead or no voter is reachable.  The
        lease is released before the request is sent, and never regained in this term:
        a delayed request may still let the other voter win an election.
        """
        state = self.state
        target = self.replication.most_current_voter(now)
        if state.role is not Role.LEADER or target is None:
            return None
        state.chart.fire("handed_over")
        state.leader = None
        state.reset_election_deadline(now)
        state.send(TimeoutNow(sender=state.member, receiver=target, term=state.term))
        return target

    def ready_to_transfer_leadership(self, now: float) -> bool:
        """Return whether all entries are committed and another voter has them all."""
        target = self.replication.most_current_voter(now)
        if target is None or self.state.commit_index < self.state.tail.last_index:
            return False
        progress = self.replication.progress[target]
        return progress.match_index == self.state.tail.last_index

    def holds_lease(self, now: float) -> bool:
        """Return whether this leader holds its lease and its state is up to date.

        While the lease is held, no other member can lead.  Having applied the first
        entry of its own term, the leader has applied all entries of earlier terms.
        """
        state = self.state
        if state.role is not Role.LEADER:
            return False
        if state.applied_index < self.replication.term_first_index:
            return False
        quorum_contact_at = self.replication.quorum_acked_sent_at(now)
        return now < quorum_contact_at + state.timing.lease_s

    def orders_allowed_at(self) -> float:
        """Return when the lease of any earlier leader has certainly expired.

        Returns
        -------
        float
            Seconds on the monotonic clock.
        """
        wait = self.state.timing.wait_before_orders_s
        return self.replication.leader_since + wait

    def next_deadline(self) -> float:
        """Return when `tick` must be called next, in monotonic seconds."""
        state = self.state
        if state.role is Role.LEADER:
            return self.replication.heartbeat_deadline
        if state.role is Role.LEARNER:
            return float("inf")
        return state.election_deadline

    def _handle_acknowledgement(
        self, message: AppendAnswer | SnapshotChunkAnswer, now: float
    ) -> None:
        state = self.state
        if message.term > state.term:
            state.follow(term=message.term, leader=None)
            state.reset_election_deadline(now)
            return
        if state.role is not Role.LEADER or message.term < state.term:
            return
        if isinstance(message, AppendAnswer):
            self.replication.handle_append_answer(message, now)
        else:
            self.replication.handle_chunk_answer(message, now)
        self._commit()

    def _commit(self) -> None:
        state = self.state
        self.replication.commit()
        removed = not state.is_voter
        if removed and state.memberships.current_index <= state.commit_index:
            state.chart.fire("became_learner")

    def _become_leader(self, now: float) -> None:
        state = self.state
        state.leader = state.member
        self.replication.start_term(now)
        self._append(EntryKind.NO_OPERATION, b"", 0)
        self.replication.broadcast(now, heartbeat=True)

    def _check_quorum(self, now: float) -> None:
        quorum_contact_at = self.replication.quorum_acked_sent_at(now)
        if now - quorum_contact_at >= self.state.timing.election_s:
            self.state.chart.fire("quorum_lost")
            self.state.leader = None
            self.state.reset_election_deadline(now)

    def _change_membership(self, now: float) -> None:
        state = self.state
        if state.commit_index < self.replication.term_first_index:
            return
        membership = self.reconfiguration.next_membership(now)
        if membership is not None:
            self._append_membership(membership)
            self.replication.broadcast(now)

    def _append_membership(self, membership: Membership) -> None:
        data = msgspec.msgpack.encode(membership)
        self._append(EntryKind.MEMBERSHIP, data, 0)

    def _append(self, kind: EntryKind, data: bytes, time_ms: int) -> None:
        state = self.state
        state.append(
            Entry(
                index=state.tail.last_index + 1,
                term=state.term,
                time_ms=max(time_ms, state.last_time_ms),
                kind=kind,
                data=data,
            )
        )
