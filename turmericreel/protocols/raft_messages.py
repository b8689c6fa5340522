"""Raft messages between the members of a replicated log."""

import msgspec

from turmericreel.model.ids import InstanceId
from turmericreel.state.storage.entries import (
    Entry,
    MemberId,
    Membership,
    SnapshotMeta,
)

# Memory that a message takes besides its entries or its part of a snapshot.
MESSAGE_OVERHEAD_BYTES = 512


class RaftMessage(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base class of the messages; the class name is the tag on the wire.

    Parameters
    ----------
    sender, receiver : MemberId
        Members with the incarnation of their data folder; a message to an earlier
        incarnation of the receiver is dropped.
    term : int
    """

    sender: MemberId
    receiver: MemberId
    term: int


class PreVote(RaftMessage):
    """Request for a pre-vote: whether a vote in `term` would be granted.

    It changes no term.
    """

    last_index: int
    last_term: int


class PreVoteAnswer(RaftMessage):
    """Answer to a pre-vote; if granted, `term` is the one of the request."""

    granted: bool


class Vote(RaftMessage):
    """Request for a vote; `transfer` means that the leader has given up its lease."""

    last_index: int
    last_term: int
    transfer: bool = False


class VoteAnswer(RaftMessage):
    """Answer to a vote request."""

    granted: bool


class Append(RaftMessage):
    """Entries after `prev_index`, or none as a heartbeat.

    Parameters
    ----------
    sent_at : float
        Send time on the leader's clock, in seconds; the answer returns it, and the
        leader's lease starts at it.
    packed : bytes
        Compressed entries, which replace `entries`; only for members that unpack them.
    """

    prev_index: int
    prev_term: int
    entries: list[Entry]
    commit_index: int
    sent_at: float
    packed: bytes = b""


class AppendAnswer(RaftMessage):
    """Answer to `Append`: whether the entries matched the log.

    Parameters
    ----------
    match_index : int
        Index of the last entry that is known to equal the leader's; if refused, the
        index to try next.
    prev_index : int
        As in the request.
    unpacks : bool
        Whether the sender reads `Append.packed`, unlike earlier builds.
    """

    accepted: bool
    match_index: int
    prev_index: int
    sent_at: float
    unpacks: bool = False


class SnapshotChunk(RaftMessage):
    """Part of a snapshot, for a member that is missing compacted entries."""

    meta: SnapshotMeta
    offset: int
    data: bytes
    sent_at: float


class SnapshotChunkAnswer(RaftMessage):
    """Answer to `SnapshotChunk`: received bytes of the snapshot at `index`."""

    index: int
    received_bytes: int
    sent_at: float


class TimeoutNow(RaftMessage):
    """Request to a voter to start an election at once, as the leader steps down."""


RaftMessages = (
    PreVote
    | PreVoteAnswer
    | Vote
    | VoteAnswer
    | Append
    | AppendAnswer
    | SnapshotChunk
    | SnapshotChunkAnswer
    | TimeoutNow
)


class PeerMessage(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base class of the messages that are not part of the Raft protocol."""


class RaftHello(PeerMessage):
    """First message on a stream, with the sender and the group that it belongs to."""

    group: int
    instance: InstanceId


class Introduction(PeerMessage):
    """Self-description of a member while a group is formed or joined.

    Parameters
    ----------
    initial : Membership or None
        Initial membership of the group; None while the sender does not know it.
    is_question : bool
        Whether the receiver is asked to reply with its own introduction.
    members : tuple of MemberId
        Current members, so that a new member finds those that it was not configured
        with.
    former : tuple of MemberId
        Removed members, so that one that was offline learns of its removal.
    is_durable : bool
        Whether the sender's log survives its process, so that it may vote.
    """

    member: MemberId
    initial: Membership | None
    is_question: bool
    members: tuple[MemberId, ...] = ()
    former: tuple[MemberId, ...] = ()
    is_durable: bool = True


ToPeer = (
    PreVote
    | PreVoteAnswer
    | Vote
    | VoteAnswer
    | Append
    | AppendAnswer
    | SnapshotChunk
    | SnapshotChunkAnswer
    | TimeoutNow
    | RaftHello
    | Introduction
)


def size_of_message(message: RaftMessage | PeerMessage) -> int:
    """Return the approximate memory that a message takes, in bytes."""
    size = MESSAGE_OVERHEAD_BYTES
    match message:
        case Append(entries=entries, packed=packed):
            size += len(packed) + sum(entry.size_bytes for entry in entries)
        case SnapshotChunk(data=data):
            size += len(data)
    return size
