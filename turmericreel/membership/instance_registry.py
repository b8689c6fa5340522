"""Which gateway instances take clients, as the coordinators see it."""

from collections.abc import Iterable

import msgspec

from turmericreel.model.ids import DataCentreId, Incarnation, InstanceId

MAX_ADDRESSES = 64
# Fewer in a client's own data centre leave too little choice after a failure.
MIN_LOCAL_GATEWAYS = 2
# Gateways come back to a coordinator that was started again within two beats.
N_RETENTION_HEARTBEATS = 3


class GatewayInstance(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """One gateway as it describes itself.

    Attributes
    ----------
    incarnation : Incarnation
        Start of its process in Unix milliseconds.
    takes_clients : bool
        False before it is ready and as soon as it is asked to stop.
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

    Those of its own data centre, or all when there are too few of these.
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
    """Which gateways there are, as several coordinators say.

    A gateway that only some of them have lost is listed while half still hear it.
    """

    def __init__(self):
        self.by_source: dict[str, dict[InstanceId, GatewayInstance]] = {}
        self.retained_source: str | None = None
        self.n_heartbeats_since = 0

    def record_report(
        self,
        source: str,
        gateways: Iterable[GatewayInstance],
        *,
        complete: bool,
        lost: Iterable[InstanceId] = (),
    ) -> None:
        """Take in what one coordinator says."""
        if source == self.retained_source:
            self.retained_source = None
        known = self.by_source.setdefault(source, {})
        if complete:
            known.clear()
        known.update({gateway.instance: gateway for gateway in gateways})
        for instance in lost:
            known.pop(instance, None)

    def forget(self, source: str) -> None:
        """Drop what a coordinator said, or keep it for a while if it is the last."""
        if source not in self.by_source or source == self.retained_source:
            return
        if len(self.by_source) > 1:
            del self.by_source[source]
        else:
            self.retained_source, self.n_heartbeats_since = source, 0

    def record_heartbeat(self, source: str) -> None:
        """Take in that a coordinator is alive; a kept list ends some beats later."""
        if self.retained_source in (None, source) or source not in self.by_source:
            return
        self.n_heartbeats_since += 1
        if self.n_heartbeats_since >= N_RETENTION_HEARTBEATS:
            del self.by_source[self.retained_source]
            self.retained_source = None

    def agreed_gateways(self) -> tuple[GatewayInstance, ...]:
        """Return the gateways that take clients."""
        votes: dict[InstanceId, int] = {}
        newest: dict[InstanceId, GatewayInstance] = {}
        for known in self.by_source.values():
            for gateway in known.values():
                if gateway.takes_clients:
                    instance = gateway.instance
                    votes[instance] = votes.get(instance, 0) + 1
                    newest[instance] = gateway
        least = len(self.by_source) / 2
        return tuple(newest[i] for i in sorted(votes) if votes[i] >= least)
