"""Service levels are counted once, aggregated, and reported as burn rates."""

import pytest

from test.library import SmallSystem, chat_body, http_call
from turmericreel.control.burn_alerts import BurnAlerts
from turmericreel.entry.exposure import RecentAnswers
from turmericreel.model.check_text import parse_text
from turmericreel.model.ids import (
    BackendServerId,
    ClientAccountId,
    DataCentreId,
    Incarnation,
    InstanceId,
    ServiceName,
    VersionId,
)
from turmericreel.model.service_levels import (
    Blame,
    BlameCount,
    Indicator,
    LatencyHistogram,
    LevelCount,
    LevelRecord,
)
from turmericreel.reports.burn import burn_report
from turmericreel.reports.burn_html import burn_html
from turmericreel.state.commands.service_levels import RecordServiceLevels
from turmericreel.state.commands.union import LogRecord
from turmericreel.state.machine import StateMachine

HOUR_MS = 3_600_000
NOW_MS = 1_000 * 24 * HOUR_MS
TEXT = """
[services.helper-llm]
kind = "assistant"
[services.helper-llm.versions.small]
model = "m"
[services.helper-llm.objectives]
availability = 0.99
[client_accounts.depot]
key_hashes = []
allowed = { "helper-llm" = ["small"] }
[client_accounts.depot.objectives.helper-llm]
availability = 0.9
"""


def level_record(account: str, n_events: int, n_bad: int) -> LevelRecord:
    blame = Blame(
        indicator=Indicator.AVAILABILITY,
        version=VersionId("small"),
        data_centre=DataCentreId("north-mid-a"),
        server=BackendServerId("oven-1"),
    )
    return LevelRecord(
        service=ServiceName("helper-llm"),
        account=ClientAccountId(account),
        counts={Indicator.AVAILABILITY: LevelCount(n_events=n_events, n_bad=n_bad)},
        blames=[BlameCount(blame=blame, n_bad=n_bad)] if n_bad else [],
    )


def apply_records(machine: StateMachine, sequence: int, time_ms: int, *records) -> None:
    machine.apply(
        LogRecord(
            index=machine.applied_index + 1,
            term=1,
            time_ms=time_ms,
            command=RecordServiceLevels(
                instance=InstanceId("entry-1"),
                incarnation=Incarnation(1),
                sequence=sequence,
                records=records,
            ),
        )
    )


def availability(machine: StateMachine, account: str):
    report = burn_report(
        machine.service_levels.series, parse_text(TEXT), time_ms=NOW_MS
    )
    return next(
        burn
        for burn in report.objectives
        if burn.account == account and burn.indicator is Indicator.AVAILABILITY
    )


def test_a_resent_record_is_counted_once():
    machine = StateMachine()
    for _ in range(2):
        apply_records(machine, 1, NOW_MS, level_record("household", 100, 1))
    burn = availability(machine, "household")
    assert [window.n_events for window in burn.windows] == [100] * len(burn.windows)


def test_burn_rate_is_bad_share_over_allowed_share():
    machine = StateMachine()
    apply_records(
        machine,
        1,
        NOW_MS,
        level_record("household", 100, 2),
        level_record("depot", 100, 2),
    )
    assert availability(machine, "household").windows[0].rate == pytest.approx(2.0)
    assert availability(machine, "depot").windows[0].rate == pytest.approx(0.2)
    assert availability(machine, "depot").budget_left == pytest.approx(0.8)


def test_windows_count_only_their_span():
    machine = StateMachine()
    apply_records(machine, 1, NOW_MS - 2 * HOUR_MS, level_record("household", 100, 50))
    apply_records(machine, 2, NOW_MS, level_record("household", 100, 0))
    windows = {w.window: w for w in availability(machine, "household").windows}
    assert windows["5m"].n_bad == windows["1h"].n_bad == 0
    assert windows["6h"].n_bad == windows["30d"].n_bad == 50


