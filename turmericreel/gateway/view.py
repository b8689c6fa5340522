"""A gateway's local view of the system, merged from the messages of all coordinators.

An older report never replaces a newer one, regardless of which coordinators send them
and in which order they arrive.
"""

import zlib
from collections import defaultdict
from collections.abc import Callable

from eliot import log_message
from gevent.event import Event
from gevent.timeout import Timeout

from turmericreel.decisions.evacuation import EvacuatedDataCentres
from turmericreel.decisions.route_table import RouteTable
from turmericreel.membership.instance_registry import GatewayInstance, GatewayLists
from turmericreel.model.evacuation import Evacuation
from turmericreel.model.ids import (
    BackendServerId,
    Incarnation,
    InstanceId,
    ServiceName,
)
from turmericreel.model.place_report import PlaceAnswer
from turmericreel.model.registered_server import RegisteredServer, ServerState
from turmericreel.model.routing import Rollout, RolloutStage
from turmericreel.model.routing_codec import RoutingCodec
from turmericreel.model.server_crash import CrashReport
from turmericreel.protocols.routing_messages import (
    Beat,
    Evacuations,
    Gateways,
    PlaceAnswers,
    Rollouts,
    RoutingDocument,
    ServerCrashes,
    Servers,
    ServerWork,
    UsageRecorded,
)

STAGE_ORDER = {
    RolloutStage.PREPARING: 0,
    RolloutStage.CANARY: 1,
    RolloutStage.SWITCHED: 2,
    RolloutStage.COMPLETED: 3,
    RolloutStage.ROLLED_BACK: 3,
}


