"""A subscriber's copy of the control state, and the rules for updating it.

There is no I/O in this module.  It holds every rule that keeps a subscriber from
acting on old state: revisions, registry indices and fencing tokens never decrease, and
a lease is valid only for exactly the state for which it was granted.
"""

from dataclasses import dataclass, field
from enum import Enum

from turmericreel.coordination.lease import holder_deadline
from turmericreel.model.ids import (
    BackendServerId,
    FencingToken,
    InstanceId,
    Revision,
)
from turmericreel.model.parsed_texts import parse_text_cached
from turmericreel.model.servers import BackendServer
from turmericreel.model.text import OperatorsText
from turmericreel.protocols.control_messages import (
    ConfigurationDelta,
    ConfigurationPush,
    InstanceInfo,
    InstancesPush,
    LeaseGranted,
    ServersPush,
)
from turmericreel.util.text_edits import apply_edits, text_checksum

MAX_SOURCE_TEXTS = 16
# Of all source texts; a missing base only costs a whole text in place of edits.
MAX_SOURCE_CHARACTERS = 4 * 1024 * 1024


class UpdateResult(Enum):
    """Result of applying a message to the view.

    `GAP` means that an earlier push was missed, so the whole state must be fetched;
    `STALE_SENDER` that the sender's fencing token is lower than one already seen.
    """

    APPLIED = "applied"
    IGNORED = "ignored"
    GAP = "gap"
    STALE_SENDER = "stale_sender"


@dataclass(kw_only=True)
class ControlView:
    """Control state as received by this instance.

    Attributes
    ----------
    parses_texts : bool
        Whether texts are parsed; a relay only forwards them.
    source_texts : dict of Revision to str
        Newest texts as submitted, the bases of later deltas.
    lease_deadline : float
        When the view stops being valid, in seconds on the monotonic clock.
    servers_index : int
        Index of the last registry push applied.
    homes : dict of BackendServerId to InstanceId
        Instance that each backend server announces itself to.
    instances : tuple of InstanceInfo
        Entry instances that callers may be directed to, sorted by name.
    directory : dict of InstanceId to InstanceInfo
        All entry instances, including those that are leaving.
    """

    parses_texts: bool = True
    revision: Revision = Revision(0)
    text: OperatorsText = field(default_factory=OperatorsText)
    source_texts: dict[Revision, str] = field(default_factory=dict)
    lease_deadline: float = 0.0
    fencing_token: FencingToken = FencingToken(0)
    servers_index: int = 0
    servers: dict[BackendServerId, BackendServer] = field(default_factory=dict)
    homes: dict[BackendServerId, InstanceId] = field(default_factory=dict)
    instances: tuple[InstanceInfo, ...] = ()
    directory: dict[InstanceId, InstanceInfo] = field(default_factory=dict)

    def apply_text(self, message: ConfigurationPush) -> UpdateResult:
        """Apply a whole text, unless its revision or its sender is outdated."""
        return self._apply_text(message, message.text)

    def apply_delta(self, message: ConfigurationDelta) -> UpdateResult:
        """Apply edits to the base text; `GAP` if the whole text is needed instead."""
        if message.revision <= self.revision:
            return self._apply_text(message, "")
        base = self.source_texts.get(message.base_revision)
        if base is None:
            return UpdateResult.GAP
        text = apply_edits(base, message.edits)
        if text_checksum(text) != message.checksum:
            return UpdateResult.GAP
        return self._apply_text(message, text)

    def _apply_text(
        self, message: ConfigurationPush | ConfigurationDelta, text: str
    ) -> UpdateResult:
        if message.fencing_token < self.fencing_token:
            return UpdateResult.STALE_SENDER
        if message.revision <= self.revision:
            return UpdateResult.IGNORED
        if self.parses_texts:
            self.text = parse_text_cached(text)
        self.fencing_token = message.fencing_token
        self.revision = message.revision
        self.source_texts[message.revision] = text
        self._drop_oldest_source_texts()
        return UpdateResult.APPLIED

    def _drop_oldest_source_texts(self) -> None:
        while len(self.source_texts) > 1:
            n_characters = sum(map(len, self.source_texts.values()))
            is_small = n_characters <= MAX_SOURCE_CHARACTERS
            if is_small and len(self.source_texts) <= MAX_SOURCE_TEXTS:
                return
            del self.source_texts[min(self.source_texts)]

    def apply_servers(self, message: ServersPush) -> UpdateResult:
        """Apply a registry push; `GAP` if it does not follow the last one applied."""
        if message.index < self.servers_index:
            return UpdateResult.IGNORED
        if message.whole:
            self.servers = {}
            self.homes = {}
        elif message.since != self.servers_index:
            return UpdateResult.GAP
        for present in message.present:
            self._put_server(present.server, present.home)
        for gone in message.gone:
            known = self.servers.get(gone.server)
            if known is not None and known.incarnation <= gone.incarnation:
                del self.servers[gone.server]
                del self.homes[gone.server]
        self.servers_index = message.index
        return UpdateResult.APPLIED

    def _put_server(self, server: BackendServer, home: InstanceId) -> None:
        known = self.servers.get(server.server)
        if known is not None and known.incarnation > server.incarnation:
            return
        self.servers[server.server] = server
        self.homes[server.server] = home

    def apply_instances(self, message: InstancesPush) -> None:
        """Apply changes of the entry instances."""
        if message.whole:
            self.directory = {}
        for info in message.instances:
            self.directory[info.instance] = info
        for instance in message.gone:
            self.directory.pop(instance, None)
        self.instances = tuple(
            self.directory[name]
            for name in sorted(self.directory)
            if not self.directory[name].leaving
        )

    def extend_lease(
        self, message: LeaseGranted, *, sent_at: float, clock_drift: float
    ) -> UpdateResult:
        """Extend the lease if it was granted for exactly the state of this view.

        Parameters
        ----------
        message : LeaseGranted
        sent_at : float
            Seconds on the monotonic clock when the renewal was sent.
        clock_drift : float
            Bound on how much faster or slower a clock runs, as a fraction.
        """
        if message.fencing_token < self.fencing_token:
            return UpdateResult.STALE_SENDER
        if message.revision != self.revision:
            return UpdateResult.IGNORED
        if message.servers_index != self.servers_index:
            return UpdateResult.GAP
        deadline = holder_deadline(
            sent_at=sent_at, lease_ms=message.lease_ms, clock_drift=clock_drift
        )
        self.lease_deadline = max(self.lease_deadline, deadline)
        self.fencing_token = message.fencing_token
        return UpdateResult.APPLIED
