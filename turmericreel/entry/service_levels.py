"""Counts service levels at this instance and reports them to the replicated state."""

from collections import Counter
from collections.abc import Iterator
from dataclasses import dataclass

from gevent import sleep, spawn

from turmericreel.coordination.control_client import ControlClient
from turmericreel.entry.exposure import RecentAnswers
from turmericreel.entry.metrics import EntryMetrics
from turmericreel.entry.pieces import Piece, Tokens
from turmericreel.model.failures import Failure, FailureError, NotRun, NotRunReason
from turmericreel.model.ids import (
    BackendServerId,
    ClientAccountId,
    DataCentreId,
    InstanceId,
    RequestId,
    ServiceName,
    VersionId,
)
from turmericreel.model.request import Request
from turmericreel.model.servers import BackendServer
from turmericreel.model.service_levels import (
    Blame,
    BlameCount,
    Indicator,
    LevelCount,
    LevelRecord,
)
from turmericreel.model.text import ObjectiveText
from turmericreel.state.commands.service_levels import RecordServiceLevels
from turmericreel.state.tables.service_levels import merge_levels
from turmericreel.util.clock import Clock

FLUSH_INTERVAL_S = 30.0
FLUSH_TIMEOUT_S = 5.0

# Failures caused by the caller's own mistake or limit are not counted in the
# availability, because they say nothing about the service.
CALLER_FAULT_REASONS = {
    NotRunReason.UNAUTHENTICATED,
    NotRunReason.BAD_REQUEST,
    NotRunReason.UNKNOWN_SERVICE,
    NotRunReason.VERSION_NOT_ALLOWED,
    NotRunReason.KEY_REQUIRED,
    NotRunReason.KEY_EXPIRED,
    NotRunReason.KEY_REUSED,
    NotRunReason.IN_PROGRESS,
    NotRunReason.OVER_LIMIT,
    NotRunReason.SESSION_ENDED,
}


@dataclass(frozen=True, kw_only=True)
class Source:
    """Version, data centre and backend server that produced an answer."""

    version: VersionId = VersionId("")
    data_centre: DataCentreId = DataCentreId("")
    server: BackendServerId = BackendServerId("")

    def blame(self, indicator: Indicator) -> Blame:
        """Return the blame that counts bad events of an indicator for this source."""
        return Blame(
            indicator=indicator,
            version=self.version,
            data_centre=self.data_centre,
            server=self.server,
        )


class ServiceLevels:
    """Task that counts events at this instance and flushes the counts regularly.

    Parameters
    ----------
    control : ControlClient
    metrics : EntryMetrics
    clock : Clock
    """

    def __init__(self, *, control: ControlClient, metrics: EntryMetrics, clock: Clock):
        self.control = control
        self.metrics = metrics
        self.clock = clock
        self.running: dict[RequestId, RequestLevels] = {}
        self.recent = RecentAnswers()
        self.records: dict[tuple[ServiceName, ClientAccountId], LevelRecord] = {}
        self.blames: dict[tuple[ServiceName, ClientAccountId], Counter[Blame]] = {}
        self.unsent: list[RecordServiceLevels] = []
        self.sequence = 0
        self.task = None

    def start(self) -> None:
        """Start the task that flushes the counts."""
        self.task = spawn(self._flush_loop)

    def stop(self) -> None:
        """Stop the task and flush once more."""
        if self.task is not None:
            self.task.kill()
        self.flush()

    def begin(self, request: Request) -> "RequestLevels":
        """Start to measure a request and return its meter."""
        meter = RequestLevels(request=request, levels=self)
        self.running[request.request_id] = meter
        self.metrics.running.set(len(self.running))
        return meter

    def record_dispatch(
        self, request: Request, server: BackendServer, version: VersionId
    ) -> None:
        """Record the backend server that a running request is dispatched to."""
        meter = self.running.get(request.request_id)
        if meter is not None:
            source = Source(
                version=version, data_centre=server.data_centre, server=server.server
            )
            meter.record_dispatch(source)

    def end(self, meter: "RequestLevels") -> None:
        """Add the counts of a request that has ended."""
        self.running.pop(meter.request.request_id, None)
        self.metrics.running.set(len(self.running))
        self.add(meter.record, meter.blames)

    def record_score(self, request: Request, score: float, source: Source) -> None:
        """Count a score of the rating service, which may arrive after the end."""
        service = self.control.view.text.services.get(request.service)
        if service is None:
            return
        record = LevelRecord(service=request.service, account=request.account)
        bad = score < service.quality_target
        record.count(Indicator.QUALITY, bad=bad)
        blame = source.blame(Indicator.QUALITY)
        self.add(record, Counter({blame: 1} if bad else {}))

    def record_suspension(self, service: ServiceName, version: VersionId) -> None:
        """Count the recent answers of a suspended version as bad exposure events."""
        exposed = self.recent.collect_answers(
            service, version, now=self.clock.monotonic()
        )
        blame = Source(version=version).blame(Indicator.EXPOSURE)
        for account, n_answers in exposed.items():
            record = LevelRecord(service=service, account=account)
            # The answers were counted as events when they were delivered.
            record.counts[Indicator.EXPOSURE] = LevelCount(n_bad=n_answers)
            self.add(record, Counter({blame: n_answers}))

    def add(self, record: LevelRecord, blames: Counter[Blame]) -> None:
        """Add counts to the records of the next flush."""
        key = (record.service, record.account)
        existing = self.records.get(key)
        if existing is None:
            self.records[key] = record
        else:
            merge_levels(existing, record)
        self.blames.setdefault(key, Counter()).update(blames)

    def objectives_of(self, request: Request) -> ObjectiveText | None:
        """Return the account's objectives for the service, else the service's own."""
        text = self.control.view.text
        account = text.client_accounts.get(request.account)
        if account is not None and request.service in account.objectives:
            return account.objectives[request.service]
        service = text.services.get(request.service)
        return service.objectives if service else None

    def flush(self) -> None:
        """Send the counts; those that fail to be sent are kept for the next flush."""
        self._queue_records()
        while self.unsent:
            try:
                self.control.propose(self.unsent[0], timeout=FLUSH_TIMEOUT_S)
            except FailureError:
                return
            del self.unsent[0]

    def _queue_records(self) -> None:
        if not self.records:
            return
        for key, blames in self.blames.items():
            self.records[key].blames = [
                BlameCount(blame=blame, n_bad=n) for blame, n in blames.items()
            ]
        self.sequence += 1
        self.unsent.append(
            RecordServiceLevels(
                instance=InstanceId(self.control.hello.instance),
                incarnation=self.control.hello.incarnation,
                sequence=self.sequence,
                records=tuple(self.records.values()),
            )
        )
        self.records = {}
        self.blames = {}

    def _flush_loop(self) -> None:
        while True:
            sleep(FLUSH_INTERVAL_S)
            self.flush()


