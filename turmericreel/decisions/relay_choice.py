"""Chooses the gateway through which another one reaches a server.

Intended workload: one gateway, or most of them, cut off from servers.  Which of the
others reach a server is learned by trying; failed ones are left out for a growing time,
so that a request is passed on a bounded number of times.
"""

from collections.abc import Iterable
from dataclasses import dataclass
from random import Random

from turmericreel.membership.instance_registry import GatewayInstance
from turmericreel.model.ids import DataCentreId, InstanceId

# Gateways that are tried for one connection.
MAX_TRIED = 3
FIRST_PAUSE_S = 0.5
MAX_PAUSE_S = 2.0
# A gateway that reached a server within this time is preferred.
PROVEN_S = 5.0


@dataclass(kw_only=True)
class RelayRecord:
    """What is known of one gateway as a relay; times in seconds.

    Attributes
    ----------
    proven_deadline, pause_deadline : float
        Until when it is preferred, or left out.
    failed_at : float
        When it last failed to reach a server, for whatever reason.
    n_failures : int
        Consecutive failures for reasons of its own.
    """

    proven_deadline: float = 0.0
    pause_deadline: float = 0.0
    failed_at: float = 0.0
    n_failures: int = 0


class RelayChoice:
    """Gateways as relays.

    Parameters
    ----------
    instance : InstanceId
        The gateway that chooses.
    data_centre : DataCentreId
    rng : Random

    Attributes
    ----------
    records : dict of InstanceId to RelayRecord
    """

    def __init__(self, *, instance: InstanceId, data_centre: DataCentreId, rng: Random):
        self.instance = instance
        self.data_centre = data_centre
        self.rng = rng
        self.records: dict[InstanceId, RelayRecord] = {}

    def candidates(
        self, gateways: Iterable[GatewayInstance], *, now: float
    ) -> list[GatewayInstance]:
        """Return the gateways to try, in order.

        Those that lately reached a server come first, in random order so that the load
        spreads, then those that never failed or did so longest ago, and of these those
        of the same data centre.  If all are left out, one is tried.

        The second one of which nothing is known is of another data centre than the
        first, as a whole data centre may be cut off.
        """
        others = [g for g in gateways if g.instance != self.instance]
        free = [g for g in others if now >= self._of(g).pause_deadline]
        if not free:
            others.sort(key=lambda g: self._of(g).pause_deadline)
            return others[:1]
        shuffled = self.rng.sample(free, len(free))
        proven = [g for g in shuffled if now < self._of(g).proven_deadline]
        others = [g for g in shuffled if now >= self._of(g).proven_deadline]
        others.sort(key=self._rank)
        return [*proven, *_with_another_data_centre_second(others)][:MAX_TRIED]

    def record_success(self, gateway: InstanceId, *, now: float) -> None:
        """Record that a gateway reached a server."""
        record = self.records.setdefault(gateway, RelayRecord())
        record.proven_deadline = now + PROVEN_S
        record.pause_deadline = 0.0
        record.n_failures = 0

    def record_unreached(self, gateway: InstanceId, *, now: float) -> None:
        """Record that a gateway did not reach a server; others come first next time."""
        self.records.setdefault(gateway, RelayRecord()).failed_at = now

    def record_failure(self, gateway: InstanceId, *, now: float) -> None:
        """Record that a gateway could not help, for a reason of its own."""
        self.record_unreached(gateway, now=now)
        record = self.records[gateway]
        pause_s = min(FIRST_PAUSE_S * 2**record.n_failures, MAX_PAUSE_S)
        record.n_failures += 1
        record.proven_deadline = 0.0
        record.pause_deadline = now + pause_s

    def drop_unlisted(self, gateways: Iterable[GatewayInstance]) -> None:
        """Drop gateways that are not listed any more."""
        listed = {gateway.instance for gateway in gateways}
        for gateway in set(self.records) - listed:
            del self.records[gateway]

    def _rank(self, gateway: GatewayInstance) -> tuple[float, bool]:
        is_elsewhere = gateway.data_centre != self.data_centre
        return (self._of(gateway).failed_at, is_elsewhere)

    def _of(self, gateway: GatewayInstance) -> RelayRecord:
        return self.records.get(gateway.instance, RelayRecord())


def _with_another_data_centre_second(
    gateways: list[GatewayInstance],
) -> list[GatewayInstance]:
    for n, gateway in enumerate(gateways):
        if gateway.data_centre != gateways[0].data_centre:
            return [gateways[0], gateway, *gateways[1:n], *gateways[n + 1 :]]
    return gateways
