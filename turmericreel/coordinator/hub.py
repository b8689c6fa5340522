"""State that one coordinator keeps outside the log, and its distribution.

The hub owns no socket: `Session` objects receive and send its messages.
"""

import zlib
from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field
from random import Random

from eliot import log_message
from gevent.event import Event
from msgspec.structs import replace

from turmericreel.coordinator.cold_distributor import ColdDistributor
from turmericreel.coordinator.crash_records import CrashRecords
from turmericreel.coordinator.place_distributor import PlaceDistributor, newest_reports
from turmericreel.decisions.evacuation import EvacuatedDataCentres
from turmericreel.decisions.rate_grants import RateGrants
from turmericreel.decisions.server_health import ServerHealth
from turmericreel.membership.instance_registry import GatewayInstance
from turmericreel.membership.server_registry import ServerRegistry
from turmericreel.model.brittle_service import BrittleReport
from turmericreel.model.cold_server import ColdAnswer
from turmericreel.model.evacuation import Evacuation
from turmericreel.model.ids import (
    BackendServerId,
    DataCentreId,
    InstanceId,
    Revision,
)
from turmericreel.model.place_report import PlaceReport
from turmericreel.model.registered_server import RegisteredServer
from turmericreel.model.routing import Rollout
from turmericreel.model.server_crash import CrashReport, ServerProcess, process_of
from turmericreel.model.server_rate import RateGrant
from turmericreel.model.usage import UsageBatch
from turmericreel.model.version_evidence import VersionEvidence
from turmericreel.protocols.routing_messages import (
    Beat,
    Evacuations,
    Gateways,
    GatewayStatus,
    GatewayWork,
    PlaceAnswers,
    Rollouts,
    RoutingDocument,
    RoutingMessage,
    ServerCrashes,
    Servers,
    ServerWork,
    UsageRecorded,
)
from turmericreel.state.routing_machine import RoutingMachine
from turmericreel.state.routing_state_cache import RoutingState
from turmericreel.util.clock import Clock

COMPRESSION_LEVEL = 6


class Session(ABC):
    """Connection to a gateway or coordinator that receives changes."""

    @abstractmethod
    def send(self, message: RoutingMessage) -> None:
        """Queue a message for sending without blocking."""


@dataclass(kw_only=True)
class GatewayEntry:
    """A gateway connected to this coordinator, with its latest report."""

    session: Session
    status: GatewayStatus
    work_ms: dict[BackendServerId, float] = field(default_factory=dict)
    leaving: tuple[ServerProcess, ...] = ()
    brittle: tuple[BrittleReport, ...] = ()


