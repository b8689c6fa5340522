"""Renders the burn report as a self-contained HTML page with plots."""

from datetime import UTC, datetime
from html import escape

from turmericreel.reports.burn import (
    ALERT_RULES,
    BurnPoint,
    BurnReport,
    LatencyRow,
    ObjectiveBurn,
)

PLOT_WIDTH = 360
PLOT_HEIGHT = 72
PLOT_MIN_RATE = 2.0

STYLE = """
body { font: 14px/1.5 system-ui, sans-serif; margin: 2rem auto; max-width: 72rem;
  color: #1d2430; }
h1 { font-size: 1.5rem; } h2 { font-size: 1.15rem; margin-top: 2rem; }
table { border-collapse: collapse; width: 100%; }
th, td { text-align: right; padding: .35rem .6rem; border-bottom: 1px solid #dde2ea; }
th:first-child, td:first-child { text-align: left; }
th { font-weight: 600; color: #55607a; }
.spent { color: #b3261e; font-weight: 600; }
.alert { background: #b3261e; color: #fff; border-radius: 3px; padding: 0 .4rem; }
svg { background: #f6f7fa; }
"""


def burn_html(report: BurnReport) -> str:
    """Return the report as an HTML page."""
    time = datetime.fromtimestamp(report.time_ms / 1_000, tz=UTC)
    parts = [
        "<!doctype html><html lang='en'><meta charset='utf-8'>",
        "<title>Service-level burn</title>",
        f"<style>{STYLE}</style>",
        "<h1>Service-level burn</h1>",
        f"<p>Windows end at {time:%Y-%m-%d %H:%M:%S} UTC. A rate of 1 spends the ",
        "30-day error budget exactly in 30 days.</p>",
        _burn_table(report),
        _latency_table(report.latencies),
        *(_detail(burn) for burn in report.objectives if _is_notable(burn)),
        "</html>",
    ]
    return "\n".join(parts)


def _burn_table(report: BurnReport) -> str:
    if not report.objectives:
        return "<p>Nothing has been recorded yet.</p>"
    names = [burn.window for burn in report.objectives[0].windows]
    head = "".join(f"<th>{name}</th>" for name in names)
    rows = "".join(_burn_row(burn) for burn in report.objectives)
    return (
        "<table><thead><tr><th>Service, account, indicator</th><th>Objective</th>"
        f"{head}<th>Budget left</th><th>Alerts</th></tr></thead>"
        f"<tbody>{rows}</tbody></table>"
    )


def _burn_row(burn: ObjectiveBurn) -> str:
    rates = "".join(f"<td>{window.rate:.2f}</td>" for window in burn.windows)
    spent = " class='spent'" if burn.budget_left < 0 else ""
    alerts = " ".join(f"<span class='alert'>{name}</span>" for name in burn.alerts)
    return (
        f"<tr><td>{_title(burn)}</td><td>{burn.objective:.4f}</td>{rates}"
        f"<td{spent}>{burn.budget_left:.1%}</td><td>{alerts}</td></tr>"
    )


def _latency_table(latencies: tuple[LatencyRow, ...]) -> str:
    if not latencies:
        return ""
    rows = "".join(
        f"<tr><td>{escape(line.service)}, {escape(line.account)}</td>"
        f"<td>{_ms(line.first_token_p50)}</td><td>{_ms(line.first_token_p95)}</td>"
        f"<td>{_ms(line.between_tokens_p50)}</td>"
        f"<td>{_ms(line.between_tokens_p95)}</td></tr>"
        for line in latencies
    )
    return (
        "<h2>Latency in the last hour, ms</h2><table><thead><tr>"
        "<th>Service, account</th><th>First token p50</th><th>p95</th>"
        "<th>Between tokens p50</th><th>p95</th></tr></thead>"
        f"<tbody>{rows}</tbody></table>"
    )


def _detail(burn: ObjectiveBurn) -> str:
    rows = "".join(
        f"<tr><td>{escape(blame.version)}, {escape(blame.data_centre)}, "
        f"{escape(blame.server)}</td><td>{blame.n_bad}</td>"
        f"<td>{blame.share:.0%}</td></tr>"
        for blame in burn.blames
    )
    return (
        f"<h2>{_title(burn)}</h2>{_plot(burn.points)}"
        "<table><thead><tr><th>Version, data centre, backend server</th>"
        f"<th>Bad events</th><th>Share</th></tr></thead><tbody>{rows}</tbody></table>"
    )


def _plot(points: tuple[BurnPoint, ...]) -> str:
    if not points:
        return ""
    first_ms = points[0].start_ms
    span_ms = max(points[-1].start_ms - first_ms, 1)
    top = max(PLOT_MIN_RATE, max(point.rate for point in points))
    corners = " ".join(
        f"{(p.start_ms - first_ms) / span_ms * PLOT_WIDTH:.1f},"
        f"{PLOT_HEIGHT * (1 - p.rate / top):.1f}"
        for p in points
    )
    lines = "".join(
        _rule_line(rule.rate, top) for rule in ALERT_RULES if rule.rate < top
    )
    return (
        f"<svg viewBox='0 0 {PLOT_WIDTH} {PLOT_HEIGHT}' width='{PLOT_WIDTH * 2}' "
        f"role='img' aria-label='burn rate by five minutes, top {top:.1f}'>{lines}"
        f"<polyline points='{corners}' fill='none' stroke='#2a5bd7' "
        "stroke-width='1.5'/></svg>"
    )


def _rule_line(rate: float, top: float) -> str:
    y = PLOT_HEIGHT * (1 - rate / top)
    return (
        f"<line x1='0' x2='{PLOT_WIDTH}' y1='{y:.1f}' y2='{y:.1f}' "
        "stroke='#b3261e' stroke-dasharray='3 3' stroke-width='.7'/>"
    )


def _is_notable(burn: ObjectiveBurn) -> bool:
    return any(window.n_bad for window in burn.windows)


def _title(burn: ObjectiveBurn) -> str:
    name = burn.indicator.value.replace("_", " ")
    return f"{escape(burn.service)}, {escape(burn.account)}, {name}"


def _ms(latency_ms: float | None) -> str:
    return "" if latency_ms is None else f"{latency_ms:.0f}"
