"""HTTP handlers for address look-ups and readiness checks at a gateway."""

from urllib.parse import parse_qs

from turmericreel.entry.application import (
    Application,
    HttpAnswer,
    HttpRequest,
    Route,
    json_answer,
)
from turmericreel.gateway.gateway import Gateway
from turmericreel.model.ids import DataCentreId
from turmericreel.platform.wire import ResolutionAnswer

READINESS_PATH = "/-/readiness"
RESOLUTION_PATH = "/-/resolution"


class GatewayHandlers:
    """HTTP handlers for clients and for the platform's readiness checks.

    Parameters
    ----------
    gateway : Gateway
    validity_ms : int
        How long a client may use an address list, in milliseconds.
    """

    def __init__(self, *, gateway: Gateway, validity_ms: int):
        self.gateway = gateway
        self.validity_ms = validity_ms

    def application(self) -> Application:
        """Return the application that serves the calls."""
        return Application(
            handlers={
                READINESS_PATH: Route(
                    handler=self.readiness, methods=("GET",), reads_body=False
                ),
                RESOLUTION_PATH: Route(
                    handler=self.resolution, methods=("GET",), reads_body=False
                ),
            }
        )

    def readiness(self, request: HttpRequest) -> HttpAnswer:
        """Answer with status 200 if the gateway is ready for clients, else 503."""
        return json_answer({}, status=200 if self.gateway.is_ready else 503)

    def resolution(self, request: HttpRequest) -> HttpAnswer:
        """Return the gateway addresses for clients in a data centre.

        The query parameter ``Zone`` names the data centre.
        """
        query = parse_qs(request.query)
        data_centre = DataCentreId(query.get("Zone", [""])[0])
        addresses = self.gateway.addresses_for(data_centre)
        if not addresses:
            return json_answer({"error": "no gateway is known yet"}, status=503)
        answer = ResolutionAnswer(addresses=addresses, ttl_s=self.validity_ms / 1_000)
        return json_answer(answer)