class Hub:
    """Registered servers, known gateways, and the connections that receive changes.

    Parameters
    ----------
    instance : InstanceId
    machine : RoutingMachine
        State machine of the log; only the log changes it.
    registry : ServerRegistry
    heartbeat : callable
        Returns the current heartbeat message.
    clock : Clock
    cold : ColdDistributor or None
        None if nothing limits the requests of cold servers.
    """

    def __init__(
        self,
        *,
        instance: InstanceId,
        machine: RoutingMachine,
        registry: ServerRegistry,
        heartbeat: Callable[[], Beat],
        clock: Clock,
        cold: ColdDistributor | None = None,
    ):
        self.instance = instance
        self.machine = machine
        self.registry = registry
        self.heartbeat = heartbeat
        self.clock = clock
        self.now = clock.monotonic
        self.cold = cold
        self.gateways: dict[InstanceId, GatewayEntry] = {}
        self.gateways_of_peers: dict[InstanceId, dict[InstanceId, GatewayInstance]] = {}
        self.changed_gateways: set[InstanceId] = set()
        self.changed_own_gateways: set[InstanceId] = set()
        self.peers: dict[InstanceId, Session] = {}
        self.unchanged_heartbeats: dict[BackendServerId, RegisteredServer] = {}
        self.restored = RoutingState()
        self.restored_until_index = 0
        self.changed = Event()
        self.health = ServerHealth()
        self.suspended: set[BackendServerId] = set()
        self.crashes = CrashRecords(clock=clock)
        self.rates = RateGrants()
        self.places = PlaceDistributor(clock=clock, rng=Random(instance))
        self.places_due = Event()
        self.work_sent = False
        self.routing_pending = False
        self.rollouts_pending = False
        self.evacuations_pending = False
        self.compressed: RoutingDocument | None = None
        self.sent_revision = Revision(0)
        self.sent_rollouts: tuple[Rollout, ...] = ()
        self.sent_evacuations: tuple[Evacuation, ...] = ()

    def restore(self, state: RoutingState, *, expiry_s: float) -> None:
        """Distribute the state cached before a restart until newer state is known.

        Parameters
        ----------
        state : RoutingState
        expiry_s : float
            Time until a restored server that sends no heartbeat expires.
        """
        self.restored = state
        self.registry.restore(state.servers, now=self.now(), expiry_s=expiry_s)
        self._record_cold(self.registry.servers.values())
        self.crashes.restore(state.crashes)

    def hold_distributed_state(self) -> None:
        """Distribute the present state until the log is applied as far once more.

        For a coordinator that joins the group as a new member: its state machine starts
        empty, and applies old records again.
        """
        self.restored = self.distributed_state()
        self.restored_until_index = max(
            self.restored_until_index, self.machine.applied_index
        )

    def distributed_state(self) -> RoutingState:
        """Return the state that this coordinator currently distributes."""
        routing = self._routing_source()
        return RoutingState(
            revision=routing.revision,
            document=routing.document,
            rollouts=self._rollouts().rollouts,
            servers=tuple(self.registry.servers.values()),
            crashes=self.crashes.saved(),
            evacuations=self._evacuations().evacuations,
        )

    def record_heartbeat(self, reported: RegisteredServer) -> None:
        """Record a heartbeat sent by a server to this coordinator."""
        if self.registry.record_report(reported, now=self.now()):
            self._publish_servers([reported])
        else:
            self.unchanged_heartbeats[reported.server] = reported
        if self.registry.servers.get(reported.server) is reported:
            self._record_cold([reported])
            self._publish_crashes(self.crashes.record_heartbeat(reported))

    def receive_crashes(self, reports: Iterable[CrashReport]) -> None:
        """Merge the records of a gateway, and pass on what is new."""
        self._publish_crashes(self.crashes.merge(reports))

    def receive_peer_crashes(self, reports: Iterable[CrashReport]) -> None:
        """Merge the records of another coordinator, and send gateways what is new."""
        changed = self.crashes.merge(reports)
        if changed:
            self._send_to_gateways(ServerCrashes(crashes=tuple(changed)))

    def deregister_server(self, server: BackendServerId) -> None:
        """Deregister a server that is permanently gone."""
        if self.registry.deregister(server, now=self.now()):
            self._publish_servers([self.registry.servers[server]])

    def receive_peer_servers(self, servers: tuple[RegisteredServer, ...]) -> None:
        """Record registrations that another coordinator received."""
        now = self.now()
        changed = [s for s in servers if self.registry.record_report(s, now=now)]
        known = self.registry.servers
        self._record_cold(s for s in servers if known.get(s.server) is s)
        if changed:
            self._send_to_gateways(Servers(servers=tuple(changed)))

    def expire_servers(self) -> None:
        """Expire servers whose heartbeats stopped; may only be called by the leader."""
        expired = self.registry.expire(now=self.now())
        if expired:
            self._publish_servers(expired)

    def send_unchanged_heartbeats(self) -> None:
        """Send unchanged heartbeats to the other coordinators in one message."""
        if self.unchanged_heartbeats:
            now = self.now()
            servers = self.unchanged_heartbeats.values()
            message = Servers(
                servers=tuple(self.registry.current(s, now=now) for s in servers)
            )
            self.unchanged_heartbeats = {}
            for peer in self.peers.values():
                peer.send(message)

    def add_gateway(self, gateway: GatewayInstance, session: Session) -> None:
        """Add a connected gateway and send it the full state."""
        status = GatewayStatus(gateway=gateway, revision=0)
        self.gateways[gateway.instance] = GatewayEntry(session=session, status=status)
        for message in self._full_state():
            session.send(message)
        last = self.machine.last_batches.get(gateway.instance)
        if last is not None:
            # Batches of a restarted gateway would not count if its clock went back.
            session.send(UsageRecorded(incarnation=last[0], number=last[1]))
        self._record_gateway_change(gateway, "connected")

    def receive_status(self, status: GatewayStatus, session: Session) -> None:
        """Record a gateway's status report."""
        entry = self.gateways.get(status.gateway.instance)
        if entry is None or entry.session is not session:
            return
        before, entry.status = entry.status.gateway, status
        if before != status.gateway:
            self._record_gateway_change(status.gateway, "changed")

    def receive_work(
        self,
        instance: InstanceId,
        work: GatewayWork,
        session: Session,
    ) -> None:
        """Record a gateway's pending prefill work and attempt outcomes by server."""
        entry = self.gateways.get(instance)
        if entry is not None and entry.session is session:
            entry.work_ms = work.work_ms
            entry.leaving = work.leaving
            entry.brittle = work.brittle
            self.health.record_report(instance, work.outcomes, now=self.now())
            self.rates.record_report(instance, work.rates, now=self.now())
            if self.cold is not None and work.cold is not None:
                self.cold.receive(instance, work.cold)

    def receive_places(
        self, instance: InstanceId, report: PlaceReport, session: Session
    ) -> None:
        """Record which places a gateway holds and wants."""
        entry = self.gateways.get(instance)
        if entry is not None and entry.session is session:
            self.places.receive(instance, report, self.registry.servers.values())
            self.places_due.set()

    def answer_places(self) -> None:
        """Send gateways the places that they get, and refusals."""
        self.places_due.clear()
        servers = self.registry.servers.values()
        answers = self.places.answers(servers, self.known_gateways())
        for instance, answer in answers.items():
            entry = self.gateways.get(instance)
            if entry is not None:
                entry.session.send(PlaceAnswers(answer=answer))

    def remove_gateway(self, instance: InstanceId, session: Session) -> None:
        """Remove a gateway whose connection ended."""
        entry = self.gateways.get(instance)
        if entry is not None and entry.session is session:
            del self.gateways[instance]
            self.places.remove_gateway(instance)
            self._record_gateway_change(entry.status.gateway, "lost")

    def add_peer(self, instance: InstanceId, session: Session) -> None:
        """Add a coordinator and send it all registrations and own gateways."""
        self.peers[instance] = session
        session.send(Servers(servers=self.registry.current_servers(now=self.now())))
        session.send(ServerCrashes(crashes=tuple(self.crashes.reports())))
        own = tuple(e.status.gateway for e in self.gateways.values())
        session.send(Gateways(gateways=own, complete=True))

    def remove_peer(self, instance: InstanceId) -> None:
        """Remove the connection to another coordinator."""
        self.peers.pop(instance, None)

    def receive_peer_gateways(self, peer: InstanceId, message: Gateways) -> None:
        """Record the gateways that are connected to another coordinator."""
        known = self.gateways_of_peers.setdefault(peer, {})
        if message.complete:
            self._mark_gateways_changed(known)
            known.clear()
        known.update({g.instance: g for g in message.gateways})
        for instance in message.lost:
            known.pop(instance, None)
        self._mark_gateways_changed(g.instance for g in message.gateways)
        self._mark_gateways_changed(message.lost)

    def drop_peer_gateways(self, peer: InstanceId) -> None:
        """Remove the gateways of a coordinator whose connection ended."""
        self._mark_gateways_changed(self.gateways_of_peers.pop(peer, {}))

    def mark_routing_changed(self) -> None:
        """Schedule sending the new configuration to gateways."""
        self.routing_pending = True
        self.changed.set()

    def mark_rollouts_changed(self) -> None:
        """Schedule sending the changed roll-outs to gateways."""
        self.rollouts_pending = True
        self.changed.set()

    def mark_evacuations_changed(self) -> None:
        """Schedule sending the changed evacuations to gateways."""
        self.evacuations_pending = True
        self.changed.set()

    def mark_unsent_changes(self) -> None:
        """Schedule sending what a snapshot changed, which the log does not report."""
        if self._routing_source().revision != self.sent_revision:
            self.mark_routing_changed()
        if self._rollouts().rollouts != self.sent_rollouts:
            self.mark_rollouts_changed()
        if self._evacuations().evacuations != self.sent_evacuations:
            self.mark_evacuations_changed()

    def distribute_changes(self) -> None:
        """Send pending changes; of several to the same item, only the last is sent."""
        self.changed.clear()
        if self.routing_pending:
            self.routing_pending = False
            routing = self._routing()
            self.sent_revision = routing.revision
            self._send_to_gateways(routing)
        if self.rollouts_pending:
            self.rollouts_pending = False
            rollouts = self._rollouts()
            self.sent_rollouts = rollouts.rollouts
            self._send_to_gateways(rollouts)
        if self.evacuations_pending:
            self.evacuations_pending = False
            evacuations = self._evacuations()
            self._presume_returned_cold(evacuations)
            self.sent_evacuations = evacuations.evacuations
            self._send_to_gateways(evacuations)
        if self.changed_own_gateways:
            message = _gateway_changes(self.changed_own_gateways, self._own_gateway)
            self.changed_own_gateways = set()
            for peer in self.peers.values():
                peer.send(message)
        if self.changed_gateways:
            self._send_to_gateways(
                _gateway_changes(self.changed_gateways, self._newest_gateway)
            )
            self.changed_gateways = set()

    def send_heartbeats(self) -> None:
        """Send a heartbeat to all gateways."""
        self._send_to_gateways(self.heartbeat())

    def known_gateways(self) -> set[InstanceId]:
        """Return the gateways that are connected to any coordinator."""
        instances = set(self.gateways)
        for known in self.gateways_of_peers.values():
            instances |= set(known)
        return instances

    def data_centres_in_use(self) -> set[DataCentreId]:
        """Return the data centres of the known servers and gateways."""
        used = {server.data_centre for server in self.registry.servers.values()}
        gateways = [entry.status.gateway for entry in self.gateways.values()]
        for known in self.gateways_of_peers.values():
            gateways += known.values()
        return used | {gateway.data_centre for gateway in gateways}

    def evidence(self) -> list[VersionEvidence]:
        """Return the evidence from all gateways connected to this coordinator."""
        entries = self.gateways.values()
        return [counted for e in entries for counted in e.status.evidence]

    def sessions(self) -> tuple[int, ...]:
        """Return the client sessions to bind to the versions being replaced."""
        entries = self.gateways.values()
        return tuple(sorted({s for e in entries for s in e.status.sessions}))

    def distribute_work(self) -> None:
        """Send all gateways the pending work, what servers ask for and rate grants.

        Gateways report to the leader, so only its sums are complete.
        """
        beat = self.heartbeat()
        brittle = self._brittle_services()
        is_leader = beat.leader == self.instance
        self.places.update(brittle, term=beat.term if is_leader else None)
        if beat.leader not in (None, self.instance):
            return
        total: dict[BackendServerId, float] = {}
        for entry in self.gateways.values():
            for server, work_ms in entry.work_ms.items():
                total[server] = total.get(server, 0.0) + work_ms
        suspended = self._update_suspended()
        leaving = tuple({p for e in self.gateways.values() for p in e.leaving})
        # Without a leader, several coordinators would grant the same requests.
        grants = self._grant_rates() if is_leader else {}
        cold = self._cold_answers(beat.term)
        grants_places = self.places.grants is not None
        has_content = bool(total or suspended or leaving or grants or brittle or cold)
        if not has_content and not self.work_sent:
            return
        self.work_sent = has_content
        work = ServerWork(
            work_ms=total,
            suspended=suspended,
            leaving=leaving,
            brittle=brittle,
            term=beat.term if grants_places else 0,
            grants_places=grants_places,
        )
        for instance, entry in list(self.gateways.items()):
            rates = grants.get(instance, ())
            answer = cold.get(instance)
            message = work
            if rates or answer is not None:
                message = replace(work, rates=rates, cold=answer, term=beat.term)
            entry.session.send(message)

    def _record_cold(self, servers: Iterable[RegisteredServer]) -> None:
        if self.cold is not None:
            self.cold.record(servers)

    def _cold_answers(self, term: int) -> dict[InstanceId, ColdAnswer]:
        """Return the grants of cold servers, for the gateways connected here."""
        if self.cold is None or not self.cold.has_cold():
            return {}
        source = self._routing_source()
        if source.revision:
            self.cold.update_limits(source.revision, source.document)
        servers = self.registry.servers.values()
        return self.cold.answers(servers, self.gateways, term=term)

    def _grant_rates(self) -> dict[InstanceId, tuple[RateGrant, ...]]:
        if not self.rates.known.limits:
            return {}
        self._drop_unregistered_limits()
        return self.rates.grant(self.gateways, now=self.now())

    def _drop_unregistered_limits(self) -> None:
        servers = self.registry.servers.values()
        self.rates.drop_unregistered({process_of(s) for s in servers if s.is_usable})

    def _brittle_services(self) -> tuple[BrittleReport, ...]:
        """Return the newest report on each brittle service."""
        entries = self.gateways.values()
        return newest_reports(r for entry in entries for r in entry.brittle)

    def _update_suspended(self) -> tuple[BackendServerId, ...]:
        usable = (s for s in self.registry.servers.values() if s.is_usable)
        suspended = self.health.update_suspensions(usable, now=self.now())
        if suspended != self.suspended:
            log_message(
                "coordinator:suspended",
                servers=sorted(suspended),
                added=sorted(suspended - self.suspended),
                ended=sorted(self.suspended - suspended),
            )
            self.suspended = suspended
        return tuple(sorted(suspended))

    def usage_to_record(self) -> tuple[UsageBatch, ...]:
        """Return the batches not yet recorded; confirm the others to their gateways."""
        pending = []
        for entry in list(self.gateways.values()):
            batch = entry.status.usage
            if batch is None:
                continue
            last = self.machine.last_batches.get(batch.gateway, (0, 0))
            if (batch.incarnation, batch.number) > last:
                pending.append(batch)
            else:
                entry.session.send(
                    UsageRecorded(incarnation=batch.incarnation, number=batch.number)
                )
        return tuple(pending)

    def _full_state(self) -> list[RoutingMessage]:
        # A gateway that is starting must not serve before it knows the crashes.
        messages: list[RoutingMessage] = [
            self.heartbeat(),
            ServerCrashes(crashes=tuple(self.crashes.reports())),
        ]
        if self._routing_source().revision:
            messages.append(self._routing())
        # Without the roll-outs, a gateway would send requests to unproven versions.
        messages.append(self._rollouts())
        # Without them, it would send requests to servers of evacuated data centres.
        evacuations = self._evacuations()
        if evacuations.evacuations:
            messages.append(evacuations)
        # Without the limits, it would send requests to servers that take only a few.
        self._drop_unregistered_limits()
        limits = self.rates.known_limits(now=self.now())
        brittle = self._brittle_services()
        if limits or brittle:
            messages.append(
                ServerWork(work_ms={}, rates=limits, brittle=brittle, is_partial=True)
            )
        # With the time for which cold ones are cold from now on.
        servers = self.registry.current_servers(now=self.now())
        messages.append(Servers(servers=servers))
        messages.append(self._all_gateways())
        return messages

    def _routing_source(self) -> RoutingMachine | RoutingState:
        if self._is_replaying() or self.machine.revision < self.restored.revision:
            return self.restored
        return self.machine

    def _routing(self) -> RoutingDocument:
        # Many gateways may connect at once, and a large document takes long.
        source = self._routing_source()
        if self.compressed is None or self.compressed.revision != source.revision:
            self.compressed = RoutingDocument(
                revision=source.revision,
                compressed=zlib.compress(source.document, COMPRESSION_LEVEL),
            )
        return self.compressed

    def _is_replaying(self) -> bool:
        return self.machine.applied_index < self.restored_until_index

    def _rollouts(self) -> Rollouts:
        if self._is_replaying():
            return Rollouts(rollouts=self.restored.rollouts)
        newest = {r.service: r for r in self.restored.rollouts}
        for rollout in self.machine.rollouts.values():
            known = newest.get(rollout.service)
            if known is None or rollout.number >= known.number:
                newest[rollout.service] = rollout
        return Rollouts(rollouts=tuple(newest.values()))

    def _presume_returned_cold(self, evacuations: Evacuations) -> None:
        """Servers of a data centre that is used again may have got cold meanwhile."""
        if self.cold is None:
            return
        returned = _evacuated(self.sent_evacuations) - _evacuated(
            evacuations.evacuations
        )
        servers = self.registry.servers.values()
        self.cold.presume_cold(s for s in servers if s.data_centre in returned)

    def _evacuations(self) -> Evacuations:
        newest = EvacuatedDataCentres()
        newest.receive(self.restored.evacuations)
        if not self._is_replaying():
            newest.receive(self.machine.evacuations.values())
        return Evacuations(evacuations=tuple(newest.orders.values()))

    def _newest_gateway(self, instance: InstanceId) -> GatewayInstance | None:
        """Return the newest state of a gateway received by any coordinator."""
        received = [
            known[instance]
            for known in self.gateways_of_peers.values()
            if instance in known
        ]
        own = self._own_gateway(instance)
        if own is not None:
            received.append(own)
        return max(received, key=_gateway_recency, default=None)

    def _own_gateway(self, instance: InstanceId) -> GatewayInstance | None:
        entry = self.gateways.get(instance)
        return entry.status.gateway if entry is not None else None

    def _all_gateways(self) -> Gateways:
        gateways = tuple(self._newest_gateway(i) for i in sorted(self.known_gateways()))
        return Gateways(gateways=gateways, complete=True)

    def _record_gateway_change(self, gateway: GatewayInstance, change: str) -> None:
        log_message(
            "coordinator:gateway",
            gateway=gateway.instance,
            change=change,
            takes_clients=gateway.takes_clients,
        )
        self.changed_own_gateways.add(gateway.instance)
        self._mark_gateways_changed([gateway.instance])

    def _mark_gateways_changed(self, instances: Iterable[InstanceId]) -> None:
        self.changed_gateways.update(instances)
        self.changed.set()

    def _publish_servers(self, servers: list[RegisteredServer]) -> None:
        for server in servers:
            log_message(
                "coordinator:server",
                server=server.server,
                service=server.service,
                version=server.version,
                address=server.address,
                state=server.state.value,
                sequence=server.sequence,
            )
        message = Servers(servers=tuple(servers))
        self._send_to_gateways(message)
        for peer in self.peers.values():
            peer.send(message)

    def _publish_crashes(self, changed: list[CrashReport]) -> None:
        if not changed:
            return
        message = ServerCrashes(crashes=tuple(changed))
        self._send_to_gateways(message)
        for peer in self.peers.values():
            peer.send(message)

    def _send_to_gateways(self, message: RoutingMessage) -> None:
        for entry in list(self.gateways.values()):
            entry.session.send(message)


def _evacuated(evacuations: Iterable[Evacuation]) -> set[DataCentreId]:
    return {e.data_centre for e in evacuations if e.is_evacuated}


def _gateway_changes(
    instances: set[InstanceId],
    newest: Callable[[InstanceId], GatewayInstance | None],
) -> Gateways:
    known = {instance: newest(instance) for instance in sorted(instances)}
    return Gateways(
        gateways=tuple(g for g in known.values() if g is not None),
        complete=False,
        lost=tuple(i for i, gateway in known.items() if gateway is None),
    )


def _gateway_recency(gateway: GatewayInstance) -> tuple:
    # A gateway that was asked to stop never takes clients again: False is newer.
    return (gateway.incarnation, not gateway.takes_clients)
