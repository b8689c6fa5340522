"""HTTP handlers for callers: chat completions and plain services."""

from turmericreel.coordination.control_client import ControlClient
from turmericreel.entry.application import HttpAnswer, HttpRequest
from turmericreel.entry.caller_answers import answer_chat, answer_plain
from turmericreel.entry.parse_request import parse_chat, parse_plain
from turmericreel.entry.request_path import RequestPath
from turmericreel.entry.view_index import ViewIndex
from turmericreel.model.failures import FailureError, NotRun, NotRunReason
from turmericreel.model.ids import ServiceName
from turmericreel.model.text import ServiceKind, ServiceText
from turmericreel.util.clock import Clock

PLAIN_PREFIX = "/services/"


class CallerHandlers:
    """Serves the requests of callers.

    Parameters
    ----------
    control : ControlClient
    path : RequestPath
    index : ViewIndex
    clock : Clock
    """

    def __init__(
        self,
        *,
        control: ControlClient,
        path: RequestPath,
        index: ViewIndex,
        clock: Clock,
    ):
        self.control = control
        self.path = path
        self.index = index
        self.clock = clock

    def chat(self, http: HttpRequest) -> HttpAnswer:
        """Serve ``POST /v1/chat/completions``."""
        account, text = self.index.authenticate(http.bearer)
        request = parse_chat(
            body=http.body,
            header=http.header,
            account=account,
            now=self.clock.monotonic(),
            priority=text.priority,
        )
        self._require_service(request.service, ServiceKind.ASSISTANT)
        self.index.check_dependencies(request.service)
        return answer_chat(request, self.path.run(request), http)

    def plain(self, http: HttpRequest) -> HttpAnswer:
        """Serve ``/services/NAME/...``."""
        account, text = self.index.authenticate(http.bearer)
        name, _, rest = http.raw_path.removeprefix(PLAIN_PREFIX).partition("/")
        service = self._require_service(ServiceName(name), ServiceKind.PLAIN)
        target = "/" + rest + (f"?{http.query}" if http.query else "")
        request = parse_plain(
            service=ServiceName(name),
            method=http.method,
            path=target,
            body=http.body,
            header=http.header,
            account=account,
            now=self.clock.monotonic(),
            repeatable=f"{http.method} /{rest}" in service.repeatable,
            priority=text.priority,
        )
        self.index.check_dependencies(request.service)
        return answer_plain(request, self.path.run(request), http)

    def _require_service(self, name: ServiceName, kind: ServiceKind) -> ServiceText:
        # Calls to a plain service must not reach a handler that takes all calls to
        # be repeatable, so each kind of service has its own handler.
        service = self.control.view.text.services.get(name)
        if service is None or service.kind is not kind:
            reason = NotRunReason.UNKNOWN_SERVICE
            raise FailureError(
                NotRun(reason=reason, detail=f"no {kind.value} service {name!r}")
            )
        return service
