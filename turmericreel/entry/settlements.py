"""Makes the settlements of requests durable, also when the control group fails.

Requests enqueue the commands that close them and go on.  The tasks here resend these
until the control group has acknowledged them, many requests in one log record.
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
    """Commands that close one request, and an event set when they are durable."""

    commands: tuple[SettlementCommand, ...]
    durable: Event = field(default_factory=Event)


class Settlements:
    """Queue of settlements and the tasks that send them.

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
        """Start the tasks that send settlements."""
        self.tasks = [spawn(self._send_loop) for _ in range(N_SENDERS)]

    def stop(self) -> None:
        """Stop sending; pending requests are settled when their intents expire."""
        for task in self.tasks:
            task.kill()
        if self.n_pending:
            log_message("settlements:left", n_pending=self.n_pending)

    @property
    def full(self) -> bool:
        """Whether the queue is full, so that new requests must be refused."""
        return self.n_pending >= MAX_PENDING

    def put(self, *commands: SettlementCommand) -> Settlement:
        """Enqueue the commands that close a request; never blocks or fails."""
        settlement = Settlement(commands=commands)
        self.n_pending += 1
        self.queue.put(settlement)
        return settlement

    def drain(self, *, timeout: float) -> int:
        """Wait until all settlements are durable and return how many still are not.

        Parameters
        ----------
        timeout : float
            Seconds to wait at most.
        """
        n_polls = int(timeout / DRAIN_POLL_S)
        while self.n_pending and n_polls > 0:
            sleep(DRAIN_POLL_S)
            n_polls -= 1
        return self.n_pending

    def take_batch(self) -> list[Settlement]:
        """Wait for a settlement and return it with more of the queue, up to a batch."""
        batch = [self.queue.get()]
        while not self.queue.empty() and len(batch) < MAX_BATCH_SIZE:
            batch.append(self.queue.get())
        return batch

    def send_once(self, batch: list[Settlement]) -> bool:
        """Propose a batch in one log record; return False if it must be sent again."""
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
