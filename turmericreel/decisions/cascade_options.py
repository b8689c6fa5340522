"""Expected quality, cost and duration of plans, from the versions' estimates."""

from dataclasses import dataclass

from turmericreel.decisions.quality import N_BINS, QualityEstimate
from turmericreel.decisions.version_policy import Plan, Stage
from turmericreel.model.ids import VersionId
from turmericreel.model.text import VersionText

MIN_SCORES_FOR_CASCADE = 50.0
MIN_PASSING_FRACTION = 0.1
MAX_PASSING_FRACTION = 0.98
SCORE_RELIABILITY = 0.8
UNKNOWN_ESCALATION_PENALTY = 0.05
RATING_DURATION_S = 0.3
BIN_MIDPOINTS = tuple((n + 0.5) / N_BINS for n in range(N_BINS))


@dataclass(frozen=True, kw_only=True)
class Option:
    """A plan with its expected quality, cost and duration.

    Attributes
    ----------
    plan : Plan
    quality : float
        Lower confidence bound of the mean score.
    cost : float
        Micro-credits.
    duration_s : float
    """

    plan: Plan
    quality: float
    cost: float
    duration_s: float


def expected_cost(text: VersionText, estimate: QualityEstimate) -> float:
    """Return the expected cost of one answer in micro-credits."""
    tokens = (
        estimate.prompt_tokens * text.input_price
        + estimate.completion_tokens * text.output_price
    )
    return text.call_price + tokens / 1_000


def single_option(
    version: VersionId, text: VersionText, estimate: QualityEstimate, *, now: float
) -> Option:
    """Return the option of running one version alone."""
    return Option(
        plan=Plan(stages=(Stage(version=version),)),
        quality=estimate.lower_bound(now=now),
        cost=expected_cost(text, estimate),
        duration_s=estimate.duration_s,
    )


def cascade_options(
    candidates: dict[VersionId, VersionText],
    estimates: dict[VersionId, QualityEstimate],
    target: float,
    *,
    now: float,
) -> list[Option]:
    """Return the cheapest cascade of each pair of versions that meets the target."""
    options = []
    for cheap, cheap_text in candidates.items():
        if sum(estimates[cheap].bins) < MIN_SCORES_FOR_CASCADE:
            continue
        for strong, strong_text in candidates.items():
            cost = expected_cost(cheap_text, estimates[cheap])
            strong_cost = expected_cost(strong_text, estimates[strong])
            if strong == cheap or strong_cost <= cost:
                continue
            option = _cheapest_threshold(
                cheap, strong, estimates, cost, strong_cost, target, now=now
            )
            if option is not None:
                options.append(option)
    return options


def _cheapest_threshold(
    cheap: VersionId,
    strong: VersionId,
    estimates: dict[VersionId, QualityEstimate],
    cheap_cost: float,
    strong_cost: float,
    target: float,
    *,
    now: float,
) -> Option | None:
    """Return the cascade with the lowest threshold that meets the target, or None."""
    first = estimates[cheap]
    second = estimates[strong]
    escalated_mean = second.escalated_mean()
    if escalated_mean is None:
        escalated_mean = second.mean - UNKNOWN_ESCALATION_PENALTY
    first_margin = first.margin(now=now)
    second_margin = second.margin(now=now)
    mean = first.mean
    total = sum(first.bins)
    n_above = total
    sum_above = sum(
        count * midpoint
        for count, midpoint in zip(first.bins, BIN_MIDPOINTS, strict=True)
    )
    for n, count in enumerate(first.bins):
        passing_fraction = n_above / total
        if passing_fraction < MIN_PASSING_FRACTION:
            return None
        # Scores are noisy, so passing answers are selected partly by chance: their
        # quality exceeds the mean by less than their scores do.
        passing_quality = mean + SCORE_RELIABILITY * (sum_above / n_above - mean)
        margin = (
            passing_fraction * first_margin + (1 - passing_fraction) * second_margin
        )
        quality = (
            passing_fraction * passing_quality
            + (1 - passing_fraction) * escalated_mean
            - margin
        )
        if quality >= target and passing_fraction <= MAX_PASSING_FRACTION:
            return Option(
                plan=cascade_plan(cheap, strong, n / N_BINS, deliver_unrated=False),
                quality=quality,
                cost=cheap_cost + (1 - passing_fraction) * strong_cost,
                duration_s=first.duration_s + RATING_DURATION_S + second.duration_s,
            )
        n_above -= count
        sum_above -= count * BIN_MIDPOINTS[n]
    return None


def cascade_plan(
    cheap: VersionId, strong: VersionId, min_score: float, *, deliver_unrated: bool
) -> Plan:
    """Return the plan of a cheap rated stage that escalates to a strong version.

    Parameters
    ----------
    cheap : VersionId
    strong : VersionId
    min_score : float
        Answers of the cheap version with a lower score are escalated.
    deliver_unrated : bool
        Whether an answer that could not be rated is delivered.
    """
    first = Stage(version=cheap, min_score=min_score, deliver_unrated=deliver_unrated)
    return Plan(stages=(first, Stage(version=strong)))
