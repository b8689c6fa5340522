"""Probes backend servers over HTTP for a free slot."""

from contextlib import suppress

import msgspec
from geventhttpclient import HTTPClient

from turmericreel.decisions.slot_search import SlotProber
from turmericreel.model.ids import BackendServerId
from turmericreel.model.servers import BackendServer, LoadReport
from turmericreel.protocols.addresses import parse_address

SLOTS_PATH = "/v1/slots"
PROBE_TIMEOUT_S = 0.05
N_CONNECTIONS = 4
MAX_CLIENTS = 256


class HttpSlotProber(SlotProber):
    """Probes servers over a few persistent connections to each."""

    def __init__(self):
        self.clients: dict[tuple[BackendServerId, str], HTTPClient] = {}

    def has_slot(self, server: BackendServer) -> bool | None:
        """Return whether a server has a free slot now; None when it did not answer."""
        # A failed probe must not delay the request, which is then sent without one.
        with suppress(Exception):
            response = self._client(server).get(SLOTS_PATH)
            body = bytes(response.read())
            if response.status_code == 200:
                load = msgspec.json.decode(body, type=LoadReport)
                return load.waiting == 0 and load.running < server.capacity
        return None

    def _client(self, server: BackendServer) -> HTTPClient:
        key = (server.server, server.address)
        if key not in self.clients:
            if len(self.clients) >= MAX_CLIENTS:
                oldest = next(iter(self.clients))
                self.clients.pop(oldest).close()
            address = parse_address(server.address)
            self.clients[key] = HTTPClient(
                address.host,
                port=address.port,
                connection_timeout=PROBE_TIMEOUT_S,
                network_timeout=PROBE_TIMEOUT_S,
                concurrency=N_CONNECTIONS,
            )
        return self.clients[key]
