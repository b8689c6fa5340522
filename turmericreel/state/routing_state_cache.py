"""Cache of a coordinator's routing state, distributed immediately after a restart.

The cache is not authoritative: accepted commands are in the log, and servers report
again within seconds.  A missing or corrupt file is treated as an empty cache.
"""

from collections.abc import Callable

import msgspec
from eliot import log_message

from turmericreel.model.evacuation import Evacuation
from turmericreel.model.failures import FailureError
from turmericreel.model.ids import Revision
from turmericreel.model.registered_server import RegisteredServer
from turmericreel.model.routing import Rollout
from turmericreel.model.server_crash import ServerCrash
from turmericreel.state.storage.disk import Disk
from turmericreel.state.storage.small_files import read_file, replace_file

FILE_NAME = "spread"


class RoutingState(msgspec.Struct, frozen=True, kw_only=True):
    """State that a coordinator distributes to gateways; it may be outdated.

    Attributes
    ----------
    crashes : tuple of ServerCrash
        Their times are those of the wall clock, as others end with the process.
    """

    revision: Revision = Revision(0)
    document: bytes = b""
    rollouts: tuple[Rollout, ...] = ()
    servers: tuple[RegisteredServer, ...] = ()
    crashes: tuple[ServerCrash, ...] = ()
    evacuations: tuple[Evacuation, ...] = ()


class RoutingStateCache:
    """Stores the state in one file on a dedicated disk.

    Parameters
    ----------
    open_disk : callable
        Returns the disk; may raise `OSError`.
    """

    def __init__(self, *, open_disk: Callable[[], Disk]):
        self.open_disk = open_disk
        self.disk: Disk | None = None

    def load(self) -> RoutingState:
        """Return the state saved last; empty if there is none or it is unreadable."""
        try:
            disk = self._disk()
            if FILE_NAME not in disk.names():
                return RoutingState()
            return read_file(disk, FILE_NAME, FILE_NAME, RoutingState)
        except (OSError, FailureError, msgspec.MsgspecError) as error:
            log_message("coordinator:cache_unusable", reason=str(error))
            return RoutingState()

    def save(self, state: RoutingState) -> None:
        """Replace the file; log a failure instead of raising it."""
        try:
            replace_file(self._disk(), FILE_NAME, FILE_NAME, state)
        except OSError as error:
            log_message("coordinator:cache_not_saved", reason=str(error))

    def _disk(self) -> Disk:
        if self.disk is None:
            self.disk = self.open_disk()
        return self.disk
