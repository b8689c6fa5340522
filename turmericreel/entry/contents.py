"""Admits the content of each attempt before dispatch, and reports how it ended.

Each attempt runs one copy of its content.
"""

from collections.abc import Callable

from eliot import log_message
from gevent import sleep, spawn

from turmericreel.coordination.control_client import ControlClient
from turmericreel.decisions.server_policy import AttemptEnd
from turmericreel.entry.server_client import Dispatch
from turmericreel.model.failures import (
    CommitUnknown,
    ControlUnavailable,
    FailureError,
    NotRun,
    NotRunReason,
)
from turmericreel.model.ids import BackendServerId
from turmericreel.state.commands.contents import (
    AdmitContent,
    ContentAdmitted,
    ContentEnd,
    ContentQuarantined,
    ContentWaits,
    EndContent,
    RefuteCrash,
)
from turmericreel.util.clock import Clock

ADMIT_TIMEOUT_S = 5.0
REPORT_TIMEOUT_S = 10.0
COPY_GRACE_MS = 30_000
SURVIVAL_CHECK_DELAY_S = 6.0
MIN_PAUSE_S = 0.05
MAX_PAUSE_S = 1.0
BUSY_RETRY_AFTER_MS = 1_000


class ContentGuard:
    """Bounds the number of servers that one content can crash.

    Parameters
    ----------
    control : ControlClient
    clock : Clock
    """

    def __init__(self, *, control: ControlClient, clock: Clock):
        self.control = control
        self.clock = clock

    def admit(self, choose: Callable[[set[BackendServerId]], Dispatch]) -> Dispatch:
        """Wait until the content may run at a server, and return the dispatch.

        Parameters
        ----------
        choose : callable
            Returns a dispatch to a server that is not in the given set.

        Raises
        ------
        FailureError
            With `NotRun` if the content is in quarantine, is not admitted before
            the deadline, or the control group is unavailable.
        """
        excluded: set[BackendServerId] = set()
        pause_s = MIN_PAUSE_S
        dispatch = choose(excluded)
        while True:
            match self._admit(dispatch):
                case ContentAdmitted():
                    return dispatch
                case ContentQuarantined(until_ms=until_ms):
                    raise self._quarantined(until_ms)
                case ContentWaits(other_server=True):
                    excluded.add(dispatch.server.server)
                    other = _choose_other(choose, excluded)
                    if other is not None:
                        dispatch = other
                        continue
            self._wait(dispatch, pause_s)
            pause_s = min(2 * pause_s, MAX_PAUSE_S)
            excluded.clear()
            dispatch = choose(excluded)

    def report_end(self, dispatch: Dispatch, end: AttemptEnd) -> None:
        """Report how the attempt ended, in the background unless it was a crash.

        A crash is reported before the caller can resend the content, and taken back if
        only the path to the server was lost.
        """
        if end is AttemptEnd.BROKEN and self.clock.monotonic() >= dispatch.deadline:
            # The answer missed the deadline, which does not indicate a crash.
            end = AttemptEnd.CANCELLED
        match end:
            case AttemptEnd.COMPLETED:
                spawn(self._report, dispatch, ContentEnd.PROVED)
            case AttemptEnd.REFUSED | AttemptEnd.UNREACHABLE | AttemptEnd.FAILED:
                spawn(self._report, dispatch, ContentEnd.RELEASED)
            case AttemptEnd.BROKEN:
                self._report(dispatch, ContentEnd.CRASHED)
                spawn(self._refute_crash, dispatch)
            case AttemptEnd.CANCELLED:
                spawn(self._report_survival, dispatch)

    def _admit(self, dispatch: Dispatch):
        left_ms = int((dispatch.deadline - self.clock.monotonic()) * 1_000)
        command = AdmitContent(
            digest=dispatch.request.digest,
            copy=_copy_id(dispatch),
            version=dispatch.version,
            server=dispatch.server.server,
            incarnation=dispatch.server.incarnation,
            deadline_ms=self.clock.wall_ms() + left_ms + COPY_GRACE_MS,
            parts=dispatch.request.prompt_parts,
        )
        try:
            return self.control.propose(command, timeout=ADMIT_TIMEOUT_S)
        except FailureError as error:
            if not isinstance(error.failure, CommitUnknown | ControlUnavailable):
                raise
            # Nothing was dispatched, whether or not the copy was admitted.
            failure = NotRun(
                reason=NotRunReason.CONTROL_UNAVAILABLE,
                retry_after_ms=BUSY_RETRY_AFTER_MS,
                detail=error.failure.describe(),
            )
            raise FailureError(failure) from error

    def _wait(self, dispatch: Dispatch, pause_s: float) -> None:
        if self.clock.monotonic() + pause_s >= dispatch.deadline:
            raise FailureError(
                NotRun(
                    reason=NotRunReason.DEADLINE_TOO_NEAR,
                    retry_after_ms=BUSY_RETRY_AFTER_MS,
                    detail="the same content is running and not yet proven harmless",
                )
            )
        sleep(pause_s)

    def _quarantined(self, until_ms: int) -> FailureError:
        left_ms = max(until_ms - self.clock.wall_ms(), 0)
        return FailureError(
            NotRun(reason=NotRunReason.QUARANTINED, retry_after_ms=left_ms)
        )

    def _report_survival(self, dispatch: Dispatch) -> None:
        # A cancelled attempt has no outcome, so only the survival of its server shows
        # whether the content crashed it.
        sleep(SURVIVAL_CHECK_DELAY_S)
        survived = self._has_survived(dispatch)
        self._report(dispatch, ContentEnd.RELEASED if survived else ContentEnd.CRASHED)

    def _refute_crash(self, dispatch: Dispatch) -> None:
        sleep(SURVIVAL_CHECK_DELAY_S)
        if not self._has_survived(dispatch):
            return
        server, digest = dispatch.server, dispatch.request.digest
        log_message("entry:crash_refuted", content=digest, server=server.server)
        self._propose(
            RefuteCrash(
                digest=digest,
                server=server.server,
                incarnation=server.incarnation,
                parts=dispatch.request.prompt_parts,
            )
        )

    def _has_survived(self, dispatch: Dispatch) -> bool:
        present = self.control.view.servers.get(dispatch.server.server)
        return (
            present is not None and present.incarnation == dispatch.server.incarnation
        )

    def _report(self, dispatch: Dispatch, end: ContentEnd) -> None:
        # If it fails, the copy counts as a crash once its deadline passes.
        self._propose(
            EndContent(digest=dispatch.request.digest, copy=_copy_id(dispatch), end=end)
        )

    def _propose(self, command: EndContent | RefuteCrash) -> None:
        try:
            self.control.propose(command, timeout=REPORT_TIMEOUT_S)
        except FailureError as error:
            log_message(
                "entry:content_not_reported",
                content=command.digest,
                reason=error.failure.describe(),
            )


def _copy_id(dispatch: Dispatch) -> str:
    return f"{dispatch.request.request_id}/{dispatch.attempt}"


def _choose_other(
    choose: Callable[[set[BackendServerId]], Dispatch], excluded: set[BackendServerId]
) -> Dispatch | None:
    try:
        return choose(excluded)
    except FailureError:
        return None
