"""Burn rates of service-level error budgets, computed from recorded counts.

The burn rate is the fraction of bad events divided by the fraction that the objective
allows: at a rate of 1 the error budget is spent exactly at the end of its period.
"""

from collections import Counter
from dataclasses import dataclass, field

from turmericreel.model.ids import ClientAccountId, ServiceName
from turmericreel.model.service_levels import (
    Blame,
    Indicator,
    LevelCount,
    LevelRecord,
)
from turmericreel.model.text import ObjectiveText, OperatorsText
from turmericreel.state.tables.service_levels import (
    LevelKey,
    LevelSeries,
    Resolution,
    merge_levels,
)

MINUTE_MS = 60_000
HOUR_MS = 60 * MINUTE_MS
DAY_MS = 24 * HOUR_MS
BUDGET_PERIOD_MS = 30 * DAY_MS
N_BLAMES_SHOWN = 5


@dataclass(frozen=True, kw_only=True)
class Window:
    """Time window that ends at the time of the report."""

    name: str
    length_ms: int
    resolution: Resolution


@dataclass(frozen=True, kw_only=True)
class AlertRule:
    """Alert that fires while the burn rates of both windows reach a rate.

    The short window ends the alert soon after the burn has ended.
    """

    name: str
    short: str
    long: str
    rate: float


WINDOWS = (
    Window(name="5m", length_ms=5 * MINUTE_MS, resolution=Resolution.FIVE_MINUTES),
    Window(name="30m", length_ms=30 * MINUTE_MS, resolution=Resolution.FIVE_MINUTES),
    Window(name="1h", length_ms=HOUR_MS, resolution=Resolution.FIVE_MINUTES),
    Window(name="6h", length_ms=6 * HOUR_MS, resolution=Resolution.FIVE_MINUTES),
    Window(name="3d", length_ms=3 * DAY_MS, resolution=Resolution.HOUR),
    Window(name="30d", length_ms=BUDGET_PERIOD_MS, resolution=Resolution.DAY),
)
ALERT_RULES = (
    AlertRule(name="fast", short="5m", long="1h", rate=14.4),
    AlertRule(name="slow", short="30m", long="6h", rate=6.0),
)


@dataclass(frozen=True, kw_only=True)
class WindowBurn:
    """Event counts and burn rate of one window."""

    window: str
    n_events: int
    n_bad: int
    rate: float


@dataclass(frozen=True, kw_only=True)
class BlameShare:
    """Version, data centre and server with their share of the bad events."""

    version: str
    data_centre: str
    server: str
    n_bad: int
    share: float


@dataclass(frozen=True, kw_only=True)
class BurnPoint:
    """Burn rate of one time bucket, for plots."""

    start_ms: int
    rate: float


@dataclass(frozen=True, kw_only=True)
class ObjectiveBurn:
    """Error-budget burn of one objective of a service and client account."""

    service: ServiceName
    account: ClientAccountId
    indicator: Indicator
    objective: float
    windows: tuple[WindowBurn, ...]
    budget_left: float
    alerts: tuple[str, ...]
    blames: tuple[BlameShare, ...]
    points: tuple[BurnPoint, ...]


@dataclass(frozen=True, kw_only=True)
class BurnReport:
    """Burn of all objectives, and latencies of the last hour.

    Parameters
    ----------
    time_ms : int
        End of the windows, in milliseconds of wall time.
    """

    time_ms: int
    objectives: tuple[ObjectiveBurn, ...]
    latencies: tuple["LatencyRow", ...] = field(default=())


@dataclass(frozen=True, kw_only=True)
class LatencyRow:
    """Latency quantiles of a service and account in the last hour, in milliseconds."""

    service: ServiceName
    account: ClientAccountId
    first_token_p50: float | None
    first_token_p95: float | None
    between_tokens_p50: float | None
    between_tokens_p95: float | None


def burn_report(
    series: dict[LevelKey, LevelSeries], text: OperatorsText, *, time_ms: int
) -> BurnReport:
    """Compute the burn report.

    Parameters
    ----------
    series : dict of LevelKey to LevelSeries
        Recorded counts.
    text : OperatorsText
        Text that defines the objectives.
    time_ms : int
        End of the windows, in milliseconds of wall time.
    """
    objectives = []
    latencies = []
    for account_series in series.values():
        levels = _window_levels(account_series, WINDOWS[2], time_ms)
        if levels is not None:
            latencies.append(_latency_row(levels))
        objectives.extend(_burns_of(account_series, text, time_ms))
    objectives.sort(key=lambda burn: burn.budget_left)
    return BurnReport(
        time_ms=time_ms, objectives=tuple(objectives), latencies=tuple(latencies)
    )


