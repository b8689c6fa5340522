"""Messages between subscribers and the control instances or relays that serve them."""

from enum import Enum

import msgspec

from turmericreel.model.failures import FailureWire
from turmericreel.model.ids import (
    BackendServerId,
    DataCentreId,
    FencingToken,
    Incarnation,
    InstanceId,
    Revision,
)
from turmericreel.model.servers import BackendServer
from turmericreel.protocols.evidence_messages import EvidenceDigest, EvidenceReport
from turmericreel.state.commands.union import Command, Result
from turmericreel.util.text_edits import LineEdit


class Message(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base class of the messages; the class name is the tag on the wire."""


class SubscriberRole(Enum):
    """Role of a subscriber: it uses the state itself, or relays it."""

    ENTRY = "entry"
    RELAY = "relay"


class Hello(Message):
    """First message that a subscriber sends on a stream."""

    instance: InstanceId
    incarnation: Incarnation
    data_centre: DataCentreId
    http_address: str
    leaving: bool = False
    role: SubscriberRole = SubscriberRole.ENTRY
    load_address: str = ""


class Propose(Message):
    """Request to the leader to commit a command."""

    call: int
    command: Command


class Query(Message):
    """Request to read the replicated state; `what` names a registered query."""

    call: int
    what: str
    arguments: dict[str, str] = {}


class Answered(Message):
    """Result of a committed command."""

    call: int
    result: Result


class QueryAnswered(Message):
    """Result of a query, encoded as msgpack."""

    call: int
    value: bytes


class Refused(Message):
    """A proposal or query failed; `failure` tells whether it may have taken effect."""

    call: int
    failure: FailureWire


class RevisionCount(msgspec.Struct, frozen=True, array_like=True):
    """Number of lease holders whose newest confirmed revision this is."""

    revision: Revision
    n_holders: int


class Renew(Message):
    """Request to extend the configuration lease, which confirms the applied revision.

    The lease starts when this message is sent, so `sequence` links the answer to the
    send time that the sender recorded.  A relay adds the counts of the holders of
    leases that it granted.
    """

    sequence: int
    revision: Revision
    servers_index: int
    leaving: bool = False
    holders: tuple[RevisionCount, ...] = ()


class LeaseGranted(Message):
    """Permission to use the configuration `revision` for another `lease_ms`.

    `servers_index` is the index of the last registry push on this stream; a holder that
    missed this push must not use the lease.
    """

    sequence: int
    lease_ms: int
    revision: Revision
    servers_index: int
    fencing_token: FencingToken


class LeaseDenied(Message):
    """The sender is alive but cannot grant a lease now."""

    sequence: int


class Redirected(Message):
    """Request to subscribe at `address`, or, if empty, at any other instance."""

    address: str = ""
    retry_after_ms: int = 0


class ConfigurationPush(Message):
    """The complete operators' text of a revision."""

    revision: Revision
    text: str
    fencing_token: FencingToken


class ConfigurationDelta(Message):
    """A revision as edits to an older one that the subscriber has."""

    revision: Revision
    base_revision: Revision
    edits: tuple[LineEdit, ...]
    checksum: str
    fencing_token: FencingToken


class FetchText(Message):
    """Request for the complete text, as a delta could not be applied."""


class FetchServers(Message):
    """Request for the complete registry, as a push did not follow the previous one."""


class ServerPresent(msgspec.Struct, frozen=True, kw_only=True):
    """A backend server that takes work, and its home: the instance it announces to."""

    server: BackendServer
    home: InstanceId


class ServerGone(msgspec.Struct, frozen=True, kw_only=True):
    """A backend server that takes no more work or left the subscriber's subset."""

    server: BackendServerId
    incarnation: Incarnation


class ServersPush(Message):
    """Changes to the server registry after index `since`, up to `index`.

    Parameters
    ----------
    whole : bool
        Whether `present` is the complete list for the subscriber, not a change.
    """

    since: int
    index: int
    present: tuple[ServerPresent, ...] = ()
    gone: tuple[ServerGone, ...] = ()
    whole: bool = False


class InstanceInfo(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """An entry instance; callers are only directed to those that are not leaving."""

    instance: InstanceId
    data_centre: DataCentreId
    http_address: str
    incarnation: Incarnation = Incarnation(0)
    load_address: str = ""
    leaving: bool = False


class InstancesPush(Message):
    """Changes to the entry instances; a relay sends its own subscribers upstream."""

    instances: tuple[InstanceInfo, ...] = ()
    gone: tuple[InstanceId, ...] = ()
    whole: bool = False


ToControl = (
    Hello
    | Propose
    | Query
    | Renew
    | FetchText
    | FetchServers
    | InstancesPush
    | EvidenceReport
)
ToInstance = (
    Answered
    | QueryAnswered
    | Refused
    | LeaseGranted
    | LeaseDenied
    | Redirected
    | ConfigurationPush
    | ConfigurationDelta
    | ServersPush
    | InstancesPush
    | EvidenceDigest
)
