"""HTTP handlers for the calls of operators and servers to a coordinator."""

from collections.abc import Callable

import msgspec

from turmericreel.coordinator.coordinator import Coordinator
from turmericreel.entry.application import (
    Application,
    HttpAnswer,
    HttpRequest,
    Route,
    failure_answer,
    json_answer,
)
from turmericreel.model.failures import FailureError, NotLeader, QueryInvalid
from turmericreel.model.ids import BackendServerId, ServiceName, VersionId
from turmericreel.platform.configuration import decode_data_centre, decode_heartbeat
from turmericreel.platform.wire import RolloutAnswer, RolloutBody

CONFIGURATION_PATH = "/-/configuration"
ROLLOUTS_PATH = "/-/rollouts"
EVACUATION_PATH = "/-/evacuation/"
INSTANCES_PATH = "/-/instances/"

Handler = Callable[[HttpRequest], HttpAnswer]


class ControlHandlers:
    """HTTP handlers that pass calls of operators and servers to a coordinator.

    Parameters
    ----------
    coordinator : Coordinator
    """

    def __init__(self, *, coordinator: Coordinator):
        self.coordinator = coordinator

    def application(self) -> Application:
        """Return the application that serves the calls."""
        return Application(
            handlers={
                CONFIGURATION_PATH: Route(
                    handler=redirect_to_leader(self.configuration),
                    methods=("GET", "PUT"),
                ),
                ROLLOUTS_PATH: Route(
                    handler=redirect_to_leader(self.order_rollout), methods=("POST",)
                ),
                f"{ROLLOUTS_PATH}/": Route(
                    handler=redirect_to_leader(self.read_rollout), methods=("GET",)
                ),
                EVACUATION_PATH: Route(
                    handler=redirect_to_leader(self.order_evacuation),
                    methods=("POST", "DELETE"),
                ),
                INSTANCES_PATH: Route(handler=self.server, methods=("PUT", "DELETE")),
            }
        )

    def configuration(self, request: HttpRequest) -> HttpAnswer:
        """Submit a configuration (PUT), or return the newest one (GET)."""
        if request.method == "PUT":
            self.coordinator.submit_routing(request.body)
            return json_answer({})
        document = self.coordinator.read_routing()
        if not document:
            return json_answer({"error": "no configuration yet"}, status=404)
        return HttpAnswer(body=[document])

    def order_rollout(self, request: HttpRequest) -> HttpAnswer:
        """Start a roll-out."""
        try:
            order = msgspec.json.decode(request.body, type=RolloutBody)
        except (ValueError, RecursionError) as error:
            raise FailureError(QueryInvalid(detail=str(error))) from error
        self.coordinator.order_rollout(
            ServiceName(order.backend),
            VersionId(order.target),
            duration_ms=int(order.duration_s * 1_000),
        )
        return json_answer({})

    def read_rollout(self, request: HttpRequest) -> HttpAnswer:
        """Return the state of a service's roll-out."""
        service = ServiceName(request.path.rpartition("/")[2])
        rollout = self.coordinator.read_rollout(service)
        if rollout is None:
            return json_answer({"error": "no roll-out of this service"}, status=404)
        return json_answer(
            RolloutAnswer(state=rollout.stage.state.value, target=rollout.target)
        )

    def order_evacuation(self, request: HttpRequest) -> HttpAnswer:
        """Evacuate a data centre (POST), or withdraw that (DELETE)."""
        self.coordinator.evacuations.order(
            decode_data_centre(request.raw_path.removeprefix(EVACUATION_PATH)),
            is_evacuated=request.method == "POST",
        )
        return json_answer({})

    def server(self, request: HttpRequest) -> HttpAnswer:
        """Record a server's heartbeat (PUT), or deregister the server (DELETE)."""
        server = request.path.rpartition("/")[2]
        if request.method == "DELETE":
            self.coordinator.deregister_server(BackendServerId(server))
        else:
            self.coordinator.record_heartbeat(decode_heartbeat(server, request.body))
        return json_answer({})


def redirect_to_leader(handler: Handler) -> Handler:
    """Wrap a handler so that it redirects callers to the leader.

    The answer has status 307 when this coordinator is not the leader and knows the
    leader.
    """

    def serve(request: HttpRequest) -> HttpAnswer:
        try:
            return handler(request)
        except FailureError as error:
            failure = error.failure
            if not isinstance(failure, NotLeader) or not failure.leader:
                raise
            answer = failure_answer(failure)
            answer.status = 307
            answer.header["Location"] = f"http://{failure.leader}{request.raw_path}"
            return answer

    return serve
