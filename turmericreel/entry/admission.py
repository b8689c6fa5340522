"""Queues requests until they are admitted, and refuses early those that can't be."""

from collections.abc import Iterator
from contextlib import contextmanager
from dataclasses import dataclass, field, replace

from gevent.event import Event

from turmericreel.coordination.control_client import ControlClient
from turmericreel.entry.policies import Policies
from turmericreel.model.failures import FailureError, NotRun, NotRunReason
from turmericreel.model.ids import RequestId, ServiceName
from turmericreel.model.request import Request
from turmericreel.util.clock import Clock

RETRY_AFTER_MS = 1_000
QUEUE_CHECK_INTERVAL_S = 0.5


@dataclass(kw_only=True)
class Waiter:
    """Decision for a queued request: admitted, or dropped if `dropped` is set."""

    decided: Event = field(default_factory=Event)
    dropped: bool = False


class AdmissionGate:
    """Admits requests by the admission policy.

    Parameters
    ----------
    control : ControlClient
    policies : Policies
    clock : Clock
    """

    def __init__(self, *, control: ControlClient, policies: Policies, clock: Clock):
        self.control = control
        self.policies = policies
        self.clock = clock
        self.waiters: dict[RequestId, Waiter] = {}

    @contextmanager
    def admitted(self, request: Request) -> Iterator[Request]:
        """Wait until the request is admitted and yield it with its priority.

        Raises
        ------
        FailureError
            With `NotRun` if the request is refused, dropped, or still queued at its
            deadline.
        """
        account = self.control.view.text.client_accounts[request.account]
        admission = self.policies.admission
        admission.set_n_instances(len(self.control.view.instances))
        now = self.clock.monotonic()
        refusal = admission.admit(request, account, now=now)
        if refusal is not None:
            raise FailureError(refusal)
        n_slots = self._n_slots(request.service)
        priority = admission.priority(request, account, now=now)
        if not admission.begin(request, account, n_slots=n_slots, now=now):
            self._wait(request)
        try:
            yield replace(request, priority=priority)
        finally:
            admission.end(request, now=self.clock.monotonic())
            self._admit_next(request.service)

    def _wait(self, request: Request) -> None:
        waiter = Waiter()
        self.waiters[request.request_id] = waiter
        self._notify_dropped()
        try:
            while not waiter.decided.wait(timeout=self._wait_timeout_s(request)):
                if self.clock.monotonic() >= request.deadline:
                    raise _refused(NotRunReason.DEADLINE_TOO_NEAR)
                # Slots also appear when servers join, without a request ending here.
                self._admit_next(request.service)
            if waiter.dropped:
                raise _refused(NotRunReason.OVERLOADED)
        except BaseException:
            self._withdraw(request, waiter)
            raise
        finally:
            del self.waiters[request.request_id]

    def _wait_timeout_s(self, request: Request) -> float:
        left = request.deadline - self.clock.monotonic()
        return max(0.0, min(QUEUE_CHECK_INTERVAL_S, left))

    def _withdraw(self, request: Request, waiter: Waiter) -> None:
        now = self.clock.monotonic()
        self.policies.admission.withdraw(request, now=now)
        if waiter.decided.is_set() and not waiter.dropped:
            # It was admitted while its caller disconnected.
            self.policies.admission.end(request, now=now)
            self._admit_next(request.service)

    def _admit_next(self, service: ServiceName) -> None:
        ready = self.policies.admission.next_ready(
            service, n_slots=self._n_slots(service), now=self.clock.monotonic()
        )
        for request_id in ready:
            self.waiters[request_id].decided.set()
        self._notify_dropped()

    def _notify_dropped(self) -> None:
        for request_id in self.policies.admission.collect_dropped():
            waiter = self.waiters.get(request_id)
            if waiter is not None:
                waiter.dropped = True
                waiter.decided.set()

    def _n_slots(self, service: ServiceName) -> float:
        servers = [
            s for s in self.control.view.servers.values() if s.service == service
        ]
        return self.policies.servers.n_slots(servers, now=self.clock.monotonic())


def _refused(reason: NotRunReason) -> FailureError:
    return FailureError(NotRun(reason=reason, retry_after_ms=RETRY_AFTER_MS))
