"""Sends one attempt to one server and reads the answer as it arrives."""

from collections.abc import Callable

from eliot import log_message

from turmericreel.entry.server_answer import MIN_FINAL_STATUS, ServerAnswer
from turmericreel.entry.server_connections import ServerConnection
from turmericreel.gateway.client_request import (
    ClientRequest,
    Headers,
    encode_for_server,
    end_to_end_headers,
)
from turmericreel.gateway.header_names import HeaderNames
from turmericreel.gateway.path_connections import PathConnections
from turmericreel.gateway.relay_connections import RelayedConnection
from turmericreel.gateway.server_loads import ServerLoad
from turmericreel.model.failures import (
    FailureError,
    NotRun,
    NotRunReason,
    OutcomeUnknown,
    ProofKind,
)
from turmericreel.model.registered_server import RegisteredServer
from turmericreel.protocols.addresses import parse_address
from turmericreel.util.clock import Clock
from turmericreel.util.numbers import parse_count

# Idle time after which a server that announces no limit may close a connection.
DEFAULT_KEEP_ALIVE_S = 0.5
# Margin before a server's announced idle limit, as the next request takes time to
# arrive.
KEEP_ALIVE_MARGIN_S = 0.5
MIN_TIME_LEFT_MS = 1


class ForwardedAnswer(ServerAnswer):
    """A server's answer that is forwarded to a client.

    An answer without a length is complete when the server closes the connection, but
    not when the connection is reset.

    Parameters
    ----------
    load : ServerLoad
        Load of the server.  Bytes that the server sends on any connection restart the
        idle timeout.

    Attributes
    ----------
    ended_with_connection : bool
        Whether only the closed connection showed where the answer ends.
    """

    requires_stated_end = False

    def __init__(self, *, load: ServerLoad, **options):
        self.load = load
        self.ended_with_connection = False
        super().__init__(**options)

    def set_idle_timeout(self, idle_timeout_s: float | None) -> None:
        """Set the time without bytes from the server after which reading fails.

        Parameters
        ----------
        idle_timeout_s : float or None
            None sets no limit other than the deadline.
        """
        self.idle_timeout_s = idle_timeout_s
        self._restart_timer()

    def _remaining_s(self) -> float:
        self.last_read = max(self.last_read, self.load.last_byte_at)
        return super()._remaining_s()

    def _read_block(self) -> int:
        try:
            n_bytes = super()._read_block()
            self.load.last_byte_at = self.last_read
            return n_bytes
        except FailureError:
            if not self._may_end_with_connection():
                raise
            self.ended_with_connection = True
            self.parser.message_complete = True
            return 0

    def _may_end_with_connection(self) -> bool:
        has_head = self.parser.headers_complete and self.status >= MIN_FINAL_STATUS
        if not has_head or self.timed_out or self.was_reset:
            return False
        return not self.states_its_end

    def forwarded_headers(self) -> Headers:
        """Return the end-to-end headers, which are forwarded to the client."""
        return end_to_end_headers(list(self.parser.items()))


