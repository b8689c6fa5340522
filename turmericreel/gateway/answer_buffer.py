"""Limits the bytes that a gateway holds of answers that are not complete yet."""

# Answers up to this size are read even if the buffer is full, so that a few servers
# with endless answers do not disturb the requests at others.
MAX_SMALL_ANSWER_BYTES = 65_536


class AnswerBuffer:
    """Counts the bytes of incomplete answers.

    Parameters
    ----------
    limit_bytes : int
        Maximum sum, not counting small answers.
    """

    def __init__(self, *, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.n_bytes = 0

    def grow(self, before: int, after: int) -> bool:
        """Count the growth of an answer; return whether it may be read further.

        Parameters
        ----------
        before, after : int
            Size of the answer in bytes, as counted last and now.
        """
        self.n_bytes += after - before
        return self.n_bytes <= self.limit_bytes or after <= MAX_SMALL_ANSWER_BYTES

    def release(self, size: int) -> None:
        """Count the end of an answer of which `size` bytes were counted."""
        self.n_bytes -= size
