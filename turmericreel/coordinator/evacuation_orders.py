"""Commits the operators' orders to evacuate data centres."""

from collections.abc import Callable, Collection

from turmericreel.coordination.replicated_log import ReplicatedLog
from turmericreel.coordinator.hub import Hub
from turmericreel.model.failures import FailureError, NotLeader, QueryInvalid
from turmericreel.model.ids import DataCentreId
from turmericreel.state.routing_machine import OrderEvacuation

# Operators try another coordinator after 1 s without an answer.
PROPOSE_TIMEOUT_S = 0.9


class EvacuationOrders:
    """Accepts orders to evacuate data centres, on the leader only.

    Parameters
    ----------
    log : ReplicatedLog
    hub : Hub
    data_centres : callable
        Returns the data centres that the current settings name; empty if they name
        none.
    """

    def __init__(
        self,
        *,
        log: ReplicatedLog,
        hub: Hub,
        data_centres: Callable[[], Collection[DataCentreId]],
    ):
        self.log = log
        self.hub = hub
        self.data_centres = data_centres

    def order(self, data_centre: DataCentreId, *, is_evacuated: bool) -> None:
        """Evacuate a data centre, or withdraw that.

        An order that changes nothing is committed too, since a repeated one must not be
        acknowledged before the first is durable.

        Raises
        ------
        FailureError
            With `NotLeader`, `CommitUnknown` or `ControlUnavailable`, or with
            `QueryInvalid` for an unknown data centre.
        """
        if not self.log.is_leader():
            raise FailureError(NotLeader(leader=self.log.leader() or ""))
        if self._is_unknown(data_centre):
            detail = f"unknown data centre {data_centre!r}"
            raise FailureError(QueryInvalid(detail=detail))
        command = OrderEvacuation(data_centre=data_centre, is_evacuated=is_evacuated)
        self.log.propose(command, timeout=PROPOSE_TIMEOUT_S)

    def _is_unknown(self, data_centre: DataCentreId) -> bool:
        """Return whether it is certain that there is no such data centre.

        The settings of this machine may be older than a new data centre.
        """
        named = self.data_centres()
        return bool(named) and not (
            data_centre in named
            or data_centre in self.hub.machine.evacuations
            or data_centre in self.hub.data_centres_in_use()
        )
