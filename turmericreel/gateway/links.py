"""Connections of a gateway to coordinators.

Each connection is a task that owns its socket.  A gateway keeps several open, so that
it need not wait for a reconnection when it loses one coordinator.
"""

from collections.abc import Callable
from random import Random

from eliot import log_message
from gevent import Greenlet, killall, sleep, spawn
from gevent.event import Event
from gevent.socket import create_connection

from turmericreel.decisions.coordinator_choice import choose_links
from turmericreel.gateway.view import GatewayView
from turmericreel.model.failures import FailureError
from turmericreel.model.ids import InstanceId
from turmericreel.model.place_report import PlaceReport
from turmericreel.model.server_crash import CrashReport
from turmericreel.protocols.addresses import parse_address
from turmericreel.protocols.frames import FrameStream
from turmericreel.protocols.routing_messages import (
    GatewayHello,
    GatewayPlaces,
    GatewayStatus,
    GatewayWork,
    ServerCrashes,
    ServerWork,
    ToGateway,
)
from turmericreel.protocols.sockets import set_unacknowledged_timeout

# Many round-trip times.  A machine that is still starting answers no packet, and a new
# attempt reaches it sooner than the kernel's retransmission after a second.
CONNECT_TIMEOUT_S = 0.4
# Coordinators send a heartbeat every half second, so this is several missed ones.
IDLE_TIMEOUT_S = 2.0
RECONNECT_PAUSE_S = 0.05
MAX_RECONNECT_PAUSE_S = 0.5
STATUS_INTERVAL_S = 0.5
# The prefill work that is pending at servers for this gateway changes within a few
# hundred milliseconds.
WORK_INTERVAL_S = 0.1
# The more gateways there are, the less often each reports its work, which bounds the
# number of messages that a coordinator receives.
WORK_INTERVAL_PER_GATEWAY_S = 0.002
CHOOSE_INTERVAL_S = 0.5
# Reports on places are sent as soon as something changes, but not more often.
MIN_PLACES_INTERVAL_S = 0.003


class CoordinatorLink:
    """Task that owns the connection to one coordinator.

    Parameters
    ----------
    address : str
        Address of the coordinator's listener for instances.
    view : GatewayView
    status : callable
        Returns the gateway's current status report.
    work : callable
        Returns the gateway's current report of pending work and attempt outcomes.
    crashes : callable
        Returns all records of servers that ended under requests.
    places : callable
        Returns the report on places of brittle servers.
    on_leader_lost : callable
        Called when the connection to a coordinator ended that granted places.
    on_change : callable
        Called when the view has changed.
    """

    def __init__(
        self,
        *,
        address: str,
        view: GatewayView,
        status: Callable[[], GatewayStatus],
        work: Callable[[], GatewayWork],
        crashes: Callable[[], tuple[CrashReport, ...]],
        places: Callable[[], PlaceReport],
        on_leader_lost: Callable[[], None],
        on_change: Callable[[], None],
    ):
        self.address = parse_address(address)
        self.view = view
        self.status = status
        self.work = work
        self.crashes = crashes
        self.places = places
        self.on_leader_lost = on_leader_lost
        self.places_due = Event()
        self.grants_places = False
        self.unsent_crashes: list[CrashReport] = []
        self.on_change = on_change
        self.connected = False
        self.is_open = False
        self.n_failures = 0
        self.status_due = False
        self.wakes_reporter = Event()
        self.task: Greenlet = spawn(self._run)

    def report_now(self) -> None:
        """Send the status now instead of at the next interval."""
        self.status_due = True
        self.wakes_reporter.set()

    def send_crashes(self, crashes: list[CrashReport]) -> None:
        """Send records now.

        Without a connection they are dropped, because all are sent on connecting.
        """
        if self.is_open:
            self.unsent_crashes += crashes
            self.wakes_reporter.set()

    def stop(self) -> None:
        """Close the connection."""
        self.task.kill()
        self.view.drop_source(str(self.address))

    def _run(self) -> None:
        while True:
            try:
                self._serve()
                reason = "closed by the coordinator"
            except (OSError, FailureError) as error:
                reason = str(error)
            self.n_failures += 1
            self.view.drop_source(str(self.address))
            if self.connected or self.n_failures == 1:
                log_message(
                    "gateway:coordinator_lost",
                    coordinator=str(self.address),
                    reason=reason,
                )
            self.connected = False
            if self.grants_places:
                self.grants_places = False
                self.on_leader_lost()
            sleep(min(RECONNECT_PAUSE_S * self.n_failures, MAX_RECONNECT_PAUSE_S))

    def _serve(self) -> None:
        sock = create_connection(
            (self.address.host, self.address.port), timeout=CONNECT_TIMEOUT_S
        )
        set_unacknowledged_timeout(sock)
        stream = FrameStream(
            sock=sock, message_type=ToGateway, idle_timeout_s=IDLE_TIMEOUT_S
        )
        reporters: list[Greenlet] = []
        try:
            stream.send(GatewayHello(gateway=self.status().gateway))
            # The coordinators may have restarted and lost what they knew.
            self.unsent_crashes = list(self.crashes())
            self.is_open = True
            self.grants_places = False
            reporters = [
                spawn(self._report, stream),
                spawn(self._report_places, stream),
            ]
            while (message := stream.receive()) is not None:
                if not self.connected:
                    self._log_connected()
                self._record_leader(message)
                if self.view.receive(message, source=str(self.address)):
                    self.on_change()
        finally:
            self.is_open = False
            killall(reporters)
            stream.close()

    def _record_leader(self, message: object) -> None:
        """Report places once the coordinator says on this connection that it grants."""
        grants = isinstance(message, ServerWork) and message.grants_places
        if grants and not self.grants_places:
            self.grants_places = True
            self.places_due.set()

    def _log_connected(self) -> None:
        self.connected = True
        self.n_failures = 0
        log_message("gateway:coordinator_connected", coordinator=str(self.address))

    def _report(self, stream: FrameStream) -> None:
        try:
            while True:
                self.status_due = False
                stream.send(self.status())
                self._report_work(stream)
        except FailureError:
            # The receiving loop fails as well and logs the reason.
            stream.close()

    def _report_places(self, stream: FrameStream) -> None:
        try:
            while True:
                self.places_due.wait()
                self.places_due.clear()
                if not self.grants_places:
                    continue
                stream.send(GatewayPlaces(report=self.places()))
                sleep(MIN_PLACES_INTERVAL_S)
        except FailureError:
            stream.close()

    def _report_work(self, stream: FrameStream) -> None:
        """Send work and crash reports until the next status is due."""
        was_sent = False
        n_gateways = len(self.view.gateways)
        pause_s = min(
            max(WORK_INTERVAL_S, n_gateways * WORK_INTERVAL_PER_GATEWAY_S),
            STATUS_INTERVAL_S,
        )
        for _ in range(max(int(STATUS_INTERVAL_S / pause_s), 1)):
            self._report_crashes(stream)
            self.wakes_reporter.wait(timeout=pause_s)
            self.wakes_reporter.clear()
            if self.status_due:
                return
            work = self.work()
            has_work = bool(work.work_ms or work.outcomes or work.rates or work.brittle)
            has_work = has_work or work.cold is not None
            if has_work or was_sent:
                stream.send(work)
            was_sent = has_work

    def _report_crashes(self, stream: FrameStream) -> None:
        if self.unsent_crashes:
            crashes, self.unsent_crashes = self.unsent_crashes, []
            stream.send(ServerCrashes(crashes=tuple(crashes)))


