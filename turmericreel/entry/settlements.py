"""Makes the ends of requests durable, whatever happens to control meanwhile.

Requests hand over what closes them and go on.  This task resends it until control
has acknowledged it, many requests in one log record.
"""

from dataclasses import dataclass, field

from eliot import log_message
from gevent import sleep, spawn
from gevent.event import Event
from gevent.queue import Queue

from turmericreel.coordination.control_client import ControlClient
from turmericreel.model.failures import FailureError
from turmericreel.state.commands.claims import CloseClaim
from turmericreel.state.commands.ledger import ReportUsage, SettleIntent
from turmericreel.state.commands.union import Batch

N_SENDERS = 4
MAX_BATCH_SIZE = 32
MAX_PENDING = 20_000
PROPOSE_TIMEOUT_S = 5.0
RETRY_PAUSE_S = 0.2
DRAIN_POLL_S = 0.02

SettlementCommand = CloseClaim | SettleIntent | ReportUsage


@dataclass(kw_only=True, eq=False)
class Settlement:
    """What closes one request, and whether it is durable."""

    commands: tuple[SettlementCommand, ...]
    durable: Event = field(default_factory=Event)


class Settlements:
    """Task that owns the queue of settlements.

    Parameters
    ----------
    control : ControlClient
    """

    def __init__(self, *, control: ControlClient):
        self.control = control
        self.queue: Queue = Queue()
        self.n_pending = 0
        self.tasks = []

    def start(self) -> None:
        """Start to send."""
        self.tasks = [spawn(self._send_loop) for _ in range(N_SENDERS)]

    def stop(self) -> None:
        """Stop sending; what is pending is left to the intents' deadlines."""
        for task in self.tasks:
            task.kill()
        if self.n_pending:
            log_message("settlements:left", n_pending=self.n_pending)

    @property
    def full(self) -> bool:
        """Whether no new request may begin until some are settled."""
        return self.n_pending >= MAX_PENDING

    def put(self, *commands: SettlementCommand) -> Settlement:
        """Take over what closes a request; never blocks, and never fails."""
        settlement = Settlement(commands=commands)
        self.n_pending += 1
        self.queue.put(settlement)
        return settlement

    def drain(self, *, timeout: float) -> int:
        """Wait until all is durable, at most `timeout` seconds; return what is left."""
        n_polls = int(timeout / DRAIN_POLL_S)
        while self.n_pending and n_polls > 0:
            sleep(DRAIN_POLL_S)
            n_polls -= 1
        return self.n_pending

    def take_batch(self) -> list[Settlement]:
        """Take what is queued, up to a batch, waiting for the first."""
        batch = [self.queue.get()]
        while not self.queue.empty() and len(batch) < MAX_BATCH_SIZE:
            batch.append(self.queue.get())
        return batch

    def send_once(self, batch: list[Settlement]) -> bool:
        """Propose a batch; return False if it must be sent again."""
        commands = tuple(c for settlement in batch for c in settlement.commands)
        command = commands[0] if len(commands) == 1 else Batch(commands=commands)
        try:
            self.control.propose(command, timeout=PROPOSE_TIMEOUT_S)
        except FailureError as error:
            log_message(
                "settlements:resend",
                failure=error.failure.describe(),
                n_pending=self.n_pending,
            )
            return False
        for settlement in batch:
            settlement.durable.set()
        self.n_pending -= len(batch)
        return True

    def _send_loop(self) -> None:
        while True:
            batch = self.take_batch()
            while not self.send_once(batch):
                sleep(RETRY_PAUSE_S)
