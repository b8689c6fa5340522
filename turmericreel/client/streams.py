"""Reads streamed answers and checks that they are complete and of this request."""

from collections.abc import Iterator

import msgspec
from geventhttpclient.response import HTTPParseError

from turmericreel.client.outcomes import Completed, Interrupted, Outcome
from turmericreel.client.wire import decode_failure
from turmericreel.model.failures import NotRun, OutcomeUnknown
from turmericreel.model.ids import RequestId, VersionId
from turmericreel.model.request import Usage
from turmericreel.protocols.chat import DONE, ChatChunk, read_event_data


class AnswerStream:
    """Iterator over the texts of a streamed answer; `outcome` is set at its end.

    Parameters
    ----------
    response : HTTP response or None
        None when the answer is not streamed.
    request_id : RequestId
        Id that every chunk must carry.
    version : VersionId
    client : HTTPClient or None
        Connection, closed when the stream ends.
    outcome : Outcome or None
        Outcome of a call whose answer is not streamed.

    Attributes
    ----------
    outcome : Outcome or None
        None until the answer has ended.
    """

    def __init__(
        self,
        *,
        response=None,
        request_id: RequestId = RequestId(""),
        version: VersionId = VersionId(""),
        client=None,
        outcome: NotRun | OutcomeUnknown | None = None,
    ):
        self.response = response
        self.request_id = request_id
        self.version = version
        self.client = client
        self.outcome: Outcome | None = outcome
        self.texts: list[str] = []
        self.n_tokens = 0
        self.usage = Usage()
        self.finish_reason = ""

    def __iter__(self) -> Iterator[str]:
        if self.response is None:
            yield from self.texts
        try:
            while self.outcome is None:
                yield from self._next_texts()
        finally:
            self.close()

    def close(self) -> None:
        """Close the connection; an answer that has not ended is cancelled."""
        if self.outcome is None:
            self._interrupt("closed by the caller")
        if self.client is not None:
            self.client.close()
            self.client = None

    def read(self) -> Outcome:
        """Read the answer to its end and return the outcome."""
        for _ in self:
            pass
        return self.outcome

    def _next_texts(self) -> Iterator[str]:
        try:
            data = read_event_data(self.response)
        except (OSError, HTTPParseError) as error:
            self._interrupt(str(error))
            return
        if data is None:
            self._interrupt("the stream ended without an end marker")
        elif data == DONE:
            self._complete()
        else:
            yield from self._process_chunk(data)

    def _process_chunk(self, data: bytes) -> Iterator[str]:
        try:
            chunk = msgspec.json.decode(data, type=ChatChunk)
        except msgspec.MsgspecError as error:
            # An error event is not a chunk and has no id.  Whichever failure it
            # reports, the answer had begun, so the outcome is `Interrupted`.
            failure = decode_failure(data)
            self._interrupt(failure.describe() if failure else str(error))
            return
        if chunk.id != self.request_id:
            self._interrupt(f"chunk of another request {chunk.id!r}")
            return
        if chunk.usage is not None:
            self.usage = chunk.usage.to_usage()
        for choice in chunk.choices:
            self.finish_reason = choice.finish_reason or self.finish_reason
            if not choice.delta.content:
                continue
            if chunk.sequence is not None and chunk.sequence != self.n_tokens:
                detail = f"received token {chunk.sequence}, expected {self.n_tokens}"
                self._interrupt(detail)
                return
            self.n_tokens += 1
            self.texts.append(choice.delta.content)
            yield choice.delta.content

    def _complete(self) -> None:
        if not self.finish_reason:
            self._interrupt("end marker received without a finish reason")
            return
        self.outcome = Completed(
            request_id=self.request_id,
            version=self.version,
            text="".join(self.texts),
            usage=self.usage,
            finish_reason=self.finish_reason,
        )

    def _interrupt(self, detail: str) -> None:
        self.outcome = self._interrupted(detail)

    def _interrupted(self, detail: str) -> Interrupted:
        return Interrupted(
            request_id=self.request_id, delivered_tokens=self.n_tokens, detail=detail
        )
