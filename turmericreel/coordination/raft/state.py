"""State shared by the parts of a Raft member: term, log, role, deadlines, outputs."""

from dataclasses import dataclass, field
from enum import Enum
from random import Random

import msgspec

from turmericreel.coordination.raft.tail import LogTail, MembershipHistory
from turmericreel.coordination.raft.timing import RaftTiming
from turmericreel.model.failures import FailureError, LogDiverged
from turmericreel.protocols.raft_messages import RaftMessage
from turmericreel.state.storage.entries import (
    Entry,
    EntryKind,
    HardState,
    MemberId,
    Membership,
    SnapshotMeta,
)
from turmericreel.state.storage.log_storage import RecoveredState
from turmericreel.util.statechart import Chart

ELECTION_JITTER_FRACTION = 0.5


class Role(Enum):
    """Role of a member; the values are the states of the state chart."""

    LEARNER = "learner"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, kw_only=True)
class ReceivedSnapshot:
    """A complete snapshot received from the leader, which replaces the log."""

    meta: SnapshotMeta
    data: bytes


@dataclass(kw_only=True)
class Outputs:
    """Work for the caller, to be done in the order of the attributes.

    Attributes
    ----------
    early_messages : list of RaftMessage
        May be sent before anything is durable.
    hard_state, snapshot, entries
        Must be made durable.
    messages : list of RaftMessage
        Must not be sent before all of these are durable.
    committed : list of Entry
        Must be applied, after `snapshot` was loaded.
    """

    early_messages: list[RaftMessage] = field(default_factory=list)
    hard_state: HardState | None = None
    snapshot: ReceivedSnapshot | None = None
    entries: list[Entry] = field(default_factory=list)
    messages: list[RaftMessage] = field(default_factory=list)
    committed: list[Entry] = field(default_factory=list)


def decode_membership(entry: Entry) -> Membership:
    """Decode the membership that an entry of kind `MEMBERSHIP` holds."""
    return msgspec.msgpack.decode(entry.data, type=Membership)


