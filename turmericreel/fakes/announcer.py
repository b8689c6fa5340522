"""HTTP client with which a stand-in server calls the instances."""

import msgspec
from gevent.ssl import SSLContext
from geventhttpclient.response import HTTPParseError

from turmericreel.model.servers import BackendServer, LoadReport
from turmericreel.protocols.backend import (
    ANNOUNCE_PATH,
    CACHE_PATH,
    LEAVE_PATH,
    LOAD_PATH,
    CacheEvents,
    LeaveNotice,
    Renewal,
)
from turmericreel.protocols.http_client import build_http_client

CALL_TIMEOUT_S = 2.0
RENEWAL_RETRY_MS = 200


class Announcer:
    """Calls the current home instance, and switches to the next one if it fails.

    Parameters
    ----------
    homes : list of str
        Addresses of instances, tried in this order; the first is the current home.
    context : SSLContext or None
    key : str
        Bearer key sent to the instances; ``""`` for none.
    """

    def __init__(
        self, *, homes: list[str], context: SSLContext | None = None, key: str = ""
    ):
        self.homes = homes
        self.header = {"Authorization": f"Bearer {key}"} if key else {}
        self.context = context

    def announce(self, server: BackendServer) -> Renewal:
        """Announce the server or renew its announcement.

        If no instance answers, the returned renewal is due after `RENEWAL_RETRY_MS`.
        """
        answer = self._post(ANNOUNCE_PATH, server)
        if answer is None:
            return Renewal(renew_every_ms=RENEWAL_RETRY_MS)
        return msgspec.json.decode(answer, type=Renewal)

    def report_load(self, report: LoadReport) -> None:
        """Send a load report to the home instance."""
        self._post(LOAD_PATH, report)

    def publish_events(self, events: CacheEvents) -> None:
        """Send cache events to the home instance."""
        self._post(CACHE_PATH, events)

    def leave(self, server: BackendServer) -> None:
        """Notify the home instance that the server is leaving."""
        notice = LeaveNotice(server=server.server, incarnation=server.incarnation)
        self._post(LEAVE_PATH, notice)

    def _post(self, path: str, message: msgspec.Struct) -> bytes | None:
        body = msgspec.json.encode(message)
        for home in list(self.homes):
            client = build_http_client(
                home, timeout_s=CALL_TIMEOUT_S, context=self.context
            )
            try:
                response = client.post(path, body=body, headers=self.header)
                answer = bytes(response.read())
                if response.status_code == 200:
                    return answer
            except (OSError, HTTPParseError):
                pass
            finally:
                client.close()
            self.homes.append(self.homes.pop(0))
        return None
