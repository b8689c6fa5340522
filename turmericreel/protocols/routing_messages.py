"""Messages between gateways and coordinators, and between coordinators."""

import msgspec

from turmericreel.decisions.server_health import ServerOutcomes
from turmericreel.membership.instance_registry import GatewayInstance
from turmericreel.model.brittle_service import BrittleReport
from turmericreel.model.cold_server import ColdAnswer, ColdReport
from turmericreel.model.evacuation import Evacuation
from turmericreel.model.ids import BackendServerId, Incarnation, InstanceId, Revision
from turmericreel.model.place_report import PlaceAnswer, PlaceReport
from turmericreel.model.registered_server import RegisteredServer
from turmericreel.model.routing import Rollout
from turmericreel.model.server_crash import CrashReport, ServerProcess
from turmericreel.model.server_rate import RateGrant, RateReport
from turmericreel.model.usage import UsageBatch
from turmericreel.model.version_evidence import VersionEvidence

# Memory that a message takes, and each item of a list in it.
MESSAGE_OVERHEAD_BYTES = 256
ITEM_BYTES = 512


class RoutingMessage(msgspec.Struct, frozen=True, kw_only=True, tag=True):
    """Base class of the messages; the class name is the tag on the wire."""


class GatewayHello(RoutingMessage):
    """First message that a gateway sends to a coordinator."""

    gateway: GatewayInstance


class GatewayStatus(RoutingMessage):
    """Status that a gateway reports regularly, and immediately on changes.

    Attributes
    ----------
    rollouts_seen : tuple of Rollout
        Roll-outs that the gateway currently applies, without their sessions.
    sessions : tuple of int
        Hashes of the sessions in the canary share that recently ran on a version that
        is being replaced; only while a roll-out is being prepared.
    usage : UsageBatch or None
        Usage to record; the same batch is sent until it is recorded.
    """

    gateway: GatewayInstance
    revision: Revision
    evidence: tuple[VersionEvidence, ...] = ()
    rollouts_seen: tuple[Rollout, ...] = ()
    sessions: tuple[int, ...] = ()
    usage: UsageBatch | None = None


class GatewayWork(RoutingMessage):
    """Work and outcomes of servers for one gateway.

    Attributes
    ----------
    work_ms : dict of BackendServerId to float
        Prefill work that each server still has to do, in milliseconds.
    outcomes : dict of BackendServerId to ServerOutcomes
        Outcomes of the attempts since the last message.
    leaving : tuple of ServerProcess
        Server processes that are about to leave.
    rates : tuple of RateReport
        Limits of server processes, and the requests that wanted them since the last
        message.
    brittle : tuple of BrittleReport
        Services whose servers are brittle.
    cold : ColdReport or None
        None while no server is cold.
    """

    work_ms: dict[BackendServerId, float]
    outcomes: dict[BackendServerId, ServerOutcomes] = {}
    leaving: tuple[ServerProcess, ...] = ()
    rates: tuple[RateReport, ...] = ()
    brittle: tuple[BrittleReport, ...] = ()
    cold: ColdReport | None = None


class GatewayPlaces(RoutingMessage):
    """Places that a gateway holds and wants, sent only to a leader that grants them.

    Other builds do not know this message.
    """

    report: PlaceReport


class PlaceAnswers(RoutingMessage):
    """The leader's answer to `GatewayPlaces`."""

    answer: PlaceAnswer


class ServerWork(RoutingMessage):
    """Work of servers for all gateways, and the suspended servers.

    Attributes
    ----------
    work_ms : dict of BackendServerId to float
        Prefill work that each server still has to do, in milliseconds.
    suspended : tuple of BackendServerId
        Servers that get no requests for now because they fail.
    leaving : tuple of ServerProcess
        Server processes that are about to leave.
    rates : tuple of RateGrant
        Limits of server processes, and the requests that the receiver may send.
    term : int
        Term of the leader that grants them, places, and requests to cold servers.
    brittle : tuple of BrittleReport
        Services whose servers are brittle.
    is_partial : bool
        Whether the message tells `rates` and `brittle` only.
    grants_places : bool
        Whether the sender leads and answers `GatewayPlaces`.
    cold : ColdAnswer or None
        None while no server is cold, or from a coordinator that does not lead.
    """

    work_ms: dict[BackendServerId, float]
    suspended: tuple[BackendServerId, ...] = ()
    leaving: tuple[ServerProcess, ...] = ()
    rates: tuple[RateGrant, ...] = ()
    term: int = 0
    brittle: tuple[BrittleReport, ...] = ()
    is_partial: bool = False
    grants_places: bool = False
    cold: ColdAnswer | None = None


class UsageRecorded(RoutingMessage):
    """Confirmation that a gateway's usage batch is durable at a quorum."""

    incarnation: Incarnation
    number: int


class CoordinatorHello(RoutingMessage):
    """First message that a coordinator sends to another."""

    instance: InstanceId


class Beat(RoutingMessage):
    """Heartbeat, with the coordinators and the leader that the sender knows.

    Attributes
    ----------
    leader : InstanceId or None
        None while the sender knows no leader.
    term : int
        Term of the leader; a higher one is newer.
    """

    coordinators: tuple[InstanceId, ...]
    leader: InstanceId | None
    term: int


class RoutingDocument(RoutingMessage):
    """A routing configuration as the operator sent it, compressed with zlib."""

    revision: Revision
    compressed: bytes


class Servers(RoutingMessage):
    """New or changed server registrations, or all of them."""

    servers: tuple[RegisteredServer, ...]


class Gateways(RoutingMessage):
    """New or changed gateways, or all of them.

    Attributes
    ----------
    complete : bool
        Whether `gateways` replaces the receiver's whole list from this sender.
    lost : tuple of InstanceId
        Gateways from which the sender no longer receives messages.
    """

    gateways: tuple[GatewayInstance, ...]
    complete: bool
    lost: tuple[InstanceId, ...] = ()


class Rollouts(RoutingMessage):
    """The latest roll-out of each service."""

    rollouts: tuple[Rollout, ...]


class Evacuations(RoutingMessage):
    """The newest order on each data centre, sent only once there is one.

    Other builds do not know this message.
    """

    evacuations: tuple[Evacuation, ...]


class ServerCrashes(RoutingMessage):
    """New or changed records of servers that ended under requests, or all of them."""

    crashes: tuple[CrashReport, ...]


ToCoordinator = (
    GatewayHello
    | GatewayStatus
    | GatewayWork
    | GatewayPlaces
    | CoordinatorHello
    | Servers
    | Gateways
    | Beat
    | ServerCrashes
)
ToGateway = (
    Beat
    | RoutingDocument
    | Servers
    | Gateways
    | Rollouts
    | Evacuations
    | UsageRecorded
    | ServerWork
    | PlaceAnswers
    | ServerCrashes
)


def size_of_message(message: RoutingMessage) -> int:
    """Return the approximate memory that a message takes, in bytes."""
    size = MESSAGE_OVERHEAD_BYTES
    match message:
        case RoutingDocument(compressed=compressed):
            size += len(compressed)
        case Servers(servers=items) | Gateways(gateways=items):
            size += len(items) * ITEM_BYTES
        case ServerCrashes(crashes=items):
            size += len(items) * ITEM_BYTES
    return size
