"""Admission by account limits, and by fair queueing when slots are scarce."""

from dataclasses import dataclass, field
from math import exp

from turmericreel.decisions.account_limits import AccountLimits
from turmericreel.decisions.admission_policy import AdmissionPolicy
from turmericreel.decisions.fair_queue import FairQueue, QueuedRequest
from turmericreel.model.failures import NotRun, NotRunReason
from turmericreel.model.ids import ClientAccountId, RequestId, ServiceName
from turmericreel.model.request import Request, RequestKind
from turmericreel.model.text import ClientAccountText

MAX_WAITING = 512
DURATION_EWMA_WEIGHT = 0.05
DEFAULT_DURATION_S = 1.0
PRIORITY_STEP = 2
OVERCOMMIT_FACTOR = 2.0
DEMAND_TIME_CONSTANT_S = 60.0


@dataclass(kw_only=True, slots=True)
class Demand:
    """Slots that an account's requests would occupy here if none had to wait.

    An average that decays exponentially with `DEMAND_TIME_CONSTANT_S`.
    """

    updated_at: float
    slots: float = 0.0

    def decayed(self, now: float) -> float:
        """Return the demand, decayed to the given time."""
        return self.slots * exp((self.updated_at - now) / DEMAND_TIME_CONSTANT_S)

    def add(self, seconds: float, now: float) -> None:
        """Add a request by its expected duration in seconds."""
        self.slots = self.decayed(now) + seconds / DEMAND_TIME_CONSTANT_S
        self.updated_at = now


@dataclass(kw_only=True)
class ServiceLoad:
    """Requests of one service at this instance; times and durations in seconds."""

    queue: FairQueue = field(default_factory=lambda: FairQueue(max_length=MAX_WAITING))
    running: dict[RequestId, float] = field(default_factory=dict)
    n_running_by_account: dict[ClientAccountId, int] = field(default_factory=dict)
    waiting: dict[RequestId, QueuedRequest] = field(default_factory=dict)
    duration_s: float = DEFAULT_DURATION_S
    mean_duration_by_kind: dict[RequestKind, float] = field(default_factory=dict)
    demands: dict[ClientAccountId, Demand] = field(default_factory=dict)
    n_slots: float = float("inf")
    number: int = 0

    def predicted_wait_s(self, account: ClientAccountId) -> float:
        """Return the expected seconds that an account's next request waits."""
        if self.queue.length == 0:
            return 0.0
        own = self.queue.n_waiting(account) + 1
        n_ahead = min(self.queue.length, own * self.queue.n_accounts())
        return n_ahead * self.duration_s / max(1.0, self.n_slots)

    def update_mean_durations(self, kind: RequestKind, seconds: float) -> None:
        """Update the mean durations with a completed request."""
        self.duration_s += DURATION_EWMA_WEIGHT * (seconds - self.duration_s)
        known = self.mean_duration_by_kind.setdefault(kind, seconds)
        self.mean_duration_by_kind[kind] = known + DURATION_EWMA_WEIGHT * (
            seconds - known
        )

    def would_miss_deadline(self, waiting: QueuedRequest, now: float) -> bool:
        """Return whether a request that starts now is expected to end too late."""
        needed = self.mean_duration_by_kind.get(waiting.kind, 0.0)
        return now + needed > waiting.deadline

    def is_within_fair_share(self, account: ClientAccountId, now: float) -> bool:
        """Return whether an account is within its fair share while another exceeds it.

        Shares are max-min fair: slots that smaller accounts leave free are divided
        equally among the others.
        """
        demands = sorted(d.decayed(now) for d in self.demands.values())
        left = self.n_slots
        for n, demand in enumerate(demands):
            level = left / (len(demands) - n)
            if demand > level:
                return self.demands[account].decayed(now) <= level
            left -= demand
        return False

    def add_demand(self, account: ClientAccountId, cost: float, now: float) -> None:
        """Add a request to its account's demand."""
        known = self.demands.setdefault(account, Demand(updated_at=now))
        known.add(cost, now)

    def cost_of(self, kind: RequestKind) -> float:
        """Return a request's cost in the queue: its expected duration in seconds."""
        return self.mean_duration_by_kind.get(kind, self.duration_s)


