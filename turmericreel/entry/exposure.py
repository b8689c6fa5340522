"""Remembers which versions answered lately, to count answers of a bad one afterwards.

That a version was bad is known only once it is suspended, so the answers that it gave
shortly before count as exposed then.
"""

from collections import Counter, deque
from dataclasses import dataclass, field

from turmericreel.model.ids import ClientAccountId, ServiceName, VersionId

SLICE_S = 15.0
N_LOOKBACK_SLICES = 20


@dataclass(kw_only=True)
class AnswerSlice:
    """Answers of one version in one span of time."""

    number: int
    answers: Counter[ClientAccountId] = field(default_factory=Counter)


class RecentAnswers:
    """Counts of answers by version over the last `SLICE_S` * `N_LOOKBACK_SLICES`."""

    def __init__(self):
        self.slices: dict[tuple[ServiceName, VersionId], deque[AnswerSlice]] = {}

    def record_answer(
        self,
        service: ServiceName,
        version: VersionId,
        account: ClientAccountId,
        *,
        now: float,
    ) -> None:
        """Count one answer, at a time in seconds on the monotonic clock."""
        key = (service, version)
        slices = self.slices.setdefault(key, deque(maxlen=N_LOOKBACK_SLICES))
        number = int(now // SLICE_S)
        if not slices or slices[-1].number != number:
            slices.append(AnswerSlice(number=number))
        slices[-1].answers[account] += 1

    def collect_answers(
        self, service: ServiceName, version: VersionId, *, now: float
    ) -> Counter[ClientAccountId]:
        """Return a version's recent answers by account, and forget them."""
        oldest = int(now // SLICE_S) - N_LOOKBACK_SLICES
        exposed: Counter[ClientAccountId] = Counter()
        for answer_slice in self.slices.pop((service, version), ()):
            if answer_slice.number > oldest:
                exposed.update(answer_slice.answers)
        return exposed
