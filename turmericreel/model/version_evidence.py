"""Counts of a gateway for one version, by which its roll-out is judged."""

import msgspec

from turmericreel.model.ids import ServiceName, VersionId
from turmericreel.model.routing import RouteName


class VersionEvidence(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Counts of one gateway since its start, for one version and route.

    Attributes
    ----------
    n_sent, n_failed, n_timed : int
        Requests sent and failed; `n_timed` answers had a total time to first byte of
        `total_ms`.
    n_running : int
        Requests that are running now.
    """

    service: ServiceName
    version: VersionId
    route: RouteName
    n_sent: int
    n_failed: int
    n_timed: int
    total_ms: float
    n_running: int
