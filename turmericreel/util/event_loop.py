"""Pins gevent's event loop to libev on epoll.

Other backends of gevent may use io_uring, which the platform forbids.  This module
must be imported before any other use of gevent, as that would choose the backend.
"""

from gevent import config

config.loop = "libev-cext"
config.libev_backend = "epoll"

from gevent import get_hub  # noqa: E402


def loop_backend() -> str:
    """Return the name of the event loop's backend in this process."""
    return get_hub().loop.backend
