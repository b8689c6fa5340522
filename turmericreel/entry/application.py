"""The WSGI application: routes each HTTP request to its handler."""

from collections.abc import Callable, Iterable, Iterator, Sequence
from dataclasses import dataclass, field
from typing import Any

import msgspec
from eliot import write_traceback

from turmericreel.entry.request_body import NoRoomError
from turmericreel.model.failures import (
    CommitUnknown,
    Failure,
    FailureError,
    Interrupted,
    NotRun,
    NotRunReason,
    OutcomeUnknown,
    QueryInvalid,
    RoutingRejected,
    SubmitConflict,
    TextRejected,
    Unauthenticated,
    failure_to_wire,
)
from turmericreel.protocols import headers
from turmericreel.protocols.dropped_input import DropReason, Endpoint, count_dropped

NO_ROOM_RETRY_AFTER_MS = 1_000
RAW_PATH = "turmericreel.raw_path"
SOCKET_KEY = "turmericreel.socket"

STATUS_LINES = {
    200: "200 OK",
    201: "201 Created",
    202: "202 Accepted",
    307: "307 Temporary Redirect",
    400: "400 Bad Request",
    401: "401 Unauthorized",
    403: "403 Forbidden",
    404: "404 Not Found",
    405: "405 Method Not Allowed",
    408: "408 Request Timeout",
    409: "409 Conflict",
    410: "410 Gone",
    413: "413 Content Too Large",
    422: "422 Unprocessable Content",
    429: "429 Too Many Requests",
    431: "431 Request Header Fields Too Large",
    500: "500 Internal Server Error",
    502: "502 Bad Gateway",
    503: "503 Service Unavailable",
    504: "504 Gateway Timeout",
}

NOT_RUN_STATUS = {
    NotRunReason.UNAUTHENTICATED: 401,
    NotRunReason.BAD_REQUEST: 400,
    NotRunReason.UNKNOWN_SERVICE: 404,
    NotRunReason.VERSION_NOT_ALLOWED: 403,
    NotRunReason.SESSION_ENDED: 410,
    NotRunReason.KEY_REQUIRED: 400,
    NotRunReason.KEY_REUSED: 422,
    NotRunReason.KEY_EXPIRED: 410,
    NotRunReason.OVER_LIMIT: 429,
    NotRunReason.QUARANTINED: 422,
    NotRunReason.IN_PROGRESS: 409,
}


@dataclass(frozen=True, kw_only=True)
class HttpRequest:
    """The parts of an HTTP request that a handler needs.

    Parameters
    ----------
    path : str
        Decoded, for routing.
    raw_path : str
        Undecoded, for forwarding.
    socket : socket or None
        The caller's connection, for detecting that it was closed.
    """

    method: str
    path: str
    raw_path: str
    query: str
    header: dict[str, str]
    body: bytes
    peer: str = ""
    socket: Any = None

    @property
    def bearer(self) -> str:
        """Bearer key of the Authorization header, or ``""``."""
        scheme, _, key = self.header.get("Authorization", "").partition(" ")
        return key.strip() if scheme.lower() == "bearer" else ""


@dataclass(kw_only=True)
class HttpAnswer:
    """Answer of a handler; the body may be produced while it is sent."""

    status: int = 200
    content_type: str = "application/json"
    header: dict[str, str] = field(default_factory=dict)
    body: Iterable[bytes] = ()


Handler = Callable[[HttpRequest], HttpAnswer]


def json_answer(value, *, status: int = 200, **header: str) -> HttpAnswer:
    """Return an answer with a JSON body."""
    return HttpAnswer(status=status, header=header, body=[msgspec.json.encode(value)])


