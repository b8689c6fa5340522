"""Health of service versions, as judged by their answers."""

from enum import Enum

import msgspec

from turmericreel.model.ids import ServiceName, VersionId


class HealthState(Enum):
    """Health state of a version."""

    HEALTHY = "healthy"
    SUSPENDED = "suspended"
    RETURNING = "returning"


class VersionStanding(msgspec.Struct, frozen=True, kw_only=True):
    """Health state of one version and its share of new work.

    Parameters
    ----------
    share : float
        Fraction of new requests that the version may get while it is returning.
    number : int
        Increases with each change of this version's standing; the highest number is
        in force.
    """

    service: ServiceName
    version: VersionId
    state: HealthState
    share: float = 1.0
    number: int = 0
