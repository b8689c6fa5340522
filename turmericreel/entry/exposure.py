"""Counts recent answers by version, to find those that a bad version gave.

A version is known to be bad only when it is suspended, so the answers that it gave
shortly before are counted as exposed at that time.
"""

from collections import Counter, deque
from dataclasses import dataclass, field

from turmericreel.model.ids import ClientAccountId, ServiceName, VersionId

SLICE_S = 15.0
N_LOOKBACK_SLICES = 20


@dataclass(kw_only=True)
class AnswerSlice:
    """Answers of one version by account in a time slice of `SLICE_S`."""

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
        """Count one answer; `now` is in s on the monotonic clock."""
        key = (service, version)
        slices = self.slices.setdefault(key, deque(maxlen=N_LOOKBACK_SLICES))
        number = int(now // SLICE_S)
        if not slices or slices[-1].number != number:
            slices.append(AnswerSlice(number=number))
        slices[-1].answers[account] += 1

    def collect_answers(
        self, service: ServiceName, version: VersionId, *, now: float
    ) -> Counter[ClientAccountId]:
        """Return the recent answers of a version by account, and clear them."""
        oldest = int(now // SLICE_S) - N_LOOKBACK_SLICES
        exposed: Counter[ClientAccountId] = Counter()
        for answer_slice in self.slices.pop((service, version), ()):
            if answer_slice.number > oldest:
                exposed.update(answer_slice.answers)
        return exposed
