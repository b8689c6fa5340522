"""HTTP handlers for operators: submit the operators' text and run read queries."""

from urllib.parse import parse_qs

import msgspec

from turmericreel.coordination.control_client import ControlClient
from turmericreel.coordination.submissions import submission_command
from turmericreel.entry.application import HttpAnswer, HttpRequest, json_answer
from turmericreel.entry.server_handlers import decode_body
from turmericreel.model.failures import (
    FailureError,
    Unauthenticated,
    failure_from_wire,
)
from turmericreel.model.ids import OperatorId, Revision, SubmissionId
from turmericreel.model.parsed_texts import parse_text_cached
from turmericreel.state.commands.base import Rejected
from turmericreel.util.keys import KeyIndex, key_id

SUBMIT_TIMEOUT_S = 5.0
QUERY_TIMEOUT_S = 3.0
READ_PREFIX = "/v1/operators/read/"


class Submission(msgspec.Struct, kw_only=True):
    """Body of a submit request."""

    submission: SubmissionId
    base_revision: Revision
    text: str


class OperatorHandlers:
    """Handles the HTTP requests of operators.

    Parameters
    ----------
    control : ControlClient
    key_hashes : list of str
        Hashes of the operators' keys.
    """

    def __init__(self, *, control: ControlClient, key_hashes: list[str]):
        self.control = control
        # The operator id is the public id of the key.
        self.keys: KeyIndex[OperatorId] = KeyIndex(
            hashes=[(OperatorId(key_id(key_hash)), key_hash) for key_hash in key_hashes]
        )

    def submit(self, http: HttpRequest) -> HttpAnswer:
        """Serve ``POST /v1/operators/submit``: propose a new operators' text."""
        operator = self._authenticate(http)
        submission = decode_body(http, Submission)
        parse_text_cached(submission.text)
        command = submission_command(
            self.control.view,
            submission=submission.submission,
            base_revision=submission.base_revision,
            text=submission.text,
            operator=operator,
        )
        result = self.control.propose(command, timeout=SUBMIT_TIMEOUT_S)
        if isinstance(result, Rejected):
            raise FailureError(failure_from_wire(result.failure))
        return json_answer({"revision": result.revision}, status=202)

    def read(self, http: HttpRequest) -> HttpAnswer:
        """Serve ``GET /v1/operators/read/QUERY``: run a query on the control group."""
        self._authenticate(http)
        what = http.path.removeprefix(READ_PREFIX)
        arguments = {key: values[0] for key, values in parse_qs(http.query).items()}
        value = self.control.query(what, timeout=QUERY_TIMEOUT_S, **arguments)
        return json_answer(msgspec.msgpack.decode(value))

    def _authenticate(self, http: HttpRequest) -> OperatorId:
        operator = self.keys.owner_of(http.bearer) if http.bearer else None
        if operator is None:
            raise FailureError(Unauthenticated())
        return operator
