"""Where a control instance has the state from that it passes on.

A leader has it from its own log, a relay from its subscription to the leader.  What
it tells its subscribers, and how, is the same.
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
    """State to pass on, and for how long it may be relied on."""

    @abstractmethod
    def lease_limit_ms(self) -> int:
        """Return the longest lease that may be granted right now; 0 for none."""

    @abstractmethod
    def fencing_token(self) -> FencingToken:
        """Return the leader's token that the state was received under."""

    @abstractmethod
    def revision(self) -> Revision:
        """Return the current revision of the operators' text."""

    @abstractmethod
    def text_of(self, revision: Revision) -> str | None:
        """Return the text of a revision, or None if it is not kept."""

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
        """Return a whole lease while this instance leads."""
        return self.lease_ms if self.log.is_leader() else 0

    def fencing_token(self) -> FencingToken:
        """Return the token of the leader's term."""
        return self.log.fencing_token()

    def revision(self) -> Revision:
        """Return the newest committed revision."""
        return self.log.machine.configuration.revision

    def text_of(self, revision: Revision) -> str | None:
        """Return the text of a kept revision."""
        return self.log.machine.configuration.text_of(revision)

    def registry(self) -> ChangeFeed[BackendServerId, ServerRegistration]:
        """Return the replicated registry."""
        return self.log.machine.servers.feed


class RelaySource(StateSource):
    """State that the leader told this instance.

    Leases are clamped so that they end before the relay's own one, whatever the
    clocks do within the drift bound.

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
        """What the leader told this instance."""
        return self.client.view

    def lease_limit_ms(self) -> int:
        """Return what is left of the own lease, less the drift."""
        left_s = self.view.lease_deadline - self.client.clock.monotonic()
        return max(0, int(left_s * 1_000 * (1 - self.client.clock_drift)))

    def fencing_token(self) -> FencingToken:
        """Return the newest token heard of."""
        return self.view.fencing_token

    def revision(self) -> Revision:
        """Return the newest revision heard of."""
        return self.view.revision

    def text_of(self, revision: Revision) -> str | None:
        """Return the text of one of the newest revisions."""
        return self.view.source_texts.get(revision)

    def registry(self) -> ChangeFeed[BackendServerId, ServerRegistration]:
        """Return the mirror of the registry."""
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
        self._forget_oldest_absent()

    def _mark_missing(self, message: ServersPush) -> None:
        still_there = {present.server.server for present in message.present}
        for key, known in list(self.feed.values.items()):
            if known.present and key not in still_there:
                self._put_absent(known, message.index)

    def _forget_oldest_absent(self) -> None:
        n_over = len(self.feed.values) - MAX_RETAINED_SERVERS
        if n_over <= 0:
            return
        absent = (k for k in self.feed.changed if not self.feed.values[k].present)
        for key in list(islice(absent, n_over)):
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
        if known is not None and _same(known, registered):
            return
        key = registered.server.server
        self.feed.put(key, registered, index=registered.changed_index)


def _same(known: ServerRegistration, registered: ServerRegistration) -> bool:
    return (
        known.present == registered.present
        and known.server == registered.server
        and known.home == registered.home
    )
