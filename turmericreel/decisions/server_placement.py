"""Chooses the backend server for one attempt.

Load, plain services: servers of unlike speed, few slots each, many gateways that each
see a part of the traffic.  Load, model engines: prompts that share long beginnings,
which an engine reads only once while it keeps them.
"""

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass
from random import Random

import xxhash

from turmericreel.model.ids import DataCentreId
from turmericreel.model.registered_server import RegisteredServer

# Engines at random that are compared with the one that knows the prompt's beginning.
N_RANDOM_CANDIDATES = 2
# What another running stream adds to the time of a first event.
RUNNING_STREAM_COST_MS = 0.5
# What it costs to cross data centres, in time and in bytes that are paid for.
REMOTE_COST_MS = 8.0
# What it costs to cross data centres, in requests that a server has to do.
REMOTE_PENALTY_REQUESTS = 0.25
# What a server that is still warming up counts more, as a factor.
WARMUP_FACTOR = 2.0


@dataclass(frozen=True, kw_only=True)
class Candidate:
    """A server that may be chosen.

    Attributes
    ----------
    load : float
        Requests that it has to do, as far as this gateway knows.
    work_ms : float
        Prompts that it has to read, as far as all gateways know.
    """

    server: RegisteredServer
    load: float
    work_ms: float = 0.0


@dataclass(frozen=True, kw_only=True)
class Prompt:
    """What there is to read for a request.

    Attributes
    ----------
    subject : str
        What the prompt begins with; ``""`` if nothing is shared.
    full_prefill_ms, unshared_prefill_ms : float
        Time to read all of it, and only what no other request shares.
    """

    prefix_key: str = ""
    full_prefill_ms: float = 0.0
    unshared_prefill_ms: float = 0.0


class Placement(ABC):
    """A way to choose."""

    @abstractmethod
    def choose(
        self,
        candidates: Sequence[Candidate],
        *,
        prompt: Prompt,
        data_centre: DataCentreId,
        rng: Random,
    ) -> RegisteredServer:
        """Return the server to send to.

        Parameters
        ----------
        candidates : sequence of Candidate
            At least one.
        """


class LeastLoaded(Placement):
    """Prefers what can serve soonest; ties are broken at random."""

    def choose(
        self,
        candidates: Sequence[Candidate],
        *,
        prompt: Prompt,
        data_centre: DataCentreId,
        rng: Random,
    ) -> RegisteredServer:
        """Return the server with the least load for its slots."""

        def cost(candidate: Candidate) -> tuple[float, float]:
            server = candidate.server
            load = candidate.load + 1
            if server.data_centre != data_centre:
                load += REMOTE_PENALTY_REQUESTS
            if server.warmup_left_ms > 0:
                load *= WARMUP_FACTOR
            return (load / max(server.n_slots, 1), rng.random())

        return min(candidates, key=cost).server


class SoonestFirstEvent(Placement):
    """Sends a prompt where its first event is predicted soonest.

    The engine that gets all prompts with the same beginning has read it already;
    against it stand two others at random, as all gateways know the same, a little
    late, and would all choose the same idle engine.

    Parameters
    ----------
    otherwise : Placement
        For requests that share nothing.
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
        """Return the engine with the least predicted time."""
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
