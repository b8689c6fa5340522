"""One member's agreement on a replicated log, without I/O, clocks or tasks.

Messages and the time go in by `step` and `tick`, and `take_outputs` says what is to
be made durable, sent and applied.  The caller makes outputs durable before it calls
anything else; only a leader's entries may become durable later, as told by
`mark_persisted`.
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
from turmericreel.state.storage.log_storage import Recovered


class RaftCore:
    """The agreement of one member.

    Parameters
    ----------
    member : MemberId
    recovered : Recovered
        What the disk held.
    timing : RaftTiming
    source : SnapshotSource
    rng : Random
    now : float
        Seconds on this member's monotonic clock, as in all methods.
    drops_silent : bool
        As for `Reconfiguration`.
    """

    def __init__(
        self,
        *,
        member: MemberId,
        recovered: Recovered,
        timing: RaftTiming,
        source: SnapshotSource,
        rng: Random,
        now: float,
        drops_silent: bool = False,
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
            drops_silent=drops_silent,
        )

    def tick(self, now: float) -> None:
        """Do what the time calls for."""
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
        """Handle a message of another member."""
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
        """Append commands as the leader and return the first one's index.

        Parameters
        ----------
        time_ms : int
            Wall time in milliseconds; earlier stamps in the log are not undercut.
        """
        first = self.state.tail.last_index + 1
        for data in commands:
            self._append(EntryKind.COMMAND, data, time_ms)
        self.replication.broadcast(now)
        return first

    def mark_persisted(self, last: Entry) -> None:
        """Learn that an entry, and all before it in the log, is durable."""
        state = self.state
        if state.tail.term_at(last.index) != last.term:
            return
        state.persisted_index = max(state.persisted_index, last.index)
        if state.role is Role.LEADER:
            self._commit()

    def take_outputs(self) -> Outputs:
        """Return what is to be done, and forget it."""
        state = self.state
        outputs, state.outputs = state.outputs, Outputs()
        first = state.applied_index + 1
        outputs.committed = state.tail.slice(first, state.commit_index)
        state.applied_index = state.commit_index
        return outputs

    def compact_log(self, meta: SnapshotMeta, *, index: int) -> None:
        """Learn of an own durable snapshot, and forget entries up to `index`."""
        self.state.snapshot = meta
        self.state.tail.compact(index)
        self.state.memberships.compact(meta.index)

    def hand_over(self, now: float) -> MemberId | None:
        """Stop leading in favour of the most current voter; return that one.

        The lease is given up before the other may know, and never regained in this
        term: a delayed request to take over may still win an election.
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

    def ready_to_hand_over(self, now: float) -> bool:
        """Tell whether another voter has the whole log, and all is committed."""
        target = self.replication.most_current_voter(now)
        if target is None or self.state.commit_index < self.state.tail.last_index:
            return False
        progress = self.replication.progress[target]
        return progress.match_index == self.state.tail.last_index

    def holds_lease(self, now: float) -> bool:
        """Tell whether no other member can lead right now, and all is applied."""
        state = self.state
        if state.role is not Role.LEADER:
            return False
        if state.applied_index < self.replication.first_index:
            return False
        quorum_contact_at = self.replication.quorum_heard_at(now)
        return now < quorum_contact_at + state.timing.lease_s

    def orders_allowed_at(self) -> float:
        """Return when an old leader's lease has certainly run out."""
        wait = self.state.timing.wait_before_orders_s
        return self.replication.led_since + wait

    def next_deadline(self) -> float:
        """Return when `tick` is due next, in seconds on the monotonic clock."""
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
            self.replication.count_answer(message, now)
        else:
            self.replication.count_chunk(message, now)
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
        self.replication.begin(now)
        self._append(EntryKind.NO_OPERATION, b"", 0)
        self.replication.broadcast(now, heartbeat=True)

    def _check_quorum(self, now: float) -> None:
        quorum_contact_at = self.replication.quorum_heard_at(now)
        if now - quorum_contact_at >= self.state.timing.election_s:
            self.state.chart.fire("quorum_lost")
            self.state.leader = None
            self.state.reset_election_deadline(now)

    def _change_membership(self, now: float) -> None:
        state = self.state
        if state.commit_index < self.replication.first_index:
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
