"""A version whose scores fall is suspended in the running system."""

from itertools import count

import msgspec
from gevent.pywsgi import WSGIServer

from test.library import (
    CALLER_KEY,
    OPERATOR_KEY,
    TEXT,
    chat_body,
    http_call,
    solo_settings,
    start_fake,
    wait_until,
)
from turmericreel.daemon.instance import Instance
from turmericreel.model.settings import RatingSettings
from turmericreel.ui.operator_client import OperatorClient
from turmericreel.util.clock import SystemClock

CHAT = "/v1/chat/completions"
# With a quality target, the version policy would itself avoid the bad version, possibly
# before the leader has enough evidence to suspend it.
TEXT_WITHOUT_TARGET = TEXT.replace("quality_target = 0.7", "quality_target = 0.0")


class FakeRatingService:
    """Rates answers by their version; a score of None is returned as an error."""

    def __init__(self):
        self.scores: dict[str, float | None] = {"small": 0.8, "strong": 0.95}
        self.n_calls = 0
        self.http = WSGIServer(("127.0.0.1", 0), self._serve, log=None)
        self.http.start()

    @property
    def address(self) -> str:
        """Address that the service listens on."""
        return f"127.0.0.1:{self.http.server_port}"

    def _serve(self, environ, start_response):
        call = msgspec.json.decode(environ["wsgi.input"].read())
        self.n_calls += 1
        score = self.scores[call["version"]]
        status = "200 OK" if score is not None else "500 Internal Server Error"
        start_response(status, [("Content-Type", "application/json")])
        return [msgspec.json.encode({"score": score})]


def send_chat(address: str, text: str, **header: str):
    """Send a chat request."""
    return http_call(
        address, "POST", CHAT, body=chat_body(text), key=CALLER_KEY, **header
    )


def version_of(answer) -> str:
    """Return the version that produced an answer."""
    return answer.header["Turmericreel-Version"]


def test_bad_version_is_suspended_and_its_session_ends(tmp_path):
    rating = FakeRatingService()
    settings = msgspec.structs.replace(
        solo_settings(tmp_path),
        rating=RatingSettings(address=rating.address, sample=1.0),
    )
    instance = Instance(settings=settings, clock=SystemClock())
    instance.start()
    address = str(instance.http_address)
    operator = OperatorClient(address=address, key=OPERATOR_KEY)
    operator.submit(submission="s", base_revision=0, text=TEXT_WITHOUT_TARGET)
    fakes = [
        start_fake(f"oven-{n}", "helper-llm", ["small", "strong"], [address])
        for n in range(2)
    ]
    client = instance.control_client
    wait_until(
        lambda: len(client.view.servers) == 2 and client.lease_valid(),
        what="two servers registered",
    )
    policies = instance.request_path.policies
    try:
        session = {"Turmericreel_Session": "session-1"}
        first = send_chat(address, "first turn", **session)
        healthy = [version_of(send_chat(address, f"question {n}")) for n in range(20)]
        wait_until(lambda: rating.n_calls >= 21, what="all answers rated")
        rating.scores["small"] = 0.1
        later = count()

        def is_suspended() -> bool:
            send_chat(address, f"later question {next(later)}")
            return bool(policies.standings)

        wait_until(is_suspended, what="small suspended")
        after = [version_of(send_chat(address, f"last question {n}")) for n in range(5)]
        turn = send_chat(address, "second turn", **session)
    finally:
        for fake in fakes:
            fake.stop()
        instance.stop()
        rating.http.stop()
    assert version_of(first) == "small"
    assert set(healthy) == {"small"}
    assert set(after) == {"strong"}
    assert turn.status == 410
    assert turn.json()["error"]["reason"] == "session_ended"


def test_failing_rating_service_fails_no_answers(tmp_path):
    rating = FakeRatingService()
    rating.scores = {"small": None, "strong": None}
    settings = msgspec.structs.replace(
        solo_settings(tmp_path),
        rating=RatingSettings(address=rating.address, sample=1.0),
    )
    instance = Instance(settings=settings, clock=SystemClock())
    instance.start()
    address = str(instance.http_address)
    operator = OperatorClient(address=address, key=OPERATOR_KEY)
    operator.submit(submission="s", base_revision=0, text=TEXT)
    fake = start_fake("oven-1", "helper-llm", ["small", "strong"], [address])
    client = instance.control_client
    wait_until(
        lambda: len(client.view.servers) == 1 and client.lease_valid(),
        what="a server registered",
    )
    try:
        answers = [send_chat(address, f"question {n}") for n in range(10)]
    finally:
        fake.stop()
        instance.stop()
        rating.http.stop()
    assert all(answer.status == 200 for answer in answers)
