"""Builds and runs the tasks of one coordinator, and handles calls to it."""

from collections.abc import Callable, Collection
from pathlib import Path
from random import SystemRandom

from eliot import log_message
from gevent import Greenlet, get_hub, killall, sleep, spawn

from turmericreel.coordination.raft.raft_log import RaftLog
from turmericreel.coordination.raft.timing import RaftTiming
from turmericreel.coordination.raft.transport import (
    DiscoveringTransport,
    PeerListener,
)
from turmericreel.coordinator.cold_distributor import ColdDistributor
from turmericreel.coordinator.evacuation_orders import EvacuationOrders
from turmericreel.coordinator.hub import Hub
from turmericreel.coordinator.rollout_task import RolloutTask
from turmericreel.coordinator.sessions import PeerSession, SessionListener
from turmericreel.coordinator.usage_task import UsageTask
from turmericreel.decisions.exposure_limit import ExposureLimit
from turmericreel.membership.server_registry import ServerRegistry
from turmericreel.model.check_routing import check_routing
from turmericreel.model.failures import (
    ControlUnavailable,
    Failure,
    FailureError,
    NotLeader,
    QueryInvalid,
)
from turmericreel.model.ids import (
    BackendServerId,
    DataCentreId,
    InstanceId,
    ServiceName,
    VersionId,
)
from turmericreel.model.registered_server import RegisteredServer
from turmericreel.model.routing import Rollout
from turmericreel.model.routing_codec import RoutingCodec
from turmericreel.model.routing_settings import CoordinatorSettings, internal_address
from turmericreel.protocols.addresses import parse_address
from turmericreel.protocols.routing_messages import Beat
from turmericreel.state.commands.base import Done
from turmericreel.state.commands.union import LogRecord
from turmericreel.state.routing_machine import (
    OrderEvacuation,
    OrderRollout,
    RecordUsage,
    RoutingCommand,
    RoutingMachine,
    SubmitRouting,
)
from turmericreel.state.routing_state_cache import RoutingState, RoutingStateCache
from turmericreel.state.storage.disk import Disk, FolderDisk, MemoryDisk
from turmericreel.state.storage.entries import instance_of
from turmericreel.state.storage.log_storage import LogStorage
from turmericreel.util.clock import Clock

RAFT_GROUP = 0
RAFT_TIMING = RaftTiming(heartbeat_s=0.1, election_s=0.6, clock_drift=0.01)
# Operators try another coordinator after 1 s without an answer.
PROPOSE_TIMEOUT_S = 0.9
HEARTBEAT_INTERVAL_S = 0.5
# Heartbeat intervals without a heartbeat after which a server expires.
MAX_MISSED_HEARTBEATS = 3.5
# The same for servers restored from the cache, until their first heartbeat.
MAX_MISSED_HEARTBEATS_RESTORED = 2.0
COALESCING_DELAY_S = 0.03
SAVE_INTERVAL_S = 1.0
# Servers prefill prompts within a few hundred milliseconds, so older sums of pending
# work are stale.
MIN_WORK_INTERVAL_S = 0.1
# The interval grows with the number of gateways, which bounds the total traffic.
WORK_INTERVAL_PER_GATEWAY_S = 0.002
# Reports that arrive together are answered together.
PLACES_DELAY_S = 0.002
# Places that refusals took away come back without a report.
PLACES_INTERVAL_S = 0.05
# Requests that are on their way, or were counted by gateways that are lost, are not in
# the counts that the exposure limit is compared with.
EXPOSURE_SLACK_FRACTION = 0.8
LOG_FOLDER = "log"
CACHE_FOLDER = "cache"


