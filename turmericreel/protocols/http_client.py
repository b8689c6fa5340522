"""Builds HTTP clients for instances and external systems."""

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
    """Return an HTTP client for one address that sends each request at most once.

    Parameters
    ----------
    address : str
        ``ip:port``.
    timeout_s : float
        Time-out of connecting and of each read, in seconds.
    context : SSLContext or None
        TLS context; None for plain text.
    concurrency : int
        Maximum number of concurrent connections.
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
    """Prevent the library from resending requests on its own.

    It would resend PUT, DELETE and GET requests when a connection closes without an
    answer, but whether a call may be repeated is declared by the service and does not
    follow from the method.  The library allows `size` + 1 resends and, once the
    connection pool is built, uses `size` for nothing else; -1 thus allows none.
    """
    client._connection_pool.size = -1


def _context_factory(context: SSLContext | None):
    if context is None:
        return None
    # The library passes its own CA bundle as `cafile`, which must not be trusted.
    return lambda cafile=None: context


def open_connection(client: HTTPClient) -> None:
    """Open the connection of a new client without sending anything.

    A failure here proves that no byte of a request was sent.

    Raises
    ------
    OSError
        When the connection cannot be opened.
    """
    sock = client._connection_pool.get_socket()
    client._connection_pool.return_socket(sock)
