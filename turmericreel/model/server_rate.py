"""Reports and grants of the request rates that server processes name."""

import msgspec

from turmericreel.model.server_crash import ServerProcess


class RateReport(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """What a gateway observed of a limited process, and wants to send it.

    Attributes
    ----------
    rate : float or None
        Limit in requests a second; None once the server no longer names one.
    age_ms : int
        Time since the observation in milliseconds.
    n_wanted : int
        Requests since the last report that could be sent to the process.
    n_waiting : int
        Requests that wait for a grant now.
    n_returned : int
        Grants that expired unused since the last report.
    """

    process: ServerProcess
    rate: float | None
    age_ms: int
    n_wanted: int = 0
    n_waiting: int = 0
    n_returned: int = 0


class RateGrant(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Limit of a process, and the requests that one gateway may send to it.

    Attributes
    ----------
    rate : float or None
        As in `RateReport`.
    age_ms : int
        Time since the observation in milliseconds.
    n_granted : int
        Additional requests that the gateway may send.
    has_spare : bool
        Whether one more request is granted soon if it waits.
    """

    process: ServerProcess
    rate: float | None
    age_ms: int
    n_granted: int = 0
    has_spare: bool = False
