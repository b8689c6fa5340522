"""Builds HTTP answers for callers from the pieces of an answer."""

from collections.abc import Generator, Iterator

import msgspec

from turmericreel.entry.application import (
    HttpAnswer,
    HttpRequest,
    failure_body,
    json_answer,
)
from turmericreel.entry.caller_watch import CallerWatch
from turmericreel.entry.pieces import Finished, Piece, Started, Tokens, WholeAnswer
from turmericreel.model.failures import FailureError
from turmericreel.model.request import Request
from turmericreel.protocols import headers
from turmericreel.protocols.chat import (
    AnswerMessage,
    ChatChunk,
    ChatCompletion,
    Choice,
    ChunkChoice,
    done_event,
    encode_event,
    usage_to_chat,
)

PLACEHOLDER_SEQUENCE = 987_654_321

Pieces = Generator[Piece, None, None]


def answer_chat(request: Request, pieces: Pieces, http: HttpRequest) -> HttpAnswer:
    """Return the answer to a chat call, streamed or whole as requested."""
    watch = CallerWatch(sock=http.socket)
    watch.start()
    try:
        first = next(pieces)
        if isinstance(first, WholeAnswer):
            pieces.close()
            return _whole_answer(first)
        if request.streaming:
            body = StreamedBody(
                chunk_id=request.request_id, first=first, pieces=pieces, watch=watch
            )
            # The body takes over the watch and stops it when it is closed.
            watch = CallerWatch(sock=None)
            return HttpAnswer(
                content_type="text/event-stream",
                header=_answer_header(first) | {headers.OUTCOME: headers.STREAMING},
                body=body,
            )
        return _collect_answer(request, first, pieces)
    finally:
        watch.stop()


def answer_plain(request: Request, pieces: Pieces, http: HttpRequest) -> HttpAnswer:
    """Return the answer to a call of a plain service."""
    # A call that is not repeatable runs to its end even if the caller disconnects,
    # so that its outcome is known.
    watch = CallerWatch(sock=http.socket if request.repeatable else None)
    watch.start()
    try:
        whole = next(pieces)
        pieces.close()
    finally:
        watch.stop()
    return _whole_answer(whole)


def _whole_answer(whole: WholeAnswer) -> HttpAnswer:
    return HttpAnswer(
        status=whole.status,
        content_type=whole.content_type,
        header=_answer_header(whole),
        body=[whole.body],
    )


def _answer_header(first: Started | WholeAnswer) -> dict[str, str]:
    header = {
        headers.REQUEST_ID: first.request_id,
        headers.VERSION: first.version,
        headers.OUTCOME: headers.COMPLETED,
    }
    if first.key_expires_ms is not None:
        header[headers.KEY_EXPIRES_MS] = str(first.key_expires_ms)
    return header


class StreamedBody:
    """Server-sent events of an answer; closing it ends the request.

    Parameters
    ----------
    chunk_id : str
    first : Started
    pieces : generator of Piece
        The pieces after the first one.
    watch : CallerWatch
        Already started.
    """

    def __init__(
        self, *, chunk_id: str, first: Started, pieces: Pieces, watch: CallerWatch
    ):
        self.encoder = ChunkEncoder(chunk_id=chunk_id, model=first.version)
        self.pieces = pieces
        self.watch = watch

    def __iter__(self) -> Iterator[bytes]:
        encoder = self.encoder
        try:
            for piece in self.pieces:
                match piece:
                    case Tokens():
                        yield encoder.encode_tokens(piece)
                    case Finished():
                        # The last chunk and the end event are sent in one write.
                        yield encoder.encode_finished(piece) + done_event()
        except FailureError as error:
            # The status line is already sent, so an error event marks the answer as
            # incomplete, and the end event is omitted.
            yield encode_event({"error": failure_body(error.failure)})

    def close(self) -> None:
        """End the request, also if the body was never iterated."""
        self.watch.stop()
        self.pieces.close()


class ChunkEncoder:
    """Encodes the chunks of one stream as server-sent events.

    Parameters
    ----------
    chunk_id : str
    model : str
    """

    def __init__(self, *, chunk_id: str, model: str):
        self.chunk_id = chunk_id
        self.model = model
        # Chunks differ only in text and sequence, so the rest is encoded once.
        placeholder = "\0"
        sample = ChatChunk(
            id=chunk_id,
            model=model,
            choices=[ChunkChoice()],
            sequence=PLACEHOLDER_SEQUENCE,
        )
        sample.choices[0].delta.content = placeholder
        encoded_placeholder = msgspec.json.encode(placeholder)
        self.prefix, _, rest = encode_event(sample).partition(encoded_placeholder)
        self.middle, _, self.suffix = rest.rpartition(b"%d" % PLACEHOLDER_SEQUENCE)
        self.encode = msgspec.json.Encoder().encode

    def encode_tokens(self, piece: Tokens) -> bytes:
        """Return one event for each token, joined."""
        if len(piece.texts) == 1:
            text = self.encode(piece.texts[0])
            number = b"%d" % piece.sequence
            return b"".join((self.prefix, text, self.middle, number, self.suffix))
        events = []
        for number, text in enumerate(piece.texts, start=piece.sequence):
            events.append(self.prefix)
            events.append(self.encode(text))
            events.append(self.middle)
            events.append(b"%d" % number)
            events.append(self.suffix)
        return b"".join(events)

    def encode_finished(self, piece: Finished) -> bytes:
        """Return the last event, with finish reason and usage."""
        choice = ChunkChoice(finish_reason=piece.finish_reason)
        chunk = ChatChunk(
            id=self.chunk_id,
            model=self.model,
            choices=[choice],
            usage=usage_to_chat(piece.usage),
        )
        return encode_event(chunk)


def _collect_answer(request: Request, first: Started, pieces: Pieces) -> HttpAnswer:
    texts = []
    finished = None
    for piece in pieces:
        match piece:
            case Tokens(texts=new_texts):
                texts.extend(new_texts)
            case Finished():
                finished = piece
    completion = ChatCompletion(
        id=request.request_id,
        model=first.version,
        choices=[
            Choice(
                message=AnswerMessage(content="".join(texts)),
                finish_reason=finished.finish_reason,
            )
        ],
        usage=usage_to_chat(finished.usage),
    )
    answer = json_answer(completion)
    answer.header = _answer_header(first)
    return answer
