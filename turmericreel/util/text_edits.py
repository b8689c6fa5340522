"""Line-based differences between two texts."""

from difflib import SequenceMatcher

import msgspec
from xxhash import xxh3_64_hexdigest

MAX_COMPARED_LINES = 400


class LineEdit(msgspec.Struct, frozen=True, array_like=True):
    """Replaces lines `start` to `stop` (exclusive, from 0) of the base by `lines`."""

    start: int
    stop: int
    lines: str


def text_checksum(text: str) -> str:
    """Return a checksum of a text, for detecting a wrong or corrupt base."""
    return xxh3_64_hexdigest(text.encode())


def make_edits(base: str, target: str) -> tuple[LineEdit, ...]:
    """Return the edits that turn `base` into `target`, in ascending line order.

    The common prefix and suffix are excluded first.  If more than
    `MAX_COMPARED_LINES` lines remain in both texts together, they are replaced as a
    whole, as comparing them would take too long.
    """
    old = base.splitlines(keepends=True)
    new = target.splitlines(keepends=True)
    head = _common_prefix_length(old, new)
    tail = _common_prefix_length(old[head:][::-1], new[head:][::-1])
    old_middle = old[head : len(old) - tail]
    new_middle = new[head : len(new) - tail]
    if not old_middle and not new_middle:
        return ()
    if len(old_middle) + len(new_middle) > MAX_COMPARED_LINES:
        return (LineEdit(head, len(old) - tail, "".join(new_middle)),)
    matcher = SequenceMatcher(a=old_middle, b=new_middle, autojunk=False)
    return tuple(
        LineEdit(head + start, head + stop, "".join(new_middle[from_:to]))
        for tag, start, stop, from_, to in matcher.get_opcodes()
        if tag != "equal"
    )


def apply_edits(base: str, edits: tuple[LineEdit, ...]) -> str:
    """Return `base` with the edits applied; the caller must verify the checksum."""
    old = base.splitlines(keepends=True)
    parts = []
    position = 0
    for edit in edits:
        parts.extend(old[position : edit.start])
        parts.append(edit.lines)
        position = edit.stop
    parts.extend(old[position:])
    return "".join(parts)


def _common_prefix_length(one: list[str], other: list[str]) -> int:
    n_equal = 0
    for a, b in zip(one, other, strict=False):
        if a != b:
            break
        n_equal += 1
    return n_equal
