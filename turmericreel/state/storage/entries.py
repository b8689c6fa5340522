"""What a replicated log stores: entries, membership, term and vote, identity."""

from enum import Enum
from typing import NewType

import msgspec

from turmericreel.model.ids import InstanceId

MemberId = NewType("MemberId", str)

MEMBER_SEPARATOR = "#"


def member_id(instance: InstanceId, incarnation: int) -> MemberId:
    """Return the id of an instance with one life of its data folder."""
    return MemberId(f"{instance}{MEMBER_SEPARATOR}{incarnation}")


def instance_of(member: MemberId) -> InstanceId:
    """Return the instance of a member."""
    return InstanceId(member.rpartition(MEMBER_SEPARATOR)[0])


class EntryKind(Enum):
    """What the data of an entry is."""

    COMMAND = "command"
    NO_OPERATION = "no_operation"
    MEMBERSHIP = "membership"


class Entry(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One entry of the replicated log; `data` is opaque to the log itself.

    Parameters
    ----------
    time_ms : int
        Wall time in milliseconds; it never decreases along the log.
    """

    index: int
    term: int
    time_ms: int
    kind: EntryKind = EntryKind.COMMAND
    data: bytes = b""


class Membership(msgspec.Struct, frozen=True, kw_only=True):
    """Who holds the log: voters count towards a quorum, the others only receive.

    Parameters
    ----------
    learners : tuple of MemberId
        Members that become voters once they have caught up.
    observers : tuple of MemberId
        Members without a disk, which never become voters.
    former : tuple of MemberId
        Members that were taken out last; they are not admitted again.
    """

    voters: tuple[MemberId, ...] = ()
    learners: tuple[MemberId, ...] = ()
    observers: tuple[MemberId, ...] = ()
    former: tuple[MemberId, ...] = ()

    @property
    def quorum(self) -> int:
        """Number of voters that decide."""
        return len(self.voters) // 2 + 1

    @property
    def members(self) -> tuple[MemberId, ...]:
        """All that are sent the log."""
        return self.voters + self.learners + self.observers


class HardState(msgspec.Struct, frozen=True, kw_only=True):
    """Term and vote, which must be durable before any message depends on them."""

    term: int = 0
    vote: MemberId | None = None


class SnapshotMeta(msgspec.Struct, frozen=True, kw_only=True):
    """The last entry that a snapshot covers, and the membership at that entry."""

    index: int = 0
    term: int = 0
    time_ms: int = 0
    membership: Membership = Membership()
    size_bytes: int = 0


class Identity(msgspec.Struct, frozen=True, kw_only=True):
    """Whose data folder this is.

    Parameters
    ----------
    member : MemberId
        New for each empty folder, so that a lost folder shows.
    initial : Membership or None
        First membership of the group; None until it is known.
    """

    member: MemberId
    initial: Membership | None = None