class ServerExchange:
    """Connection and answer of one attempt.

    Parameters
    ----------
    request : ClientRequest
    server : RegisteredServer
    load : ServerLoad
        Load of the server.
    idle_timeout_s : float or None
        Seconds without bytes from the server after which it counts as lost, while the
        header of the answer is pending; None waits for the deadline.
    header_deadline : float
        When the header of the answer must be complete, in seconds on the monotonic
        clock.
    connections : PathConnections
    names : HeaderNames
    clock : Clock
    deadline : float
        When the answer must be complete, in seconds on the monotonic clock.

    Attributes
    ----------
    used_stale_connection : bool
        Whether the attempt failed on a reused connection that the server had probably
        closed.
    sending_failed : bool
        Whether the connection broke while the request was being sent.
    """

    def __init__(
        self,
        *,
        request: ClientRequest,
        server: RegisteredServer,
        load: ServerLoad,
        idle_timeout_s: float | None,
        header_deadline: float,
        connections: PathConnections,
        names: HeaderNames,
        clock: Clock,
        deadline: float,
    ):
        self.request = request
        self.server = server
        self.address = parse_address(server.address)
        self.load = load
        self.idle_timeout_s = idle_timeout_s
        self.header_deadline = header_deadline
        self.connections = connections
        self.names = names
        self.clock = clock
        self.deadline = deadline
        self.connection: ServerConnection | None = None
        self.answer: ForwardedAnswer | None = None
        self.used_stale_connection = False
        self.sending_failed = False

    @property
    def is_relayed(self) -> bool:
        """Whether the connection goes through another gateway."""
        return isinstance(self.connection, RelayedConnection)

    @property
    def connection_lost(self) -> bool:
        """Whether the server closed or reset the connection before its answer ended."""
        if self.is_relayed and (self.answer is None or self.connection.was_broken_off):
            return False
        if self.answer is None:
            return self.sending_failed
        return self.answer.connection_lost

    def begin(
        self,
        *,
        last_event_id: str | None,
        on_header: Callable[[RegisteredServer, ForwardedAnswer], None],
    ) -> ForwardedAnswer:
        """Connect, send the request, and read the header of the answer.

        Parameters
        ----------
        last_event_id : str or None
            Event after which the server should resume a stream.
        on_header : callable
            Called with the server and its answer, also if it refused the request, but
            not with bytes that are not its answer.

        Raises
        ------
        FailureError
            With `NotRun` when the server provably did not run the request, or
            `OutcomeUnknown`.
        """
        self.connection = self._connect()
        self._send(last_event_id)
        self.answer = ForwardedAnswer(
            load=self.load,
            connection=self.connection,
            method=self.request.method,
            clock=self.clock,
            deadline=min(self.deadline, self.header_deadline),
        )
        self.answer.set_idle_timeout(self.idle_timeout_s)
        try:
            self.answer.read_header()
        except FailureError as error:
            # The server may have closed a reused connection for being idle too long,
            # which is no failure of the server; bytes that are no answer are one.
            self.used_stale_connection = (
                self.connection.was_idle
                and self.answer.connection_lost
                and not self.answer.has_begun
            )
            if self.used_stale_connection:
                self.connections.close_idle(self.connection.address)
            if self.answer.timed_out:
                self.connections.record_silence(self.connection)
            raise self._outcome_unknown(error.failure.describe()) from error
        self.answer.deadline = self.deadline
        self.answer.set_idle_timeout(None)
        self._check_identity()
        on_header(self.server, self.answer)
        if self.answer.header(self.names.not_run):
            self._check_refusal()
            raise _not_run(
                NotRunReason.REFUSED_BY_SERVER,
                ProofKind.REFUSED_BY_PROTOCOL,
                f"status {self.answer.status}",
            )
        return self.answer

    def end(self) -> None:
        """Return the connection to the pool if the answer is complete, or close it.

        Closing the connection cancels the request at the server.
        """
        if self.answer is not None:
            self.answer.close()
        if self.connection is None:
            return
        connection, self.connection = self.connection, None
        if self.answer is not None and self.answer.reusable:
            self.connections.release(connection, keep_s=self._keep_alive_s())
        else:
            connection.close()

    def _connect(self) -> ServerConnection:
        try:
            return self.connections.acquire(
                self.address,
                deadline=self.deadline,
                must_be_fresh=not self.request.route.is_idempotent,
            )
        except OSError as error:
            raise _not_run(
                NotRunReason.NO_HEALTHY_SERVER,
                ProofKind.CONNECTION_REFUSED,
                str(error),
            ) from error

    def _send(self, last_event_id: str | None) -> None:
        left_s = self.deadline - self.clock.monotonic()
        parts = encode_for_server(
            self.request,
            names=self.names,
            server=self.server.server,
            left_ms=max(int(left_s * 1_000), MIN_TIME_LEFT_MS),
            last_event_id=last_event_id,
        )
        n_sent = 0
        try:
            for data in map(memoryview, parts):
                while data:
                    n_block = self.connection.send(data, timeout=max(left_s, 0.001))
                    n_sent += n_block
                    data = data[n_block:]
        except OSError as error:
            if n_sent == 0:
                raise _not_run(
                    NotRunReason.NO_HEALTHY_SERVER,
                    ProofKind.NOT_DISPATCHED,
                    str(error),
                ) from error
            self.sending_failed = not isinstance(error, TimeoutError)
            raise self._outcome_unknown(str(error)) from error

    def _check_identity(self) -> None:
        """Raise `OutcomeUnknown` if the answer is not the server's to this request."""
        problem = self._identity_problem()
        if problem is None:
            return
        log_message(
            "gateway:answer_of_another",
            request=self.request.attempt_id,
            server=self.server.server,
            status=self.answer.status,
            answered=self.answer.header_values(self.names.attempt_id),
            problem=problem,
        )
        self.answer.parser.has_extra_bytes = True
        raise self._outcome_unknown(problem)

    def _identity_problem(self) -> str | None:
        answered = self.answer.header_values(self.names.attempt_id)
        if answered and answered != [self.request.attempt_id]:
            return "answer of another request"
        if not self.names.signature:
            return None
        if self.request.attempt_id and not answered:
            return "answer without the id of a request"
        is_success = self.answer.status // 100 == 2
        if is_success and not self.answer.header(self.names.signature):
            return "success without a signature"
        return None

    def _check_refusal(self) -> None:
        """Raise `OutcomeUnknown` if the refusal may be an earlier one, sent again."""
        attempt_id = self.request.attempt_id
        is_named = self.answer.header(self.names.attempt_id) == attempt_id
        if not is_named or attempt_id in self.connection.refused_attempts:
            log_message(
                "gateway:refusal_of_another",
                request=attempt_id,
                server=self.server.server,
            )
            self.answer.parser.has_extra_bytes = True
            raise self._outcome_unknown("refusal of another request")
        self.connection.refused_attempts.add(attempt_id)

    def _keep_alive_s(self) -> float:
        keep_alive = self.answer.header("Keep-Alive")
        for part in keep_alive.split(","):
            name, _, value = part.strip().partition("=")
            seconds = parse_count(value)
            if name.lower() == "timeout" and seconds is not None:
                return max(seconds - KEEP_ALIVE_MARGIN_S, 0.0)
        return DEFAULT_KEEP_ALIVE_S

    def _outcome_unknown(self, detail: str) -> FailureError:
        return FailureError(
            OutcomeUnknown(request_id=self.request.attempt_id, detail=detail)
        )


def _not_run(reason: NotRunReason, proof: ProofKind, detail: str) -> FailureError:
    return FailureError(NotRun(reason=reason, proof=proof, detail=detail))
