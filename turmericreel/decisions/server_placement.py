"""Chooses the backend server for one attempt.

Intended workload of plain services: servers of different speed with few slots each, and
many gateways that each see a part of the traffic.  Intended workload of model engines:
prompts that share long prefixes, which an engine processes once and then keeps in its
prefix cache.
"""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

import xxhash

from turmericreel.model.ids import DataCentreId
from turmericreel.model.registered_server import RegisteredServer

# Random engines that are compared with the preferred one for the prompt's prefix.
N_RANDOM_CANDIDATES = 2
# Delay of a first event for each stream that already runs at the engine.
RUNNING_STREAM_COST_MS = 0.5
# Cost of crossing data centres: the latency, and the transfer that is charged for.
REMOTE_COST_MS = 8.0
# Cost of crossing data centres, expressed as additional requests at the server.
REMOTE_PENALTY_REQUESTS = 0.25
# Factor on the load of a server that is still warming up.
WARMUP_FACTOR = 2.0


@dataclass(frozen=True, kw_only=True)
class Candidate:
    """A server that may be chosen, with its load.

    Attributes
    ----------
    load : float
        Unfinished requests at the server, by the local view of this gateway.
    work_ms : float
        Prefill time of the prompts that all gateways sent to the server and whose
        answers have not begun.
    is_cold : bool
        Whether the server is still slow.
    """

    server: RegisteredServer
    load: float
    work_ms: float = 0.0
    is_cold: bool = False


@dataclass(frozen=True, kw_only=True)
class Prompt:
    """Prompt of a request and the time that an engine needs to process it.

    Attributes
    ----------
    prefix_key : str
        Identifies the prefix that other requests may share; ``""`` if there is none.
    full_prefill_ms : float
        Time to process the whole prompt.
    unshared_prefill_ms : float
        Time to process only the part after the shared prefix.
    """

    prefix_key: str = ""
    full_prefill_ms: float = 0.0
    unshared_prefill_ms: float = 0.0


class Placement(ABC):
    """Interface of a placement strategy."""

    @abstractmethod
    def choose(
        self,
        candidates: Sequence[Candidate],
        *,
        prompt: Prompt,
        data_centre: DataCentreId,
        rng: Random,
    ) -> RegisteredServer:
        """Return the server to send the attempt to.

        Parameters
        ----------
        candidates : sequence of Candidate
            Must not be empty.
        prompt : Prompt
        data_centre : DataCentreId
            Data centre of this gateway.
        rng : Random
        """


class LeastLoaded(Placement):
    """Prefers the lowest load per slot; ties are broken at random."""

    def choose(
        self,
        candidates: Sequence[Candidate],
        *,
        prompt: Prompt,
        data_centre: DataCentreId,
        rng: Random,
    ) -> RegisteredServer:
        """Return the server with the lowest load per slot."""

        def cost(candidate: Candidate) -> tuple[float, float]:
            server = candidate.server
            load = candidate.load + 1
            if server.data_centre != data_centre:
                load += REMOTE_PENALTY_REQUESTS
            if candidate.is_cold:
                load *= WARMUP_FACTOR
            return (load / max(server.n_slots, 1), rng.random())

        return min(candidates, key=cost).server


class SoonestFirstEvent(Placement):
    """Chooses the engine with the shortest predicted time to the first event.

    Rendezvous hashing of the prefix gives each prefix a preferred engine, which usually
    has it in its cache.  The preferred engine is compared with `N_RANDOM_CANDIDATES`
    random ones only: all gateways share the same, slightly outdated load data, and with
    a comparison of all engines they would all choose the same idle one.

    Parameters
    ----------
    fallback : Placement
        Places requests without a shared prefix.
    """

    def __init__(self, *, fallback: Placement):
        self.fallback = fallback

    def choose(
        self,
        candidates: Sequence[Candidate],
        *,
        prompt: Prompt,
        data_centre: DataCentreId,
        rng: Random,
    ) -> RegisteredServer:
        """Return the engine with the shortest predicted time to the first event."""
        if not prompt.prefix_key:
            return self.fallback.choose(
                candidates, prompt=prompt, data_centre=data_centre, rng=rng
            )
        preferred = max(candidates, key=lambda c: _rank(prompt.prefix_key, c.server))
        others = [c for c in candidates if c is not preferred]
        sampled = rng.sample(others, min(N_RANDOM_CANDIDATES, len(others)))

        def predicted_ms(candidate: Candidate) -> float:
            prefill_ms = prompt.full_prefill_ms
            if candidate is preferred:
                prefill_ms = prompt.unshared_prefill_ms
            elif candidate.server.data_centre != data_centre:
                prefill_ms += REMOTE_COST_MS
            streams_ms = candidate.load * RUNNING_STREAM_COST_MS
            return candidate.work_ms + prefill_ms + streams_ms

        return min([preferred, *sampled], key=predicted_ms).server


def _rank(prefix_key: str, server: RegisteredServer) -> int:
    return xxhash.xxh3_64_intdigest(f"{prefix_key}/{server.server}".encode())