class RaftState:
    """Raft state of one member.

    Parameters
    ----------
    member : MemberId
    recovered : RecoveredState
        State read from the disk; its identity holds the initial membership.
    timing : RaftTiming
    rng : Random
    now : float
        Seconds on this member's monotonic clock.
    """

    def __init__(
        self,
        *,
        member: MemberId,
        recovered: RecoveredState,
        timing: RaftTiming,
        rng: Random,
        now: float,
    ):
        self.member = member
        self.timing = timing
        self.rng = rng
        self.term = recovered.hard_state.term
        self.vote = recovered.hard_state.vote
        self.snapshot = recovered.snapshot
        self.tail = _recovered_tail(recovered)
        self.commit_index = recovered.snapshot.index
        self.applied_index = recovered.snapshot.index
        self.persisted_index = self.tail.last_index
        self.last_time_ms = max(recovered.snapshot.time_ms, self.tail.last_time_ms)
        self.memberships = _recovered_memberships(recovered)
        self.chart = Chart(package="turmericreel.coordination.raft", name="raft")
        self.leader: MemberId | None = None
        self.outputs = Outputs()
        self.promise_deadline = now
        self.election_deadline = now
        self._start_deadlines(now)
        self.update_role()

    @property
    def role(self) -> Role:
        """Current role."""
        return Role(self.chart.state)

    @property
    def membership(self) -> Membership:
        """The newest membership in the log."""
        return self.memberships.current

    @property
    def peers(self) -> list[MemberId]:
        """All other members."""
        return [m for m in self.membership.members if m != self.member]

    @property
    def is_voter(self) -> bool:
        """Whether this member counts towards a quorum."""
        return self.member in self.membership.voters

    def send(self, message: RaftMessage, *, early: bool = False) -> None:
        """Add a message to the outputs.

        Parameters
        ----------
        early : bool
            Whether it may be sent before the other outputs are durable.
        """
        if early:
            self.outputs.early_messages.append(message)
        else:
            self.outputs.messages.append(message)

    def set_term(self, term: int, vote: MemberId | None) -> None:
        """Set term and vote, and add them to the outputs to be made durable."""
        self.term = term
        self.vote = vote
        self.outputs.hard_state = HardState(term=term, vote=vote)

    def append(self, entry: Entry) -> None:
        """Append an entry to the log, and add it to the outputs to be made durable."""
        self.tail.append(entry)
        self.last_time_ms = max(self.last_time_ms, entry.time_ms)
        self.outputs.entries.append(entry)
        if entry.kind is EntryKind.MEMBERSHIP:
            self.memberships.add(entry.index, decode_membership(entry))
            self.update_role()

    def truncate_from(self, index: int) -> None:
        """Drop the entries from `index` on, which conflict with the leader's.

        Raises
        ------
        FailureError
            With `LogDiverged` when one of them was committed, which must never happen.
        """
        if index <= self.commit_index:
            raise FailureError(LogDiverged(index=index, commit_index=self.commit_index))
        self.tail.truncate_from(index)
        self.persisted_index = min(self.persisted_index, index - 1)
        self.memberships.truncate_from(index)
        self.update_role()

    def follow(self, *, term: int, leader: MemberId | None) -> None:
        """Adopt a higher term, or the leader of the current one, and stop campaigning.

        Parameters
        ----------
        leader : MemberId or None
            None while the leader of the term is unknown.
        """
        if term > self.term:
            self.set_term(term, None)
        self.leader = leader
        if self.role not in (Role.FOLLOWER, Role.LEARNER):
            self.chart.fire("leader_or_term_seen")

    def record_leader_contact(self, now: float) -> None:
        """Record contact with the leader and promise to elect no other for a while.

        The promise lasts for `RaftTiming.election_s`.
        """
        self.promise_deadline = now + self.timing.election_s
        self.reset_election_deadline(now)

    def reset_election_deadline(self, now: float) -> None:
        """Set the next election deadline: the election timeout plus random jitter."""
        factor = 1 + ELECTION_JITTER_FRACTION * self.rng.random()
        self.election_deadline = now + self.timing.election_s * factor

    def update_role(self) -> None:
        """Become a learner or a follower if the newest membership requires it."""
        if self.is_voter and self.role is Role.LEARNER:
            self.chart.fire("became_voter")
        elif not self.is_voter and self.role not in (Role.LEARNER, Role.LEADER):
            # A removed leader keeps leading until its removal is committed.
            self.chart.fire("became_learner")

    def candidate_is_up_to_date(self, last_index: int, last_term: int) -> bool:
        """Return whether a candidate's log is at least as up to date as this one's."""
        own = (self.tail.last_term, self.tail.last_index)
        return (last_term, last_index) >= own

    def _start_deadlines(self, now: float) -> None:
        if self.membership.voters == (self.member,):
            return
        if self.term == 0:
            # No promise was ever made in this incarnation of the data folder.
            self.election_deadline = now + self.timing.election_s * self.rng.random()
            return
        # A promise made before the restart is not stored, so a full one is assumed.
        self.record_leader_contact(now)


def _recovered_tail(recovered: RecoveredState) -> LogTail:
    entries = recovered.entries
    if not entries or entries[0].index > recovered.snapshot.index:
        return LogTail(
            start_index=recovered.snapshot.index,
            start_term=recovered.snapshot.term,
            entries=entries,
        )
    # The term of the entry before the first is unknown, so the first entry only
    # provides the start index and term.
    return LogTail(
        start_index=entries[0].index, start_term=entries[0].term, entries=entries[1:]
    )


def _recovered_memberships(recovered: RecoveredState) -> MembershipHistory:
    initial = recovered.snapshot.membership
    if recovered.snapshot.index == 0:
        initial = _initial_membership(recovered)
    history = MembershipHistory(index=recovered.snapshot.index, membership=initial)
    for entry in recovered.entries:
        is_later = entry.index > recovered.snapshot.index
        if is_later and entry.kind is EntryKind.MEMBERSHIP:
            history.add(entry.index, decode_membership(entry))
    return history


def _initial_membership(recovered: RecoveredState) -> Membership:
    identity = recovered.identity
    if identity is None or identity.initial is None:
        return Membership()
    return identity.initial
