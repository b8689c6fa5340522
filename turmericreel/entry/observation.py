"""Records the usage, failures and scores of attempts.

The records feed the local version policy and are sent to the leader, which pools the
evidence of all instances.
"""

from collections import OrderedDict
from dataclasses import replace

from gevent import spawn
from gevent.queue import Full, Queue

from turmericreel.coordination.control_client import ControlClient
from turmericreel.decisions.quality import bin_counts
from turmericreel.decisions.rating_sampler import RatingSampler
from turmericreel.decisions.server_policy import AttemptEnd
from turmericreel.decisions.version_policy import (
    AnswerObserved,
    PooledScores,
    VersionPolicy,
)
from turmericreel.entry.pieces import Finished, Piece, WholeAnswer, text_of
from turmericreel.entry.rating import Rater
from turmericreel.entry.server_client import Dispatch
from turmericreel.entry.service_levels import ServiceLevels, Source
from turmericreel.model.ids import RequestId, VersionId
from turmericreel.model.request import Request, RequestKind, Usage
from turmericreel.protocols.evidence_messages import EvidenceDigest, EvidenceItem
from turmericreel.util.clock import Clock

MAX_QUEUED_RATINGS = 256
N_RATING_TASKS = 4
MAX_CACHED_ANSWERS = 4_096
MIN_ERROR_STATUS = 500
POOL_WINDOW_S = 60.0
KNOWN_KINDS = {kind.value for kind in RequestKind}


class AttemptRecorder:
    """Records the usage, status and, if it may be rated, the text of one attempt.

    Parameters
    ----------
    dispatch : Dispatch
    keeps_text : bool
        Whether to keep the pieces of the answer for the rating service.
    """

    def __init__(self, *, dispatch: Dispatch, keeps_text: bool):
        self.dispatch = dispatch
        self.keeps_text = keeps_text
        self.pieces: list[Piece] = []
        self.usage = Usage()
        self.status = 200

    def add(self, piece: Piece) -> None:
        """Record a piece of the answer."""
        if self.keeps_text:
            self.pieces.append(piece)
        match piece:
            case Finished(usage=usage):
                self.usage = usage
            case WholeAnswer(status=status):
                self.status = status


