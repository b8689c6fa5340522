"""Options of sockets that several tasks set alike."""

import select
from socket import IPPROTO_TCP, SO_KEEPALIVE, SOL_SOCKET, TCP_NODELAY, TCP_USER_TIMEOUT

# Several retransmissions, after which a peer on a silent link counts as lost.
UNACKNOWLEDGED_TIMEOUT_MS = 2_000


def set_unacknowledged_timeout(sock) -> None:
    """Have a connection end when what it sent is not acknowledged in time.

    On a silent link nothing else shows that the peer is not reached any more.
    """
    sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    sock.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    sock.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)


def is_idle(sock) -> bool:
    """Tell whether nothing has come in that was not read, nor an end of the stream."""
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN | select.POLLRDHUP)
    return not poller.poll(0)
