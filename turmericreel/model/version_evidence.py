"""Counts of a gateway by which the roll-out of a version is judged."""

import msgspec

from turmericreel.model.ids import ServiceName, VersionId
from turmericreel.model.routing import RouteName


class VersionEvidence(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Counts of one gateway since its start, for one version and route.

    Attributes
    ----------
    n_sent, n_failed : int
        Attempts sent and failed.
    n_timed : int
        Answers whose time to first byte was measured.
    total_ms : float
        Sum of these times in milliseconds.
    n_running : int
        Attempts that are running now.
    """

    service: ServiceName
    version: VersionId
    route: RouteName
    n_sent: int
    n_failed: int
    n_timed: int
    total_ms: float
    n_running: int

    def describe(self) -> str:
        """Return the counts for a log line."""
        mean_ms = self.total_ms / max(self.n_timed, 1)
        return (
            f"{self.version}/{self.route}: {self.n_failed} of {self.n_sent} failed, "
            f"{self.n_running} running, {self.n_timed} began after {mean_ms:.0f} ms"
        )
