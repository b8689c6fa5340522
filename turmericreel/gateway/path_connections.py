"""Connections of a gateway to servers, directly or through another gateway."""

from collections.abc import Callable
from math import inf

from eliot import log_message

from turmericreel.decisions.server_paths import PathState, ServerPaths
from turmericreel.entry.server_connections import ServerConnection, ServerConnections
from turmericreel.gateway.relay_connections import RelayConnections, RelayedConnection
from turmericreel.protocols.addresses import Address
from turmericreel.util.clock import Clock

CONNECT_TIMEOUT_S = 0.5
RELAY_TIMEOUT_S = 0.4
# A server may soon close a connection on which it got no request.
UNUSED_KEEP_S = 0.5


class PathConnections:
    """Opens connections to servers by the paths that work.

    Parameters
    ----------
    direct : ServerConnections
    relayed : RelayConnections
    paths : ServerPaths
    clock : Clock

    Attributes
    ----------
    on_direct_failure : callable
        Called with an address after a direct path to it has failed.
    on_lost : callable
        Called with an address after a connection to it was lost within an answer.
    on_relayed : callable
        Called when another gateway reached a server, with its address and whether the
        direct path had worked until then.
    """

    def __init__(
        self,
        *,
        direct: ServerConnections,
        relayed: RelayConnections,
        paths: ServerPaths,
        clock: Clock,
    ):
        self.direct = direct
        self.relayed = relayed
        self.paths = paths
        self.clock = clock
        self.on_direct_failure: Callable[[Address], None] = lambda address: None
        self.on_lost: Callable[[Address], None] = lambda address: None
        self.on_relayed: Callable[[str, bool], None] = lambda address, is_new: None

    def acquire(
        self, address: Address, *, deadline: float = inf, must_be_fresh: bool = False
    ) -> ServerConnection:
        """Return an idle connection that seems usable, or open one.

        Parameters
        ----------
        address : Address
        deadline : float
            When a connection is of no use any more, in seconds on the monotonic clock.
        must_be_fresh : bool
            See `ServerConnections.acquire`.

        Raises
        ------
        OSError
            When no path works, so that the server received no byte of a request.
        """
        now = self.clock.monotonic()
        if self.paths.is_silent(str(address), now=now):
            raise TimeoutError("no gateway reached the server a moment ago")
        state = self.paths.state_of(str(address), now=now)
        if state is PathState.RELAYED:
            # Connections may live on although new ones are refused.
            return self.direct.take_idle(
                address, must_be_fresh=must_be_fresh
            ) or self._acquire_relayed(address, deadline, must_be_fresh=must_be_fresh)
        try:
            return self._acquire_direct(address, deadline, must_be_fresh=must_be_fresh)
        except OSError:
            if state is PathState.UNREACHED:
                raise
            self.on_direct_failure(address)
            return self._acquire_relayed(address, deadline, must_be_fresh=must_be_fresh)

    def release(self, connection: ServerConnection, **options) -> None:
        """Return a connection to its pool; see `ServerConnections.release`."""
        if isinstance(connection, RelayedConnection):
            self.relayed.release(connection, **options)
            return
        self.direct.release(connection, **options)
        self._record_reached(connection.address)

    def close_idle(self, address: Address) -> None:
        """Close the idle connections to a server after a failed read."""
        self.direct.close_idle(address)
        self.relayed.close_idle(address)

    def record_lost(self, address: Address, *, is_direct: bool) -> None:
        """Record that a connection was lost within an answer, and check the path."""
        if is_direct:
            self.paths.record_lost(str(address), now=self.clock.monotonic())
        self.on_lost(address)

    def record_silence(self, connection: ServerConnection) -> None:
        """Record that no byte came in time; another gateway may have fallen silent."""
        if isinstance(connection, RelayedConnection):
            self.relayed.choice.record_failure(
                connection.gateway, now=self.clock.monotonic()
            )

    def check_direct(self, address: Address) -> bool:
        """Open a direct connection for later use; return whether it succeeded."""
        self.paths.record_checked(str(address), now=self.clock.monotonic())
        try:
            connection = self.connect_directly(address, timeout=CONNECT_TIMEOUT_S)
        except OSError:
            return False
        self.direct.release(connection, keep_s=UNUSED_KEEP_S)
        return True

    def check_relayed(self, address: Address) -> bool:
        """Open a connection through another gateway; return whether it succeeded."""
        try:
            connection = self.connect_relayed(address, timeout=RELAY_TIMEOUT_S)
        except OSError:
            return False
        self.relayed.release(connection, keep_s=UNUSED_KEEP_S)
        return True

    def connect_directly(self, address: Address, *, timeout: float) -> ServerConnection:
        """Open a direct connection, and record whether the path works.

        Raises
        ------
        OSError
        """
        try:
            connection = self.direct.connect(address, timeout=timeout)
        except OSError as error:
            is_silent = not isinstance(error, ConnectionRefusedError)
            self.paths.record_failed(
                str(address), now=self.clock.monotonic(), is_silent=is_silent
            )
            if is_silent:
                # Nothing shows that the server still sees the idle connections.
                self.direct.close_idle(address)
            raise
        self._record_reached(address)
        return connection

    def connect_relayed(self, address: Address, *, timeout: float) -> ServerConnection:
        """Open a connection through another gateway, and record whether it worked.

        Raises
        ------
        OSError
        """
        try:
            connection = self.relayed.connect(address, timeout=timeout)
        except OSError as error:
            now = self.clock.monotonic()
            self.paths.record_unreached(str(address), now=now)
            log_message(
                "gateway:path_unreached", address=str(address), reason=str(error)
            )
            raise
        now = self.clock.monotonic()
        is_new = self.paths.record_relayed(str(address), now=now)
        if is_new:
            log_message(
                "gateway:path_relayed",
                address=str(address),
                gateway=connection.gateway,
                is_cut_off=self.paths.is_cut_off(now=now),
                n_relayed=self.paths.n_in(PathState.RELAYED),
            )
        self.on_relayed(str(address), is_new)
        return connection

    def _acquire_direct(
        self, address: Address, deadline: float, *, must_be_fresh: bool
    ) -> ServerConnection:
        connection = self.direct.take_idle(address, must_be_fresh=must_be_fresh)
        if connection is not None:
            return connection
        left_s = deadline - self.clock.monotonic()
        return self.connect_directly(
            address, timeout=min(CONNECT_TIMEOUT_S, max(left_s, 0.001))
        )

    def _acquire_relayed(
        self, address: Address, deadline: float, *, must_be_fresh: bool
    ) -> ServerConnection:
        connection = self.relayed.take_idle(address, must_be_fresh=must_be_fresh)
        if connection is not None:
            return connection
        left_s = deadline - self.clock.monotonic()
        return self.connect_relayed(
            address, timeout=min(RELAY_TIMEOUT_S, max(left_s, 0.001))
        )

    def _record_reached(self, address: Address) -> None:
        now = self.clock.monotonic()
        if self.paths.record_reached(str(address), now=now):
            log_message("gateway:path_restored", address=str(address))
