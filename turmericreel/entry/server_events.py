"""Parses and checks the server-sent events of a streamed answer.

Each event must belong to the attempt, tokens must come in order and only once, and the
stream must be complete.
"""

from collections.abc import Iterable, Iterator

import msgspec

from turmericreel.entry.answer_buffer import AnswerShare
from turmericreel.entry.pieces import Finished, Piece, Tokens
from turmericreel.model.failures import FailureError, FrameBroken
from turmericreel.model.request import Usage
from turmericreel.protocols.chat import DONE, ChatUsage

MAX_EVENT_BYTES = 1024 * 1024


class _Delta(msgspec.Struct):
    content: str | None = None


class _Choice(msgspec.Struct):
    delta: _Delta = msgspec.field(default_factory=_Delta)
    finish_reason: str | None = None


class _Chunk(msgspec.Struct):
    id: str
    choices: list[_Choice] = []
    usage: ChatUsage | None = None
    sequence: int | None = None


_DECODER = msgspec.json.Decoder(_Chunk)


class EventChecker:
    """Converts blocks of server-sent events into pieces.

    Parameters
    ----------
    chunk_id : str
        Id that every chunk of the answer must carry.
    sequence : int
        Number of the first token to yield.
    n_skip : int
        Number of tokens to drop at the beginning, when the server restarted the
        answer.
    requires_sequence : bool
        Whether the first token must carry the expected number, because nothing else
        says at which token the answer begins.
    share : AnswerShare or None
        Counts the bytes of an incomplete event; None sets no joint limit.

    Notes
    -----
    A token with a number that was already received is dropped; a gap in the numbers
    fails the answer.
    """

    def __init__(
        self,
        *,
        chunk_id: str,
        sequence: int = 0,
        n_skip: int = 0,
        requires_sequence: bool = False,
        share: AnswerShare | None = None,
    ):
        self.chunk_id = chunk_id
        self.sequence = sequence
        self.n_skip = n_skip
        self.requires_sequence = requires_sequence
        self.share = share
        self.n_received = 0
        self.usage: Usage | None = None
        self.finish_reason: str | None = None
        self.done = False
        self.unparsed = b""

    def pieces(self, blocks: Iterable[bytes]) -> Iterator[Piece]:
        """Yield the pieces of an answer.

        Raises
        ------
        FailureError
            With `FrameBroken` when an event is malformed, belongs to another attempt,
            is out of order, or is missing at the end; also with the failures of
            reading the blocks.
        """
        for block in blocks:
            texts = self._parse_block(block)
            if texts:
                yield Tokens(sequence=self.sequence - len(texts), texts=tuple(texts))
            if self.done:
                break
        if not self.done or self.finish_reason is None:
            raise _broken("the stream ended before its end event")
        yield Finished(usage=self.usage or Usage(), finish_reason=self.finish_reason)

    def _parse_block(self, block: bytes) -> list[str]:
        data = self.unparsed + block
        if b"\r" in data:
            data = data.replace(b"\r\n", b"\n")
        events = data.split(b"\n\n")
        self.unparsed = events.pop()
        if len(self.unparsed) > MAX_EVENT_BYTES:
            raise _broken("event too long")
        if self.share is not None and not self.share.resize(len(self.unparsed)):
            raise _broken("the buffer is full within an event")
        texts: list[str] = []
        for event in events:
            if self.done:
                break
            self._parse_event(event, texts)
        return texts

    def _parse_event(self, event: bytes, texts: list[str]) -> None:
        data = _event_data(event)
        if data is None:
            return
        if data == DONE:
            self.done = True
            return
        self._parse_chunk(data, texts)

    def _parse_chunk(self, data: bytes, texts: list[str]) -> None:
        try:
            chunk = _DECODER.decode(data)
        except (msgspec.MsgspecError, UnicodeDecodeError) as error:
            raise _broken(f"malformed chunk: {error}") from error
        if chunk.id != self.chunk_id:
            raise _broken(f"the chunk belongs to another attempt: {chunk.id[:80]}")
        if chunk.usage is not None:
            self.usage = chunk.usage.to_usage()
        for choice in chunk.choices:
            if choice.delta.content:
                self._accept_token(choice.delta.content, chunk.sequence, texts)
            if choice.finish_reason is not None:
                self.finish_reason = choice.finish_reason

    def _accept_token(self, text: str, number: int | None, texts: list[str]) -> None:
        if self.finish_reason is not None:
            raise _broken("a token followed the finish reason")
        expected = self.n_received if self.n_skip else self.sequence
        if self.requires_sequence and number != expected:
            raise _broken("the server did not resume")
        self.requires_sequence = False
        if number is not None and number < expected:
            return
        if number is not None and number > expected:
            raise _broken(f"received token {number} instead of token {expected}")
        self.n_received += 1
        if self.n_skip:
            self.n_skip -= 1
            return
        self.sequence += 1
        texts.append(text)


def _event_data(event: bytes) -> bytes | None:
    if b"\n" not in event:
        return event[5:].strip() if event.startswith(b"data:") else None
    lines = [line for line in event.split(b"\n") if line.startswith(b"data:")]
    if len(lines) > 1:
        raise _broken("an event has several data lines")
    return lines[0][5:].strip() if lines else None


def _broken(detail: str) -> FailureError:
    return FailureError(FrameBroken(detail=detail))
