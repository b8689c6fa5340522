"""Serves the proposals and queries of subscribers, or forwards them to the leader."""

from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from gevent import spawn
from gevent.timeout import Timeout

from turmericreel.control.subscriber import MAX_CALLS, Subscriber
from turmericreel.control.subscriptions import Subscribers
from turmericreel.coordination.control_client import ControlClient
from turmericreel.coordination.replicated_log import ReplicatedLog
from turmericreel.model.failures import (
    CommitUnknown,
    ControlOverloaded,
    Failure,
    FailureError,
    NotLeader,
    QueryInvalid,
    failure_to_wire,
)
from turmericreel.protocols.control_messages import (
    Answered,
    Propose,
    Query,
    QueryAnswered,
    Refused,
)
from turmericreel.protocols.frames import MAX_FRAME_BYTES
from turmericreel.state.commands.union import Command, Result
from turmericreel.state.machine import StateMachine

PROPOSE_TIMEOUT_S = 5.0
QUERY_TIMEOUT_S = 3.0
MAX_ANSWER_BYTES = MAX_FRAME_BYTES - 65_536
OVERLOAD_RETRY_MS = 200

QueryFunction = Callable[..., object]


@dataclass(frozen=True, kw_only=True)
class QueryContext:
    """State and arguments that a query may read."""

    machine: StateMachine
    subscribers: Subscribers
    arguments: dict[str, str]


class CallServer:
    """Serves the proposals and queries of subscribers.

    Parameters
    ----------
    log : ReplicatedLog or None
        None in an instance that only relays.
    upstream : ControlClient or None
        Client that forwards calls while another instance leads.
    queries : dict of str to callable
        Functions by query name; each takes a `QueryContext` and returns a value that
        msgspec can encode.
    subscribers : Subscribers
    is_leader : callable
        Returns whether this instance leads right now.
    leader_hint : callable
        Returns the control address of the leader by the local view.
    """

    def __init__(
        self,
        *,
        log: ReplicatedLog | None,
        upstream: ControlClient | None,
        queries: dict[str, QueryFunction],
        subscribers: Subscribers,
        is_leader: Callable[[], bool],
        leader_hint: Callable[[], str],
    ):
        self.log = log
        self.upstream = upstream
        self.queries = queries
        self.subscribers = subscribers
        self.is_leader = is_leader
        self.leader_hint = leader_hint

    def start(self, subscriber: Subscriber, message: Propose | Query) -> None:
        """Serve a call in a task of its own, so that later messages are not delayed.

        A subscriber with `MAX_CALLS` calls in progress gets `ControlOverloaded`.
        """
        serve = self._propose if isinstance(message, Propose) else self._query
        if subscriber.n_calls >= MAX_CALLS:
            failure = ControlOverloaded(retry_after_ms=OVERLOAD_RETRY_MS)
            self._refuse(subscriber, message.call, failure)
            return
        subscriber.n_calls += 1
        spawn(self._serve_call, subscriber, message, serve)

    def _serve_call(self, subscriber: Subscriber, message, serve: Callable) -> None:
        try:
            subscriber.send(serve(message))
        except FailureError as error:
            self._refuse(subscriber, message.call, error.failure)
        except Timeout:
            self._refuse(subscriber, message.call, CommitUnknown(detail="timeout"))
        finally:
            subscriber.n_calls -= 1

    def _propose(self, message: Propose) -> Answered:
        result = self._commit(message.command)
        return Answered(call=message.call, result=result)

    def _commit(self, command: Command) -> Result:
        if self.is_leader() or self.upstream is None:
            return self.log.propose(command, timeout=PROPOSE_TIMEOUT_S)
        try:
            return self.upstream.propose(command, timeout=PROPOSE_TIMEOUT_S)
        except FailureError:
            if not self.is_leader():
                raise
        # This instance has become the leader meanwhile; commands are idempotent.
        return self.log.propose(command, timeout=PROPOSE_TIMEOUT_S)

    def _query(self, message: Query) -> QueryAnswered:
        if not self.is_leader() and self.upstream is not None:
            try:
                value = self.upstream.query(
                    message.what, timeout=QUERY_TIMEOUT_S, **message.arguments
                )
                return QueryAnswered(call=message.call, value=value)
            except FailureError:
                # This instance may have become the leader during the forwarded query.
                if not self.is_leader():
                    raise
        if not self.is_leader():
            raise FailureError(NotLeader(leader=self.leader_hint()))
        return QueryAnswered(call=message.call, value=self._read(message))

    def _read(self, message: Query) -> bytes:
        query = self.queries.get(message.what)
        if query is None:
            raise FailureError(QueryInvalid(detail=f"unknown query {message.what!r}"))
        context = QueryContext(
            machine=self.log.machine,
            subscribers=self.subscribers,
            arguments=message.arguments,
        )
        try:
            value = msgspec.msgpack.encode(query(context))
        except (KeyError, ValueError) as error:
            detail = f"{message.what}: {error!r}"
            raise FailureError(QueryInvalid(detail=detail)) from error
        if len(value) > MAX_ANSWER_BYTES:
            # It would exceed the frame limit and break the stream for other messages.
            detail = f"{message.what}: answer too large ({len(value)} bytes)"
            raise FailureError(QueryInvalid(detail=detail))
        if not self.is_leader():
            # Leadership may have ended while the query ran.
            raise FailureError(NotLeader(leader=self.leader_hint()))
        return value

    def _refuse(self, subscriber: Subscriber, call: int, failure: Failure) -> None:
        subscriber.send(Refused(call=call, failure=failure_to_wire(failure)))
