"""Stops a gateway gracefully: clients move to other gateways, and answers end whole.

The gateway leaves the address lists at once.  It serves clients until the slowest use
no list that names it any more, and refuses them from then on while requests still run.
Clients are never left without an answer: the listener accepts until the end.
"""

from eliot import log_message
from gevent import sleep

from turmericreel.gateway.application import GatewayApplication
from turmericreel.gateway.ingress import IngressServer
from turmericreel.gateway.links import CoordinatorLinks
from turmericreel.gateway.relay_listener import RelayListener
from turmericreel.gateway.usage_counter import UsageCounter
from turmericreel.model.routing_settings import GatewaySettings
from turmericreel.util.clock import Clock

# The slowest clients use an address list for this multiple of its validity.
ADDRESS_LIST_VALIDITY_FACTOR = 3.0
STOP_MARGIN_S = 0.4
# Answers that end at the deadline take this time to reach their clients.
STOP_ANSWER_S = 0.2
# Within the margin, time to refuse the clients that were accepted last.
FINISH_TIMEOUT_S = 0.1
POLL_S = 0.05


class GracefulStop:
    """One graceful stop of a gateway.

    Parameters
    ----------
    settings : GatewaySettings
    application : GatewayApplication
    ingress : IngressServer
    relays : RelayListener
    links : CoordinatorLinks
    usage : UsageCounter
    clock : Clock

    Attributes
    ----------
    deadline : float
        When requests that still run are cut off, in seconds on the monotonic clock.
    expired_at : float
        When the address lists with the gateway have expired by their own terms.
    delisted_at : float
        When the slowest clients use none of them any more.
    """

    def __init__(
        self,
        *,
        settings: GatewaySettings,
        application: GatewayApplication,
        ingress: IngressServer,
        relays: RelayListener,
        links: CoordinatorLinks,
        usage: UsageCounter,
        clock: Clock,
    ):
        self.application = application
        self.ingress = ingress
        self.relays = relays
        self.links = links
        self.usage = usage
        self.clock = clock
        now = clock.monotonic()
        self.deadline = now + settings.stop_deadline_ms / 1_000 - STOP_MARGIN_S
        list_validity_s = settings.list_validity_ms / 1_000
        self.expired_at = now + list_validity_s
        self.delisted_at = min(
            now + list_validity_s * ADDRESS_LIST_VALIDITY_FACTOR, self.deadline
        )

    def run(self) -> None:
        """Stop, and return when the process may exit."""
        self._leave()
        sleep(max(self.delisted_at - self.clock.monotonic(), 0.0))
        self._refuse_until_idle()
        self.ingress.finish(timeout_s=FINISH_TIMEOUT_S)
        log_message(
            "gateway:stopped",
            n_cut=self.application.n_running,
            usage_settled=self.usage.is_settled,
        )

    def _leave(self) -> None:
        log_message("gateway:stopping", n_running=self.application.n_running)
        self.application.stopping = True
        self.application.admission.deadline = self.deadline - STOP_ANSWER_S
        # Later clients have newer lists to go by, so that nothing need be risked.
        self.application.admission.certain_from = self.expired_at
        self.links.report_now()
        self.relays.stop_accepting()

    def _refuse_until_idle(self) -> None:
        log_message(
            "gateway:delisted",
            n_running=self.application.n_running,
            n_connections=self.ingress.n_connections,
        )
        self.application.refusing = True
        while self._is_busy() and self.clock.monotonic() < self.deadline:
            sleep(POLL_S)
            self.ingress.close_idle()

    def _is_busy(self) -> bool:
        return (
            self.application.n_running > 0
            or self.relays.n_relays > 0
            or not self.usage.is_settled
        )
