"""Pieces of an answer as they travel from an attempt to a door."""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from turmericreel.model.ids import RequestId, VersionId
from turmericreel.model.request import Usage


@dataclass(frozen=True, kw_only=True)
class Started:
    """The backend server accepted the work; what follows is its answer.

    Parameters
    ----------
    key_expires_ms : int or None
        Unix milliseconds until which a resend under the request's idempotency key
        gets the recorded outcome.
    """

    request_id: RequestId
    version: VersionId
    key_expires_ms: int | None = None


class Tokens(msgspec.Struct, frozen=True, kw_only=True):
    """The next tokens of the text, as many as arrived together.

    Parameters
    ----------
    sequence : int
        Number of the first of them; numbers count from 0 without gaps.
    texts : tuple of str
        Text of each token.
    """

    sequence: int
    texts: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class Finished:
    """The answer is whole."""

    usage: Usage
    finish_reason: str = "stop"


@dataclass(frozen=True, kw_only=True)
class WholeAnswer:
    """Answer of a plain service, delivered in one piece."""

    request_id: RequestId
    version: VersionId
    status: int
    content_type: str
    body: bytes
    key_expires_ms: int | None = None


Piece = Started | Tokens | Finished | WholeAnswer


def text_of(pieces: Iterable[Piece]) -> str:
    """Return the whole text of an answer's pieces."""
    texts = []
    for piece in pieces:
        match piece:
            case Tokens(texts=token_texts):
                texts.extend(token_texts)
            case WholeAnswer(body=body):
                texts.append(body.decode(errors="replace"))
    return "".join(texts)
