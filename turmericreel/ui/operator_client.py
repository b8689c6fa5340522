"""HTTP client of an instance's operator endpoints."""

from typing import Any
from urllib.parse import urlencode

import msgspec
from gevent.ssl import SSLContext
from geventhttpclient.response import HTTPParseError

from turmericreel.model.failures import (
    FailureError,
    FailureWire,
    PeerUnreachable,
    failure_from_wire,
)
from turmericreel.protocols.http_client import build_http_client

TIMEOUT_S = 10.0


class OperatorClient:
    """Sends an operator's requests to one instance.

    Parameters
    ----------
    address : str
    key : str
    context : SSLContext or None
        None connects without TLS.
    """

    def __init__(self, *, address: str, key: str, context: SSLContext | None = None):
        self.address = address
        self.key = key
        self.context = context

    def submit(self, *, submission: str, base_revision: int, text: str) -> int:
        """Submit the operators' text and return its revision."""
        body = {
            "submission": submission,
            "base_revision": base_revision,
            "text": text,
        }
        return self._call("POST", "/v1/operators/submit", body)["revision"]

    def read(self, query: str, **arguments: str) -> Any:
        """Return the decoded answer to a query."""
        query_string = f"?{urlencode(arguments)}" if arguments else ""
        return self._call("GET", f"/v1/operators/read/{query}{query_string}", None)

    def _call(self, method: str, path: str, body: dict | None) -> Any:
        try:
            client = build_http_client(
                self.address, timeout_s=TIMEOUT_S, context=self.context
            )
        except ValueError as error:
            raise self._unreachable(error) from error
        encoded = msgspec.json.encode(body) if body is not None else b""
        header = {"Authorization": f"Bearer {self.key}"}
        try:
            response = client.request(method, path, body=encoded, headers=header)
            answer = msgspec.json.decode(bytes(response.read()))
        except (OSError, HTTPParseError, msgspec.MsgspecError) as error:
            raise self._unreachable(error) from error
        finally:
            client.close()
        if response.status_code >= 400:
            raise FailureError(_decode_failure(answer["error"]))
        return answer

    def _unreachable(self, error: Exception) -> FailureError:
        return FailureError(PeerUnreachable(address=self.address, detail=str(error)))


def _decode_failure(error: dict):
    tag = error.pop("type")
    error.pop("message", None)
    return failure_from_wire(FailureWire(tag=tag, fields=error))
