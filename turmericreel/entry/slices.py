"""Requests and renews this instance's slices of the accounts' rate limits."""

import contextlib

import msgspec
from gevent import sleep, spawn

from turmericreel.coordination.control_client import ControlClient
from turmericreel.coordination.lease import holder_deadline
from turmericreel.decisions.account_limits import AccountLimits
from turmericreel.model.failures import FailureError
from turmericreel.protocols.slices import (
    RELEASE_QUERY,
    SLICES_QUERY,
    SliceDemand,
    SliceGrant,
)
from turmericreel.util.clock import Clock

REQUEST_INTERVAL_S = 1.0
REQUEST_TIMEOUT_S = 1.0
RELEASE_TIMEOUT_S = 0.5
MAX_IDLE_ROUNDS = 5


class SliceHolder:
    """Task that requests slices from the leader according to the local demand.

    Parameters
    ----------
    control : ControlClient
    limits : AccountLimits
    clock : Clock
    """

    def __init__(self, *, control: ControlClient, limits: AccountLimits, clock: Clock):
        self.control = control
        self.limits = limits
        self.clock = clock
        self.idle_rounds: dict = {}
        self.task = None

    def start(self) -> None:
        """Start the task that requests slices."""
        self.task = spawn(self._loop)

    def stop(self) -> None:
        """Stop the task and release the slices for other instances."""
        if self.task is not None:
            self.task.kill()
        with contextlib.suppress(FailureError):
            self.control.query(
                RELEASE_QUERY,
                timeout=RELEASE_TIMEOUT_S,
                instance=self.control.hello.instance,
            )

    def request_slices(self) -> None:
        """Request the slices of the accounts that are active at this instance."""
        demand = self._demand()
        if not demand:
            return
        sent_at = self.clock.monotonic()
        try:
            value = self.control.query(
                SLICES_QUERY,
                timeout=REQUEST_TIMEOUT_S,
                instance=self.control.hello.instance,
                demand=msgspec.json.encode(SliceDemand(demand=demand)).decode(),
            )
        except FailureError:
            # Without a leader the slices expire, and each instance then uses an even
            # share of the limits.
            return
        grant = msgspec.msgpack.decode(value, type=SliceGrant)
        deadline = holder_deadline(
            sent_at=sent_at,
            lease_ms=grant.lease_ms,
            clock_drift=self.control.clock_drift,
        )
        for account, fraction in grant.fractions.items():
            self.limits.grant(account, fraction, deadline=deadline)

    def _demand(self) -> dict:
        n_requests = self.limits.collect_demand()
        for account in n_requests:
            self.idle_rounds[account] = 0
        for account in list(self.idle_rounds):
            if account in n_requests:
                continue
            self.idle_rounds[account] += 1
            if self.idle_rounds[account] > MAX_IDLE_ROUNDS:
                del self.idle_rounds[account]
        return {a: n_requests.get(a, 0) / REQUEST_INTERVAL_S for a in self.idle_rounds}

    def _loop(self) -> None:
        while True:
            sleep(REQUEST_INTERVAL_S)
            self.request_slices()
