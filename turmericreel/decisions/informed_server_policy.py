"""Choice of backend server by load, locality and prefix cache.

The load of a server is estimated from this instance's own outstanding attempts and
from delayed load reports.  Only a few random candidates are compared, so that
instances with the same information do not all choose the same server.
"""

from collections.abc import Iterable
from random import Random

from turmericreel.decisions.concurrency import ConcurrencyLimit
from turmericreel.decisions.ejection import OutlierEjection
from turmericreel.decisions.prefix_cache import PrefixIndex, PrefixKey, prefix_keys
from turmericreel.decisions.server_load import ServerLoad
from turmericreel.decisions.server_policy import (
    AttemptEnd,
    EndedAttempt,
    ServerPolicy,
)
from turmericreel.model.ids import (
    BackendServerId,
    DataCentreId,
    ServiceName,
    VersionId,
)
from turmericreel.model.request import Request
from turmericreel.model.servers import BackendServer, LoadReport

N_CANDIDATES = 4
SLOW_START_S = 10.0
SLOW_START_MIN_WEIGHT = 0.1
REMOTE_PENALTY = 0.5
AFFINITY_GAIN = 0.5
MAX_AFFINITY_IMBALANCE = 0.5
LIMIT_CEILING_FACTOR = 1.5
TYPICAL_OTHERS_EWMA_WEIGHT = 0.05
SLOTS_CACHE_S = 0.05