def failure_answer(failure: Failure) -> HttpAnswer:
    """Return the HTTP answer for a failure."""
    answer = json_answer({"error": failure_body(failure)})
    answer.status = _status_of(failure)
    answer.header[headers.OUTCOME] = failure.tag
    if isinstance(failure, NotRun):
        answer.header[headers.PROOF] = failure.proof.value
        if failure.retry_after_ms is not None:
            seconds = -(-failure.retry_after_ms // 1_000)
            answer.header["Retry-After"] = str(seconds)
    return answer


def failure_body(failure: Failure) -> dict:
    """Return the JSON form of a failure."""
    wire = failure_to_wire(failure)
    return {"type": wire.tag, "message": failure.describe(), **wire.fields}


def _status_of(failure: Failure) -> int:
    match failure:
        case NotRun(reason=reason):
            return NOT_RUN_STATUS.get(reason, 503)
        case OutcomeUnknown() | CommitUnknown():
            return 504
        case Interrupted():
            return 502
        case SubmitConflict():
            return 409
        case TextRejected() | RoutingRejected():
            return 422
        case Unauthenticated():
            return 401
        case QueryInvalid():
            return 400
    return 503


@dataclass(frozen=True, kw_only=True)
class Route:
    """A handler with the methods that it serves; empty for any.

    Parameters
    ----------
    reads_body : bool
        Whether the handler needs the body; if not, it is left unread.
    """

    handler: Handler
    methods: tuple[str, ...] = ()
    reads_body: bool = True


class CountedBody:
    """Response body that reports when the server has written it, or given up.

    Parameters
    ----------
    parts : iterable of bytes
    on_close : callable
        Called once.
    """

    def __init__(self, *, parts: Iterable[bytes], on_close: Callable[[], None]):
        self.parts = parts
        self.on_close = on_close

    def __iter__(self) -> Iterator[bytes]:
        """Return an iterator over the parts."""
        return iter(self.parts)

    def close(self) -> None:
        """Close the parts, and report the end."""
        try:
            close = getattr(self.parts, "close", None)
            if close is not None:
                close()
        finally:
            self.on_close()


class Application:
    """WSGI application.

    Parameters
    ----------
    handlers : dict of str to (callable or Route)
        Handlers by path; a path that ends in a slash serves all paths below it.
    body_limit_bytes : int
        Limit of a request body.

    Attributes
    ----------
    closing : bool
        Whether answers ask callers to close their connections.
    n_open : int
        Requests that were received and whose answers are not completely written.
    """

    def __init__(
        self,
        *,
        handlers: dict[str, Handler | Route],
        body_limit_bytes: int = 8 * 1024 * 1024,
    ):
        self.routes = {
            path: handler if isinstance(handler, Route) else Route(handler=handler)
            for path, handler in handlers.items()
        }
        self.body_limit_bytes = body_limit_bytes
        self.closing = False
        self.n_open = 0

    def __call__(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        """Serve one HTTP request."""
        self.n_open += 1
        try:
            parts = self._serve(environ, start_response)
        except BaseException:
            self._count_end()
            raise
        return CountedBody(parts=parts, on_close=self._count_end)

    def _count_end(self) -> None:
        self.n_open -= 1

    def _serve(self, environ: dict, start_response: Callable) -> Iterable[bytes]:
        answer = self._answer(environ)
        status_line = STATUS_LINES.get(answer.status, f"{answer.status} Other")
        header = [("Content-Type", answer.content_type), *answer.header.items()]
        if isinstance(answer.body, Sequence):
            header.append(("Content-Length", str(sum(map(len, answer.body)))))
        if self.closing:
            header.append(("Connection", "close"))
        start_response(status_line, header)
        return answer.body

    def _answer(self, environ: dict) -> HttpAnswer:
        try:
            # A request without a handler is refused before its body is read.
            route = self._find_route(environ["PATH_INFO"], environ["REQUEST_METHOD"])
            return route.handler(self._read_request(environ, route))
        except FailureError as error:
            return failure_answer(error.failure)
        except Exception:
            # After a defect the effects of the request are unknown.
            write_traceback()
            answer = failure_answer(OutcomeUnknown(request_id="", detail="internal"))
            answer.status = 500
            return answer

    def _find_route(self, path: str, method: str) -> Route:
        route = self.routes.get(path) or self._find_prefix_route(path)
        if route is None:
            raise _not_run(NotRunReason.UNKNOWN_SERVICE, f"no handler for path {path}")
        if route.methods and method not in route.methods:
            raise _not_run(NotRunReason.BAD_REQUEST, f"method not allowed: {method}")
        return route

    def _find_prefix_route(self, path: str) -> Route | None:
        matching = [p for p in self.routes if p.endswith("/") and path.startswith(p)]
        return self.routes[max(matching, key=len)] if matching else None

    def _read_request(self, environ: dict, route: Route) -> HttpRequest:
        header = {
            key[5:].replace("_", "-").title(): value
            for key, value in environ.items()
            if key.startswith("HTTP_")
        }
        header["Content-Type"] = environ.get("CONTENT_TYPE", "")
        return HttpRequest(
            method=environ["REQUEST_METHOD"],
            path=environ["PATH_INFO"],
            raw_path=environ.get(RAW_PATH, environ["PATH_INFO"]),
            query=environ.get("QUERY_STRING", ""),
            header=header,
            body=self._read_body(environ) if route.reads_body else b"",
            peer=environ.get("REMOTE_ADDR", ""),
            socket=environ.get(SOCKET_KEY),
        )

    def _read_body(self, environ: dict) -> bytes:
        content_length = environ.get("CONTENT_LENGTH", "")
        if content_length.isdigit() and int(content_length) > self.body_limit_bytes:
            raise self._body_too_large()
        try:
            body = environ["wsgi.input"].read(self.body_limit_bytes + 1)
        except NoRoomError as error:
            raise FailureError(
                NotRun(
                    reason=NotRunReason.OVERLOADED,
                    retry_after_ms=NO_ROOM_RETRY_AFTER_MS,
                    detail="no memory for the body",
                )
            ) from error
        except TimeoutError as error:
            count_dropped(Endpoint.HTTP, DropReason.BODY_TIMEOUT)
            raise _not_run(
                NotRunReason.BAD_REQUEST, "the body came too late"
            ) from error
        except OSError as error:
            count_dropped(Endpoint.HTTP, DropReason.BODY_INVALID)
            raise _not_run(NotRunReason.BAD_REQUEST, "body is incomplete") from error
        if len(body) > self.body_limit_bytes:
            raise self._body_too_large()
        if content_length.isdigit() and len(body) < int(content_length):
            count_dropped(Endpoint.HTTP, DropReason.BODY_INVALID)
            raise _not_run(NotRunReason.BAD_REQUEST, "body is incomplete")
        return body

    def _body_too_large(self) -> FailureError:
        count_dropped(Endpoint.HTTP, DropReason.BODY_TOO_LARGE)
        detail = f"body over {self.body_limit_bytes} bytes"
        return _not_run(NotRunReason.BAD_REQUEST, detail)


def _not_run(reason: NotRunReason, detail: str) -> FailureError:
    return FailureError(NotRun(reason=reason, detail=detail))
