"""Bounds the bytes that clients make a process hold, and decides who yields.

Load that it answers: many clients that send bodies of legal size at once, or do not
read their answers, and stop half-way.  A request is let in with all the bytes that it
states, so that one that was let in can end; one that does not fit is refused before it
is read.
"""

from collections.abc import Callable, Iterable
from dataclasses import dataclass

# Requests and answers of this size have room of their own beside large ones.
MAX_SMALL_BYTES = 65_536
# Fraction of the bound that large ones may take.
LARGE_FRACTION = 0.875
# Time without progress after which a client may have to yield to others.
STANDING_S = 1.0
# Progress counts in steps, so that a client cannot hold its room with single bytes.
PROGRESS_BYTES = 16_384
# Of a process's memory, what it needs without clients, and the fractions of the rest
# for what clients send and do not read, and for their connections.
PROCESS_BYTES = 64 * 1024 * 1024
HELD_FRACTION = 0.375
CONNECTIONS_FRACTION = 0.25
CONNECTION_BYTES = 16_384


def held_bytes_for(memory_bytes: int) -> int:
    """Return the bytes that clients may make a process hold."""
    return int(max(memory_bytes - PROCESS_BYTES, PROCESS_BYTES / 2) * HELD_FRACTION)


def connections_for(memory_bytes: int) -> int:
    """Return the number of clients' connections for which a process has memory."""
    room = max(memory_bytes - PROCESS_BYTES, PROCESS_BYTES / 2)
    return int(room * CONNECTIONS_FRACTION) // CONNECTION_BYTES


class DoorMemory:
    """Counts the bytes that are held for clients.

    Parameters
    ----------
    limit_bytes : int

    Attributes
    ----------
    n_bytes : int
    shares : set of DoorShare
        Those that hold bytes; the many that wait for room are not looked through.
    """

    def __init__(self, *, limit_bytes: int):
        self.limit_bytes = limit_bytes
        self.n_bytes = 0
        self.shares: set[DoorShare] = set()

    def open(
        self, *, on_yield: Callable[[], None], now: float, is_answer: bool = False
    ) -> "DoorShare":
        """Return the share of a request or answer that begins, with no bytes.

        Parameters
        ----------
        on_yield : callable
            Called when the share yields to others; must not wait.
        now : float
            Seconds on the monotonic clock.
        is_answer : bool
        """
        return DoorShare(memory=self, on_yield=on_yield, now=now, is_answer=is_answer)

    def make_room(self, share: "DoorShare", size: int, *, now: float) -> bool:
        """Return whether a share may grow to a size, after others have yielded."""
        others = [other for other in self.shares if other is not share]
        limit = self.limit_bytes
        if size > MAX_SMALL_BYTES:
            limit = int(limit * LARGE_FRACTION)
            others = [other for other in others if other.size > MAX_SMALL_BYTES]
            if not others:
                # A single one is let in, whatever its size.
                return True
        n_missing = sum(other.size for other in others) + size - limit
        if n_missing <= 0:
            return True
        yielding = choose_yielding(others, n_missing, now=now)
        self._give_up(yielding)
        return bool(yielding)

    def shed(self, *, now: float) -> None:
        """Let answers yield until all fits, those first that stood still longest.

        Answers are there already, so that they cannot be refused.
        """
        n_over = self.n_bytes - self.limit_bytes
        if n_over > 0:
            answers = [share for share in self.shares if share.is_answer]
            yielding = choose_yielding(answers, n_over, now=now)
            self._give_up(
                yielding or choose_yielding(answers, n_over, now=now, standing_s=0.0)
            )

    def _give_up(self, shares: Iterable["DoorShare"]) -> None:
        for share in shares:
            share.give_up()


class DoorShare:
    """Bytes that one request or one answer takes of the memory.

    Attributes
    ----------
    size : int
        In bytes.
    waits_for_client : bool
        Whether the client has to send or to read more; only such a share yields.
    progressed_at : float
        When the client last sent or read a step, in seconds on the monotonic clock.
    has_yielded : bool
    """

    def __init__(
        self,
        *,
        memory: DoorMemory,
        on_yield: Callable[[], None],
        now: float,
        is_answer: bool,
    ):
        self.memory = memory
        self.on_yield = on_yield
        self.is_answer = is_answer
        self.size = 0
        self.waits_for_client = True
        self.progressed_at = now
        self.n_bytes_progressed = 0
        self.has_yielded = False

    def resize(self, size: int, *, now: float) -> bool:
        """Take room for a size; return whether there is room."""
        if self.has_yielded:
            return False
        if size > self.size and not self.memory.make_room(self, size, now=now):
            return False
        self._count(size)
        return True

    def hold(self, size: int, *, now: float) -> None:
        """Count bytes that are held already; others, or this share, may yield."""
        self._count(size)
        self.memory.shed(now=now)

    def _count(self, size: int) -> None:
        self.memory.n_bytes += size - self.size
        self.size = size
        self.memory.shares.add(self)

    def record_progress(self, n_bytes: int, *, now: float) -> None:
        """Count bytes that the client has sent or read."""
        self.n_bytes_progressed += n_bytes
        if self.n_bytes_progressed >= PROGRESS_BYTES:
            self.n_bytes_progressed = 0
            self.progressed_at = now

    def give_up(self) -> None:
        """Give the room to others."""
        self.has_yielded = True
        self.close()
        self.on_yield()

    def close(self) -> None:
        """Count the end of the request or answer; later calls do nothing."""
        self.memory.n_bytes -= self.size
        self.size = 0
        self.memory.shares.discard(self)


def choose_yielding(
    shares: Iterable[DoorShare],
    n_bytes: int,
    *,
    now: float,
    standing_s: float = STANDING_S,
) -> list[DoorShare]:
    """Return the shares that yield, those first that have stood still longest.

    It is empty if those that stand still do not hold so many bytes together.
    """
    standing = sorted(
        (
            share
            for share in shares
            if share.size
            and share.waits_for_client
            and now - share.progressed_at >= standing_s
        ),
        key=lambda share: share.progressed_at,
    )
    chosen, n_freed = [], 0
    for share in standing:
        if n_freed >= n_bytes:
            break
        chosen.append(share)
        n_freed += share.size
    return chosen if n_freed >= n_bytes else []


@dataclass(frozen=True, kw_only=True)
class WaitingConnection:
    """A connection whose client has to send the next request, or its head.

    Attributes
    ----------
    connection : object
    since : float
        When the wait began, in seconds on the monotonic clock.
    """

    connection: object
    since: float


def choose_connection_to_close(
    waiting: Iterable[WaitingConnection], *, now: float
) -> object | None:
    """Return the connection that yields to a new one; None if none has waited long."""
    longest = min(waiting, key=lambda w: w.since, default=None)
    if longest is None or now - longest.since < STANDING_S:
        return None
    return longest.connection