class InformedServerPolicy(ServerPolicy):
    """Chooses the least loaded of a few random servers.

    Parameters
    ----------
    rng : Random
    data_centre : DataCentreId
        Data centre of this instance; ``""`` disables the preference for local
        servers.
    """

    def __init__(self, *, rng: Random, data_centre: DataCentreId = DataCentreId("")):
        self.rng = rng
        self.data_centre = data_centre
        self.loads: dict[BackendServerId, ServerLoad] = {}
        self.limits: dict[BackendServerId, ConcurrencyLimit] = {}
        self.ejection = OutlierEjection()
        self.prefixes = PrefixIndex()
        self.typical_others = 0.0
        self.cached_slots: dict[ServiceName, tuple[float, float]] = {}
        self.started_at: float | None = None

    def choose(
        self,
        request: Request,
        version: VersionId,
        servers: Iterable[BackendServer],
        *,
        excluded: set[BackendServerId],
        now: float,
    ) -> BackendServer | None:
        """Return the best of a few random eligible servers, or None without any."""
        eligible = [
            s for s in servers if version in s.versions and s.server not in excluded
        ]
        eligible = self.ejection.in_rotation(eligible, now=now)
        self._track_all(eligible, now=now)
        eligible = self._below_limit(eligible) or eligible
        if not eligible:
            return None
        keys = prefix_keys(request.body)
        candidates = self._sample(eligible)
        scores = {s.server: self._score(s, now=now) for s in candidates}
        best = min(candidates, key=lambda s: scores[s.server])
        return self._with_affinity(eligible, best, keys, now=now)

    def begin(self, request: Request, server: BackendServer, *, now: float) -> None:
        """Count a started attempt, and its prompt as cached at the server."""
        self._track(server, now=now)
        self.loads[server.server].outstanding += 1
        keys = prefix_keys(request.body)
        if keys:
            self.prefixes.record_sent(server.server, keys)

    def end(self, ended: EndedAttempt, *, now: float) -> None:
        """Count an ended attempt and update the server's limit and ejection state."""
        load = self.loads.get(ended.server)
        limit = self.limits.get(ended.server)
        if load is None or limit is None:
            return
        load.outstanding = max(0, load.outstanding - 1)
        match ended.end:
            case AttemptEnd.COMPLETED:
                self.ejection.record_success(ended.server)
                seconds = ended.first_token_s or ended.duration_s
                limit.observe(seconds, outstanding=load.outstanding, now=now)
            case AttemptEnd.REFUSED:
                limit.observe_overload(now=now)
            case AttemptEnd.BROKEN | AttemptEnd.UNREACHABLE:
                limit.observe_overload(now=now)
                unreachable = ended.end is AttemptEnd.UNREACHABLE
                self.ejection.record_failure(
                    ended.server, unreachable=unreachable, now=now
                )

    def record_report(self, report: LoadReport, *, now: float) -> None:
        """Update a server's load estimate and limit from a delayed load report."""
        load = self.loads.get(report.server)
        if load is None:
            return
        load.record_report(report.running + report.waiting, now=now)
        self.limits[report.server].record_report(
            running=report.running, waiting=report.waiting, capacity=load.capacity
        )
        self.typical_others += TYPICAL_OTHERS_EWMA_WEIGHT * (
            load.others - self.typical_others
        )

    def n_slots(self, servers: Iterable[BackendServer], *, now: float) -> float:
        """Return how many attempts this instance may have outstanding at these servers.

        The result is cached for `SLOTS_CACHE_S` for each service.
        """
        present = list(servers)
        if not present:
            # Without servers, waiting is useless: the request is admitted, and fails
            # when no server is found for it.
            return float("inf")
        service = present[0].service
        valid_until, n_slots = self.cached_slots.get(service, (0.0, 0.0))
        if now < valid_until:
            return n_slots
        self._track_all(present, now=now)
        usable = self.ejection.in_rotation(present, now=now)
        n_slots = sum(self.limits[s.server].limit for s in usable)
        self.cached_slots[service] = (now + SLOTS_CACHE_S, n_slots)
        return n_slots

    def record_cache_change(
        self,
        server: BackendServerId,
        *,
        stored: tuple[str, ...],
        removed: tuple[str, ...],
    ) -> None:
        """Update the index with the prefixes that a server stored and removed."""
        self.prefixes.apply_changes(server, stored=stored, removed=removed)

    def record_cache_loss(self, server: BackendServerId) -> None:
        """Clear the index of a server's cache."""
        self.prefixes.clear(server)

    def eject_server(self, server: BackendServerId, *, now: float) -> None:
        """Eject a server temporarily."""
        self.ejection.eject(server, now=now)

    def retain(self, present: set[BackendServerId]) -> None:
        """Drop the state of servers that are not present.

        The load of a server is kept until its outstanding attempts have ended.
        """
        for server in [s for s in self.loads if s not in present]:
            if self.loads[server].outstanding == 0:
                del self.loads[server]
                self.limits.pop(server, None)
        self.ejection.retain(present)
        self.prefixes.retain(present)

    def _track_all(self, servers: list[BackendServer], *, now: float) -> None:
        loads = self.loads
        for server in servers:
            known = loads.get(server.server)
            if known is None or known.incarnation != server.incarnation:
                self._track(server, now=now)

    def _track(self, server: BackendServer, *, now: float) -> None:
        if self.started_at is None:
            self.started_at = now
        known = self.loads.get(server.server)
        if known is not None and known.incarnation == server.incarnation:
            return
        outstanding = known.outstanding if known else 0
        self.loads[server.server] = ServerLoad(
            first_seen=now,
            incarnation=server.incarnation,
            capacity=server.capacity,
            outstanding=outstanding,
        )
        capacity = float(max(server.capacity, 1))
        self.limits[server.server] = ConcurrencyLimit(
            limit=capacity, ceiling=capacity * LIMIT_CEILING_FACTOR
        )

    def _below_limit(self, servers: list[BackendServer]) -> list[BackendServer]:
        loads, limits = self.loads, self.limits
        return [
            s for s in servers if loads[s.server].outstanding < limits[s.server].limit
        ]

    def _sample(self, eligible: list[BackendServer]) -> list[BackendServer]:
        local = [s for s in eligible if s.data_centre == self.data_centre]
        remote = [s for s in eligible if s.data_centre != self.data_centre]
        sampled = []
        for group in (local, remote):
            n_sampled = min(N_CANDIDATES, len(group))
            sampled.extend(self.rng.sample(group, n_sampled))
        return sampled

    def _score(self, server: BackendServer, *, now: float) -> float:
        """Return the load per unit of capacity, plus a penalty for remote servers."""
        load = self.loads[server.server].estimate(
            typical_others=self.typical_others, now=now
        )
        weight = self._slow_start_weight(server, now=now)
        score = (load + 1.0) / (max(server.capacity, 1) * weight)
        if self.data_centre and server.data_centre != self.data_centre:
            score += REMOTE_PENALTY
        return score

    def _slow_start_weight(self, server: BackendServer, *, now: float) -> float:
        since = self.loads[server.server].first_seen
        # Servers that were present when this instance started are not new.
        age = SLOW_START_S if since <= self.started_at else now - since
        returned = self.ejection.ejection_ends_at(server.server)
        if returned is not None:
            age = min(age, now - returned)
        return min(1.0, max(SLOW_START_MIN_WEIGHT, age / SLOW_START_S))

    def _with_affinity(
        self,
        eligible: list[BackendServer],
        best: BackendServer,
        keys: tuple[PrefixKey, ...],
        *,
        now: float,
    ) -> BackendServer:
        if not keys:
            return best
        best_score = self._score(best, now=now)
        chosen = best
        chosen_value = best_score
        for server in eligible:
            match_fraction = self.prefixes.match_fraction(server.server, keys)
            if match_fraction == 0.0:
                continue
            score = self._score(server, now=now)
            if score > best_score + MAX_AFFINITY_IMBALANCE:
                continue
            value = score - AFFINITY_GAIN * match_fraction
            if value < chosen_value:
                chosen, chosen_value = server, value
        return chosen
