"""Choice of the backend servers that an entry instance needs to know.

Rendezvous hashing ranks the servers separately for each instance, so that a change of
one server affects few subsets and every control instance computes the same subsets.
"""

from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass, field
from functools import lru_cache
from heapq import nsmallest

from xxhash import xxh3_64_intdigest

from turmericreel.model.ids import (
    BackendServerId,
    DataCentreId,
    InstanceId,
    ServiceName,
    VersionId,
)
from turmericreel.model.servers import BackendServer

Rank = int

HASH_MASK = (1 << 64) - 1
MIX_FACTOR = 0x9E3779B97F4A7C15
MAX_CACHED_HASHES = 16_384


@dataclass(frozen=True, kw_only=True)
class SubsetSizes:
    """Sizes of a subset of the servers of one service.

    Parameters
    ----------
    n_servers : int
        Total number of servers; `n_per_version` may add more.
    n_remote : int
        Servers among these that lie in other data centres, as a reserve for a
        failure of the local one.
    n_per_version : int
        Minimum number of servers of each version.
    """

    n_servers: int = 40
    n_remote: int = 8
    n_per_version: int = 8


@dataclass(frozen=True, kw_only=True)
class HomedServer:
    """A backend server and the instance that it announces itself to, its home."""

    server: BackendServer
    home: InstanceId


@dataclass(kw_only=True)
class ServiceSubset:
    """Chosen servers of one service, and the ranks that a new one must beat.

    Attributes
    ----------
    worst_local, worst_remote : int or None
        Worst rank chosen in the local and in the other data centres; None while
        fewer servers than allowed are chosen.
    worst_by_version : dict of VersionId to (bool, int)
        Worst pair of "is remote" and rank chosen for each version; no entry while
        fewer servers than allowed are chosen.
    """

    chosen: set[BackendServerId] = field(default_factory=set)
    worst_local: Rank | None = None
    worst_remote: Rank | None = None
    worst_by_version: dict[VersionId, tuple[bool, Rank]] = field(default_factory=dict)


RankedServer = tuple[bool, Rank, BackendServer]


def rank(instance: InstanceId, server: BackendServerId) -> Rank:
    """Return the rank of a server for an instance; lower is better."""
    return mix_hashes(hash_of(instance), hash_of(server))


@lru_cache(maxsize=MAX_CACHED_HASHES)
def hash_of(name: str) -> int:
    """Return the hash of a name; cached, as many ranks are computed from it."""
    return xxh3_64_intdigest(name.encode())


def mix_hashes(one: int, other: int) -> Rank:
    """Return a rank from two hashes; much cheaper than hashing both names together."""
    mixed = ((one ^ other) * MIX_FACTOR) & HASH_MASK
    mixed ^= mixed >> 32
    return (mixed * MIX_FACTOR) & HASH_MASK


class ServerSubset:
    """Chooses the servers of one instance, and detects when to choose again.

    Servers whose home is the instance are always chosen, so that each server is in at
    least one subset.

    Parameters
    ----------
    instance : InstanceId
    data_centre : DataCentreId
    sizes : SubsetSizes
    """

    def __init__(
        self, *, instance: InstanceId, data_centre: DataCentreId, sizes: SubsetSizes
    ):
        self.instance = instance
        self.data_centre = data_centre
        self.sizes = sizes
        self.services: dict[ServiceName, ServiceSubset] = {}

    def may_change(self, homed: HomedServer, *, present: bool) -> bool:
        """Return whether a changed server may affect the choice for its service."""
        server = homed.server
        subset = self.services.get(server.service)
        if subset is None:
            return present
        if server.server in subset.chosen:
            return True
        return present and self._would_be_chosen(homed, subset)

    def _would_be_chosen(self, homed: HomedServer, subset: ServiceSubset) -> bool:
        server = homed.server
        if homed.home == self.instance:
            return True
        remote = server.data_centre != self.data_centre
        worst = subset.worst_remote if remote else subset.worst_local
        own = rank(self.instance, server.server)
        if worst is None or own < worst:
            return True
        return any(
            (remote, own) < subset.worst_by_version.get(version, (True, HASH_MASK))
            for version in server.versions
        )

    def choose(
        self, service: ServiceName, servers: Iterable[HomedServer]
    ) -> set[BackendServerId]:
        """Choose again from the present servers of a service and return the choice."""
        own = hash_of(self.instance)
        subset = ServiceSubset()
        ranked: list[RankedServer] = []
        for homed in servers:
            server = homed.server
            remote = server.data_centre != self.data_centre
            ranked.append((remote, mix_hashes(own, hash_of(server.server)), server))
            if homed.home == self.instance:
                subset.chosen.add(server.server)
        self._choose_by_data_centre(ranked, subset)
        self._choose_by_version(ranked, subset)
        self.services[service] = subset
        return subset.chosen

    def _choose_by_data_centre(
        self, ranked: list[RankedServer], subset: ServiceSubset
    ) -> None:
        n_remote_present = sum(remote for remote, _, _ in ranked)
        n_local_present = len(ranked) - n_remote_present
        sizes = self.sizes
        n_remote = max(sizes.n_remote, sizes.n_servers - n_local_present)
        n_local = max(sizes.n_servers - n_remote, sizes.n_servers - n_remote_present)
        local = _best(n_local, [r for r in ranked if not r[0]])
        remote = _best(n_remote, [r for r in ranked if r[0]])
        subset.chosen.update(server.server for _, _, server in local + remote)
        if len(local) >= n_local > 0:
            subset.worst_local = local[-1][1]
        if len(remote) >= n_remote > 0:
            subset.worst_remote = remote[-1][1]

    def _choose_by_version(
        self, ranked: list[RankedServer], subset: ServiceSubset
    ) -> None:
        # Local servers are preferred for each version too; remote ones fill the rest.
        by_version: dict[VersionId, list[RankedServer]] = defaultdict(list)
        for entry in ranked:
            for version in entry[2].versions:
                by_version[version].append(entry)
        n_wanted = self.sizes.n_per_version
        for version, entries in by_version.items():
            best = _best(n_wanted, entries)
            subset.chosen.update(server.server for _, _, server in best)
            if len(best) >= n_wanted > 0:
                subset.worst_by_version[version] = best[-1][:2]


def _best(n_servers: int, ranked: list[RankedServer]) -> list[RankedServer]:
    return nsmallest(n_servers, ranked, key=lambda entry: entry[:2])
