"""Handler for the calls that instances dispatch to a stand-in server."""

from dataclasses import dataclass
from random import Random

import msgspec
from gevent import sleep

from turmericreel.fakes.behaviour import FakeBehaviour, FakeFault, FakeRecord
from turmericreel.fakes.chat_answers import ChatCall, chat_events, full_completion
from turmericreel.fakes.listener import answer_json, broken_pipe_error
from turmericreel.fakes.prefix_cache import FakePrefixCache
from turmericreel.protocols import headers
from turmericreel.protocols.chat import ChatRequest


@dataclass(frozen=True, kw_only=True)
class DispatchedCall:
    """A dispatched call."""

    path: str
    body: bytes
    request_id: str
    attempt: str
    version: str
    priority: str
    resume_from: int
    fault: FakeFault

    def identity_headers(self) -> list[tuple[str, str]]:
        """Return the headers that identify the request an answer belongs to."""
        request_id = self.request_id
        if self.fault is FakeFault.FOREIGN_HEADER:
            request_id = "another-request"
        return [
            (headers.REQUEST_ID, request_id),
            (headers.ATTEMPT, self.attempt),
            (headers.VERSION, self.version),
        ]


class CallHandler:
    """Answers and records calls, with the faults that the behaviour configures.

    Parameters
    ----------
    name : str
    capacity : int
    cache : FakePrefixCache
    rng : Random
    record : FakeRecord
    """

    def __init__(
        self,
        *,
        name: str,
        capacity: int,
        cache: FakePrefixCache,
        rng: Random,
        record: FakeRecord,
    ):
        self.name = name
        self.capacity = capacity
        self.cache = cache
        self.rng = rng
        self.record = record

    def serve(self, environ, start_response, body: bytes, behaviour: FakeBehaviour):
        """Serve a call as a WSGI application."""
        call = self._parse_call(environ, body, behaviour)
        if self._should_refuse(behaviour):
            self.record.refused.append(call.request_id)
            refusal = [(headers.REFUSED, "busy"), *call.identity_headers()]
            start_response("503 Service Unavailable", refusal)
            return []
        self.record.requests.append(call.request_id)
        self.record.versions.append(call.version)
        self.record.priorities.append(call.priority)
        if call.path.endswith("/chat/completions"):
            return self._serve_chat(start_response, call, behaviour)
        return self._serve_plain(start_response, call, behaviour)

    def _parse_call(
        self, environ, body: bytes, behaviour: FakeBehaviour
    ) -> DispatchedCall:
        def header(name: str, default: str = "") -> str:
            return environ.get(headers.environ_key(name), default)

        resume_from = int(header(headers.RESUME_FROM, "0"))
        return DispatchedCall(
            path=environ["PATH_INFO"],
            body=body,
            request_id=header(headers.REQUEST_ID),
            attempt=header(headers.ATTEMPT),
            version=header(headers.VERSION),
            priority=header(headers.PRIORITY),
            resume_from=resume_from if behaviour.resumes else 0,
            fault=self._draw_fault(behaviour),
        )

    def _should_refuse(self, behaviour: FakeBehaviour) -> bool:
        if behaviour.refuse_over_capacity:
            return self.record.n_running >= self.capacity
        return self.rng.random() < behaviour.refuse_rate

    def _draw_fault(self, behaviour: FakeBehaviour) -> FakeFault:
        if behaviour.fault is FakeFault.NONE:
            return FakeFault.NONE
        has_fault = self.rng.random() < behaviour.fault_rate
        return behaviour.fault if has_fault else FakeFault.NONE

    def _serve_plain(
        self, start_response, call: DispatchedCall, behaviour: FakeBehaviour
    ):
        self.record.effects += 1
        self.record.effects_by_request[call.request_id] += 1
        effect = {"effect": self.record.effects, "server": self.name}
        if call.fault is FakeFault.LATE:
            sleep(behaviour.late_ms / 1_000)
        if call.fault is FakeFault.NO_ANSWER:
            raise broken_pipe_error()
        if call.fault is FakeFault.TRUNCATED:
            truncation_headers = [("Content-Length", "1000"), ("Connection", "close")]
            return answer_json(
                start_response, effect, [*truncation_headers, *call.identity_headers()]
            )
        return answer_json(start_response, effect, call.identity_headers())

    def _serve_chat(
        self, start_response, call: DispatchedCall, behaviour: FakeBehaviour
    ):
        if call.fault is FakeFault.NO_ANSWER:
            raise broken_pipe_error()
        chat = ChatCall(
            request_id=call.request_id,
            attempt=call.attempt,
            body=call.body,
            chat=msgspec.json.decode(call.body, type=ChatRequest),
            resume_from=call.resume_from,
            cached_tokens=self.cache.match_and_store(call.body)
            if behaviour.cache_blocks
            else 0,
            fault=call.fault,
        )
        identity_headers = call.identity_headers()
        if call.resume_from:
            self.record.resumed.append(call.request_id)
            identity_headers.append((headers.RESUME_FROM, str(call.resume_from)))
        if behaviour.honours_stream and not chat.chat.stream:
            whole = full_completion(chat, behaviour)
            start_response(
                "200 OK", [("Content-Type", "application/json"), *identity_headers]
            )
            return [whole]
        start_response(
            "200 OK", [("Content-Type", "text/event-stream"), *identity_headers]
        )
        return self._stream_events(chat, behaviour)

    def _stream_events(self, chat: ChatCall, behaviour: FakeBehaviour):
        self.record.n_running += 1
        self.record.most_running = max(self.record.most_running, self.record.n_running)
        try:
            yield from chat_events(chat, behaviour)
        except GeneratorExit:
            self.record.cancelled.append(chat.request_id)
            raise
        finally:
            self.record.n_running -= 1
