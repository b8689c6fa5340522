"""Messages between gateways and coordinators, and between coordinators."""

import msgspec

from turmericreel.decisions.server_health import ServerOutcomes
from turmericreel.membership.instance_registry import GatewayInstance
from turmericreel.model.ids import BackendServerId, Incarnation, InstanceId, Revision
from turmericreel.model.registered_server import RegisteredServer
from turmericreel.model.routing import Rollout
from turmericreel.model.usage import UsageBatch
from turmericreel.model.version_evidence import VersionEvidence


class RoutingMessage(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base of the messages; the class name is the tag on the wire."""


class GatewayHello(RoutingMessage):
    """First message of a gateway to a coordinator."""

    gateway: GatewayInstance


class GatewayStatus(RoutingMessage):
    """What a gateway reports regularly, and at once when it changes.

    Attributes
    ----------
    rollouts_seen : tuple of Rollout
        What the gateway acts on, without the sessions.
    sessions : tuple of int
        Sessions that ran lately on a version that is being replaced, by their hash,
        as far as they might be canaries; only while a roll-out is prepared.
    usage : UsageBatch or None
        What is to be recorded; the same until it is.
    """

    gateway: GatewayInstance
    revision: Revision
    evidence: tuple[VersionEvidence, ...] = ()
    rollouts_seen: tuple[Rollout, ...] = ()
    sessions: tuple[int, ...] = ()
    usage: UsageBatch | None = None


class GatewayWork(RoutingMessage):
    """What servers do for one gateway.

    Attributes
    ----------
    work_ms : dict of BackendServerId to float
        Milliseconds of prompts that they have to read.
    outcomes : dict of BackendServerId to ServerOutcomes
        How attempts ended since the last message.
    """

    work_ms: dict[BackendServerId, float]
    outcomes: dict[BackendServerId, ServerOutcomes] = {}


class ServerWork(RoutingMessage):
    """What servers do for all gateways.

    Attributes
    ----------
    work_ms : dict of BackendServerId to float
        Milliseconds of prompts that they have to read.
    suspended : tuple of BackendServerId
        Servers that are left alone for now, as they fail.
    """

    work_ms: dict[BackendServerId, float]
    suspended: tuple[BackendServerId, ...] = ()


class UsageRecorded(RoutingMessage):
    """A gateway's batch of usage is durable at a quorum."""

    incarnation: Incarnation
    number: int


class CoordinatorHello(RoutingMessage):
    """First message of a coordinator to another."""

    instance: InstanceId


class Beat(RoutingMessage):
    """Says that the sender is alive, which coordinators it knows, and who leads.

    Attributes
    ----------
    leader : InstanceId or None
        None while the sender knows of none.
    term : int
        Of the leader; a higher one is newer.
    """

    coordinators: tuple[InstanceId, ...]
    leader: InstanceId | None
    term: int


class RoutingDocument(RoutingMessage):
    """A configuration as the operator sent it, compressed by zlib."""

    revision: Revision
    compressed: bytes


class Servers(RoutingMessage):
    """Registrations that are new or changed, or all of them."""

    servers: tuple[RegisteredServer, ...]


class Gateways(RoutingMessage):
    """Gateways that are new or changed, or all of them.

    Attributes
    ----------
    lost : tuple of InstanceId
        Those that the sender does not hear any more.
    """

    gateways: tuple[GatewayInstance, ...]
    complete: bool
    lost: tuple[InstanceId, ...] = ()


class Rollouts(RoutingMessage):
    """The newest roll-out of each service."""

    rollouts: tuple[Rollout, ...]


ToCoordinator = (
    GatewayHello
    | GatewayStatus
    | GatewayWork
    | CoordinatorHello
    | Servers
    | Gateways
    | Beat
)
ToGateway = (
    Beat | RoutingDocument | Servers | Gateways | Rollouts | UsageRecorded | ServerWork
)
