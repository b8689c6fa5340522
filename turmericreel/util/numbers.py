"""Reads and bounds numbers that other programs wrote."""

from typing import Annotated

from msgspec import Meta

# Sums of many such numbers still fit the 64 bits of a message.
MAX_DIGITS = 9
MAX_COUNT = 2**53
MAX_DURATION_MS = 1e12

WITHIN_COUNT = Meta(ge=0, le=MAX_COUNT)
Count = Annotated[int, WITHIN_COUNT]
DurationMs = Annotated[float, Meta(ge=-MAX_DURATION_MS, le=MAX_DURATION_MS)]


def parse_count(text: str) -> int | None:
    """Return the number that a header states in ASCII digits; None if it is unusable.

    Examples of unusable numbers are ``-1``, ``²`` and those over `MAX_DIGITS` digits.
    """
    digits = text.strip()
    if not digits.isascii() or not digits.isdigit() or len(digits) > MAX_DIGITS:
        return None
    return int(digits)
