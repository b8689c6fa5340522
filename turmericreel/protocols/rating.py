"""Messages of the rating service, which instances call with ``POST /score``."""

import msgspec

from turmericreel.model.ids import RequestId, ServiceName, VersionId

SCORE_PATH = "/score"


class ScoreRequest(msgspec.Struct, frozen=True, kw_only=True):
    """An answer to be rated.

    Parameters
    ----------
    kind : str
        Value of the request's `RequestKind`.
    prompt : str
        Body of the request.
    answer : str
        Complete text of the answer.
    """

    request: RequestId
    service: ServiceName
    version: VersionId
    kind: str
    prompt: str
    answer: str


class ScoreAnswer(msgspec.Struct, frozen=True, kw_only=True):
    """Score of an answer, from 0 (useless) to 1 (perfect)."""

    request: RequestId
    score: float
