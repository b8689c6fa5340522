"""Bounded queue that is fair between client accounts and ordered by deadline.

Accounts are served by weighted start-time fair queueing: each request advances its
account's virtual time by its cost divided by the account's share, and the account with
the lowest virtual time is served next.  Within an account the earliest deadline is
first.
"""

import heapq
from dataclasses import dataclass, field

from turmericreel.model.ids import ClientAccountId, RequestId
from turmericreel.model.request import RequestKind


@dataclass(order=True, kw_only=True)
class QueuedRequest:
    """One waiting request; `deadline` and then `number` give the order.

    Attributes
    ----------
    deadline : float
        Seconds on the monotonic clock.
    number : int
        Order of arrival.
    request : RequestId
    account : ClientAccountId
    share : float
        Weight of the account.
    kind : RequestKind
    cost : float
        Divided by the share, the amount by which the account's virtual time advances.
    """

    deadline: float
    number: int
    request: RequestId = field(compare=False)
    account: ClientAccountId = field(compare=False)
    share: float = field(compare=False)
    kind: RequestKind = field(compare=False, default=RequestKind.CHAT)
    cost: float = field(compare=False, default=1.0)


@dataclass(kw_only=True)
class AccountQueue:
    """Waiting requests of one account, and its virtual time."""

    virtual_time: float = 0.0
    heap: list[QueuedRequest] = field(default_factory=list)


class FairQueue:
    """Queue of one service at one instance.

    Parameters
    ----------
    max_length : int
    """

    def __init__(self, *, max_length: int):
        self.max_length = max_length
        self.accounts: dict[ClientAccountId, AccountQueue] = {}
        self.length = 0
        self.virtual_time = 0.0

    def push(self, waiting: QueuedRequest) -> QueuedRequest | None:
        """Add a request; return the request that was evicted, if any.

        A full queue evicts from the account with the most waiting requests relative to
        its share, so that a large account displaces only its own requests.  The request
        with the latest deadline is evicted.
        """
        self._account(waiting.account).heap.append(waiting)
        heapq.heapify(self.accounts[waiting.account].heap)
        self.length += 1
        if self.length <= self.max_length:
            return None
        largest = max(
            (q for q in self.accounts.values() if q.heap),
            key=lambda q: len(q.heap) / q.heap[0].share,
        )
        last = max(largest.heap)
        self.remove(last)
        return last

    def charge(self, account: ClientAccountId, cost: float, share: float) -> None:
        """Advance an account's virtual time for a request that starts."""
        queue = self._account(account)
        self.virtual_time = max(self.virtual_time, queue.virtual_time)
        queue.virtual_time += cost / share

    def pop(self) -> QueuedRequest | None:
        """Remove and return the next request, or None when none waits."""
        nonempty = [q for q in self.accounts.values() if q.heap]
        if not nonempty:
            return None
        queue = min(nonempty, key=lambda q: (q.virtual_time, q.heap[0]))
        waiting = heapq.heappop(queue.heap)
        self.length -= 1
        self.charge(waiting.account, waiting.cost, waiting.share)
        return waiting

    def n_waiting(self, account: ClientAccountId) -> int:
        """Return the number of waiting requests of an account."""
        queue = self.accounts.get(account)
        return len(queue.heap) if queue else 0

    def n_accounts(self) -> int:
        """Return the number of accounts with waiting requests."""
        return sum(bool(queue.heap) for queue in self.accounts.values())

    def remove(self, waiting: QueuedRequest) -> None:
        """Remove a request at any position."""
        heap = self.accounts[waiting.account].heap
        heap.remove(waiting)
        heapq.heapify(heap)
        self.length -= 1

    def _account(self, account: ClientAccountId) -> AccountQueue:
        queue = self.accounts.setdefault(account, AccountQueue())
        if not queue.heap:
            # An idle account does not accumulate credit for later bursts.
            queue.virtual_time = max(queue.virtual_time, self.virtual_time)
        return queue