class Observer(Rater):
    """Reports the results of attempts to the version policy and to the leader.

    It also rates answers: before delivery for the stages of a plan, and afterwards for
    a sample of the delivered answers.

    Parameters
    ----------
    control : ControlClient
    versions : VersionPolicy
    sampler : RatingSampler
    rater : Rater
        Requests scores from the rating service.
    levels : ServiceLevels
        Counts the scores of delivered answers.
    clock : Clock
    """

    def __init__(
        self,
        *,
        control: ControlClient,
        versions: VersionPolicy,
        sampler: RatingSampler,
        rater: Rater,
        levels: ServiceLevels,
        clock: Clock,
    ):
        self.control = control
        self.versions = versions
        self.sampler = sampler
        self.rater = rater
        self.levels = levels
        self.clock = clock
        self.queue: Queue = Queue(maxsize=MAX_QUEUED_RATINGS)
        self.recent_answers: OrderedDict[
            tuple[RequestId, VersionId], AnswerObserved
        ] = OrderedDict()
        self.rated: OrderedDict[tuple[RequestId, VersionId], None] = OrderedDict()
        self.first_rated_versions: OrderedDict[RequestId, VersionId] = OrderedDict()
        self.tasks = []

    def start(self) -> None:
        """Start the tasks that rate sampled answers."""
        self.tasks = [spawn(self._rate_loop) for _ in range(N_RATING_TASKS)]

    def stop(self) -> None:
        """Stop rating; queued answers stay unrated."""
        for task in self.tasks:
            task.kill()

    def recorder(self, dispatch: Dispatch) -> AttemptRecorder:
        """Return a recorder for an attempt, which keeps the text if it is sampled."""
        request = dispatch.request
        sampled = request.kind is not RequestKind.PLAIN and self.sampler.should_rate(
            request.service, dispatch.version, request.kind
        )
        return AttemptRecorder(dispatch=dispatch, keeps_text=sampled)

    def record_end(
        self,
        recorder: AttemptRecorder,
        end: AttemptEnd,
        *,
        first_token_s: float | None,
        duration_s: float,
    ) -> None:
        """Report an attempt that ended with an answer or broke off.

        Parameters
        ----------
        watch : AttemptRecorder
        end : AttemptEnd
            Ends other than `COMPLETED` and `BROKEN` are ignored.
        first_token_s : float or None
            Time to first token in seconds.
        duration_s : float
            Duration of the attempt in seconds.
        """
        if end not in (AttemptEnd.COMPLETED, AttemptEnd.BROKEN):
            return
        dispatch = recorder.dispatch
        observed = AnswerObserved(
            request=dispatch.request,
            version=dispatch.version,
            server=dispatch.server.server,
            data_centre=dispatch.server.data_centre,
            usage=recorder.usage,
            first_token_s=first_token_s,
            duration_s=duration_s,
            failed=end is AttemptEnd.BROKEN or recorder.status >= MIN_ERROR_STATUS,
            escalated=self._was_rejected(dispatch),
        )
        self.versions.observe(observed, now=self.clock.monotonic())
        self._send_evidence(observed)
        if observed.failed:
            return
        _cache(
            self.recent_answers,
            (dispatch.request.request_id, dispatch.version),
            observed,
        )
        if recorder.keeps_text:
            self._enqueue(observed, text_of(recorder.pieces))

    def rate(self, request: Request, version: VersionId, text: str) -> float | None:
        """Rate an answer before it is delivered, and record its score."""
        key = (request.request_id, version)
        _cache(self.rated, key, None)
        _cache(self.first_rated_versions, request.request_id, version)
        observed = self.recent_answers.get(key)
        score = self.rater.rate(request, version, text)
        if score is None:
            self.versions.record_rating_failure(now=self.clock.monotonic())
        elif observed is not None:
            self._record_score(observed, score)
        return score

    def record_delivery(
        self, request: Request, version: VersionId, score: float
    ) -> None:
        """Count the score of an answer that was rated before delivery."""
        observed = self.recent_answers.get((request.request_id, version))
        if observed is not None:
            self._count_score(observed, score)

    def record_pooled(self, digest: EvidenceDigest) -> None:
        """Record the scores and counts that the leader pooled over all instances."""
        for item in digest.items:
            if item.n_rated and item.kind in KNOWN_KINDS:
                self._record_pooled_scores(item)
                mean = item.score_sum / item.n_rated
                self.sampler.record_pooled(
                    item.service, item.version, mean, item.n_rated
                )

    def _record_pooled_scores(self, item: EvidenceItem) -> None:
        scores = PooledScores(
            service=item.service,
            kind=RequestKind(item.kind),
            version=item.version,
            n_rated=item.n_rated,
            score_sum=item.score_sum,
            square_sum=item.score_square_sum,
            window_s=POOL_WINDOW_S,
            counts=item.score_counts,
        )
        self.versions.record_pooled(scores, now=self.clock.monotonic())

    def _was_rejected(self, dispatch: Dispatch) -> bool:
        before = self.first_rated_versions.get(dispatch.request.request_id)
        return before is not None and before != dispatch.version

    def _enqueue(self, observed: AnswerObserved, text: str) -> None:
        try:
            self.queue.put_nowait((observed, text))
        except Full:
            # The rating service is too slow.  Dropping the answer only makes the
            # sample smaller.
            return

    def _rate_loop(self) -> None:
        while True:
            observed, text = self.queue.get()
            if (observed.request.request_id, observed.version) in self.rated:
                continue
            score = self.rater.rate(observed.request, observed.version, text)
            if score is None:
                self.versions.record_rating_failure(now=self.clock.monotonic())
            else:
                self._record_score(observed, score)
                self._count_score(observed, score)

    def _count_score(self, observed: AnswerObserved, score: float) -> None:
        source = Source(
            version=observed.version,
            data_centre=observed.data_centre,
            server=observed.server,
        )
        self.levels.record_score(observed.request, score, source)

    def _record_score(self, observed: AnswerObserved, score: float) -> None:
        scored = replace(observed, score=score)
        self.versions.observe(scored, now=self.clock.monotonic())
        self._send_evidence(scored)
        request = observed.request
        self.sampler.record_score(
            request.service, observed.version, request.kind, score
        )

    def _send_evidence(self, observed: AnswerObserved) -> None:
        item = EvidenceItem(
            service=observed.request.service,
            version=observed.version,
            server=observed.server,
            kind=observed.request.kind.value,
            n_answers=0 if observed.score is not None else 1,
            n_failed=int(observed.failed),
            n_rated=int(observed.score is not None),
            score_sum=observed.score or 0.0,
            score_square_sum=(observed.score or 0.0) ** 2,
            score_counts=() if observed.score is None else bin_counts(observed.score),
        )
        self.control.send_evidence([item])


def _cache(known: OrderedDict, key, value) -> None:
    known[key] = value
    if len(known) > MAX_CACHED_ANSWERS:
        known.popitem(last=False)
