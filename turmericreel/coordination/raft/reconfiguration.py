"""Membership changes, one member at a time, decided by the leader."""

import msgspec

from turmericreel.coordination.raft.replication import Replication
from turmericreel.coordination.raft.state import RaftState
from turmericreel.state.storage.entries import (
    MemberId,
    Membership,
    instance_of,
)

SILENT_ELECTION_TIMEOUTS = 4
FORMER_LIMIT = 64
# Two voters are as many as one, and one is never enough.
LEAST_EVEN = 4


class Reconfiguration:
    """Adds members, makes learners voters, and replaces lost lives of an instance.

    Parameters
    ----------
    state : RaftState
    replication : Replication
    drops_silent : bool
        Whether a voter that is silent is taken out where that makes the quorum
        smaller.  For groups whose members come back under other names.
    """

    def __init__(
        self,
        *,
        state: RaftState,
        replication: Replication,
        drops_silent: bool = False,
    ):
        self.state = state
        self.replication = replication
        self.drops_silent = drops_silent
        self.asked_to_join: set[MemberId] = set()
        self.asked_to_observe: set[MemberId] = set()
        self.asked_to_leave: set[MemberId] = set()

    def next_membership(self, now: float) -> Membership | None:
        """Return the next membership, or None when nothing is to be changed.

        Only for a leader that has committed an entry of its own term.
        """
        state = self.state
        if state.memberships.current_index > state.commit_index:
            return None
        return (
            self._leave()
            or self._join(now)
            or self._promote(now)
            or self._drop_silent(now)
        )

    def _leave(self) -> Membership | None:
        present = self.state.membership
        for member in sorted(self.asked_to_leave):
            if member in present.members and present.voters != (member,):
                return _without(present, member)
        return None

    def _join(self, now: float) -> Membership | None:
        present = self.state.membership
        for member in sorted(self.asked_to_join | self.asked_to_observe):
            if member in present.members or member in present.former:
                continue
            if any(not self._silent(old, now) for old in self._earlier_lives(member)):
                # Another process under the same name is alive.
                continue
            instance = instance_of(member)
            learners = tuple(m for m in present.learners if instance_of(m) != instance)
            observers = tuple(
                m for m in present.observers if instance_of(m) != instance
            )
            if member in self.asked_to_observe:
                observers = (*observers, member)
            else:
                learners = (*learners, member)
            return msgspec.structs.replace(
                present, learners=learners, observers=observers
            )
        return None

    def _promote(self, now: float) -> Membership | None:
        present = self.state.membership
        for member in present.learners:
            if not self._caught_up(member, now):
                continue
            lost = [v for v in present.voters if instance_of(v) == instance_of(member)]
            if lost:
                # Its vote goes first, so that the new one never counts beside it.
                return _without(present, lost[0])
            learners = tuple(m for m in present.learners if m != member)
            voters = (*present.voters, member)
            return msgspec.structs.replace(present, voters=voters, learners=learners)
        return None

    def _drop_silent(self, now: float) -> Membership | None:
        present = self.state.membership
        n_voters = len(present.voters)
        # Without one voter of an even number, one answer less makes a quorum.
        if not self.drops_silent or n_voters < LEAST_EVEN or n_voters % 2:
            return None
        for voter in present.voters:
            if voter != self.state.member and self._silent(voter, now):
                return _without(present, voter)
        return None

    def _earlier_lives(self, member: MemberId) -> list[MemberId]:
        instance = instance_of(member)
        members = self.state.membership.members
        return [m for m in members if instance_of(m) == instance]

    def _silent(self, member: MemberId, now: float) -> bool:
        if member == self.state.member:
            return False
        progress = self.replication.progress.get(member)
        if progress is None:
            return True
        limit = SILENT_ELECTION_TIMEOUTS * self.state.timing.election_s
        return now - progress.heard_sent_at > limit

    def _caught_up(self, member: MemberId, now: float) -> bool:
        progress = self.replication.progress.get(member)
        if progress is None or progress.match_index < self.state.commit_index:
            return False
        return now - progress.heard_sent_at <= self.state.timing.election_s


def _without(present: Membership, member: MemberId) -> Membership:
    return Membership(
        voters=tuple(m for m in present.voters if m != member),
        learners=tuple(m for m in present.learners if m != member),
        observers=tuple(m for m in present.observers if m != member),
        former=(*present.former, member)[-FORMER_LIMIT:],
    )