class RequestLevels:
    """Measures one request and adds its counts to the levels when it ends.

    Parameters
    ----------
    request : Request
    levels : ServiceLevels
    """

    def __init__(self, *, request: Request, levels: ServiceLevels):
        self.request = request
        self.levels = levels
        self.clock = levels.clock
        self.began = self.clock.monotonic()
        self.first_token_at: float | None = None
        self.last_token_at = 0.0
        self.n_tokens = 0
        self.objectives = levels.objectives_of(request) or ObjectiveText()
        self.record = LevelRecord(service=request.service, account=request.account)
        self.blames: Counter[Blame] = Counter()
        self.source = Source()

    def record_dispatch(self, source: Source) -> None:
        """Record the source that bad events are blamed on from now on."""
        self.source = source
        self.levels.metrics.attempts.labels(self.request.service).inc()

    def measure(self, pieces: Iterator[Piece]) -> Iterator[Piece]:
        """Yield the pieces unchanged, and count the request however it ends."""
        failure: Failure | None = None
        try:
            for piece in pieces:
                if isinstance(piece, Tokens):
                    self._record_tokens(len(piece.texts))
                yield piece
        except FailureError as error:
            failure = error.failure
            raise
        finally:
            self._end(failure)

    def _record_tokens(self, n_tokens: int) -> None:
        now = self.clock.monotonic()
        if self.first_token_at is None:
            self.first_token_at = now
            latency_ms = (now - self.began) * 1_000
            self.record.first_token.record(latency_ms)
            bad = latency_ms > self.objectives.first_token_ms
            self._count(Indicator.FIRST_TOKEN, bad=bad)
        self.last_token_at = now
        self.n_tokens += n_tokens

    def _end(self, failure: Failure | None) -> None:
        is_caller_fault = (
            isinstance(failure, NotRun) and failure.reason in CALLER_FAULT_REASONS
        )
        if not is_caller_fault:
            self._count(Indicator.AVAILABILITY, bad=failure is not None)
        if failure is None:
            self._count_exposure()
        if self.n_tokens > 1:
            self._count_token_interval()
        self._export(failure)
        self.levels.end(self)

    def _count_exposure(self) -> None:
        self._count(Indicator.EXPOSURE, bad=False)
        request = self.request
        self.levels.recent.record_answer(
            request.service,
            self.source.version,
            request.account,
            now=self.clock.monotonic(),
        )

    def _count_token_interval(self) -> None:
        # Several tokens may arrive together, so the mean over the answer is compared
        # with the objective.
        spent_ms = (self.last_token_at - self.first_token_at) * 1_000
        mean_interval_ms = spent_ms / (self.n_tokens - 1)
        self.record.between_tokens.record(mean_interval_ms)
        bad = mean_interval_ms > self.objectives.between_tokens_ms
        self._count(Indicator.BETWEEN_TOKENS, bad=bad)
        metrics = self.levels.metrics
        metrics.between_tokens.labels(self.request.service).observe(
            mean_interval_ms / 1_000
        )

    def _export(self, failure: Failure | None) -> None:
        metrics = self.levels.metrics
        service = self.request.service
        if service not in self.levels.control.view.text.services:
            service = ServiceName("unknown")
        metrics.record_end(service, failure)
        if self.first_token_at is not None:
            waited_s = self.first_token_at - self.began
            metrics.first_token.labels(service).observe(waited_s)

    def _count(self, indicator: Indicator, *, bad: bool) -> None:
        self.record.count(indicator, bad=bad)
        if bad:
            self.blames[self.source.blame(indicator)] += 1
