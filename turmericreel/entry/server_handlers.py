"""Doors for backend servers: announce, load, cache events, leave."""

import msgspec

from turmericreel.decisions.server_policy import ServerPolicy
from turmericreel.entry.announcements import RENEW_EVERY_MS, Announcements
from turmericreel.entry.application import HttpAnswer, HttpRequest, json_answer
from turmericreel.entry.cache_events import CacheEventReader
from turmericreel.entry.parse_request import bad_request
from turmericreel.model.servers import BackendServer, LoadReport
from turmericreel.protocols.addresses import parse_address
from turmericreel.protocols.backend import CacheEvents, LeaveNotice, Renewal
from turmericreel.util.clock import Clock


class ServerHandlers:
    """Serves backend servers.

    Parameters
    ----------
    announcements : Announcements
    cache_events : CacheEventReader
    servers : ServerPolicy
        Told of the load reports that arrive here.
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
        """Serve ``POST /v1/backend/announce``; also renews."""
        server = decode_body(http, BackendServer)
        check_server(server)
        stale = self.announcements.announce(server)
        return json_answer(
            Renewal(renew_every_ms=RENEW_EVERY_MS, stale=stale is not None)
        )

    def load(self, http: HttpRequest) -> HttpAnswer:
        """Serve ``POST /v1/backend/load``."""
        report = decode_body(http, LoadReport)
        self.announcements.report_load(report)
        self.servers.report_load(report, now=self.clock.monotonic())
        return json_answer({})

    def cache(self, http: HttpRequest) -> HttpAnswer:
        """Serve ``POST /v1/backend/cache``."""
        self.cache_events.read(decode_body(http, CacheEvents))
        return json_answer({})

    def leave(self, http: HttpRequest) -> HttpAnswer:
        """Serve ``POST /v1/backend/leave``."""
        notice = decode_body(http, LeaveNotice)
        self.announcements.leave(notice.server, notice.incarnation)
        self.cache_events.forget(notice.server)
        return json_answer({})


def check_server(server: BackendServer) -> None:
    """Raise `NotRun` unless the server can be called as it announced itself."""
    try:
        parse_address(server.address)
    except ValueError as error:
        raise bad_request(str(error)) from error
    if not server.server or not server.versions or server.capacity < 1:
        raise bad_request("server, versions and capacity must be given")


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
