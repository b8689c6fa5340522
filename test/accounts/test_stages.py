"""Stages of a plan: buffered answers are rated, escalated and billed together."""

from test.library import SmallSystem, chat_body, http_call
from turmericreel.decisions.version_policy import Plan, Stage, VersionPolicy
from turmericreel.entry.rating import Rater
from turmericreel.entry.request_path import RequestPath
from turmericreel.model.ids import VersionId


class SmallThenStrong(VersionPolicy):
    """Plans the small version first, and the strong one on a low score."""

    def plan(self, request, candidates, *, quality_target, now):
        return Plan(
            stages=(
                Stage(version=VersionId("small"), min_score=0.5),
                Stage(version=VersionId("strong")),
            )
        )

    def observe(self, observed, *, now):
        pass


class FixedRater(Rater):
    """Gives every answer the same score."""

    def __init__(self, *, score: float | None):
        self.score = score
        self.texts: list[str] = []

    def rate(self, request, version, text):
        self.texts.append(text)
        return self.score


def request_with_score(system: SmallSystem, path: RequestPath, score: float | None):
    rater = FixedRater(score=score)
    path.policies.versions = SmallThenStrong()
    path.stages.rater = rater
    answer = http_call(
        system.address,
        "POST",
        "/v1/chat/completions",
        body=chat_body("hello", stream=True),
    )
    assert len(rater.texts) == 1
    return answer, system.operator.read("statement", account="household")


def request_path(system: SmallSystem) -> RequestPath:
    return system.instance.request_path


def test_low_score_escalates_on_one_bill(system: SmallSystem):
    answer, lines = request_with_score(system, request_path(system), 0.2)
    assert answer.header["Turmericreel-Version"] == "strong"
    assert answer.body.count(b"data: [DONE]") == 1
    assert [a["version"] for a in lines[0]["attempts"]] == ["small", "strong"]
    assert lines[0]["cost"] == sum(a["cost"] for a in lines[0]["attempts"])


def test_good_score_delivers_the_first_stage(system: SmallSystem):
    answer, lines = request_with_score(system, request_path(system), 0.9)
    assert answer.header["Turmericreel-Version"] == "small"
    assert [a["version"] for a in lines[0]["attempts"]] == ["small"]


def test_unrated_answer_is_delivered(system: SmallSystem):
    answer, lines = request_with_score(system, request_path(system), None)
    assert answer.header["Turmericreel-Version"] == "small"
    assert len(lines) == 1