class CoordinatorLinks:
    """Task that keeps links open to some of the known coordinators.

    Parameters
    ----------
    seeds : callable
        Returns the coordinators that the settings currently list.
    address_of : callable
        Returns the address at which a coordinator listens for instances.
    view : GatewayView
    status, work, crashes, places, on_leader_lost, on_change : callable
        As for `CoordinatorLink`.
    limits : callable
        Returns the report to coordinators that do not lead.
    rng : Random
    """

    def __init__(
        self,
        *,
        seeds: Callable[[], list[InstanceId]],
        address_of: Callable[[InstanceId], str],
        view: GatewayView,
        status: Callable[[], GatewayStatus],
        work: Callable[[], GatewayWork],
        limits: Callable[[], GatewayWork],
        crashes: Callable[[], tuple[CrashReport, ...]],
        places: Callable[[], PlaceReport],
        on_leader_lost: Callable[[], None],
        on_change: Callable[[], None],
        rng: Random,
    ):
        self.seeds = seeds
        self.address_of = address_of
        self.view = view
        self.status = status
        self.work = work
        self.limits = limits
        self.crashes = crashes
        self.places = places
        self.on_leader_lost = on_leader_lost
        self.on_change = on_change
        self.rng = rng
        self.links: dict[InstanceId, CoordinatorLink] = {}
        self.choice_due = Event()
        self.task: Greenlet | None = None

    def start(self) -> None:
        """Open the first links, and start the task that revises the choice."""
        self.choose()
        self.task = spawn(self._run)

    def stop(self) -> None:
        """Close all connections."""
        if self.task is not None:
            self.task.kill()
        for link in self.links.values():
            link.stop()

    def trigger_choice(self) -> None:
        """Revise the choice of links now instead of at the next interval."""
        self.choice_due.set()

    def report_now(self) -> None:
        """Send the status on all links now."""
        for link in self.links.values():
            link.report_now()

    def send_crashes(self, crashes: list[CrashReport]) -> None:
        """Send new records of servers that ended under requests on all links."""
        for link in self.links.values():
            link.send_crashes(crashes)

    def report_places(self) -> None:
        """Send the leader a report on places now."""
        link = self.links.get(self.view.leader) if self.view.leader else None
        if link is not None:
            link.places_due.set()

    def choose(self) -> None:
        """Choose the coordinators to link to; open and close links accordingly."""
        change = choose_links(
            {instance: link.connected for instance, link in self.links.items()},
            members=self.view.coordinators,
            seeds=self.seeds(),
            leader=self.view.leader,
            rng=self.rng,
        )
        for instance in change.to_close:
            self.links.pop(instance).stop()
        for instance in change.to_open:
            self._open(instance)

    def _open(self, instance: InstanceId) -> None:
        self.links[instance] = CoordinatorLink(
            address=self.address_of(instance),
            view=self.view,
            status=self.status,
            work=lambda: self._work_for(instance),
            crashes=self.crashes,
            places=self.places,
            on_leader_lost=self.on_leader_lost,
            on_change=self.on_change,
        )

    def _work_for(self, instance: InstanceId) -> GatewayWork:
        # All gateways are connected to the leader, which sums up their work.  Work is
        # therefore reported to other coordinators only without a link to the leader;
        # they tell gateways that connect to them the limits of servers.
        leader = self.view.leader
        link = self.links.get(leader) if leader is not None else None
        if link is not None and link.connected and instance != leader:
            return self.limits()
        return self.work()

    def _run(self) -> None:
        while True:
            self.choice_due.wait(timeout=CHOOSE_INTERVAL_S)
            self.choice_due.clear()
            self.choose()
