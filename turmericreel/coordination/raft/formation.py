"""Bootstrap of a group of members, and rejoining after a member lost its state.

An empty data folder means that either the group is new or this instance lost its
state.  The group is new only if all instances report an empty folder; the one with
the lowest name then forms the group of all of them.  Otherwise an empty instance is a
new member: the leader admits it as a learner, and its earlier incarnation never votes
again.

If `Member` is given the founders of a new group, none of them waits for the others:
each derives the same initial membership from their names.
"""

from turmericreel.model.ids import InstanceId
from turmericreel.protocols.raft_messages import Introduction
from turmericreel.state.storage.entries import (
    Identity,
    MemberId,
    Membership,
    instance_of,
    member_id,
)

FOUNDER_INCARNATION = 0


def founder_identity(instance: InstanceId, founders: frozenset[InstanceId]) -> Identity:
    """Return the identity of a founder in its first incarnation.

    The initial membership in it is the same at all founders.
    """
    voters = tuple(
        member_id(founder, FOUNDER_INCARNATION) for founder in sorted(founders)
    )
    return Identity(
        member=member_id(instance, FOUNDER_INCARNATION),
        initial=Membership(voters=voters),
    )


class Formation:
    """Determines the group that this member belongs to.

    Parameters
    ----------
    identity : Identity
        Must be durable already.
    peers : set of InstanceId
        The other instances that the settings name.
    joins_only : bool
        Whether a group certainly exists, so that this member never forms one.
    is_durable : bool
        Whether this member's log survives a restart of its process.
    """

    def __init__(
        self,
        *,
        identity: Identity,
        peers: set[InstanceId],
        joins_only: bool = False,
        is_durable: bool = True,
    ):
        self.identity = identity
        self.peers = peers
        self.joins_only = joins_only
        self.is_durable = is_durable
        self.empty_peers: dict[InstanceId, MemberId] = {}
        if identity.initial is None and not peers and not joins_only:
            self._adopt(Membership(voters=(identity.member,)))

    @property
    def initial(self) -> Membership | None:
        """Initial membership of the group, None while it is unknown."""
        return self.identity.initial

    def introduce(
        self, *, is_question: bool, present: Membership | None = None
    ) -> Introduction:
        """Return an introduction of this member.

        Parameters
        ----------
        is_question : bool
            Whether the receiver is asked to reply with its own introduction.
        present : Membership or None
            Current membership to include; None for none.
        """
        present = present or Membership()
        return Introduction(
            members=present.members,
            former=present.former,
            member=self.identity.member,
            initial=self.identity.initial,
            is_question=is_question,
            is_durable=self.is_durable,
        )

    def receive_introduction(self, message: Introduction) -> bool:
        """Record another member's introduction.

        Returns
        -------
        bool
            Whether this made the initial membership known.
        """
        if self.initial is not None:
            return False
        instance = instance_of(message.member)
        if message.initial is not None:
            self._adopt(message.initial)
            return True
        if instance in self.peers:
            self.empty_peers[instance] = message.member
        if not self._can_form_group():
            return False
        others = (self.empty_peers[peer] for peer in sorted(self.empty_peers))
        self._adopt(Membership(voters=(self.identity.member, *others)))
        return True

    def _can_form_group(self) -> bool:
        if self.joins_only:
            return False
        own = instance_of(self.identity.member)
        if any(peer < own for peer in self.peers):
            return False
        return self.peers <= self.empty_peers.keys()

    def _adopt(self, initial: Membership) -> None:
        self.identity = Identity(member=self.identity.member, initial=initial)
