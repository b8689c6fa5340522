"""Sends one attempt to one server and reads the answer as it comes."""

from eliot import log_message

from turmericreel.entry.server_answer import ServerAnswer
from turmericreel.entry.server_connections import ServerConnection, ServerConnections
from turmericreel.gateway.client_request import (
    ClientRequest,
    Headers,
    encode_for_server,
    end_to_end_headers,
)
from turmericreel.gateway.header_names import HeaderNames
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

CONNECT_TIMEOUT_S = 0.5
# Idle time after which a server may close a connection without having said so.
UNANNOUNCED_KEEP_S = 0.5
# Margin before a server's announced idle limit, for the way of the next request.
KEEP_MARGIN_S = 0.5
LEAST_LEFT_MS = 1


class PassedAnswer(ServerAnswer):
    """A server's answer on its way to a client.

    An answer without a length ends with its connection; one that was reset does not.

    Parameters
    ----------
    load : ServerLoad
        Of the server; a server that is heard on another connection is not silent.
    """

    def __init__(self, *, load: ServerLoad, **options):
        self.load = load
        super().__init__(**options)

    def limit_silence(self, silence_s: float | None) -> None:
        """Break the answer when nothing is heard of the server for a time."""
        self.idle_timeout = silence_s
        self._restart_timer()

    def _remaining_s(self) -> float:
        self.last_read = max(self.last_read, self.load.heard_at)
        return super()._remaining_s()

    def _read_block(self) -> int:
        try:
            n_bytes = super()._read_block()
            self.load.heard_at = self.last_read
            return n_bytes
        except FailureError:
            if not self._ended_with_connection():
                raise
            self.parser.message_complete = True
            return 0

    def _ended_with_connection(self) -> bool:
        if not self.parser.headers_complete or self.timed_out or self.was_reset:
            return False
        chunked = "chunked" in self.header("Transfer-Encoding").lower()
        return not (chunked or self.header("Content-Length"))

    def read_whole(self, limit_bytes: int) -> bytes:
        """Return the body.

        Raises
        ------
        FailureError
            With `PeerUnreachable` when it broke off or is too long.
        """
        while not self.parser.message_complete:
            self._read_block()
            if len(self.parser.body) > limit_bytes:
                raise self._unreachable(f"body over {limit_bytes} bytes")
        return bytes(self.parser.body)

    def passed_headers(self) -> Headers:
        """Return the headers that are meant for the client."""
        return end_to_end_headers(list(self.parser.items()))


class ServerExchange:
    """One attempt: its connection and its answer.

    Parameters
    ----------
    request : ClientRequest
    server : RegisteredServer
    connections : ServerConnections
    names : HeaderNames
    clock : Clock
    load : ServerLoad
        Of the server.
    silence_s : float or None
        Silence of the server after which it counts as lost; None waits for the
        deadline.
    header_deadline : float
        When the answer must have begun, in seconds on the monotonic clock.
    deadline : float
        Seconds on the monotonic clock.
    """

    def __init__(
        self,
        *,
        request: ClientRequest,
        server: RegisteredServer,
        load: ServerLoad,
        silence_s: float | None,
        header_deadline: float,
        connections: ServerConnections,
        names: HeaderNames,
        clock: Clock,
        deadline: float,
    ):
        self.request = request
        self.server = server
        self.load = load
        self.silence_s = silence_s
        self.header_deadline = header_deadline
        self.connections = connections
        self.names = names
        self.clock = clock
        self.deadline = deadline
        self.connection: ServerConnection | None = None
        self.answer: PassedAnswer | None = None
        self.was_forgotten = False

    def begin(self, *, last_event_id: str | None) -> PassedAnswer:
        """Connect, send the request, and read the header of the answer.

        Raises
        ------
        FailureError
            With `NotRun` when the server provably did not run the request, or
            `OutcomeUnknown`.
        """
        self.connection = self._connect()
        self._send(last_event_id)
        self.answer = PassedAnswer(
            load=self.load,
            connection=self.connection,
            method=self.request.method,
            clock=self.clock,
            deadline=min(self.deadline, self.header_deadline),
        )
        self.answer.limit_silence(self.silence_s)
        try:
            self.answer.read_header()
        except FailureError as error:
            # That it rested for too long says nothing about the server.
            self.was_forgotten = self.connection.was_idle and not self.answer.timed_out
            if self.was_forgotten:
                self.connections.close_idle(self.connection.address)
            raise self._unknown(error.failure.describe()) from error
        self.answer.deadline = self.deadline
        self.answer.limit_silence(None)
        self._check_identity()
        if self.answer.header(self.names.not_run):
            raise _not_run(
                NotRunReason.REFUSED_BY_SERVER,
                ProofKind.REFUSED_BY_PROTOCOL,
                f"status {self.answer.status}",
            )
        return self.answer

    def end(self) -> None:
        """Keep the connection if the answer was read to its end, or close it.

        Closing it cancels what the server still does for the request.
        """
        if self.answer is not None:
            self.answer.close()
        if self.connection is None:
            return
        connection, self.connection = self.connection, None
        if self.answer is not None and self.answer.reusable:
            self.connections.release(connection, keep_s=self._keep_s())
        else:
            connection.close()

    def _connect(self) -> ServerConnection:
        address = parse_address(self.server.address)
        left = self.deadline - self.clock.monotonic()
        try:
            return self.connections.acquire(
                address,
                timeout=min(CONNECT_TIMEOUT_S, max(left, 0.001)),
                must_be_fresh=not self.request.route.is_idempotent,
            )
        except OSError as error:
            self.connections.close_idle(address)
            raise _not_run(
                NotRunReason.NO_HEALTHY_SERVER,
                ProofKind.CONNECTION_REFUSED,
                str(error),
            ) from error

    def _send(self, last_event_id: str | None) -> None:
        left_s = self.deadline - self.clock.monotonic()
        data = memoryview(
            encode_for_server(
                self.request,
                names=self.names,
                server=self.server.server,
                left_ms=max(int(left_s * 1_000), LEAST_LEFT_MS),
                last_event_id=last_event_id,
            )
        )
        n_sent = 0
        try:
            while n_sent < len(data):
                n_sent += self.connection.send(
                    data[n_sent:], timeout=max(left_s, 0.001)
                )
        except OSError as error:
            if n_sent == 0:
                raise _not_run(
                    NotRunReason.NO_HEALTHY_SERVER,
                    ProofKind.NOT_DISPATCHED,
                    str(error),
                ) from error
            raise self._unknown(str(error)) from error

    def _check_identity(self) -> None:
        answered = self.answer.header(self.names.attempt_id)
        if answered and answered != self.request.attempt_id:
            log_message(
                "gateway:answer_of_another",
                request=self.request.attempt_id,
                server=self.server.server,
                answered=answered,
            )
            self.answer.parser.has_extra_bytes = True
            raise self._unknown("answer of another request")

    def _keep_s(self) -> float:
        written = self.answer.header("Keep-Alive")
        for part in written.split(","):
            name, _, value = part.strip().partition("=")
            if name.lower() == "timeout" and value.isdigit():
                return max(int(value) - KEEP_MARGIN_S, 0.0)
        return UNANNOUNCED_KEEP_S

    def _unknown(self, detail: str) -> FailureError:
        return FailureError(
            OutcomeUnknown(request_id=self.request.attempt_id, detail=detail)
        )


def _not_run(reason: NotRunReason, proof: ProofKind, detail: str) -> FailureError:
    return FailureError(NotRun(reason=reason, proof=proof, detail=detail))
