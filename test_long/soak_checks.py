"""Checks of the soak from the servers' side, made after a run."""

from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass

from test_long.soak_traffic import FATAL_PARTS, OTHER_CAUSE, Findings
from turmericreel.fakes.routed_server import RoutedServer

# Servers that one request or part may end, the time after the last of them in which all
# gateways learn of it, and servers that it may end later.
MAX_ENDS = 3
MAX_ENDS_OF_PART = 5
LEARNING_TIME_S = 3.0
MAX_LATE_ENDS = 3
# Time after which a gateway that got a pause or knows a leaving server sends nothing.
PAUSE_LEARNING_TIME_S = 0.5
# Requests of one gateway to a server that wants none: it may have to learn first, and
# learns anew when it has been killed or paused.
MAX_UNWANTED_PER_GATEWAY = 3
# A server that names a rate may get this multiple of it, and some more requests, in any
# window of this length that begins this time after it first named the rate.
MAX_RATE_FACTOR = 1.5
MAX_BEYOND_RATE = 5
RATE_WINDOW_S = 4.0
RATE_LEARNING_TIME_S = 3.0


def check_runs(servers: Sequence[RoutedServer], findings: Findings) -> None:
    """Check that unsafe requests ran at most once, and not if refused."""
    runs = Counter(run[0] for server in servers for run in server.runs)
    for attempt_id, n_runs in runs.items():
        if attempt_id.startswith("unsafe") and n_runs > 1:
            findings.faults.append(f"{attempt_id} ran {n_runs} times")
        if attempt_id.startswith("unsafe") and attempt_id in findings.refused:
            findings.faults.append(f"{attempt_id} ran, although it was refused")


def check_ends(servers: Sequence[RoutedServer], findings: Findings) -> None:
    """Check that requests and prompt parts that end servers are not sent on."""
    ends: dict[str, list[float]] = defaultdict(list)
    for server in servers:
        for end in server.ends:
            ends[end.cause].append(end.at)
    for cause, times in ends.items():
        findings.outcomes["ended servers"] += len(times)
        max_ends = MAX_ENDS_OF_PART if cause in FATAL_PARTS else MAX_ENDS
        if cause == OTHER_CAUSE or len(times) < max_ends:
            continue
        known_at = sorted(times)[max_ends - 1] + LEARNING_TIME_S
        n_late = sum(at > known_at for at in times)
        if n_late > MAX_LATE_ENDS:
            findings.faults.append(
                f"{cause} ended {len(times)} servers, {n_late} of them late"
            )


@dataclass(frozen=True, kw_only=True)
class QuietPeriod:
    """Time in which a server wants no requests, in seconds on the monotonic clock."""

    server: RoutedServer
    began: float
    ended: float


def check_quiet_periods(
    periods: Sequence[QuietPeriod], n_gateways: int, findings: Findings
) -> None:
    """Check that servers that wanted no requests got hardly any."""
    for period in periods:
        findings.outcomes["quiet periods"] += 1
        known_at = period.began + PAUSE_LEARNING_TIME_S
        n_unwanted = sum(
            known_at < at < period.ended for at in period.server.received_at
        )
        findings.outcomes["unwanted requests"] += n_unwanted
        if n_unwanted > MAX_UNWANTED_PER_GATEWAY * n_gateways:
            findings.faults.append(
                f"{period.server.server} got {n_unwanted} unwanted requests"
            )


@dataclass(frozen=True, kw_only=True)
class LimitedPeriod:
    """Time in which a server names a rate, in seconds on the monotonic clock."""

    server: RoutedServer
    rate: float
    began: float
    ended: float


def check_limited_periods(periods: Sequence[LimitedPeriod], findings: Findings) -> None:
    """Check that servers that named a rate got little more than it."""
    for period in periods:
        findings.outcomes["limited periods"] += 1
        known_at = period.began + RATE_LEARNING_TIME_S
        times = [at for at in period.server.received_at if known_at < at < period.ended]
        findings.outcomes["requests within limits"] += len(times)
        most = max(
            (
                sum(first <= at < first + RATE_WINDOW_S for at in times)
                for first in times
            ),
            default=0,
        )
        if most > MAX_RATE_FACTOR * period.rate * RATE_WINDOW_S + MAX_BEYOND_RATE:
            findings.faults.append(
                f"{period.server.server} got {most} requests in {RATE_WINDOW_S} s "
                f"at a rate of {period.rate:.1f}"
            )
