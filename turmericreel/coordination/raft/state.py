"""What the parts of the agreement share: term, log, role, deadlines and outputs."""

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
from turmericreel.state.storage.log_storage import Recovered
from turmericreel.util.statechart import Chart

ELECTION_JITTER_FRACTION = 0.5


class Role(Enum):
    """Roles, named as in the state chart."""

    LEARNER = "learner"
    FOLLOWER = "follower"
    PRE_CANDIDATE = "pre_candidate"
    CANDIDATE = "candidate"
    LEADER = "leader"


@dataclass(frozen=True, kw_only=True)
class ReceivedSnapshot:
    """A whole snapshot that replaces the log."""

    meta: SnapshotMeta
    data: bytes


@dataclass(kw_only=True)
class Outputs:
    """What the driver must do, in the order of the attributes.

    Attributes
    ----------
    early_messages : list of RaftMessage
        May be sent before anything is durable.
    hard_state, snapshot, entries
        To be made durable.
    messages : list of RaftMessage
        Must not be sent before all of that is durable.
    committed : list of Entry
        To be applied, after `snapshot` was loaded.
    """

    early_messages: list[RaftMessage] = field(default_factory=list)
    hard_state: HardState | None = None
    snapshot: ReceivedSnapshot | None = None
    entries: list[Entry] = field(default_factory=list)
    messages: list[RaftMessage] = field(default_factory=list)
    committed: list[Entry] = field(default_factory=list)


def decode_membership(entry: Entry) -> Membership:
    """Return the membership that an entry sets."""
    return msgspec.msgpack.decode(entry.data, type=Membership)


class RaftState:
    """State of one member.

    Parameters
    ----------
    member : MemberId
    recovered : Recovered
        What the disk held; its identity knows the initial membership.
    timing : RaftTiming
    rng : Random
    now : float
        Seconds on this member's monotonic clock.
    """

    def __init__(
        self,
        *,
        member: MemberId,
        recovered: Recovered,
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
        """The present role."""
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
        """Queue a message."""
        if early:
            self.outputs.early_messages.append(message)
        else:
            self.outputs.messages.append(message)

    def set_term(self, term: int, vote: MemberId | None) -> None:
        """Change term and vote, to be made durable."""
        self.term = term
        self.vote = vote
        self.outputs.hard_state = HardState(term=term, vote=vote)

    def append(self, entry: Entry) -> None:
        """Add an entry to the log, to be made durable."""
        self.tail.append(entry)
        self.last_time_ms = max(self.last_time_ms, entry.time_ms)
        self.outputs.entries.append(entry)
        if entry.kind is EntryKind.MEMBERSHIP:
            self.memberships.add(entry.index, decode_membership(entry))
            self.update_role()

    def truncate_from(self, index: int) -> None:
        """Drop a suffix that another leader replaced.

        Raises
        ------
        FailureError
            With `LogDiverged` when the suffix was committed, which must never be.
        """
        if index <= self.commit_index:
            raise FailureError(LogDiverged(index=index, commit_index=self.commit_index))
        self.tail.truncate_from(index)
        self.persisted_index = min(self.persisted_index, index - 1)
        self.memberships.truncate_from(index)
        self.update_role()

    def follow(self, *, term: int, leader: MemberId | None) -> None:
        """Take up a higher term, or the leader of the present one."""
        if term > self.term:
            self.set_term(term, None)
        self.leader = leader
        if self.role not in (Role.FOLLOWER, Role.LEARNER):
            self.chart.fire("leader_or_term_seen")

    def record_leader_contact(self, now: float) -> None:
        """Promise not to elect another leader for a while."""
        self.promise_deadline = now + self.timing.election_s
        self.reset_election_deadline(now)

    def reset_election_deadline(self, now: float) -> None:
        """Put the next election off by a random time above the promise."""
        factor = 1 + ELECTION_JITTER_FRACTION * self.rng.random()
        self.election_deadline = now + self.timing.election_s * factor

    def update_role(self) -> None:
        """Make the role fit the membership."""
        if self.is_voter and self.role is Role.LEARNER:
            self.chart.fire("became_voter")
        elif not self.is_voter and self.role not in (Role.LEARNER, Role.LEADER):
            # A leader that is removed leads on until its removal is committed.
            self.chart.fire("became_learner")

    def candidate_is_up_to_date(self, last_index: int, last_term: int) -> bool:
        """Tell whether a candidate's log holds all that this one's holds."""
        own = (self.tail.last_term, self.tail.last_index)
        return (last_term, last_index) >= own

    def _start_deadlines(self, now: float) -> None:
        if self.membership.voters == (self.member,):
            return
        if self.term == 0:
            # No promise was ever given in this life of the data folder.
            self.election_deadline = now + self.timing.election_s * self.rng.random()
            return
        # What was promised before a restart is not known any more, so it is kept.
        self.record_leader_contact(now)


def _recovered_tail(recovered: Recovered) -> LogTail:
    entries = recovered.entries
    if not entries or entries[0].index > recovered.snapshot.index:
        return LogTail(
            start_index=recovered.snapshot.index,
            start_term=recovered.snapshot.term,
            entries=entries,
        )
    # The term before the first entry is not known, so that entry only marks the start.
    return LogTail(
        start_index=entries[0].index, start_term=entries[0].term, entries=entries[1:]
    )


def _recovered_memberships(recovered: Recovered) -> MembershipHistory:
    initial = recovered.snapshot.membership
    if recovered.snapshot.index == 0:
        initial = _initial_membership(recovered)
    history = MembershipHistory(index=recovered.snapshot.index, membership=initial)
    for entry in recovered.entries:
        is_later = entry.index > recovered.snapshot.index
        if is_later and entry.kind is EntryKind.MEMBERSHIP:
            history.add(entry.index, decode_membership(entry))
    return history


def _initial_membership(recovered: Recovered) -> Membership:
    identity = recovered.identity
    if identity is None or identity.initial is None:
        return Membership()
    return identity.initial
