"""Gateway instances that accept clients, according to the coordinators."""

from collections.abc import Iterable

import msgspec

from turmericreel.model.ids import DataCentreId, Incarnation, InstanceId

MAX_ADDRESSES = 64
# With fewer gateways in its own data centre, a client has too few alternatives when one
# fails.
MIN_LOCAL_GATEWAYS = 2
# Gateways reconnect to a restarted coordinator within two heartbeats.
N_RETENTION_HEARTBEATS = 3


class GatewayInstance(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """A gateway instance as it reports itself.

    Attributes
    ----------
    incarnation : Incarnation
        Start time of its process in Unix milliseconds.
    takes_clients : bool
        Whether it accepts clients: False before it is ready, and once it was asked
        to stop.
    """

    instance: InstanceId
    data_centre: DataCentreId
    client_address: str
    incarnation: Incarnation
    takes_clients: bool


def addresses_for(
    instances: Iterable[GatewayInstance], data_centre: DataCentreId
) -> list[str]:
    """Return the addresses that a client in a data centre should use.

    These are the gateways of its own data centre.  If there are fewer than
    `MIN_LOCAL_GATEWAYS`, those of the other data centres follow.
    """
    available = [i for i in instances if i.takes_clients]
    local = [i for i in available if i.data_centre == data_centre]
    chosen = (
        local
        if len(local) >= MIN_LOCAL_GATEWAYS
        else local + [i for i in available if i.data_centre != data_centre]
    )
    return [i.client_address for i in chosen][:MAX_ADDRESSES]


class GatewayLists:
    """Merges the gateway lists of several coordinators.

    A gateway stays listed while at least half of the coordinators list it as accepting
    clients, so that one coordinator that lost its connection does not remove it.
    """

    def __init__(self):
        self.by_source: dict[str, dict[InstanceId, GatewayInstance]] = {}
        # Each heartbeat of a coordinator asks for it, and lists may be long.
        self.agreed: tuple[GatewayInstance, ...] | None = ()
        self.retained_source: str | None = None
        self.n_heartbeats_since_loss = 0

    def record_report(
        self,
        source: str,
        gateways: Iterable[GatewayInstance],
        *,
        complete: bool,
        lost: Iterable[InstanceId] = (),
    ) -> None:
        """Record the gateways that a coordinator reports.

        Parameters
        ----------
        source : str
            Address of the coordinator.
        gateways : iterable of GatewayInstance
        complete : bool
            Whether this is the whole list, which replaces the former one.
        lost : iterable of InstanceId
            Gateways to remove from the list, as the coordinator has lost them.
        """
        self.agreed = None
        if source == self.retained_source:
            self.retained_source = None
        known = self.by_source.setdefault(source, {})
        if complete:
            known.clear()
        known.update({gateway.instance: gateway for gateway in gateways})
        for instance in lost:
            known.pop(instance, None)

    def drop_source(self, source: str) -> None:
        """Drop a coordinator's list, or retain it for a while if it is the only one."""
        if source not in self.by_source or source == self.retained_source:
            return
        self.agreed = None
        if len(self.by_source) > 1:
            del self.by_source[source]
        else:
            self.retained_source, self.n_heartbeats_since_loss = source, 0

    def record_heartbeat(self, source: str) -> None:
        """Record a coordinator's heartbeat.

        After `N_RETENTION_HEARTBEATS` of them, a retained list of another coordinator
        is dropped.
        """
        if self.retained_source in (None, source) or source not in self.by_source:
            return
        self.n_heartbeats_since_loss += 1
        if self.n_heartbeats_since_loss >= N_RETENTION_HEARTBEATS:
            del self.by_source[self.retained_source]
            self.retained_source = None
            self.agreed = None

    def agreed_gateways(self) -> tuple[GatewayInstance, ...]:
        """Return the gateways that at least half of the lists show as available."""
        if self.agreed is None:
            self.agreed = self._count_votes()
        return self.agreed

    def _count_votes(self) -> tuple[GatewayInstance, ...]:
        votes: dict[InstanceId, int] = {}
        newest: dict[InstanceId, GatewayInstance] = {}
        for known in self.by_source.values():
            for gateway in known.values():
                if gateway.takes_clients:
                    instance = gateway.instance
                    votes[instance] = votes.get(instance, 0) + 1
                    newest[instance] = gateway
        min_votes = len(self.by_source) / 2
        return tuple(newest[i] for i in sorted(votes) if votes[i] >= min_votes)
