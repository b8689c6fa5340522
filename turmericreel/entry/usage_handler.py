"""HTTP handler for usage reports of backend servers, which may be late or repeated."""

from turmericreel.coordination.control_client import ControlClient
from turmericreel.entry.application import HttpAnswer, HttpRequest, json_answer
from turmericreel.entry.parse_request import bad_request
from turmericreel.entry.request_billing import cost_of
from turmericreel.entry.server_handlers import decode_body
from turmericreel.entry.settlements import Settlements
from turmericreel.model.failures import FailureError, NotRun, NotRunReason
from turmericreel.model.request import Usage
from turmericreel.protocols.backend import UsageReport
from turmericreel.state.commands.ledger import AttemptRecord, ReportUsage

DURABLE_TIMEOUT_S = 2.0
REPORTED_OUTCOME = "Reported"


class UsageHandler:
    """Handles usage reports.

    Parameters
    ----------
    control : ControlClient
    settlements : Settlements
    """

    def __init__(self, *, control: ControlClient, settlements: Settlements):
        self.control = control
        self.settlements = settlements

    def report(self, http: HttpRequest) -> HttpAnswer:
        """Serve ``POST /v1/backend/usage``.

        The request is answered when the report is durable.  A server that receives no
        answer sends the report again; reports are counted once by request and attempt.

        Raises
        ------
        FailureError
            With `NotRun` when the report is invalid or not durable in time.
        """
        report = decode_body(http, UsageReport)
        settlement = self.settlements.put(
            ReportUsage(request=report.request, work=self._attempt_record(report))
        )
        if not settlement.durable.wait(timeout=DURABLE_TIMEOUT_S):
            raise FailureError(
                NotRun(reason=NotRunReason.CONTROL_UNAVAILABLE, retry_after_ms=1_000)
            )
        return json_answer({})

    def _attempt_record(self, report: UsageReport) -> AttemptRecord:
        service = self.control.view.text.services.get(report.service)
        price = service.versions.get(report.version) if service else None
        if price is None:
            raise bad_request(
                f"service {report.service!r} has no version {report.version!r}"
            )
        counts = (
            report.prompt_tokens,
            report.completion_tokens,
            report.cached_tokens,
        )
        if min(counts) < 0:
            raise bad_request("token counts must not be negative")
        usage = Usage(
            prompt_tokens=report.prompt_tokens,
            completion_tokens=report.completion_tokens,
            cached_tokens=report.cached_tokens,
        )
        server = self.control.view.servers.get(report.server)
        return AttemptRecord(
            attempt=report.attempt,
            server=report.server,
            neighbour=server.neighbour if server else "",
            version=report.version,
            prompt_tokens=usage.prompt_tokens,
            completion_tokens=usage.completion_tokens,
            cached_tokens=usage.cached_tokens,
            cost=cost_of(usage, price),
            outcome=REPORTED_OUTCOME,
        )
