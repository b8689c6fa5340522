"""Decides which coordinators a gateway keeps connections to.

One connection is to the leader, which aggregates evidence, work and usage.  The other
coordinators send configuration and servers equally fast, and their connections remain
when the leader is lost.
"""

from collections.abc import Collection, Mapping
from dataclasses import dataclass
from random import Random

from turmericreel.model.ids import InstanceId

# One connection remains when any two coordinators are lost at once.
MAX_LINKS = 3


@dataclass(frozen=True, kw_only=True)
class LinkChange:
    """Connections to open and to close."""

    to_open: tuple[InstanceId, ...]
    to_close: tuple[InstanceId, ...]


def choose_links(
    links: Mapping[InstanceId, bool],
    *,
    members: Collection[InstanceId],
    seeds: Collection[InstanceId],
    leader: InstanceId | None,
    rng: Random,
) -> LinkChange:
    """Return the connections to open and to close.

    Parameters
    ----------
    links : mapping of InstanceId to bool
        Open links, and whether each is connected.
    members : collection of InstanceId
        Coordinators that hold the log, as last received; empty before that.
    seeds : collection of InstanceId
        Coordinators from the settings.
    leader : InstanceId or None
        Leader of the members by the local view.
    rng : Random
    """
    known = set(members) | set(seeds)
    ranked = rng.sample(sorted(known | set(links)), len(known | set(links)))
    # The leader first, then members, in random order otherwise.
    ranked.sort(key=lambda i: (i != leader, i not in members))
    connected = [i for i in ranked if links.get(i)]
    kept = connected[:MAX_LINKS]
    to_close = connected[MAX_LINKS:]
    disconnected = [i for i in ranked if i in links and not links[i]]
    has_enough_links = len(kept) == MAX_LINKS
    to_close += [
        i for i in disconnected if i not in known or (has_enough_links and i != leader)
    ]
    to_open = [i for i in ranked if i in known and i not in links]
    if has_enough_links:
        to_open = [i for i in to_open if i == leader]
    else:
        to_open = to_open[: MAX_LINKS - len(kept)]
    return LinkChange(to_open=tuple(to_open), to_close=tuple(to_close))
