"""Estimates the prefill time of prompts from the times to the first event.

Intended workload: model engines that prefill long prompts of several models one after
another, so that the prompts queued before a request determine when its first event
arrives.
"""

from dataclasses import dataclass, field

from turmericreel.model.ids import BackendServerId, ServiceName
from turmericreel.model.routing import ModelName

# Estimate before the first measured answer.
INITIAL_MS_PER_TOKEN = 0.01
# Shorter prompts are not measured: queueing, not prefill, dominates their times.
MIN_PROMPT_TOKENS = 300
# Quantile that is tracked; a low one, as the shortest times include no queueing.
QUANTILE = 0.25
# Scale of the change that one answer makes, as a fraction of the estimate.
STEP_FRACTION = 0.08


class PrefillSpeed:
    """Estimated prefill time per prompt token, by service and model.

    Queueing is excluded by tracking a low quantile.

    Attributes
    ----------
    ms_per_token : dict of (ServiceName, ModelName) to float
    """

    def __init__(self):
        self.ms_per_token: dict[tuple[ServiceName, ModelName], float] = {}

    def record(
        self, service: ServiceName, model: ModelName, *, n_tokens: int, took_ms: float
    ) -> None:
        """Update the estimate with the time that an answer took to begin.

        Parameters
        ----------
        n_tokens : int
            Length of the prompt.
        took_ms : float
            Time to the start of the answer, in milliseconds.
        """
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
        """Return the estimated prefill time of a prompt, in milliseconds."""
        per_token = self.ms_per_token.get((service, model), INITIAL_MS_PER_TOKEN)
        return n_tokens * per_token


@dataclass(kw_only=True)
class PromptWork:
    """Pending prefill work of servers, from this and from all other gateways.

    Attributes
    ----------
    own : dict of BackendServerId to float
        Prefill time of this gateway's prompts whose answers have not begun, in
        milliseconds.
    others : dict of BackendServerId to float
        The same for all other gateways, from the last total that was received.
    reported : dict of BackendServerId to float
        This gateway's last report, which is part of the next total.
    """

    own: dict[BackendServerId, float] = field(default_factory=dict)
    others: dict[BackendServerId, float] = field(default_factory=dict)
    reported: dict[BackendServerId, float] = field(default_factory=dict)

    def add(self, server: BackendServerId, work_ms: float) -> None:
        """Add the work of a prompt that is sent to a server."""
        self.own[server] = self.own.get(server, 0.0) + work_ms

    def remove(self, server: BackendServerId, work_ms: float) -> None:
        """Remove the work of a prompt that was prefilled or given up."""
        left = self.own.get(server, 0.0) - work_ms
        if left > 0.01:
            self.own[server] = left
        else:
            self.own.pop(server, None)

    def report(self) -> dict[BackendServerId, float]:
        """Return the own work for a report to the coordinators, and store it."""
        self.reported = dict(self.own)
        return self.reported

    def receive_total(self, total: dict[BackendServerId, float]) -> None:
        """Store the total over all gateways, less this one's last report."""
        self.others = {
            server: max(ms - self.reported.get(server, 0.0), 0.0)
            for server, ms in total.items()
        }

    def pending_ms(self, server: BackendServerId) -> float:
        """Return a server's pending prefill work, in milliseconds."""
        return self.own.get(server, 0.0) + self.others.get(server, 0.0)
