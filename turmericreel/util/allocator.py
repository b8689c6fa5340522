"""Settings of the C library's allocator."""

import ctypes
from contextlib import suppress

M_TRIM_THRESHOLD = -1
M_MMAP_THRESHOLD = -3
LARGE_BYTES = 262_144


def return_large_blocks() -> None:
    """Return large blocks to the system as soon as they are freed.

    The C library otherwise raises its thresholds with the first of them, and its heap
    then keeps what bodies have taken.  Other C libraries are left as they are.
    """
    with suppress(OSError, AttributeError):
        library = ctypes.CDLL(None)
        library.mallopt(M_MMAP_THRESHOLD, LARGE_BYTES)
        library.mallopt(M_TRIM_THRESHOLD, LARGE_BYTES)