class GatewayView:
    """Local view of routes, servers, roll-outs and other instances.

    Parameters
    ----------
    codec : RoutingCodec
    on_usage_recorded : callable
        Called with the incarnation and number of each usage batch that is recorded.
    on_work : callable
        Called with each `ServerWork` message.
    on_places : callable
        Called with each answer of a leader on places.
    on_crashes : callable
        Called with the records of each `ServerCrashes` message.
    on_server_ended : callable
        Called with the last registration of each server process that ended without
        being deregistered.
    on_servers : callable
        Called with the registrations that are newer than those known.
    on_returned : callable
        Called with the servers of a data centre whose evacuation was withdrawn.
    """

    def __init__(
        self,
        *,
        codec: RoutingCodec,
        on_usage_recorded: Callable[[Incarnation, int], None],
        on_work: Callable[[ServerWork], None],
        on_places: Callable[[PlaceAnswer], None],
        on_crashes: Callable[[tuple[CrashReport, ...]], None],
        on_server_ended: Callable[[RegisteredServer], None],
        on_servers: Callable[[list[RegisteredServer]], None] = lambda servers: None,
        on_returned: Callable[[list[RegisteredServer]], None] = lambda servers: None,
    ):
        self.codec = codec
        self.on_usage_recorded = on_usage_recorded
        self.on_work = on_work
        self.on_places = on_places
        self.on_crashes = on_crashes
        self.on_server_ended = on_server_ended
        self.on_servers = on_servers
        self.on_returned = on_returned
        self.table: RouteTable | None = None
        self.servers: dict[BackendServerId, RegisteredServer] = {}
        self.by_service: dict[ServiceName, list[RegisteredServer]] = {}
        self.rollouts: dict[ServiceName, Rollout] = {}
        self.evacuations = EvacuatedDataCentres()
        self.gateway_lists = GatewayLists()
        self.gateways: tuple[GatewayInstance, ...] = ()
        self.coordinators: set[InstanceId] = set()
        self.leader: InstanceId | None = None
        self.leader_term = 0
        self.changed = Event()

    @property
    def revision(self) -> int:
        """Revision of the configuration in force at this gateway; 0 without one."""
        return self.table.configuration.revision if self.table else 0

    def receive(self, message: object, *, source: str) -> bool:
        """Apply a coordinator's message; return whether the view changed.

        Parameters
        ----------
        message : object
        source : str
            Address of the coordinator.
        """
        changed = self._dispatch(message, source)
        if changed:
            # Wakes the tasks that wait now; later ones wait for the next change.
            self.changed.set()
            self.changed.clear()
        return changed

    def wait_until(self, condition: Callable[[], bool], *, timeout_s: float) -> bool:
        """Wait until a condition holds; return whether it held in time."""
        with Timeout(max(timeout_s, 0.0), False):
            while not condition():
                self.changed.wait()
        return condition()

    def drop_source(self, source: str) -> None:
        """Drop a disconnected coordinator's gateway list, except the last one.

        See `GatewayLists.drop_source`.
        """
        self.gateway_lists.drop_source(source)
        self.gateways = self.gateway_lists.agreed_gateways()

    def _dispatch(self, message: object, source: str) -> bool:
        match message:
            case RoutingDocument():
                return self._receive_routing(message)
            case Servers():
                return self._receive_servers(message)
            case Rollouts():
                return self._receive_rollouts(message)
            case Evacuations():
                return self._receive_evacuations(message)
            case Gateways():
                self.gateway_lists.record_report(
                    source,
                    message.gateways,
                    complete=message.complete,
                    lost=message.lost,
                )
                before, self.gateways = (
                    self.gateways,
                    self.gateway_lists.agreed_gateways(),
                )
                return self.gateways != before
            case UsageRecorded():
                self.on_usage_recorded(message.incarnation, message.number)
            case ServerWork():
                self.on_work(message)
            case PlaceAnswers():
                self.on_places(message.answer)
            case ServerCrashes():
                self.on_crashes(message.crashes)
            case Beat():
                return self._receive_heartbeat(message, source)
        return False

    def _receive_heartbeat(self, message: Beat, source: str) -> bool:
        self.gateway_lists.record_heartbeat(source)
        before = (self.gateways, self.coordinators, self.leader)
        self.gateways = self.gateway_lists.agreed_gateways()
        # A partitioned coordinator may continue to report a former leader.
        if message.leader is not None and message.term >= self.leader_term:
            self.leader, self.leader_term = message.leader, message.term
            self.coordinators = set(message.coordinators)
        elif not self.coordinators:
            self.coordinators = set(message.coordinators)
        return (self.gateways, self.coordinators, self.leader) != before

    def servers_of(self, service: ServiceName) -> list[RegisteredServer]:
        """Return the usable servers of a service."""
        return self.by_service.get(service, [])

    def has_ended(self, server: RegisteredServer) -> bool:
        """Return whether a server process is known to have ended unexpectedly."""
        known = self.servers.get(server.server)
        if known is None:
            return False
        return (
            known.incarnation > server.incarnation or known.state is ServerState.EXPIRED
        )

    def _receive_routing(self, message: RoutingDocument) -> bool:
        if message.revision <= self.revision:
            return False
        configuration = self.codec.decode(zlib.decompress(message.compressed))
        self.table = RouteTable(configuration=configuration)
        log_message(
            "gateway:configuration",
            revision=self.revision,
            n_routes=len(configuration.routes),
        )
        return True

    def _receive_evacuations(self, message: Evacuations) -> bool:
        before = self.evacuations.evacuated
        newer = self.evacuations.receive(message.evacuations)
        _log_evacuations(newer)
        returned = before - self.evacuations.evacuated
        if returned:
            servers = self.servers.values()
            self.on_returned([s for s in servers if s.data_centre in returned])
        return bool(newer)

    def _receive_servers(self, message: Servers) -> bool:
        changed = False
        newer = []
        for server in message.servers:
            known = self.servers.get(server.server)
            if known is not None and not server.supersedes(known):
                continue
            self.servers[server.server] = server
            newer.append(server)
            self._report_ended_servers(server, known)
            if known is None or _is_other_process(server, known):
                changed = True
                _log_server(server)
        self.on_servers(newer)
        if changed or message.servers:
            self._index_servers()
        return changed

    def _report_ended_servers(
        self, server: RegisteredServer, known: RegisteredServer | None
    ) -> None:
        """Report the processes that a new registration shows to have ended."""
        if known is None:
            # A restarted server may register at its old address under another id.
            replaced = [
                other
                for other in self.servers.values()
                if other.address == server.address
                and other.server != server.server
                and other.incarnation <= server.incarnation
            ]
        else:
            replaced = [known] if self.has_ended(known) else []
        for ended in replaced:
            if ended.state is not ServerState.GONE:
                self.on_server_ended(ended)

    def _index_servers(self) -> None:
        by_service: dict[ServiceName, list[RegisteredServer]] = defaultdict(list)
        for server in self.servers.values():
            if server.is_usable:
                by_service[server.service].append(server)
        self.by_service = dict(by_service)

    def _receive_rollouts(self, message: Rollouts) -> bool:
        changed = False
        for rollout in message.rollouts:
            known = self.rollouts.get(rollout.service)
            if known is None or _rollout_sort_key(rollout) > _rollout_sort_key(known):
                self.rollouts[rollout.service] = rollout
                changed = True
                log_message(
                    "gateway:rollout",
                    service=rollout.service,
                    target=rollout.target,
                    number=rollout.number,
                    stage=rollout.stage.value,
                )
        return changed


def _is_other_process(server: RegisteredServer, known: RegisteredServer) -> bool:
    """Return whether the server restarted or changed its state."""
    return server.state is not known.state or server.incarnation != known.incarnation


def _rollout_sort_key(rollout: Rollout) -> tuple[int, int]:
    return (rollout.number, STAGE_ORDER[rollout.stage])


def _log_evacuations(evacuations: list[Evacuation]) -> None:
    for evacuation in evacuations:
        log_message(
            "gateway:evacuation",
            data_centre=evacuation.data_centre,
            is_evacuated=evacuation.is_evacuated,
            number=evacuation.number,
        )


def _log_server(server: RegisteredServer) -> None:
    log_message(
        "gateway:server",
        server=server.server,
        service=server.service,
        version=server.version,
        address=server.address,
        state=ServerState(server.state).value,
        sequence=server.sequence,
    )
