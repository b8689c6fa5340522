"""A cache of the most recently used operators' texts in parsed form."""

from functools import lru_cache

from turmericreel.model.check_text import parse_text
from turmericreel.model.text import OperatorsText

MAX_PARSED_TEXTS = 4


@lru_cache(maxsize=MAX_PARSED_TEXTS)
def parse_text_cached(source: str) -> OperatorsText:
    """Return the parsed text; the result is shared and must not be modified.

    Raises
    ------
    FailureError
        With `TextRejected`.
    """
    return parse_text(source)