def test_alert_needs_both_windows():
    machine = StateMachine()
    apply_records(machine, 1, NOW_MS - HOUR_MS // 2, level_record("household", 100, 50))
    assert availability(machine, "household").alerts == ("slow",)
    apply_records(machine, 2, NOW_MS, level_record("household", 100, 50))
    assert availability(machine, "household").alerts == ("fast", "slow")


def test_blame_names_where_bad_events_came_from():
    machine = StateMachine()
    apply_records(machine, 1, NOW_MS, level_record("household", 100, 3))
    blame = availability(machine, "household").blames[0]
    assert (blame.server, blame.n_bad, blame.share) == ("oven-1", 3, 1.0)


def test_page_is_self_contained():
    machine = StateMachine()
    apply_records(machine, 1, NOW_MS, level_record("household", 100, 60))
    report = burn_report(
        machine.service_levels.series, parse_text(TEXT), time_ms=NOW_MS
    )
    page = burn_html(report)
    assert "oven-1" in page
    assert "http" not in page
    assert "src=" not in page


def test_snapshot_keeps_levels_and_sequences():
    machine = StateMachine()
    apply_records(machine, 1, NOW_MS, level_record("household", 100, 3))
    restored = StateMachine()
    restored.load(machine.dump())
    apply_records(restored, 1, NOW_MS, level_record("household", 100, 3))
    assert availability(restored, "household").windows[0].n_events == 100


def test_quantile_is_the_bound_of_its_bucket():
    histogram = LatencyHistogram()
    for latency_ms in (1.5, 1.5, 1.5, 300.0):
        histogram.record(latency_ms)
    assert histogram.quantile_ms(0.5) == 2.0
    assert histogram.quantile_ms(0.95) == 320.0
    assert LatencyHistogram().quantile_ms(0.5) is None


def test_running_system_counts_answers_and_failures(system: SmallSystem):
    for n in range(3):
        body = chat_body(f"question {n}")
        http_call(system.address, "POST", "/v1/chat/completions", body=body)
    http_call(system.address, "POST", "/v1/chat/completions", body=b"{", key="x")
    system.instance.levels.flush()
    series = system.operator.read("service_levels")["helper-llm/household"]
    levels = series["buckets"]["300000"][-1]["levels"]
    assert levels["counts"]["availability"] == {"n_events": 3, "n_bad": 0}
    assert levels["counts"]["first_token"]["n_events"] == 3


def test_alert_is_written_when_it_begins_and_ends(system: SmallSystem):
    alerts = BurnAlerts(log=system.instance.log, clock=system.instance.clock)
    assert alerts.check() == []
    machine = system.instance.log.machine
    time_ms = system.instance.clock.wall_ms()
    apply_records(machine, 1, time_ms, level_record("household", 100, 60))
    assert [burn.account for burn in alerts.check()] == ["household"] * 2
    assert alerts.active


def test_answers_before_a_suspension_count_as_exposed(system: SmallSystem):
    for n in range(3):
        body = chat_body(f"question {n}")
        http_call(system.address, "POST", "/v1/chat/completions", body=body)
    levels = system.instance.levels
    answered = {version for _, version in levels.recent.slices}
    for version in answered:
        levels.record_suspension(ServiceName("helper-llm"), version)
        levels.record_suspension(ServiceName("helper-llm"), version)
    levels.flush()
    series = system.operator.read("service_levels")["helper-llm/household"]
    counts = series["buckets"]["300000"][-1]["levels"]["counts"]
    assert counts["exposure"] == {"n_events": 3, "n_bad": 3}


def test_old_answers_are_not_exposed():
    recent = RecentAnswers()
    names = (ServiceName("s"), VersionId("v"))
    recent.record_answer(*names, ClientAccountId("a"), now=0.0)
    recent.record_answer(*names, ClientAccountId("a"), now=400.0)
    assert recent.collect_answers(*names, now=401.0) == {"a": 1}
    assert not recent.collect_answers(*names, now=401.0)


def test_scores_of_delivered_answers_count_as_quality(system: SmallSystem):
    body = chat_body("question")
    http_call(system.address, "POST", "/v1/chat/completions", body=body)
    observer = system.instance.request_path.observer
    ((request_id, version), observed) = next(iter(observer.recent_answers.items()))
    assert request_id == observed.request.request_id
    observer.record_delivery(observed.request, version, 0.1)
    observer.record_delivery(observed.request, version, 0.9)
    key = (ServiceName("helper-llm"), ClientAccountId("household"))
    count = system.instance.levels.records[key].counts[Indicator.QUALITY]
    assert (count.n_events, count.n_bad) == (2, 1)
