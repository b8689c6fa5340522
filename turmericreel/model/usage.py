"""Usage of client accounts, counted by gateways and stored in the replicated log."""

import msgspec

from turmericreel.model.ids import (
    ClientAccountId,
    Incarnation,
    InstanceId,
    ServiceName,
    VersionId,
)
from turmericreel.model.routing import ModelName


class UsageKey(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Account, service, version and model of counted work; ``""`` if unknown."""

    account: ClientAccountId
    service: ServiceName
    version: VersionId
    model: ModelName


class UsageAmounts(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Additive usage counts.

    Attributes
    ----------
    n_runs : int
        Runs that a server may have started, including those with dropped answers.
    n_answers : int
        Answers that were forwarded completely.
    n_prompt_tokens : int
        Prompt tokens of all runs.
    n_events : int
        Stream events that were forwarded.
    """

    n_runs: int = 0
    n_answers: int = 0
    n_prompt_tokens: int = 0
    n_events: int = 0

    def plus(self, other: "UsageAmounts") -> "UsageAmounts":
        """Return the sum of two amounts."""
        return UsageAmounts(
            n_runs=self.n_runs + other.n_runs,
            n_answers=self.n_answers + other.n_answers,
            n_prompt_tokens=self.n_prompt_tokens + other.n_prompt_tokens,
            n_events=self.n_events + other.n_events,
        )


class UsageItem(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Amounts for one key."""

    key: UsageKey
    amounts: UsageAmounts


class UsageBatch(msgspec.Struct, frozen=True, kw_only=True, array_like=True):
    """Usage that a gateway counted between two reports.

    Attributes
    ----------
    number : int
        Increases by one with each batch of a gateway's incarnation; a batch that is
        resent keeps its number and content.
    """

    gateway: InstanceId
    incarnation: Incarnation
    number: int
    items: tuple[UsageItem, ...]
