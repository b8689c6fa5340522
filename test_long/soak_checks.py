"""Checks of the soak from the servers' side, made after a run."""

from collections import Counter, defaultdict
from collections.abc import Sequence
from dataclasses import dataclass
from enum import Enum
from math import sqrt

from test_long.soak_traffic import FATAL_PARTS, OTHER_CAUSE, Findings
from turmericreel.fakes.routed_server import BRITTLE_CAUSE, RoutedServer, ServerEnd

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
# Falls of the brittle servers of one service that are allowed in one period.
MAX_FALLS = 2
MAX_FALLS_FRACTION = 0.1
# Time before the end of a stopping process in which a request may cross its end, and
# requests that may cross the end of a kept connection before.
END_OF_STOP_S = 0.6
MAX_CROSSING_IN_STOP = 3
# Time after a cut from which first tries count, and that their answers may take.
CONTACT_S = 3.0
ANSWER_S = 1.0
# First tries at cut-off gateways must be served this often in relation to others,
# unless no more than these fail.
MIN_SERVED_RATIO = 2 / 3
MAX_FAILED_TRIES = 10
MAX_FAILED_FRACTION = 1 / 50


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
    ends.pop(BRITTLE_CAUSE, None)
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
class StopPeriod:
    """Planned stop of a gateway, in seconds on the monotonic clock."""

    gateway: str
    began: float
    ended: float


def check_stops(periods: Sequence[StopPeriod], findings: Findings) -> None:
    """Check that a stopping gateway answers all requests until its process ends."""
    for period in periods:
        findings.outcomes["planned stops"] += 1
        left = [
            tried
            for tried in findings.first_tries
            if tried.gateway == period.gateway
            and period.began < tried.at < period.ended - END_OF_STOP_S
        ]
        findings.outcomes["requests within stops"] += len(left)
        n_unanswered = sum(not tried.is_answered for tried in left)
        if n_unanswered > MAX_CROSSING_IN_STOP:
            findings.faults.append(
                f"{period.gateway} left {n_unanswered} of {len(left)} requests "
                "without an answer in a stop"
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


@dataclass(frozen=True, kw_only=True)
class ColdPeriod:
    """Time in which a server is cold, in seconds on the monotonic clock."""

    server: RoutedServer
    began: float
    ended: float


def check_cold_periods(
    periods: Sequence[ColdPeriod], *, max_in_second: float, findings: Findings
) -> None:
    """Check that cold servers got no more in any second than they take."""
    for period in periods:
        findings.outcomes["cold periods"] += 1
        known_at = period.began + RATE_LEARNING_TIME_S
        times = [at for at in period.server.received_at if known_at < at < period.ended]
        findings.outcomes["requests while cold"] += len(times)
        most = max(
            (sum(first <= at < first + 1.0 for at in times) for first in times),
            default=0,
        )
        if most > max_in_second:
            findings.faults.append(
                f"{period.server.server} got {most} requests in a second while cold"
            )


class GatewayState(Enum):
    """What a soak does to a gateway; `TROUBLED` ones are killed, paused or stopped."""

    CALM = "calm"
    CUT_OFF = "cut_off"
    TROUBLED = "troubled"


@dataclass(frozen=True, kw_only=True)
class GatewayStates:
    """States of all gateways by host, at a time on the monotonic clock in seconds."""

    at: float
    states: dict[str, GatewayState]


@dataclass(frozen=True, kw_only=True)
class BrittlePeriod:
    """Time in which servers are brittle, in seconds on the monotonic clock."""

    servers: Sequence[RoutedServer]
    began: float
    ended: float


def check_brittle_periods(
    periods: Sequence[BrittlePeriod],
    history: Sequence[GatewayStates],
    findings: Findings,
) -> None:
    """Check that brittle servers hardly ever fell over.

    A fall counts if most of the requests that were refused came from gateways that had
    no trouble lately.
    """
    for period in periods:
        falls = [
            end
            for server in period.servers
            for end in server.ends
            if end.cause == BRITTLE_CAUSE and period.began <= end.at <= period.ended
        ]
        n_falls = sum(_is_by_steady_gateways(end, history, findings) for end in falls)
        findings.outcomes["brittle periods"] += 1
        findings.outcomes["falls of brittle servers"] += len(falls)
        if n_falls > MAX_FALLS + MAX_FALLS_FRACTION * len(period.servers):
            findings.faults.append(f"brittle servers fell over {n_falls} times")


def _is_by_steady_gateways(
    end: ServerEnd, history: Sequence[GatewayStates], findings: Findings
) -> bool:
    samples = [
        sample.states for sample in history if end.at - CONTACT_S <= sample.at <= end.at
    ]
    gateways = [findings.gateways[attempt_id] for attempt_id in end.refused]
    n_steady = sum(
        all(sample[gateway] is not GatewayState.TROUBLED for sample in samples)
        for gateway in gateways
    )
    return n_steady > len(gateways) / 2


def check_first_tries(history: Sequence[GatewayStates], findings: Findings) -> None:
    """Check that cut-off gateways serve first tries about as often as the others.

    Those count that are sent while both kinds have been in their state for
    `CONTACT_S` and stay so until the answer.
    """
    counts: dict[GatewayState, Counter[bool]] = defaultdict(Counter)
    for first_try in findings.first_tries:
        samples = [
            sample.states
            for sample in history
            if first_try.at - CONTACT_S <= sample.at <= first_try.at + ANSWER_S
        ]
        steady = _steady_states(samples)
        if {GatewayState.CALM, GatewayState.CUT_OFF} <= set(steady.values()):
            state = steady.get(first_try.gateway)
            counts[state][first_try.is_served] += 1
    cut_off, calm = counts[GatewayState.CUT_OFF], counts[GatewayState.CALM]
    n_counted = cut_off.total() + calm.total()
    findings.outcomes["first tries at cut-off gateways"] += cut_off.total()
    findings.outcomes["first tries at cut-off gateways, served"] += cut_off[True]
    findings.outcomes["first tries beside them"] += calm.total()
    findings.outcomes["first tries beside them, served"] += calm[True]
    if not cut_off or not calm:
        return
    served_there = cut_off[True] / cut_off.total()
    served_beside = calm[True] / calm.total()
    # Servers are down for some seconds, so a few tries differ by chance.
    served = (cut_off[True] + calm[True]) / n_counted
    error = sqrt(served * (1 - served) * (1 / cut_off.total() + 1 / calm.total()))
    max_failed = MAX_FAILED_TRIES + MAX_FAILED_FRACTION * n_counted
    is_worse = served_there < MIN_SERVED_RATIO * served_beside - error
    if is_worse and cut_off[False] > max_failed:
        findings.faults.append(
            f"cut-off gateways served {cut_off[True]} of {cut_off.total()} first "
            f"tries, others {calm[True]} of {calm.total()}"
        )


def _steady_states(
    samples: Sequence[dict[str, GatewayState]],
) -> dict[str, GatewayState]:
    """Return the states of the gateways that did not change."""
    if not samples:
        return {}
    return {
        host: state
        for host, state in samples[0].items()
        if all(sample[host] is state for sample in samples)
    }
