"""Counts of a gateway by which the roll-out of a version is judged."""

from typing import NewType

import msgspec

from turmericreel.model.ids import ServiceName, VersionId
from turmericreel.model.routing import RouteName
from turmericreel.model.wait_counts import WaitCounts

LoadClass = NewType("LoadClass", int)


def load_class_of(n_requests: float) -> LoadClass:
    """Return the class of a load: 0, 1 to 3, 4 to 15, 16 to 63 requests, ..."""
    return LoadClass((int(n_requests).bit_length() + 1) // 2)


class VersionEvidence(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Counts of one gateway since its start, for one version, route and load.

    Attributes
    ----------
    load : LoadClass
        Load of the servers when the waits began.
    n_sent, n_failed : int
        Attempts sent and failed.
    n_attempts : int
        Attempts sent, including those after a failure of the same request.
    n_running : int
        Attempts that are running now.
    first_waits : WaitCounts
        Waits for the whole answer, or for the first event of a stream.
    event_waits : WaitCounts
        Mean waits for an event, over a few successive ones of a stream.
    """

    service: ServiceName
    version: VersionId
    route: RouteName
    n_sent: int
    n_failed: int
    n_running: int
    first_waits: WaitCounts = WaitCounts()
    event_waits: WaitCounts = WaitCounts()
    load: LoadClass = LoadClass(0)
    n_attempts: int = 0
