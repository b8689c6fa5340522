"""Socket options and checks that several tasks share."""

import select
from socket import IPPROTO_TCP, SO_KEEPALIVE, SOL_SOCKET, TCP_NODELAY, TCP_USER_TIMEOUT

# Long enough for several retransmissions before a silent peer counts as lost.
UNACKNOWLEDGED_TIMEOUT_MS = 2_000


def set_unacknowledged_timeout(sock) -> None:
    """Make a connection fail when sent data is not acknowledged in time.

    On a link that drops all packets nothing else shows that the peer is unreachable.
    """
    sock.setsockopt(IPPROTO_TCP, TCP_NODELAY, 1)
    sock.setsockopt(SOL_SOCKET, SO_KEEPALIVE, 1)
    sock.setsockopt(IPPROTO_TCP, TCP_USER_TIMEOUT, UNACKNOWLEDGED_TIMEOUT_MS)


def is_idle(sock) -> bool:
    """Return whether there is neither unread input nor an end of the stream."""
    poller = select.poll()
    poller.register(sock.fileno(), select.POLLIN | select.POLLRDHUP)
    return not poller.poll(0)
