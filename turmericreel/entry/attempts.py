"""Runs the attempts of one stage: chooses a server, dispatches, retries if allowed."""

from collections.abc import Iterator
from functools import partial
from random import Random

from turmericreel.coordination.control_client import ControlClient
from turmericreel.decisions.gateway_rates import GatewayRates
from turmericreel.decisions.server_policy import AttemptEnd, EndedAttempt
from turmericreel.decisions.slot_search import find_server
from turmericreel.entry.brittle_servers import BrittleServers
from turmericreel.entry.contents import ContentGuard
from turmericreel.entry.observation import Observer
from turmericreel.entry.pieces import Finished, Piece, Started, Tokens, WholeAnswer
from turmericreel.entry.policies import Policies
from turmericreel.entry.request_billing import RequestBilling
from turmericreel.entry.server_client import Dispatch, ServerClient
from turmericreel.entry.service_levels import ServiceLevels
from turmericreel.model.failures import (
    Failure,
    FailureError,
    Interrupted,
    NotRun,
    NotRunReason,
    ProofKind,
)
from turmericreel.model.ids import AttemptNumber, BackendServerId, VersionId
from turmericreel.model.request import Request
from turmericreel.model.server_crash import process_of
from turmericreel.model.servers import BackendServer
from turmericreel.util.clock import Clock


class AttemptRunner:
    """Runs attempts at backend servers.

    Parameters
    ----------
    control : ControlClient
    server_client : ServerClient
    policies : Policies
    levels : ServiceLevels
    observer : Observer
    clock : Clock
    """

    def __init__(
        self,
        *,
        control: ControlClient,
        server_client: ServerClient,
        policies: Policies,
        levels: ServiceLevels,
        observer: Observer,
        clock: Clock,
    ):
        self.control = control
        self.server_client = server_client
        self.policies = policies
        self.levels = levels
        self.observer = observer
        self.clock = clock
        self.contents = ContentGuard(control=control, clock=clock)
        # Entry instances have no grants, and share the rates of servers equally.
        rng = Random(control.hello.instance)
        self.rates = GatewayRates(
            n_gateways=lambda: len(control.view.instances), rng=rng
        )
        server_client.rates = self.rates
        self.brittle = BrittleServers(
            instance=control.hello.instance,
            instances=lambda: [i.instance for i in control.view.instances],
            servers=lambda: control.view.servers,
            clock=clock,
            rng=rng,
        )
        server_client.on_brittle = self.brittle.record_header

    def check_lease(self) -> None:
        """Raise `NotRun` unless the lease, and thus the configuration, is valid now."""
        if self.control.lease_valid():
            return
        others = tuple(i.http_address for i in self.control.view.instances)
        raise FailureError(
            NotRun(
                reason=NotRunReason.LEASE_EXPIRED,
                retry_after_ms=1_000,
                addresses=others,
            )
        )

    def run(
        self, request: Request, version: VersionId, billing: RequestBilling
    ) -> Iterator[Piece]:
        """Yield the pieces of one complete answer, from one attempt or several.

        A broken stream is resumed by the next attempt, on the same version, after the
        last token that was delivered.

        Raises
        ------
        FailureError
        """
        progress = _Progress(request=request)
        tried: set[BackendServerId] = set()
        self.policies.retries.start_request(request)
        while True:
            number = billing.next_attempt()
            next_dispatch = partial(
                self._next_dispatch, request, number, version, tried, progress
            )
            dispatch = self.contents.admit(next_dispatch)
            tried.add(dispatch.server.server)
            try:
                for piece in self._run_attempt(dispatch, billing):
                    if progress.record_piece(piece):
                        yield piece
                return
            except FailureError as error:
                progress.n_failed += 1
                if not self._may_retry(request, error.failure, progress, billing):
                    raise

    def _may_retry(
        self,
        request: Request,
        failure: Failure,
        progress: "_Progress",
        billing: RequestBilling,
    ) -> bool:
        if not request.repeatable and not isinstance(failure, NotRun):
            # Never retried, whatever the policy: the call may have taken effect.
            return False
        return self.policies.retries.may_retry(
            request,
            failure,
            n_attempts=progress.n_failed,
            delivered=billing.delivered and not progress.resumable,
            now=self.clock.monotonic(),
        )

    def _may_send(self, server: BackendServer) -> bool:
        """Return whether the rate and the places of a server allow an attempt now."""
        is_within_rate = self.rates.may_send(
            process_of(server), now=self.clock.monotonic()
        )
        return is_within_rate and self.brittle.may_send(server)

    def _take_rate(self, server: BackendServer) -> None:
        """Count a request, or raise `NotRun` if its server takes no more now."""
        if not self._may_send(server):
            # Another request took what was free while this one was admitted.
            raise _no_server()
        self.rates.take(process_of(server), now=self.clock.monotonic())

    def _choose_server(
        self,
        request: Request,
        version: VersionId,
        tried: set[BackendServerId],
        progress: "_Progress",
    ) -> BackendServer:
        servers = self.control.view.servers.values()
        present = [s for s in servers if s.service == request.service]
        candidates = [server for server in present if self._may_send(server)]
        # A broken stream may resume at a server already tried if no other is usable.
        for excluded in [tried, set()] if progress.resumable else [tried]:
            server = find_server(
                self.policies.servers,
                self.policies.prober,
                request,
                version,
                candidates,
                excluded=excluded,
                now=self.clock.monotonic(),
            )
            if server is not None:
                return server
        raise _no_server()

    def _next_dispatch(
        self,
        request: Request,
        number: AttemptNumber,
        version: VersionId,
        tried: set[BackendServerId],
        progress: "_Progress",
        excluded: set[BackendServerId],
    ) -> Dispatch:
        server = self._choose_server(request, version, tried | excluded, progress)
        return self._dispatch(request, number, server, version, progress)

    def _dispatch(
        self,
        request: Request,
        number: AttemptNumber,
        server: BackendServer,
        version: VersionId,
        progress: "_Progress",
    ) -> Dispatch:
        return Dispatch(
            request=request,
            attempt=number,
            server=server,
            version=version,
            revision=self.control.view.revision,
            fencing_token=self.control.view.fencing_token,
            deadline=request.deadline,
            resume_from=progress.n_tokens,
        )

    def _run_attempt(
        self, dispatch: Dispatch, billing: RequestBilling
    ) -> Iterator[Piece]:
        # Nothing may happen between these checks and the send.
        try:
            self.check_lease()
            self._take_rate(dispatch.server)
        except FailureError:
            # The admitted copy never runs; without a report it would count as a crash.
            self.contents.report_end(dispatch, AttemptEnd.UNREACHABLE)
            raise
        servers = self.policies.servers
        began = self.clock.monotonic()
        servers.begin(dispatch.request, dispatch.server, now=began)
        self.brittle.begin(dispatch.server)
        self.levels.record_dispatch(dispatch.request, dispatch.server, dispatch.version)
        recorder = self.observer.recorder(dispatch)
        end = AttemptEnd.CANCELLED
        first_token_s = None
        try:
            for piece in billing.record_attempt(
                dispatch, self.server_client.run(dispatch)
            ):
                if isinstance(piece, Tokens) and first_token_s is None:
                    first_token_s = self.clock.monotonic() - began
                if isinstance(piece, Finished | WholeAnswer):
                    end = AttemptEnd.COMPLETED
                recorder.add(piece)
                yield piece
        except FailureError as error:
            end = _attempt_end(error.failure)
            raise
        finally:
            has_run = recorder.status // 100 == 2
            failed = end is AttemptEnd.COMPLETED and not has_run
            self.contents.report_end(dispatch, AttemptEnd.FAILED if failed else end)
            self.brittle.end(dispatch.server, was_refused=end is AttemptEnd.REFUSED)
            now = self.clock.monotonic()
            ended = EndedAttempt(
                server=dispatch.server.server,
                end=end,
                first_token_s=first_token_s,
                duration_s=now - began,
            )
            servers.end(ended, now=now)
            self.observer.record_end(
                recorder, end, first_token_s=first_token_s, duration_s=now - began
            )


