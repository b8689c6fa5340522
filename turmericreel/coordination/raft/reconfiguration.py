"""Membership changes by the leader, one member at a time."""

import msgspec

from turmericreel.coordination.raft.replication import Replication
from turmericreel.coordination.raft.state import RaftState
from turmericreel.state.storage.entries import (
    MemberId,
    Membership,
    instance_of,
)

MAX_SILENT_ELECTION_TIMEOUTS = 4
MAX_FORMER_MEMBERS = 64
# A silent voter is removed only from a group of an even number of voters, at least this
# many.  Two voters tolerate no more failures than one, but a group must not shrink to a
# single voter.
MIN_EVEN_VOTERS = 4


class Reconfiguration:
    """Adds learners and observers, promotes learners, and removes members.

    An instance that lost its data folder rejoins under a new member id, which then
    replaces its earlier one.

    Parameters
    ----------
    state : RaftState
    replication : Replication
    removes_silent_voters : bool
        Whether a silent voter is removed where that makes the quorum smaller.  For
        groups whose instances return under new names.
    """

    def __init__(
        self,
        *,
        state: RaftState,
        replication: Replication,
        removes_silent_voters: bool = False,
    ):
        self.state = state
        self.replication = replication
        self.removes_silent_voters = removes_silent_voters
        self.join_requests: set[MemberId] = set()
        self.observe_requests: set[MemberId] = set()
        self.leave_requests: set[MemberId] = set()

    def next_membership(self, now: float) -> Membership | None:
        """Return the next membership, or None if no change is due.

        To be called only on a leader that has committed an entry of its own term.
        None also while the latest change is not committed.
        """
        state = self.state
        if state.memberships.current_index > state.commit_index:
            return None
        return (
            self._remove_leaving()
            or self._add_joining(now)
            or self._promote_learner(now)
            or self._remove_silent_voter(now)
        )

    def _remove_leaving(self) -> Membership | None:
        current = self.state.membership
        for member in sorted(self.leave_requests):
            if member in current.members and current.voters != (member,):
                return _without(current, member)
        return None

    def _add_joining(self, now: float) -> Membership | None:
        current = self.state.membership
        for member in sorted(self.join_requests | self.observe_requests):
            if member in current.members or member in current.former:
                continue
            if any(
                not self._is_silent(old, now)
                for old in self._members_of_same_instance(member)
            ):
                # A process with the same instance name is still alive.
                continue
            instance = instance_of(member)
            learners = tuple(m for m in current.learners if instance_of(m) != instance)
            observers = tuple(
                m for m in current.observers if instance_of(m) != instance
            )
            if member in self.observe_requests:
                observers = (*observers, member)
            else:
                learners = (*learners, member)
            return msgspec.structs.replace(
                current, learners=learners, observers=observers
            )
        return None

    def _promote_learner(self, now: float) -> Membership | None:
        current = self.state.membership
        for member in current.learners:
            if not self._is_caught_up(member, now):
                continue
            replaced = [
                v for v in current.voters if instance_of(v) == instance_of(member)
            ]
            if replaced:
                # The old voter is removed first: an instance never has two votes.
                return _without(current, replaced[0])
            learners = tuple(m for m in current.learners if m != member)
            voters = (*current.voters, member)
            return msgspec.structs.replace(current, voters=voters, learners=learners)
        return None

    def _remove_silent_voter(self, now: float) -> Membership | None:
        current = self.state.membership
        n_voters = len(current.voters)
        # Removing one of an even number of voters lowers the quorum by one.
        if not self.removes_silent_voters or n_voters < MIN_EVEN_VOTERS or n_voters % 2:
            return None
        for voter in current.voters:
            if voter != self.state.member and self._is_silent(voter, now):
                return _without(current, voter)
        return None

    def _members_of_same_instance(self, member: MemberId) -> list[MemberId]:
        instance = instance_of(member)
        members = self.state.membership.members
        return [m for m in members if instance_of(m) == instance]

    def _is_silent(self, member: MemberId, now: float) -> bool:
        if member == self.state.member:
            return False
        progress = self.replication.progress.get(member)
        if progress is None:
            return True
        limit_s = MAX_SILENT_ELECTION_TIMEOUTS * self.state.timing.election_s
        return now - progress.acked_sent_at > limit_s

    def _is_caught_up(self, member: MemberId, now: float) -> bool:
        progress = self.replication.progress.get(member)
        if progress is None or progress.match_index < self.state.commit_index:
            return False
        return now - progress.acked_sent_at <= self.state.timing.election_s


def _without(current: Membership, member: MemberId) -> Membership:
    return Membership(
        voters=tuple(m for m in current.voters if m != member),
        learners=tuple(m for m in current.learners if m != member),
        observers=tuple(m for m in current.observers if m != member),
        former=(*current.former, member)[-MAX_FORMER_MEMBERS:],
    )
