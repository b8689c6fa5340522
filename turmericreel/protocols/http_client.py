"""Builds HTTP clients to instances and outside systems."""

from gevent.ssl import SSLContext
from geventhttpclient import HTTPClient

from turmericreel.protocols.addresses import parse_address


def build_http_client(
    address: str,
    *,
    timeout_s: float,
    context: SSLContext | None = None,
    concurrency: int = 1,
) -> HTTPClient:
    """Return a client of one address that sends each request at most once.

    Parameters
    ----------
    address : str
        ``ip:port``.
    timeout_s : float
        Bound on connecting and on each read, in seconds.
    context : SSLContext or None
        TLS context; None speaks plain text.
    concurrency : int
        How many connections it keeps.
    """
    parsed = parse_address(address)
    client = HTTPClient(
        parsed.host,
        port=parsed.port,
        connection_timeout=timeout_s,
        network_timeout=timeout_s,
        concurrency=concurrency,
        ssl=context is not None,
        ssl_context_factory=_context_factory(context),
    )
    disable_library_retries(client)
    return client


def disable_library_retries(client: HTTPClient) -> None:
    """Keep the library from sending a request again by itself.

    It would do so for PUT, DELETE and GET when a connection closes without an answer,
    but whether a call may be repeated is declared by the service, not by its method.
    The library allows as many resends as its pool has connections, and one more.
    """
    client._connection_pool.size = -1


def _context_factory(context: SSLContext | None):
    if context is None:
        return None
    # The library offers its own bundle of authorities, which must not be trusted.
    return lambda cafile=None: context


def open_connection(client: HTTPClient) -> None:
    """Open the connection of a new client before anything is sent.

    A failure here proves that no byte of a request has left.

    Raises
    ------
    OSError
    """
    sock = client._connection_pool.get_socket()
    client._connection_pool.return_socket(sock)
