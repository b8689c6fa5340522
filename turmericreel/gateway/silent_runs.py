"""Gives up silent attempts at servers where another attempt may follow."""

from collections.abc import Callable

from eliot import log_message

from turmericreel.gateway.attempts import NoRetryReason, RequestProgress
from turmericreel.gateway.client_request import ClientRequest
from turmericreel.gateway.forwarded_answer import ForwardedAnswer
from turmericreel.gateway.metrics import GatewayMetrics
from turmericreel.gateway.server_chooser import ServerChooser
from turmericreel.model.registered_server import RegisteredServer
from turmericreel.util.clock import Clock


class SilentRuns:
    """Judges attempts whose server or run was silent for too long.

    On a route that declares no pause between its events, all are given up.  On the
    others a silent attempt goes on unless another one may follow, since its server may
    still be at work on it.

    Parameters
    ----------
    chooser : ServerChooser
    metrics : GatewayMetrics
    reserve_retry : callable
        Called with the request, its progress, and the number of attempts that were
        sent; takes the retry of the next attempt from the budget, or returns why there
        is none.
    clock : Clock
    """

    def __init__(
        self,
        *,
        chooser: ServerChooser,
        metrics: GatewayMetrics,
        reserve_retry: Callable[
            [ClientRequest, RequestProgress, int], NoRetryReason | None
        ],
        clock: Clock,
    ):
        self.chooser = chooser
        self.metrics = metrics
        self.reserve_retry = reserve_retry
        self.clock = clock

    def may_give_up(
        self,
        request: ClientRequest,
        server: RegisteredServer,
        progress: RequestProgress,
        answer: ForwardedAnswer,
    ) -> bool:
        """Return whether to give a silent attempt up; a retry is reserved then."""
        if request.route.event_gap_target_ms is None:
            return True
        if self.chooser.view.has_ended(server):
            return True
        reason = self._reason_to_wait(request, server, progress, answer)
        is_known = reason is not None and answer.judge_again_at > 0
        if not is_known:
            self._record(request, server, answer, reason)
        return reason is None

    def _reason_to_wait(
        self,
        request: ClientRequest,
        server: RegisteredServer,
        progress: RequestProgress,
        answer: ForwardedAnswer,
    ) -> NoRetryReason | None:
        if not answer.is_resumable:
            return NoRetryReason.NO_EVENT_ID
        prompt = self.chooser.prompt_of(request, server.service)
        left_s = request.deadline - self.clock.monotonic()
        if left_s <= prompt.full_prefill_ms / 1_000:
            return NoRetryReason.DEADLINE
        if not self.chooser.has_untried(request, server.service, progress.tried):
            return NoRetryReason.NO_SERVER
        # An attempt is counted when the header of its answer has been read.
        n_sent = progress.n_sent + (not answer.has_head)
        return self.reserve_retry(request, progress, n_sent)

    def _record(
        self,
        request: ClientRequest,
        server: RegisteredServer,
        answer: ForwardedAnswer,
        reason: NoRetryReason | None,
    ) -> None:
        now = self.clock.monotonic()
        self.metrics.record_silent_run(is_given_up=reason is None)
        log_message(
            "gateway:silent_run",
            request=request.attempt_id,
            server=server.server,
            is_given_up=reason is None,
            awaited_for=reason.value if reason is not None else "",
            has_begun=answer.has_head,
            silent_ms=int(answer.silent_s() * 1_000),
            server_silent_ms=self.chooser.loads.silent_ms(server.server, now=now),
            n_overtaking=answer.n_overtaking,
            left_ms=int((request.deadline - now) * 1_000),
        )
