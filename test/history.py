"""A checker of linearizability for short concurrent histories.

It searches for an order of the operations that agrees with their real-time order and
with a sequential model.  An operation whose outcome is unknown may have taken effect at
any time after it was called, or not at all.
"""

from abc import ABC, abstractmethod
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Any

NEVER = float("inf")
UNKNOWN = object()


@dataclass(frozen=True, kw_only=True)
class Operation:
    """One operation of one client; `returned` is `NEVER` if there was no answer."""

    called: float
    returned: float
    request: Any
    answer: Any


class Model(ABC):
    """Sequential model: the effect of the operations when they run one at a time."""

    initial: Hashable

    @abstractmethod
    def apply(self, state: Hashable, request: Any) -> tuple[Hashable, Any]:
        """Return the state after a request, and its answer."""


def is_linearizable(history: list[Operation], model: Model) -> bool:
    """Return whether some order of the operations explains all answers."""
    operations = sorted(history, key=lambda operation: operation.called)
    all_operations = (1 << len(operations)) - 1
    seen: set[tuple[int, Hashable]] = set()
    stack = [(all_operations, model.initial)]
    while stack:
        remaining, state = stack.pop()
        if all(
            operation.answer is UNKNOWN
            for operation in _select_operations(operations, remaining)
        ):
            return True
        if (remaining, state) in seen:
            continue
        seen.add((remaining, state))
        stack += _next_steps(operations, remaining, state, model)
    return False


def _select_operations(operations: list[Operation], remaining: int) -> list[Operation]:
    return [o for n, o in enumerate(operations) if remaining >> n & 1]


def _next_steps(
    operations: list[Operation], remaining: int, state: Hashable, model: Model
) -> list[tuple[int, Hashable]]:
    # An operation can come next unless another one returned before it was called.
    # The last step is tried first; by the sort order that is the operation that
    # returned first, so operations of unknown outcome are tried last.
    limit = min(o.returned for o in _select_operations(operations, remaining))
    steps = []
    for n in sorted(range(len(operations)), key=lambda n: -operations[n].returned):
        operation = operations[n]
        if not remaining >> n & 1 or operation.called > limit:
            continue
        after, answer = model.apply(state, operation.request)
        if operation.answer is UNKNOWN and after == state:
            # Without an effect this equals the case that it did not happen.
            continue
        if operation.answer is UNKNOWN or operation.answer == answer:
            steps.append((remaining & ~(1 << n), after))
    return steps
