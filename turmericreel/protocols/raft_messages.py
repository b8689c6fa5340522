"""Messages between the members of a replicated log."""

import msgspec

from turmericreel.model.ids import InstanceId
from turmericreel.state.storage.entries import (
    Entry,
    MemberId,
    Membership,
    SnapshotMeta,
)


class RaftMessage(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base of the messages; the class name is the tag on the wire.

    Parameters
    ----------
    sender, receiver : MemberId
        A message to an earlier life of the receiver's data folder is dropped.
    term : int
    """

    sender: MemberId
    receiver: MemberId
    term: int


class PreVote(RaftMessage):
    """Ask whether a vote in `term` would be granted; nobody's term changes."""

    last_index: int
    last_term: int


class PreVoteAnswer(RaftMessage):
    """Answer to a pre-vote; `term` is the one asked for if granted."""

    granted: bool


class Vote(RaftMessage):
    """Ask for a vote; `transfer` says that the leader itself gave up its lease."""

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
        Seconds on the leader's clock; the answer returns it, and the leader's lease
        runs from it.
    """

    prev_index: int
    prev_term: int
    entries: list[Entry]
    commit_index: int
    sent_at: float


class AppendAnswer(RaftMessage):
    """Whether the entries fitted.

    Parameters
    ----------
    match_index : int
        Last entry known to equal the leader's, or where to try next if refused.
    prev_index : int
        As in the request.
    """

    accepted: bool
    match_index: int
    prev_index: int
    sent_at: float


class SnapshotChunk(RaftMessage):
    """Part of a snapshot for a member that needs entries that were compacted."""

    meta: SnapshotMeta
    offset: int
    data: bytes
    sent_at: float


class SnapshotChunkAnswer(RaftMessage):
    """How many bytes of the snapshot at `index` the member holds."""

    index: int
    received_bytes: int
    sent_at: float


class TimeoutNow(RaftMessage):
    """Ask a voter to campaign at once, as the sender has given up leading."""


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
    """Base of the messages outside the agreement itself."""


class RaftHello(PeerMessage):
    """First message on a stream: from whom, for which of the groups."""

    group: int
    instance: InstanceId


class Introduction(PeerMessage):
    """What a member says about itself while a group is formed or joined.

    Parameters
    ----------
    initial : Membership or None
        First membership of the group; None while the sender knows of none.
    members : tuple of MemberId
        Present members, so that a newcomer finds those that it was not told of.
    former : tuple of MemberId
        Members that were taken out, so that one that was away learns of it.
    is_durable : bool
        Whether the sender's log outlives its process, so that it may vote.
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
