"""Limits the bytes that an instance holds of answers that are not complete yet."""

from collections.abc import Callable

# Answers up to this size are read even if the buffer is full.
MAX_SMALL_ANSWER_BYTES = 65_536


class AnswerBuffer:
    """Counts the bytes of incomplete answers, and gives up the largest if it is full.

    A server whose answers never end then costs other requests nothing.

    Parameters
    ----------
    limit_bytes : int
        Maximum sum, not counting small answers.

    Attributes
    ----------
    n_bytes : int
    shares : set of AnswerShare
        Of the incomplete answers.
    """

    def __init__(self, *, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.n_bytes = 0
        self.shares: set[AnswerShare] = set()

    def open(self, *, on_evicted: Callable[[], None]) -> "AnswerShare":
        """Return the share of a new answer.

        Parameters
        ----------
        on_evicted : callable
            Called when the answer is given up; must not wait.
        """
        share = AnswerShare(buffer=self, on_evicted=on_evicted)
        self.shares.add(share)
        return share

    def make_room(self, growing: "AnswerShare") -> bool:
        """Return whether an answer may be read further, perhaps in place of another."""
        if self.n_bytes <= self.limit_bytes or growing.size <= MAX_SMALL_ANSWER_BYTES:
            return True
        kept = [share for share in self.shares if not share.is_evicted]
        if sum(share.size for share in kept) <= self.limit_bytes:
            return True
        largest = max(kept, key=lambda share: share.size)
        if largest is growing:
            return False
        largest.is_evicted = True
        largest.on_evicted()
        return True


class AnswerShare:
    """Bytes that one incomplete answer takes of a buffer.

    Parameters
    ----------
    buffer : AnswerBuffer
    on_evicted : callable

    Attributes
    ----------
    size : int
        As counted last, in bytes.
    is_evicted : bool
        Whether the answer was given up for others.
    """

    def __init__(self, *, buffer: AnswerBuffer, on_evicted: Callable[[], None]):
        self.buffer = buffer
        self.on_evicted = on_evicted
        self.size = 0
        self.is_evicted = False

    def resize(self, size: int) -> bool:
        """Count the present size; return whether the answer may be read further."""
        self.buffer.n_bytes += size - self.size
        self.size = size
        return not self.is_evicted and self.buffer.make_room(self)

    def release(self) -> None:
        """Count the end of the answer; later calls do nothing."""
        self.buffer.n_bytes -= self.size
        self.size = 0
        self.buffer.shares.discard(self)
