"""Splits the requests of a service between versions during a roll-out.

Intended workload: any.  A roll-out judges the new version by a bounded share of the
service's requests.  All gateways split by the same hash of the session, so that a
session stays on one version at whichever gateway its requests arrive.

A busy service gives enough evidence with a smaller share.  The attempts that this saves
are left for the time between the switch and the completion, in which a version is first
seen under its whole load.
"""

from collections.abc import Iterable

import xxhash

from turmericreel.decisions.rollout_traffic import TrafficRate
from turmericreel.model.registered_server import RegisteredServer
from turmericreel.model.routing import MAX_CANARY_SHARE, Rollout, RolloutStage

# Attempts at the new version that judge it, if a canary lasts for all of the roll-out's
# time.
N_CANARY_ATTEMPTS = 200
MIN_CANARY_SHARE = 0.01
HASH_RANGE = 2**64


def session_hash(session: str) -> int:
    """Return the hash of a session, which is the same at every gateway."""
    return xxhash.xxh64_intdigest(session.encode())


def choose_canary_share(rate: TrafficRate | None, *, duration_s: float) -> float:
    """Return the fraction of the sessions that a new version gets while unproven.

    Parameters
    ----------
    rate : TrafficRate or None
        Attempts at the service per second; None if it is unknown.
    duration_s : float
        Time from the order to the deadline of the roll-out.
    """
    if rate is None or rate.recent * duration_s <= 0.0:
        return MAX_CANARY_SHARE
    share = N_CANARY_ATTEMPTS / (rate.recent * duration_s)
    return min(max(share, MIN_CANARY_SHARE), MAX_CANARY_SHARE)


def is_canary(hashed: int, *, share: float = MAX_CANARY_SHARE) -> bool:
    """Return whether a session may run on an unproven version."""
    return hashed < share * HASH_RANGE


def servers_for_rollout(
    servers: Iterable[RegisteredServer],
    rollout: Rollout | None,
    *,
    hashed: int,
    is_bound: bool,
) -> list[RegisteredServer]:
    """Return the servers whose version the request may run on.

    Parameters
    ----------
    servers : iterable of RegisteredServer
        Usable servers of one service.
    rollout : Rollout or None
        Newest roll-out of the service.
    hashed : int
        Hash of the session, or of the request if it has no session.
    is_bound : bool
        Whether the session recently ran on the old version, and therefore stays there
        while the new version is unproven.
    """
    servers = list(servers)
    if rollout is None:
        return servers
    new = [s for s in servers if s.version == rollout.target]
    old = [s for s in servers if s.version != rollout.target]
    match rollout.stage:
        case RolloutStage.ROLLED_BACK | RolloutStage.PREPARING:
            return old
        case RolloutStage.COMPLETED:
            return new
        case RolloutStage.SWITCHED:
            return new or old
    runs_on_new = is_canary(hashed, share=rollout.canary_share) and not is_bound
    return new if runs_on_new and new else old
