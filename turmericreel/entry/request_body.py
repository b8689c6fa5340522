"""Reads request bodies within the memory that clients may take.

A body that states its length is read only when there is room for all of it; a chunked
one takes room as it grows.  One that stands still may have to yield its room.
"""

from collections.abc import Callable

from gevent import sleep
from gevent.pywsgi import Input, _InvalidClientInput
from gevent.timeout import Timeout

from turmericreel.decisions.door_memory import MAX_SMALL_BYTES, DoorMemory, DoorShare
from turmericreel.util.clock import Clock

BLOCK_BYTES = 65_536
# Time for which a request waits for room; clients wait a second for a node to read it.
ROOM_WAIT_S = 0.5
ROOM_POLL_S = 0.1
# Of a chunk's line with its extensions, and of all trailers.
MAX_CHUNK_LINE_BYTES = 1_024
MAX_TRAILERS_BYTES = 16_384
MAX_SIZE_DIGITS = 15
HEX_DIGITS = frozenset(b"0123456789abcdefABCDEF")


class BodyTimeoutError(TimeoutError):
    """A request body did not arrive in time."""


class NoRoomError(Exception):
    """There is no memory for a request body; the request did not run."""


class BoundedInput(Input):
    """Request body with a timeout for each read, in the memory of its listener.

    Parameters
    ----------
    timeout_s : float
    memory : DoorMemory
    on_yield : callable
        Called when the body yields to others; must end its reading.
    on_no_room : callable
        Called when there is no room for the body.
    clock : Clock

    Attributes
    ----------
    share : DoorShare or None
        None before the body is read; it is open until `release`.
    """

    def __init__(
        self,
        *args,
        timeout_s: float,
        memory: DoorMemory,
        on_yield: Callable[[], None],
        on_no_room: Callable[[], None],
        clock: Clock,
        **options,
    ):
        super().__init__(*args, **options)
        self.timeout_s = timeout_s
        self.memory = memory
        self.on_yield = on_yield
        self.on_no_room = on_no_room
        self.clock = clock
        self.share: DoorShare | None = None
        self.broken = False
        self.has_last_chunk = False
        self.n_left_in_chunk = 0

    def read(self, length: int | None = None) -> bytes:
        """Read up to `length` bytes.

        Raises
        ------
        BodyTimeoutError
        NoRoomError
        """
        if self.is_complete or length == 0:
            return b""
        if self.share is None:
            self.share = self.memory.open(
                on_yield=self.on_yield, now=self.clock.monotonic()
            )
        try:
            with Timeout(self.timeout_s, BodyTimeoutError):
                if self.chunked_input:
                    data = self._read_chunks(length)
                else:
                    data = self._read_stated(length)
        except (OSError, NoRoomError):
            self.broken = True
            raise
        if self.share.has_yielded:
            self.broken = True
            raise NoRoomError
        self.share.waits_for_client = not self.is_complete
        return data

    @property
    def is_complete(self) -> bool:
        """Whether the whole body was read."""
        if self.chunked_input:
            return self.has_last_chunk
        return self.position >= (self.content_length or 0)

    def has_unread_data(self) -> bool:
        """Return whether a part of the body is unread."""
        return self.broken or not self.is_complete

    def release(self) -> None:
        """Return the room of the body; later calls do nothing."""
        if self.share is not None:
            self.share.close()

    def _discard(self) -> None:
        """Leave the rest of the body unread; the handler closes the connection."""

    def _read_stated(self, length: int | None) -> bytes:
        n_left = self.content_length - self.position
        if length is not None:
            n_left = min(n_left, length)
        self._take_room(self.share.size + n_left)
        self._send_100_continue()
        data = bytearray()
        while n_left:
            block = self._read_block(n_left)
            if not block:
                break
            n_left -= len(block)
            self.position += len(block)
            if not data and not n_left:
                return block
            data += block
        return bytes(data)

    def _read_chunks(self, length: int | None) -> bytes:
        self._take_room(max(self.share.size, MAX_SMALL_BYTES))
        self._send_100_continue()
        data = bytearray()
        while length is None or len(data) < length:
            if not self.n_left_in_chunk:
                self.n_left_in_chunk = self._read_chunk_size()
                if not self.n_left_in_chunk:
                    self._read_trailers()
                    self.has_last_chunk = True
                    break
            n_wanted = self.n_left_in_chunk
            if length is not None:
                n_wanted = min(n_wanted, length - len(data))
            block = self._read_block(n_wanted)
            if not block:
                raise OSError("unexpected end of a chunked body")
            self.position += len(block)
            self.n_left_in_chunk -= len(block)
            data += block
            if self.position > self.share.size:
                self._take_room(2 * self.share.size)
            if not self.n_left_in_chunk and self.rfile.readline(2) != b"\r\n":
                raise _InvalidClientInput("a chunk does not end in CRLF")
        return bytes(data)

    def _read_block(self, n_wanted: int) -> bytes:
        block = self.rfile.read1(min(n_wanted, BLOCK_BYTES))
        self.share.record_progress(len(block), now=self.clock.monotonic())
        if self.share.has_yielded:
            raise NoRoomError
        return block

    def _read_chunk_size(self) -> int:
        line = self.rfile.readline(MAX_CHUNK_LINE_BYTES)
        if not line:
            raise OSError("unexpected end of a chunked body")
        size = line[:-2].partition(b";")[0].strip(b" \t")
        is_size = 0 < len(size) <= MAX_SIZE_DIGITS and HEX_DIGITS.issuperset(size)
        if not line.endswith(b"\r\n") or not is_size:
            raise _InvalidClientInput("not the size of a chunk")
        return int(size, 16)

    def _read_trailers(self) -> None:
        n_bytes_left = MAX_TRAILERS_BYTES
        while n_bytes_left > 0:
            line = self.rfile.readline(n_bytes_left)
            if line == b"\r\n":
                return
            if not line.endswith(b"\r\n"):
                break
            n_bytes_left -= len(line)
        raise _InvalidClientInput("trailers without an end")

    def _take_room(self, size: int) -> None:
        """Take room for a size, after a wait if others have it."""
        deadline = self.clock.monotonic() + ROOM_WAIT_S
        while not self.share.resize(size, now=self.clock.monotonic()):
            if self.share.has_yielded:
                raise NoRoomError
            if self.clock.monotonic() >= deadline:
                self.on_no_room()
                raise NoRoomError
            sleep(ROOM_POLL_S)
