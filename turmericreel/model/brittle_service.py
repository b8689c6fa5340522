"""Report of a service whose servers fall over when they must refuse many requests."""

import msgspec

from turmericreel.model.ids import ServiceName


class BrittleReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What the servers of a service said of themselves.

    Attributes
    ----------
    service : ServiceName
    max_refusals : float
        Requests a second that a server can refuse for want of room.
    age_ms : int
        Time since a server last said so, in milliseconds.
    """

    service: ServiceName
    max_refusals: float
    age_ms: int
