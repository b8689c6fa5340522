"""Seeded workloads that resemble those of two deployments."""

from dataclasses import dataclass
from random import Random

from turmericreel.model.ids import (
    ClientAccountId,
    ContentDigest,
    RequestId,
    ServiceName,
    SessionId,
    VersionId,
)
from turmericreel.model.request import Request, RequestKind
from turmericreel.model.text import VersionText

SIZE_FACTOR_SD = 0.4
N_TURNS_PER_SESSION = 6
N_REQUESTS_PER_SESSION_BLOCK = 200


@dataclass(frozen=True, kw_only=True)
class KindMix:
    """Fraction of a kind among the requests, and its mean sizes in tokens."""

    fraction: float
    prompt_tokens: int
    completion_tokens: int
    in_session: bool = False


@dataclass(frozen=True, kw_only=True)
class Mix:
    """The requests of one deployment's assistant service.

    Parameters
    ----------
    quality : dict
        Mean quality of each version for each kind, cheapest version first.
    large_fraction : float
        Fraction of the requests that the two large accounts send.
    """

    name: str
    service: ServiceName
    quality_target: float
    requests_per_second: float
    kinds: dict[RequestKind, KindMix]
    quality: dict[RequestKind, dict[str, float]]
    n_accounts: int = 10
    large_fraction: float = 0.7


VERSIONS = {
    VersionId("small"): VersionText(
        model="small", input_price=10, output_price=40, prior_quality=0.5
    ),
    VersionId("medium"): VersionText(
        model="medium", input_price=40, output_price=160, prior_quality=0.5
    ),
    VersionId("strong"): VersionText(
        model="strong", input_price=100, output_price=400, prior_quality=0.9
    ),
}

OVENSLOT = Mix(
    name="ovenslot",
    service=ServiceName("helper-llm"),
    quality_target=0.8,
    requests_per_second=5.0,
    kinds={
        RequestKind.CHAT: KindMix(
            fraction=0.45, prompt_tokens=300, completion_tokens=150
        ),
        RequestKind.IMAGE: KindMix(
            fraction=0.30, prompt_tokens=800, completion_tokens=30
        ),
        RequestKind.CONVERSATION: KindMix(
            fraction=0.15, prompt_tokens=900, completion_tokens=150, in_session=True
        ),
        RequestKind.LONG: KindMix(
            fraction=0.10, prompt_tokens=4_000, completion_tokens=400
        ),
    },
    quality={
        RequestKind.CHAT: {"small": 0.85, "medium": 0.88, "strong": 0.92},
        RequestKind.IMAGE: {"small": 0.87, "medium": 0.89, "strong": 0.91},
        RequestKind.CONVERSATION: {"small": 0.72, "medium": 0.85, "strong": 0.90},
        RequestKind.LONG: {"small": 0.45, "medium": 0.72, "strong": 0.88},
    },
)

TURRIALBA = Mix(
    name="turrialba",
    service=ServiceName("asistente"),
    quality_target=0.82,
    requests_per_second=2.0,
    kinds={
        RequestKind.CHAT: KindMix(
            fraction=0.40, prompt_tokens=300, completion_tokens=120
        ),
        RequestKind.CONVERSATION: KindMix(
            fraction=0.25, prompt_tokens=900, completion_tokens=150, in_session=True
        ),
        RequestKind.LONG: KindMix(
            fraction=0.35, prompt_tokens=3_000, completion_tokens=500
        ),
    },
    quality={
        RequestKind.CHAT: {"small": 0.85, "medium": 0.88, "strong": 0.92},
        RequestKind.CONVERSATION: {"small": 0.74, "medium": 0.86, "strong": 0.91},
        RequestKind.LONG: {"small": 0.50, "medium": 0.75, "strong": 0.90},
    },
)

MIXES = {mix.name: mix for mix in (OVENSLOT, TURRIALBA)}


def generate_arrivals(
    mix: Mix, rng: Random, *, n_requests: int, rate: float | None = None
):
    """Yield requests with increasing arrival times in seconds.

    Each deadline is `DEADLINE_S` after the arrival.
    """
    kinds = list(mix.kinds)
    weights = [mix.kinds[kind].fraction for kind in kinds]
    now = 0.0
    for number in range(n_requests):
        now += rng.expovariate(rate or mix.requests_per_second)
        kind = rng.choices(kinds, weights)[0]
        yield Arrival(at=now, request=_request(mix, rng, number, kind, now))


DEADLINE_S = 60.0


@dataclass(frozen=True, kw_only=True)
class Arrival:
    """A request and its arrival time in seconds."""

    at: float
    request: Request


def _request(
    mix: Mix, rng: Random, number: int, kind: RequestKind, now: float
) -> Request:
    sizes = mix.kinds[kind]
    factor = max(0.2, rng.gauss(1.0, SIZE_FACTOR_SD))
    session = None
    if sizes.in_session:
        block = number // N_REQUESTS_PER_SESSION_BLOCK
        n_sessions = max(
            1, int(N_REQUESTS_PER_SESSION_BLOCK * sizes.fraction / N_TURNS_PER_SESSION)
        )
        session = SessionId(f"s{block}-{rng.randrange(n_sessions)}")
    return Request(
        request_id=RequestId(f"r{number}"),
        account=_account(mix, rng),
        service=mix.service,
        kind=kind,
        deadline=now + DEADLINE_S,
        method="POST",
        path="/v1/chat/completions",
        body=b"",
        digest=ContentDigest(f"d{number}"),
        session=session,
        prompt_tokens=int(sizes.prompt_tokens * factor),
        max_tokens=max(1, int(sizes.completion_tokens * factor)),
    )


def _account(mix: Mix, rng: Random) -> ClientAccountId:
    if rng.random() < mix.large_fraction:
        return ClientAccountId(f"large-{rng.randrange(2)}")
    return ClientAccountId(f"small-{rng.randrange(mix.n_accounts - 2)}")
