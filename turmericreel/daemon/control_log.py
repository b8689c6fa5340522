"""Builds the replicated log of a control instance from its settings."""

from collections.abc import Callable
from pathlib import Path
from random import SystemRandom

from turmericreel.coordination.raft.raft_log import RaftLog
from turmericreel.coordination.raft.timing import RaftTiming
from turmericreel.coordination.raft.transport import PeerListener, StreamTransport
from turmericreel.model.failures import Failure
from turmericreel.model.settings import Settings
from turmericreel.protocols.addresses import parse_address
from turmericreel.protocols.tls import peer_client_context, peer_server_context
from turmericreel.state.commands.union import Command
from turmericreel.state.machine import StateMachine
from turmericreel.state.storage.disk import FolderDisk
from turmericreel.state.storage.log_storage import LogStorage
from turmericreel.util.clock import Clock

GROUP = 0


def build_listener(settings: Settings) -> PeerListener | None:
    """Return the listener for Raft peers, or None if the settings name no peers."""
    if not settings.control.raft_peers:
        return None
    return PeerListener(
        address=parse_address(settings.listen.raft),
        context=peer_server_context(settings.tls),
    )


def build_log(
    settings: Settings,
    *,
    listener: PeerListener | None,
    clock: Clock,
    on_failure: Callable[[Failure], None],
) -> RaftLog:
    """Build the replicated log without starting it.

    Parameters
    ----------
    settings : Settings
    listener : PeerListener or None
        Accepts connections of Raft peers.
    clock : Clock
    on_failure : callable
        Called with the failure after which the log cannot continue.
    """
    folder = Path(settings.instance.data_folder) / f"group-{GROUP}"
    control = settings.control
    timing = RaftTiming(
        heartbeat_s=control.heartbeat_ms / 1_000,
        election_s=control.election_ms / 1_000,
        clock_drift=control.clock_drift,
    )
    transport = StreamTransport(
        group=GROUP,
        instance=settings.instance.id,
        addresses=control.raft_peers,
        listener=listener,
        context=peer_client_context(settings.tls),
    )
    return RaftLog(
        instance=settings.instance.id,
        machine=StateMachine(),
        command_type=Command,
        storage=LogStorage(disk=FolderDisk(folder=folder)),
        transport=transport,
        control_address_of=lambda i: control.peers.get(i, ""),
        timing=timing,
        clock=clock,
        rng=SystemRandom(),
        on_failure=on_failure,
    )
