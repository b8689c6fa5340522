"""Sources of the state that a control instance sends to its subscribers.

A leader reads it from its own log, a relay from its subscription to the leader.  The
messages to subscribers are the same.
"""

from abc import ABC, abstractmethod
from itertools import islice

from turmericreel.coordination.control_client import ControlClient
from turmericreel.coordination.control_view import ControlView
from turmericreel.coordination.replicated_log import ReplicatedLog
from turmericreel.model.ids import BackendServerId, FencingToken, Revision
from turmericreel.protocols.control_messages import Message, ServersPush
from turmericreel.state.tables.servers import MAX_RETAINED_SERVERS, ServerRegistration
from turmericreel.util.change_feed import ChangeFeed


class StateSource(ABC):
    """State to send to subscribers, and the longest lease that it allows."""

    @abstractmethod
    def lease_limit_ms(self) -> int:
        """Return the milliseconds of the longest lease grantable now; 0 if none."""

    @abstractmethod
    def fencing_token(self) -> FencingToken:
        """Return the fencing token of the leader that the state comes from."""

    @abstractmethod
    def revision(self) -> Revision:
        """Return the current revision of the operators' text."""

    @abstractmethod
    def text_of(self, revision: Revision) -> str | None:
        """Return the text of a revision, or None if it is not retained."""

    @abstractmethod
    def registry(self) -> ChangeFeed[BackendServerId, ServerRegistration]:
        """Return the registry of backend servers."""


class LeaderSource(StateSource):
    """The leader's own state.

    Parameters
    ----------
    log : ReplicatedLog
    lease_ms : int
    """

    def __init__(self, *, log: ReplicatedLog, lease_ms: int):
        self.log = log
        self.lease_ms = lease_ms

    def lease_limit_ms(self) -> int:
        """Return the whole lease while this instance leads, else 0."""
        return self.lease_ms if self.log.is_leader() else 0

    def fencing_token(self) -> FencingToken:
        """Return the token of the leader's term."""
        return self.log.fencing_token()

    def revision(self) -> Revision:
        """Return the newest committed revision."""
        return self.log.machine.configuration.revision

    def text_of(self, revision: Revision) -> str | None:
        """Return the text of a retained revision, or None."""
        return self.log.machine.configuration.text_of(revision)

    def registry(self) -> ChangeFeed[BackendServerId, ServerRegistration]:
        """Return the replicated registry."""
        return self.log.machine.servers.feed


class RelaySource(StateSource):
    """State that a relay received from the leader.

    Granted leases are limited so that they end before the relay's own lease, for any
    clock drift within the bound.

    Parameters
    ----------
    client : ControlClient
        Subscribed to the leader as a relay.
    """

    def __init__(self, *, client: ControlClient):
        self.client = client
        self.feed: ChangeFeed[BackendServerId, ServerRegistration] = ChangeFeed()
        client.push_callbacks.append(self._on_push)

    @property
    def view(self) -> ControlView:
        """Local view of the state received from the leader."""
        return self.client.view

    def lease_limit_ms(self) -> int:
        """Return the rest of the relay's own lease, reduced by the clock drift."""
        left_s = self.view.lease_deadline - self.client.clock.monotonic()
        return max(0, int(left_s * 1_000 * (1 - self.client.clock_drift)))

    def fencing_token(self) -> FencingToken:
        """Return the newest fencing token received."""
        return self.view.fencing_token

    def revision(self) -> Revision:
        """Return the newest revision received."""
        return self.view.revision

    def text_of(self, revision: Revision) -> str | None:
        """Return the text of a recent revision, or None if it is not retained."""
        return self.view.source_texts.get(revision)

    def registry(self) -> ChangeFeed[BackendServerId, ServerRegistration]:
        """Return this relay's copy of the registry."""
        return self.feed

    def _on_push(self, message: Message) -> None:
        if not isinstance(message, ServersPush):
            return
        if message.whole:
            self._mark_missing(message)
        for present in message.present:
            registered = ServerRegistration(
                server=present.server, home=present.home, changed_index=message.index
            )
            self._put(registered)
        for gone in message.gone:
            known = self.feed.values.get(gone.server)
            if known is not None and known.server.incarnation <= gone.incarnation:
                self._put_absent(known, message.index)
        self.feed.index = max(self.feed.index, message.index)
        self._drop_oldest_absent()

    def _mark_missing(self, message: ServersPush) -> None:
        present_ids = {present.server.server for present in message.present}
        for key, known in list(self.feed.values.items()):
            if known.present and key not in present_ids:
                self._put_absent(known, message.index)

    def _drop_oldest_absent(self) -> None:
        n_excess = len(self.feed.values) - MAX_RETAINED_SERVERS
        if n_excess <= 0:
            return
        absent = (k for k in self.feed.changed if not self.feed.values[k].present)
        for key in list(islice(absent, n_excess)):
            self.feed.forget(key)

    def _put_absent(self, known: ServerRegistration, index: int) -> None:
        self._put(
            ServerRegistration(
                server=known.server,
                home=known.home,
                changed_index=index,
                present=False,
            )
        )

    def _put(self, registered: ServerRegistration) -> None:
        known = self.feed.values.get(registered.server.server)
        if known is not None and _is_same_registration(known, registered):
            return
        key = registered.server.server
        self.feed.put(key, registered, index=registered.changed_index)


def _is_same_registration(
    known: ServerRegistration, registered: ServerRegistration
) -> bool:
    return (
        known.present == registered.present
        and known.server == registered.server
        and known.home == registered.home
    )
