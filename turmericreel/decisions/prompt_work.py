"""Predicts how long engines read prompts, from how soon they began to answer.

Load: model engines that read long prompts of several models in turn; what is read
before a request decides when its first event comes.
"""

from dataclasses import dataclass, field

from turmericreel.model.ids import BackendServerId, ServiceName
from turmericreel.model.routing import ModelName

# Assumed until answers were seen.
INITIAL_MS_PER_TOKEN = 0.01
# Prompts that are shorter say more about queues than about reading.
MIN_PROMPT_TOKENS = 300
# The quantile that is tracked: times without a queue are the lowest ones.
QUANTILE = 0.25
# How far one answer moves the estimate, as a part of it.
STEP_FRACTION = 0.08


class PrefillSpeed:
    """Milliseconds a prompt token by service and model, without queueing."""

    def __init__(self):
        self.ms_per_token: dict[tuple[ServiceName, ModelName], float] = {}

    def record(
        self, service: ServiceName, model: ModelName, *, n_tokens: int, took_ms: float
    ) -> None:
        """Take in how long an answer took to begin."""
        if n_tokens < MIN_PROMPT_TOKENS:
            return
        sample_ms = took_ms / n_tokens
        key = (service, model)
        known = self.ms_per_token.get(key)
        if known is None:
            self.ms_per_token[key] = sample_ms
        elif sample_ms < known:
            self.ms_per_token[key] = known * (1 - STEP_FRACTION * (1 - QUANTILE))
        else:
            self.ms_per_token[key] = known * (1 + STEP_FRACTION * QUANTILE)

    def work_ms(self, service: ServiceName, model: ModelName, n_tokens: int) -> float:
        """Return how long a prompt takes to read."""
        per_token = self.ms_per_token.get((service, model), INITIAL_MS_PER_TOKEN)
        return n_tokens * per_token


@dataclass(kw_only=True)
class PromptWork:
    """Reading that servers have before them: this gateway's and all gateways'.

    Attributes
    ----------
    own : dict of BackendServerId to float
        Milliseconds of prompts sent from here whose answers have not begun.
    others : dict of BackendServerId to float
        The same of all other gateways, as last told.
    """

    own: dict[BackendServerId, float] = field(default_factory=dict)
    others: dict[BackendServerId, float] = field(default_factory=dict)
    reported: dict[BackendServerId, float] = field(default_factory=dict)

    def add(self, server: BackendServerId, work_ms: float) -> None:
        """Count a prompt that is sent."""
        self.own[server] = self.own.get(server, 0.0) + work_ms

    def remove(self, server: BackendServerId, work_ms: float) -> None:
        """Count a prompt that was read, or given up."""
        left = self.own.get(server, 0.0) - work_ms
        if left > 0.01:
            self.own[server] = left
        else:
            self.own.pop(server, None)

    def report(self) -> dict[BackendServerId, float]:
        """Return what is told to others now."""
        self.reported = dict(self.own)
        return self.reported

    def receive_total(self, total: dict[BackendServerId, float]) -> None:
        """Take in the sum over all gateways, this one's last report included."""
        self.others = {
            server: max(ms - self.reported.get(server, 0.0), 0.0)
            for server, ms in total.items()
        }

    def pending_ms(self, server: BackendServerId) -> float:
        """Return the reading before a server, in milliseconds."""
        return self.own.get(server, 0.0) + self.others.get(server, 0.0)