class FairAdmission(AdmissionPolicy):
    """Enforces account limits, and queues requests fairly when slots are scarce."""

    def __init__(self):
        self.limits = AccountLimits()
        self.services: dict[ServiceName, ServiceLoad] = {}
        self.dropped: list[RequestId] = []

    def admit(
        self, request: Request, account: ClientAccountText, *, now: float
    ) -> NotRun | None:
        """Refuse a request over its account's limit or predicted to start too late."""
        wait_s = self.limits.take(
            request.account, limit=account.requests_per_second, now=now
        )
        if wait_s > 0.0:
            return NotRun(
                reason=NotRunReason.OVER_LIMIT, retry_after_ms=_milliseconds(wait_s)
            )
        load = self._load(request.service)
        predicted_s = load.predicted_wait_s(request.account)
        if predicted_s > 0.0 and now + predicted_s >= request.deadline:
            return NotRun(
                reason=NotRunReason.DEADLINE_TOO_NEAR,
                retry_after_ms=_milliseconds(predicted_s),
            )
        return None

    def set_n_instances(self, n_instances: int) -> None:
        """Set the equal share of each limit to use while no slice is held."""
        self.limits.fallback_fraction = 1.0 / max(1, n_instances)

    def begin(
        self,
        request: Request,
        account: ClientAccountText,
        *,
        n_slots: float,
        now: float,
    ) -> bool:
        """Start a request, or queue it; return whether it started."""
        load = self._load(request.service)
        load.n_slots = n_slots
        load.add_demand(request.account, load.cost_of(request.kind), now)
        n_running = len(load.running)
        starts_now = load.queue.length == 0 and n_running < n_slots
        # An account within its fair share does not wait behind others: its requests
        # have a higher priority, so engines run them first.
        if not starts_now and n_running < OVERCOMMIT_FACTOR * n_slots:
            starts_now = load.is_within_fair_share(request.account, now)
        if starts_now:
            cost = load.cost_of(request.kind)
            load.queue.charge(request.account, cost, account.share)
            self._start(load, request.request_id, request.account, now)
            return True
        load.number += 1
        waiting = QueuedRequest(
            deadline=request.deadline,
            number=load.number,
            request=request.request_id,
            account=request.account,
            share=account.share,
            kind=request.kind,
            cost=load.cost_of(request.kind),
        )
        load.waiting[request.request_id] = waiting
        evicted = load.queue.push(waiting)
        if evicted is not None:
            del load.waiting[evicted.request]
            self.dropped.append(evicted.request)
        return False

    def withdraw(self, request: Request, *, now: float) -> None:
        """Remove a waiting request from the queue."""
        load = self._load(request.service)
        waiting = load.waiting.pop(request.request_id, None)
        if waiting is not None:
            load.queue.remove(waiting)

    def next_ready(
        self, service: ServiceName, *, n_slots: float, now: float
    ) -> list[RequestId]:
        """Start waiting requests while slots are free, and return them."""
        load = self._load(service)
        load.n_slots = n_slots
        ready = []
        while len(load.running) < n_slots:
            waiting = load.queue.pop()
            if waiting is None:
                break
            del load.waiting[waiting.request]
            if load.would_miss_deadline(waiting, now):
                self.dropped.append(waiting.request)
                continue
            self._start(load, waiting.request, waiting.account, now)
            ready.append(waiting.request)
        return ready

    def collect_dropped(self) -> list[RequestId]:
        """Return the waiting requests that were dropped since the last call."""
        dropped, self.dropped = self.dropped, []
        return dropped

    def end(self, request: Request, *, now: float) -> None:
        """Record the end of a request, and update the mean durations."""
        load = self._load(request.service)
        began = load.running.pop(request.request_id, None)
        if began is None:
            return
        load.update_mean_durations(request.kind, now - began)
        left = load.n_running_by_account[request.account] - 1
        if left:
            load.n_running_by_account[request.account] = left
        else:
            del load.n_running_by_account[request.account]

    def priority(
        self, request: Request, account: ClientAccountText, *, now: float
    ) -> int:
        """Return the request's priority, raised if its account is within its share."""
        load = self._load(request.service)
        if request.account not in load.demands:
            return PRIORITY_STEP * request.priority + 1
        within_share = load.is_within_fair_share(request.account, now)
        return PRIORITY_STEP * request.priority + int(within_share)

    def _load(self, service: ServiceName) -> ServiceLoad:
        return self.services.setdefault(service, ServiceLoad())

    def _start(
        self,
        load: ServiceLoad,
        request: RequestId,
        account: ClientAccountId,
        now: float,
    ) -> None:
        load.running[request] = now
        load.n_running_by_account[account] = (
            load.n_running_by_account.get(account, 0) + 1
        )


def _milliseconds(seconds: float) -> int:
    return max(1, int(seconds * 1_000))
