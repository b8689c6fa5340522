"""Pieces of an answer, passed on from an attempt to the HTTP handler."""

from collections.abc import Iterable
from dataclasses import dataclass

import msgspec

from turmericreel.model.ids import RequestId, VersionId
from turmericreel.model.request import Usage


@dataclass(frozen=True, kw_only=True)
class Started:
    """The backend server accepted the request; its answer follows.

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
    """The next tokens of the text that arrived in one block.

    Parameters
    ----------
    sequence : int
        Number of the first of these tokens; tokens are numbered from 0 without gaps.
    texts : tuple of str
        Text of each token.
    """

    sequence: int
    texts: tuple[str, ...]


@dataclass(frozen=True, kw_only=True)
class Finished:
    """The answer is complete."""

    usage: Usage
    finish_reason: str = "stop"


@dataclass(frozen=True, kw_only=True)
class WholeAnswer:
    """Complete HTTP answer, as a plain service gives it, delivered in one piece."""

    request_id: RequestId
    version: VersionId
    status: int
    content_type: str
    body: bytes
    key_expires_ms: int | None = None


Piece = Started | Tokens | Finished | WholeAnswer


def text_of(pieces: Iterable[Piece]) -> str:
    """Return the text of an answer from its pieces."""
    texts = []
    for piece in pieces:
        match piece:
            case Tokens(texts=token_texts):
                texts.extend(token_texts)
            case WholeAnswer(body=body):
                texts.append(body.decode(errors="replace"))
    return "".join(texts)
