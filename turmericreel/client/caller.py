"""Sends calls to instances, retries them where that is safe, and reports outcomes."""

from collections.abc import Callable
from functools import partial
from random import Random, SystemRandom

import gevent
import msgspec
from gevent.ssl import SSLContext

from turmericreel.client.address_book import AddressBook, fetch_list
from turmericreel.client.exchange import Call, exchange
from turmericreel.client.outcomes import Completed, Outcome
from turmericreel.client.resends import next_send
from turmericreel.client.streams import AnswerStream
from turmericreel.model.failures import (
    FailureError,
    NotRun,
    NotRunReason,
    OutcomeUnknown,
)
from turmericreel.protocols import headers
from turmericreel.protocols.chat import ChatMessage, ChatRequest
from turmericreel.util.clock import Clock, SystemClock

CHAT_PATH = "/v1/chat/completions"
DEFAULT_DEADLINE_S = 60.0


class Caller:
    """Client that calls services through any available instance.

    Parameters
    ----------
    bootstrap : list of str
        Addresses ``ip:port`` of a few instances to fetch the address list from.
    key : str
        Key of the client account.
    data_centre : str
        Data centre of the caller; ``""`` leaves the choice to the instance.
    context : SSLContext or None
        TLS context; None uses plain text.
    clock : Clock
    rng : Random
    sleep : callable
        Called with the seconds to wait before a resend.
    """

    def __init__(
        self,
        *,
        bootstrap: list[str],
        key: str,
        data_centre: str = "",
        context: SSLContext | None = None,
        clock: Clock | None = None,
        rng: Random | None = None,
        sleep: Callable[[float], None] = gevent.sleep,
    ):
        self.bootstrap = bootstrap
        self.key = key
        self.data_centre = data_centre
        self.context = context
        self.clock = clock or SystemClock()
        self.rng = rng or SystemRandom()
        self.sleep = sleep
        self.address_books: dict[str, AddressBook] = {}

    def chat(
        self,
        service: str,
        content: str | list[ChatMessage],
        *,
        session: str = "",
        max_tokens: int = 256,
        deadline_s: float = DEFAULT_DEADLINE_S,
    ) -> Outcome:
        """Send a chat request and return the complete answer or the failure.

        Parameters
        ----------
        service : str
        content : str or list of ChatMessage
            One user message, or the conversation so far.
        session : str
            All requests of one session are served by the same version.
        max_tokens : int
        deadline_s : float
            Time limit in seconds, including resends.
        """
        call = self._chat_call(service, content, session, max_tokens, stream=False)
        sent = self._send(call, service, deadline_s=deadline_s)
        return sent.read() if isinstance(sent, AnswerStream) else sent

    def stream(
        self,
        service: str,
        content: str | list[ChatMessage],
        *,
        session: str = "",
        max_tokens: int = 256,
        deadline_s: float = DEFAULT_DEADLINE_S,
    ) -> AnswerStream:
        """Send a chat request and return the answer as a stream of texts.

        The parameters are those of `chat`.  After the stream has ended, its `outcome`
        shows whether the answer is complete.
        """
        call = self._chat_call(service, content, session, max_tokens, stream=True)
        sent = self._send(call, service, deadline_s=deadline_s)
        if isinstance(sent, AnswerStream):
            return sent
        stream = AnswerStream(outcome=sent)
        if isinstance(sent, Completed):
            stream.texts.append(sent.text)
        return stream

    def call(
        self,
        service: str,
        method: str,
        path: str,
        *,
        body: bytes = b"",
        idempotency_key: str = "",
        session: str = "",
        content_type: str = "application/json",
        deadline_s: float = DEFAULT_DEADLINE_S,
    ) -> Outcome:
        """Call a plain service.

        Parameters
        ----------
        idempotency_key : str
            Required unless the route is declared repeatable, and the same whenever
            the application repeats the call.  With a key, a call whose answer was
            lost is sent again and receives the recorded answer.
        deadline_s : float
            Time limit in seconds, including resends.
        """
        header = {"Content-Type": content_type, **self._header(session)}
        if idempotency_key:
            header[headers.IDEMPOTENCY_KEY] = idempotency_key
        plain = Call(
            method=method, path=f"/services/{service}{path}", body=body, header=header
        )
        return self._send(plain, service, deadline_s=deadline_s)

    def _chat_call(self, service, content, session, max_tokens, *, stream) -> Call:
        messages = content
        if isinstance(content, str):
            messages = [ChatMessage(role="user", content=content)]
        request = ChatRequest(
            model=service, messages=messages, stream=stream, max_tokens=max_tokens
        )
        return Call(
            method="POST",
            path=CHAT_PATH,
            body=msgspec.json.encode(request),
            chat=True,
            streaming=stream,
            header={"Content-Type": "application/json", **self._header(session)},
        )

    def _header(self, session: str) -> dict[str, str]:
        header = {"Authorization": f"Bearer {self.key}"}
        if session:
            header[headers.SESSION] = session
        return header

    def _send(
        self, call: Call, service: str, *, deadline_s: float
    ) -> Outcome | AnswerStream:
        deadline = self.clock.monotonic() + deadline_s
        book = self._address_book(service)
        tried: set[str] = set()
        has_key = headers.IDEMPOTENCY_KEY in call.header
        may_have_run = False
        n_sends = 0
        while True:
            n_sends += 1
            outcome = self._send_once(call, book, tried, deadline)
            if isinstance(outcome, Completed | AnswerStream):
                return outcome
            may_have_run |= isinstance(outcome, OutcomeUnknown)
            resend = next_send(
                outcome,
                has_key=has_key,
                n_sends=n_sends,
                n_addresses_left=len([a for a in book.addresses if a not in tried]),
            )
            now = self.clock.monotonic()
            if resend is None or now + resend.pause_s >= deadline:
                return _final_outcome(outcome, may_have_run=may_have_run)
            if resend.pause_s:
                self.sleep(resend.pause_s)

    def _send_once(
        self, call: Call, book: AddressBook, tried: set[str], deadline: float
    ) -> Outcome | AnswerStream:
        try:
            listed = book.current()
        except FailureError as error:
            return error.failure
        if not listed:
            return NotRun(
                reason=NotRunReason.NO_HEALTHY_SERVER,
                retry_after_ms=1_000,
                detail="no instance could be reached",
            )
        if tried.issuperset(listed):
            tried.clear()
        address = next(a for a in listed if a not in tried)
        tried.add(address)
        left_s = max(deadline - self.clock.monotonic(), 0.001)
        outcome = exchange(call, address, left_s=left_s, context=self.context)
        if isinstance(outcome, NotRun):
            book.set_hints(outcome.addresses)
            if outcome.reason is NotRunReason.STOPPING:
                book.drop(address)
        return outcome

    def _address_book(self, service: str) -> AddressBook:
        if service not in self.address_books:
            fetch = partial(
                fetch_list,
                key=self.key,
                service=service,
                data_centre=self.data_centre,
                context=self.context,
            )
            self.address_books[service] = AddressBook(
                bootstrap=self.bootstrap, fetch=fetch, clock=self.clock, rng=self.rng
            )
        return self.address_books[service]


def _final_outcome(outcome: Outcome, *, may_have_run: bool) -> Outcome:
    # `NotRun` proves only that the last send did not run; an earlier one may have.
    if may_have_run and isinstance(outcome, NotRun):
        return OutcomeUnknown(request_id="", detail=outcome.describe())
    return outcome
