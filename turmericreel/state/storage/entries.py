"""Records that a replicated log stores: entries, membership, term, vote, identity."""

from enum import Enum
from typing import NewType

import msgspec

from turmericreel.model.ids import InstanceId

MemberId = NewType("MemberId", str)

MEMBER_SEPARATOR = "#"
# Memory that an entry takes besides its data.
ENTRY_OVERHEAD_BYTES = 256


def member_id(instance: InstanceId, incarnation: int) -> MemberId:
    """Return the member id of an instance with one incarnation of its data folder."""
    return MemberId(f"{instance}{MEMBER_SEPARATOR}{incarnation}")


def instance_of(member: MemberId) -> InstanceId:
    """Return the instance that a member id belongs to."""
    return InstanceId(member.rpartition(MEMBER_SEPARATOR)[0])


class EntryKind(Enum):
    """Kind of content that an entry holds."""

    COMMAND = "command"
    NO_OPERATION = "no_operation"
    MEMBERSHIP = "membership"


class Entry(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One entry of the replicated log; the log doesn't interpret `data`.

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

    @property
    def size_bytes(self) -> int:
        """Approximate memory that the entry takes, in bytes."""
        return len(self.data) + ENTRY_OVERHEAD_BYTES


class Membership(msgspec.Struct, frozen=True, kw_only=True):
    """Members of the group: voters count towards a quorum, the others only replicate.

    Parameters
    ----------
    learners : tuple of MemberId
        Members that become voters once their log is up to date.
    observers : tuple of MemberId
        Members without a disk, which never become voters.
    former : tuple of MemberId
        The members that were removed most recently; they are not admitted again.
    """

    voters: tuple[MemberId, ...] = ()
    learners: tuple[MemberId, ...] = ()
    observers: tuple[MemberId, ...] = ()
    former: tuple[MemberId, ...] = ()

    @property
    def quorum(self) -> int:
        """Number of voters in a majority."""
        return len(self.voters) // 2 + 1

    @property
    def members(self) -> tuple[MemberId, ...]:
        """All members that the log is replicated to."""
        return self.voters + self.learners + self.observers


class HardState(msgspec.Struct, frozen=True, kw_only=True):
    """Current term and vote; durable before a message that depends on them is sent."""

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
    """The member that a data folder belongs to.

    Parameters
    ----------
    member : MemberId
        New for each empty folder, so that the loss of a folder is detected.
    initial : Membership or None
        Initial membership of the group; None until it is known.
    """

    member: MemberId
    initial: Membership | None = None
