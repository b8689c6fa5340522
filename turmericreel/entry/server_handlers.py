"""HTTP handlers for backend servers: announce, load, cache events and leave."""

import msgspec

from turmericreel.decisions.server_policy import ServerPolicy
from turmericreel.entry.announcements import RENEW_INTERVAL_MS, Announcements
from turmericreel.entry.application import HttpAnswer, HttpRequest, json_answer
from turmericreel.entry.cache_events import CacheEventReader
from turmericreel.entry.parse_request import bad_request
from turmericreel.model.servers import BackendServer, LoadReport
from turmericreel.protocols.addresses import parse_server_address
from turmericreel.protocols.backend import CacheEvents, LeaveNotice, Renewal
from turmericreel.util.clock import Clock


class ServerHandlers:
    """Handles the HTTP requests of backend servers.

    Parameters
    ----------
    announcements : Announcements
    cache_events : CacheEventReader
    servers : ServerPolicy
        Records the load reports that arrive at this instance.
    clock : Clock
    """

    def __init__(
        self,
        *,
        announcements: Announcements,
        cache_events: CacheEventReader,
        servers: ServerPolicy,
        clock: Clock,
    ):
        self.announcements = announcements
        self.cache_events = cache_events
        self.servers = servers
        self.clock = clock

    def announce(self, http: HttpRequest) -> HttpAnswer:
        """Serve ``POST /v1/backend/announce``: register a server or renew it."""
        server = decode_body(http, BackendServer)
        check_server(server)
        stale = self.announcements.announce(server)
        return json_answer(
            Renewal(renew_every_ms=RENEW_INTERVAL_MS, stale=stale is not None)
        )

    def load(self, http: HttpRequest) -> HttpAnswer:
        """Serve ``POST /v1/backend/load``: record a load report."""
        report = decode_body(http, LoadReport)
        self.announcements.publish_load(report)
        self.servers.record_report(report, now=self.clock.monotonic())
        return json_answer({})

    def cache(self, http: HttpRequest) -> HttpAnswer:
        """Serve ``POST /v1/backend/cache``: record events of the prefix cache."""
        self.cache_events.read(decode_body(http, CacheEvents))
        return json_answer({})

    def leave(self, http: HttpRequest) -> HttpAnswer:
        """Serve ``POST /v1/backend/leave``: deregister a server."""
        notice = decode_body(http, LeaveNotice)
        self.announcements.deregister(notice.server, notice.incarnation)
        self.cache_events.remove_server(notice.server)
        return json_answer({})


def check_server(server: BackendServer) -> None:
    """Raise `NotRun` unless the announced address and attributes are usable."""
    try:
        parse_server_address(server.address)
    except ValueError as error:
        raise bad_request(str(error)) from error
    if not server.server or not server.versions or server.capacity < 1:
        raise bad_request(
            "server and versions must not be empty, and capacity must be at least 1"
        )


def decode_body(http: HttpRequest, body_type):
    """Decode a JSON body.

    Raises
    ------
    FailureError
        With `NotRun`.
    """
    try:
        return msgspec.json.decode(http.body, type=body_type)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise bad_request(str(error)) from error