class Coordinator:
    """One coordinator.

    Parameters
    ----------
    settings : CoordinatorSettings
    seeds : callable
        Returns the coordinators that the current settings name as seeds.
    data_centres : callable
        Returns the data centres that the current settings name; empty if unknown.
    codec : RoutingCodec
    clock : Clock
    on_failure : callable
        Called with a failure after which this coordinator cannot continue.
    """

    def __init__(
        self,
        *,
        settings: CoordinatorSettings,
        seeds: Callable[[], list[InstanceId]],
        codec: RoutingCodec,
        clock: Clock,
        on_failure: Callable[[Failure], None],
        data_centres: Callable[[], Collection[DataCentreId]] = tuple,
    ):
        self.settings = settings
        self.codec = codec
        self.clock = clock
        self.machine = RoutingMachine()
        self.cache = RoutingStateCache(open_disk=lambda: self._open_disk(CACHE_FOLDER))
        self.cached = RoutingState()
        self.seeds = seeds
        founders = frozenset(settings.seeds)
        host = settings.instance.rpartition(":")[0]
        self.raft_listener = PeerListener(
            address=parse_address(f"{host}:{settings.raft_port}")
        )
        self.transport = DiscoveringTransport(
            group=RAFT_GROUP,
            instance=settings.instance,
            address_of=lambda i: internal_address(i, settings.raft_port),
            seeds=set(founders),
            listener=self.raft_listener,
        )
        self.log = RaftLog(
            instance=settings.instance,
            machine=self.machine,
            command_type=RoutingCommand,
            storage=LogStorage(disk=self._open_disk(LOG_FOLDER)),
            transport=self.transport,
            control_address_of=str,
            timing=RAFT_TIMING,
            clock=clock,
            rng=SystemRandom(),
            on_failure=on_failure,
            founders=founders if settings.is_founder else frozenset(),
            # The hub is built later, as it reads the log's state machine.
            before_rejoin=lambda: self.hub.hold_distributed_state(),
        )
        expiry_s = MAX_MISSED_HEARTBEATS * settings.heartbeat_ms / 1_000
        self.hub = Hub(
            instance=settings.instance,
            machine=self.machine,
            registry=ServerRegistry(expiry_s=expiry_s),
            heartbeat=self.heartbeat,
            clock=clock,
            cold=ColdDistributor(
                codec=codec,
                bounds=settings.cold_bounds,
                holds_lease=self.log.is_leader,
                clock=clock,
                rng=SystemRandom(),
            ),
        )
        self.rollouts = RolloutTask(
            log=self.log,
            hub=self.hub,
            limit=ExposureLimit(
                share=settings.exposure_share,
                slack=settings.exposure_slack * EXPOSURE_SLACK_FRACTION,
            ),
            clock=clock,
        )
        self.evacuations = EvacuationOrders(
            log=self.log, hub=self.hub, data_centres=data_centres
        )
        self.usage = UsageTask(log=self.log, hub=self.hub)
        self.listener = SessionListener(
            address=parse_address(f"{host}:{settings.internal_port}"),
            hub=self.hub,
            on_coordinator_connected=self._on_coordinator_connected,
        )
        self.peers: dict[InstanceId, PeerSession] = {}
        self.seen_coordinators: set[InstanceId] = set()
        self.tasks: list[Greenlet] = []

    def start(self) -> None:
        """Recover the log and the cache, listen, and start all tasks.

        Raises
        ------
        FailureError
            With `StorageFailed`.
        """
        self.raft_listener.start()
        self.log.applied_callbacks.append(self._on_applied)
        self.log.start()
        self.cached = self.cache.load()
        expiry_s = MAX_MISSED_HEARTBEATS_RESTORED * self.settings.heartbeat_ms / 1_000
        self.hub.restore(self.cached, expiry_s=expiry_s)
        self.listener.start()
        self.rollouts.start()
        self.usage.start()
        self.tasks = [
            spawn(self._run),
            spawn(self._distribute_changes),
            spawn(self._save),
        ]
        self.tasks.append(spawn(self._distribute_work))
        self.tasks.append(spawn(self._answer_places))
        log_message(
            "coordinator:started",
            instance=self.settings.instance,
            revision=self.machine.revision,
            seeds=list(self.settings.seeds),
        )

    def stop(self) -> None:
        """Transfer leadership and stop all tasks."""
        log_message("coordinator:stopping", is_leader=self.log.is_leader())
        self.rollouts.stop()
        self.usage.stop()
        self.log.stop()
        self.listener.stop()
        self.raft_listener.stop()
        killall(self.tasks)
        for peer in self.peers.values():
            peer.stop()
        log_message("coordinator:stopped")

    def submit_routing(self, document: bytes) -> None:
        """Apply a configuration if its revision is newer than the current one.

        Parameters
        ----------
        document : bytes
            Configuration as the operator sent it.

        Raises
        ------
        FailureError
            With `RoutingRejected`, `NotLeader`, `CommitUnknown` or
            `ControlUnavailable`.
        """
        configuration = self.codec.decode(document)
        check_routing(configuration)
        if configuration.revision <= self.machine.revision:
            return
        command = SubmitRouting(revision=configuration.revision, document=document)
        self.log.propose(command, timeout=PROPOSE_TIMEOUT_S)

    def read_routing(self) -> bytes:
        """Return the newest configuration as submitted; empty if there is none.

        Raises
        ------
        FailureError
            With `NotLeader`.
        """
        return self.log.read_current(lambda machine: machine.document)

    def order_rollout(
        self, service: ServiceName, target: VersionId, *, duration_ms: int
    ) -> None:
        """Start a roll-out that moves a service's traffic to a version.

        Raises
        ------
        FailureError
            As `submit_routing`, or with `QueryInvalid` for an unknown service.
        """
        self._require_leader()
        if not self._is_configured(service):
            raise FailureError(QueryInvalid(detail=f"unknown service {service!r}"))
        command = OrderRollout(service=service, target=target, duration_ms=duration_ms)
        self.log.propose(command, timeout=PROPOSE_TIMEOUT_S)

    def read_rollout(self, service: ServiceName) -> Rollout | None:
        """Return the newest roll-out of a service, or None.

        Raises
        ------
        FailureError
            With `NotLeader`.
        """
        return self.log.read_current(lambda machine: machine.rollouts.get(service))

    def record_heartbeat(self, reported: RegisteredServer) -> None:
        """Record a backend server's heartbeat.

        Raises
        ------
        FailureError
            With `ControlUnavailable` before this coordinator belongs to a group, as
            the registration would reach no other coordinator.
        """
        if not self._members():
            raise FailureError(ControlUnavailable(detail="no group is known yet"))
        self.hub.record_heartbeat(reported)

    def deregister_server(self, server: BackendServerId) -> None:
        """Deregister a backend server that is permanently gone."""
        self.hub.deregister_server(server)

    def heartbeat(self) -> Beat:
        """Return a heartbeat with the known coordinators, the leader and the term."""
        core = self.log.member.core
        return Beat(
            coordinators=self._log_replicas(),
            leader=self.log.leader(),
            term=core.state.term if core is not None else 0,
        )

    def _open_disk(self, name: str) -> Disk:
        if self.settings.data_folder is None:
            return MemoryDisk()
        return FolderDisk(folder=Path(self.settings.data_folder) / name)

    def _members(self) -> tuple[InstanceId, ...]:
        core = self.log.member.core
        if core is None:
            return ()
        return tuple(instance_of(m) for m in core.state.membership.members)

    def _log_replicas(self) -> tuple[InstanceId, ...]:
        core = self.log.member.core
        if core is None:
            return tuple(sorted(self.seen_coordinators))
        membership = core.state.membership
        return tuple(instance_of(m) for m in membership.voters + membership.learners)

    def _on_coordinator_connected(self, instance: InstanceId) -> None:
        # The seeds may all have lost state that other coordinators still hold.
        self.transport.add_known_peers([instance])
        if instance not in self.seen_coordinators:
            self.seen_coordinators.add(instance)
            self.hub.send_heartbeats()

    def _require_leader(self) -> None:
        if not self.log.is_leader():
            raise FailureError(NotLeader(leader=self.log.leader() or ""))

    def _is_configured(self, service: ServiceName) -> bool:
        if not self.machine.document:
            return False
        configuration = self.codec.decode(self.machine.document)
        return any(s.name == service for s in configuration.services)

    def _on_applied(self, record: LogRecord, result: Done) -> None:
        self.rollouts.record_applied(record)
        if not result.changed:
            return
        if isinstance(record.command, RecordUsage):
            # The usage task confirms these; they are too frequent to log.
            return
        log_message(
            "coordinator:applied",
            index=record.index,
            term=record.term,
            command=type(record.command).__name__,
            revision=self.machine.revision,
        )
        if isinstance(record.command, SubmitRouting):
            self.hub.mark_routing_changed()
            return
        if isinstance(record.command, OrderEvacuation):
            log_message(
                "coordinator:evacuation",
                data_centre=record.command.data_centre,
                is_evacuated=record.command.is_evacuated,
                number=record.index,
            )
            self.hub.mark_evacuations_changed()
            return
        self.hub.mark_rollouts_changed()

    def _distribute_changes(self) -> None:
        while True:
            self.hub.changed.wait()
            # A restart replays many log entries at once; send only the final state.
            sleep(COALESCING_DELAY_S)
            self.hub.distribute_changes()

    def _distribute_work(self) -> None:
        while True:
            # With many gateways work is sent less often, to bound the total traffic.
            sleep(
                max(
                    MIN_WORK_INTERVAL_S,
                    len(self.hub.gateways) * WORK_INTERVAL_PER_GATEWAY_S,
                )
            )
            self.hub.distribute_work()

    def _answer_places(self) -> None:
        while True:
            has_waiting = self.hub.places.has_waiting
            self.hub.places_due.wait(PLACES_INTERVAL_S if has_waiting else None)
            sleep(PLACES_DELAY_S)
            self.hub.answer_places()

    def _save(self) -> None:
        while True:
            sleep(SAVE_INTERVAL_S)
            state = self.hub.distributed_state()
            if state != self.cached:
                self.cached = state
                get_hub().threadpool.apply(self.cache.save, (state,))

    def _run(self) -> None:
        while True:
            self.transport.add_known_peers(self.seeds())
            self._connect_to_peers()
            self.hub.mark_unsent_changes()
            self.hub.send_heartbeats()
            self.hub.send_unchanged_heartbeats()
            if self.log.is_leader():
                self.hub.expire_servers()
            sleep(HEARTBEAT_INTERVAL_S)

    def _connect_to_peers(self) -> None:
        members = set(self._members()) - {self.settings.instance}
        for instance in set(self.peers) - members:
            self.peers.pop(instance).stop()
        for instance in members - set(self.peers):
            address = internal_address(instance, self.settings.internal_port)
            self.peers[instance] = PeerSession(
                instance=instance,
                own_instance=self.settings.instance,
                address=address,
                hub=self.hub,
                heartbeat=self.heartbeat,
            )
