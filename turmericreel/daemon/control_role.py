"""Builds the control tasks of a control instance or a relay."""

from dataclasses import dataclass
from random import SystemRandom

from turmericreel.control.home_expiry import HomeExpiry
from turmericreel.control.orders import HttpOrderSender, LoadOrders
from turmericreel.control.queries import QUERIES
from turmericreel.control.service import ControlService
from turmericreel.control.slices import SliceLender
from turmericreel.control.version_judge import VersionJudge
from turmericreel.coordination.control_client import ControlClient
from turmericreel.coordination.replicated_log import ReplicatedLog
from turmericreel.decisions.subset import SubsetSizes
from turmericreel.model.ids import Incarnation, InstanceId
from turmericreel.model.settings import Settings
from turmericreel.protocols.addresses import parse_address
from turmericreel.protocols.control_messages import Hello, SubscriberRole
from turmericreel.protocols.slices import RELEASE_QUERY, SLICES_QUERY
from turmericreel.protocols.tls import peer_client_context, peer_server_context
from turmericreel.util.clock import Clock

RELAY = "relay"
CONTROL = "control"


@dataclass(kw_only=True)
class ControlRole:
    """Control tasks of an instance.

    Attributes
    ----------
    service : ControlService
    upstream : ControlClient or None
        Subscription to the leader; None if there is no other control instance.
    home_expiry, load_orders : HomeExpiry, LoadOrders or None
        None in an instance that is only a relay.
    """

    service: ControlService
    upstream: ControlClient | None
    home_expiry: HomeExpiry | None
    load_orders: LoadOrders | None

    def start(self) -> None:
        """Start all tasks."""
        self.service.start()
        if self.upstream is not None:
            self.upstream.start()
        if self.home_expiry is not None:
            self.home_expiry.start()
            self.load_orders.start()

    def stop(self) -> None:
        """Stop all tasks."""
        if self.home_expiry is not None:
            self.home_expiry.stop()
            self.load_orders.stop()
        if self.upstream is not None:
            self.upstream.stop()
        self.service.stop()


def build_control_role(
    *, settings: Settings, log: ReplicatedLog | None, clock: Clock
) -> ControlRole:
    """Build the control tasks without starting them.

    Parameters
    ----------
    settings : Settings
    log : ReplicatedLog or None
        None in an instance that is only a relay.
    clock : Clock
    """
    upstream = _build_upstream(settings, log, clock)
    lender = SliceLender(clock=clock)
    service = ControlService(
        address=parse_address(settings.listen.control),
        log=log,
        queries=QUERIES | {SLICES_QUERY: lender.lend, RELEASE_QUERY: lender.release},
        clock=clock,
        lease_ms=settings.control.lease_ms,
        clock_drift=settings.control.clock_drift,
        judge=VersionJudge(),
        context=peer_server_context(settings.tls),
        upstream=upstream,
        fan_out=settings.control.fan_out,
        sizes=SubsetSizes(n_servers=settings.control.subset_servers),
    )
    home_expiry = load_orders = None
    if log is not None:
        load_orders = LoadOrders(
            log=log,
            sender=HttpOrderSender(),
            clock=clock,
            orders_per_second=settings.weight_store.orders_per_second,
        )
        home_expiry = HomeExpiry(
            log=log, directory=service.subscribers.directory, clock=clock
        )
    return ControlRole(
        service=service,
        upstream=upstream,
        home_expiry=home_expiry,
        load_orders=load_orders,
    )


def _build_upstream(
    settings: Settings, log: ReplicatedLog | None, clock: Clock
) -> ControlClient | None:
    own = settings.instance.id
    peers = settings.control.peers
    others = [address for name, address in peers.items() if name != own]
    if not others:
        return None
    return ControlClient(
        addresses=others,
        hello=Hello(
            instance=InstanceId(f"{own}/{RELAY}"),
            incarnation=Incarnation(clock.wall_ms()),
            data_centre=settings.instance.data_centre,
            http_address="",
            role=SubscriberRole.RELAY,
        ),
        clock=clock,
        lease_ms=settings.control.lease_ms,
        clock_drift=settings.control.clock_drift,
        context=peer_client_context(settings.tls),
        rng=SystemRandom(),
        should_subscribe=lambda: log is None or not log.is_leader(),
    )


def subscription_addresses(settings: Settings) -> list[str]:
    """Return the control addresses that an entry instance may subscribe to."""
    control = settings.control
    return [*control.peers.values(), *control.relays.values()]


def preferred_addresses(settings: Settings) -> list[str]:
    """Return the control addresses that an entry instance tries first.

    A control instance or relay uses its own listener; any other instance uses the
    control instances and relays of its data centre.
    """
    control = settings.control
    own = settings.instance.id
    addresses = {**control.peers, **control.relays}
    if own in addresses:
        return [addresses[own]]
    return [
        address
        for name, address in addresses.items()
        if control.data_centres.get(name) == settings.instance.data_centre
    ]
