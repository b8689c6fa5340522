"""A checker of linearizability for short concurrent histories.

It searches for an order of the operations that respects real time and that a
sequential model accepts.  An operation whose outcome is unknown may have taken effect
at any time after it was called, or not at all.
"""

from abc import ABC, abstractmethod
from collections.abc import Hashable
from dataclasses import dataclass
from typing import Any

NEVER = float("inf")
UNKNOWN = object()


@dataclass(frozen=True, kw_only=True)
class Operation:
    """One operation of one client; `returned` is `NEVER` if no answer came."""

    called: float
    returned: float
    request: Any
    answer: Any


class Model(ABC):
    """What the operations do when they come one at a time."""

    initial: Hashable

    @abstractmethod
    def apply(self, state: Hashable, request: Any) -> tuple[Hashable, Any]:
        """Return the next state and the answer."""


def is_linearizable(history: list[Operation], model: Model) -> bool:
    """Tell whether some order of the operations explains all answers."""
    operations = sorted(history, key=lambda operation: operation.called)
    all_members = (1 << len(operations)) - 1
    seen: set[tuple[int, Hashable]] = set()
    stack = [(all_members, model.initial)]
    while stack:
        left, state = stack.pop()
        if all(operation.answer is UNKNOWN for operation in _members(operations, left)):
            return True
        if (left, state) in seen:
            continue
        seen.add((left, state))
        stack += _next_steps(operations, left, state, model)
    return False


def _members(operations: list[Operation], left: int) -> list[Operation]:
    return [o for n, o in enumerate(operations) if left >> n & 1]


def _next_steps(
    operations: list[Operation], left: int, state: Hashable, model: Model
) -> list[tuple[int, Hashable]]:
    # An operation can come next unless another had returned before it was called.
    # The last step is tried first: an operation whose outcome is known, if possible.
    limit = min(o.returned for o in _members(operations, left))
    steps = []
    for n in sorted(range(len(operations)), key=lambda n: -operations[n].returned):
        operation = operations[n]
        if not left >> n & 1 or operation.called > limit:
            continue
        after, answer = model.apply(state, operation.request)
        if operation.answer is UNKNOWN and after == state:
            # That is the same as if it had not happened.
            continue
        if operation.answer is UNKNOWN or operation.answer == answer:
            steps.append((left & ~(1 << n), after))
    return steps
