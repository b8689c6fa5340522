"""Which versions of a service a request may run on, while a roll-out is under way.

Load: any; a roll-out judges a version by a bounded share of the service's requests.
All gateways split alike, by a hash of the session, so that a session stays on one
version wherever its requests arrive.
"""

from collections.abc import Iterable

import xxhash

from turmericreel.model.registered_server import RegisteredServer
from turmericreel.model.routing import Rollout, RolloutStage

# Below the share that an unproven version may get in all, since shares of few requests
# scatter.
CANARY_SHARE = 0.1
HASH_RANGE = 2**64


def session_hash(session: str) -> int:
    """Return the number that stands for a session, alike at every gateway."""
    return xxhash.xxh64_intdigest(session.encode())


def is_canary(hashed: int) -> bool:
    """Tell whether a session may try an unproven version."""
    return hashed < CANARY_SHARE * HASH_RANGE


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
        Usable ones of one service.
    rollout : Rollout or None
        The newest of the service.
    hashed : int
        Of the session, or of the request if it has none.
    is_bound : bool
        Whether the session ran on the old version lately.
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
    return new if is_canary(hashed) and not is_bound and new else old