class _Progress:
    """How much of an answer has been delivered, over all attempts."""

    def __init__(self, *, request: Request):
        self.request = request
        self.started = False
        self.n_tokens = 0
        self.n_failed = 0

    @property
    def resumable(self) -> bool:
        """Whether another attempt could continue the answer that was begun."""
        return self.started

    def record_piece(self, piece: Piece) -> bool:
        """Record a piece; return False if it repeats one that was delivered."""
        if isinstance(piece, Tokens):
            self._record_tokens(piece)
            return True
        if isinstance(piece, Started):
            first, self.started = not self.started, True
            return first
        return True

    def _record_tokens(self, piece: Tokens) -> None:
        if piece.sequence != self.n_tokens:
            failure = Interrupted(
                request_id=self.request.request_id,
                delivered_tokens=self.n_tokens,
                detail=f"received token {piece.sequence}, expected {self.n_tokens}",
            )
            raise FailureError(failure)
        self.n_tokens += len(piece.texts)


def _no_server() -> FailureError:
    return FailureError(
        NotRun(reason=NotRunReason.NO_HEALTHY_SERVER, retry_after_ms=1_000)
    )


def _attempt_end(failure: Failure) -> AttemptEnd:
    if not isinstance(failure, NotRun):
        return AttemptEnd.BROKEN
    if failure.proof is ProofKind.REFUSED_BY_PROTOCOL:
        return AttemptEnd.REFUSED
    return AttemptEnd.UNREACHABLE