def objective_fraction(objectives: ObjectiveText, indicator: Indicator) -> float:
    """Return the required fraction of good events of an indicator."""
    return {
        Indicator.AVAILABILITY: objectives.availability,
        Indicator.FIRST_TOKEN: objectives.first_token_fraction,
        Indicator.BETWEEN_TOKENS: objectives.between_tokens_fraction,
        Indicator.QUALITY: objectives.quality_fraction,
        Indicator.EXPOSURE: objectives.exposure_fraction,
    }[indicator]


def burn_rate(count: LevelCount, objective: float) -> float:
    """Return the burn rate: the fraction of bad events over the allowed one."""
    if count.n_events == 0:
        return 0.0
    allowed = 1.0 - objective
    bad = count.n_bad / count.n_events
    if allowed <= 0:
        return float("inf") if bad else 0.0
    return bad / allowed


def _burns_of(
    series: LevelSeries, text: OperatorsText, time_ms: int
) -> list[ObjectiveBurn]:
    newest = next((b[-1].levels for b in series.buckets.values() if b), None)
    if newest is None or newest.service not in text.services:
        return []
    objectives = _objectives_of(text, newest)
    by_window = {w.name: _window_levels(series, w, time_ms) for w in WINDOWS}
    period_levels = by_window["30d"]
    if period_levels is None:
        return []
    return [
        _objective_burn(
            indicator, objective_fraction(objectives, indicator), series, by_window
        )
        for indicator in Indicator
        if indicator in period_levels.counts
    ]


def _objectives_of(text: OperatorsText, levels: LevelRecord) -> ObjectiveText:
    account = text.client_accounts.get(levels.account)
    if account is not None and levels.service in account.objectives:
        return account.objectives[levels.service]
    return text.services[levels.service].objectives


def _objective_burn(
    indicator: Indicator,
    objective: float,
    series: LevelSeries,
    by_window: dict[str, LevelRecord | None],
) -> ObjectiveBurn:
    windows = tuple(
        _window_burn(name, levels, indicator, objective)
        for name, levels in by_window.items()
    )
    rates = {burn.window: burn.rate for burn in windows}
    period_levels = by_window["30d"]
    return ObjectiveBurn(
        service=period_levels.service,
        account=period_levels.account,
        indicator=indicator,
        objective=objective,
        windows=windows,
        budget_left=1.0 - rates["30d"],
        alerts=tuple(
            rule.name
            for rule in ALERT_RULES
            if rates[rule.short] >= rule.rate and rates[rule.long] >= rule.rate
        ),
        blames=_blames(by_window["6h"] or period_levels, indicator),
        points=_points(series, indicator, objective),
    )


def _window_burn(
    name: str, levels: LevelRecord | None, indicator: Indicator, objective: float
) -> WindowBurn:
    count = LevelCount()
    if levels is not None:
        count = levels.counts.get(indicator, count)
    return WindowBurn(
        window=name,
        n_events=count.n_events,
        n_bad=count.n_bad,
        rate=burn_rate(count, objective),
    )


def _window_levels(
    series: LevelSeries, window: Window, time_ms: int
) -> LevelRecord | None:
    begin_ms = time_ms - window.length_ms
    total = None
    for bucket in series.buckets.get(window.resolution, []):
        # A bucket counts if any part of it lies within the window.
        if bucket.start_ms + window.resolution.value <= begin_ms:
            continue
        if total is None:
            levels = bucket.levels
            total = LevelRecord(service=levels.service, account=levels.account)
        merge_levels(total, bucket.levels)
    return total


def _blames(levels: LevelRecord, indicator: Indicator) -> tuple[BlameShare, ...]:
    counted: Counter[Blame] = Counter()
    for blamed in levels.blames:
        if blamed.blame.indicator is indicator:
            counted[blamed.blame] += blamed.n_bad
    total = sum(counted.values())
    return tuple(
        BlameShare(
            version=blame.version,
            data_centre=blame.data_centre,
            server=blame.server,
            n_bad=n_bad,
            share=n_bad / total,
        )
        for blame, n_bad in counted.most_common(N_BLAMES_SHOWN)
    )


def _points(
    series: LevelSeries, indicator: Indicator, objective: float
) -> tuple[BurnPoint, ...]:
    return tuple(
        BurnPoint(
            start_ms=bucket.start_ms,
            rate=burn_rate(bucket.levels.counts[indicator], objective),
        )
        for bucket in series.buckets.get(Resolution.FIVE_MINUTES, [])
        if indicator in bucket.levels.counts
    )


def _latency_row(levels: LevelRecord) -> LatencyRow:
    return LatencyRow(
        service=levels.service,
        account=levels.account,
        first_token_p50=levels.first_token.quantile_ms(0.5),
        first_token_p95=levels.first_token.quantile_ms(0.95),
        between_tokens_p50=levels.between_tokens.quantile_ms(0.5),
        between_tokens_p95=levels.between_tokens.quantile_ms(0.95),
    )
