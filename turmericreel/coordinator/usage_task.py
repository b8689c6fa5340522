"""Task that records the usage counted by gateways, on the leader only."""

from eliot import log_message
from gevent import Greenlet, sleep, spawn

from turmericreel.coordination.replicated_log import ReplicatedLog
from turmericreel.coordinator.hub import Hub
from turmericreel.model.failures import FailureError
from turmericreel.state.routing_machine import RecordUsage

# The usage that gateways counted in this interval goes into one log entry.
USAGE_INTERVAL_S = 2.0
PROPOSE_TIMEOUT_S = 2.0


class UsageTask:
    """Proposes the usage batches of all gateways in one command.

    Parameters
    ----------
    log : ReplicatedLog
    hub : Hub
    """

    def __init__(self, *, log: ReplicatedLog, hub: Hub):
        self.log = log
        self.hub = hub
        self.task: Greenlet | None = None

    def start(self) -> None:
        """Start recording usage."""
        self.task = spawn(self._run)

    def stop(self) -> None:
        """Stop recording usage."""
        if self.task is not None:
            self.task.kill()

    def _run(self) -> None:
        while True:
            sleep(USAGE_INTERVAL_S)
            # Any coordinator confirms recorded batches, but only the leader records new
            # ones.
            batches = self.hub.usage_to_record()
            if not batches or not self.log.is_leader():
                continue
            try:
                self.log.propose(
                    RecordUsage(batches=batches), timeout=PROPOSE_TIMEOUT_S
                )
            except FailureError as error:
                log_message(
                    "coordinator:usage_not_recorded",
                    n_batches=len(batches),
                    failure=error.failure.describe(),
                )
