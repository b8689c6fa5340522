"""Computes the cost per second of each role at full size from measured slopes."""

import json
from collections.abc import Callable
from dataclasses import dataclass
from pathlib import Path

from bench.message_sizes import (
    digest_bytes,
    instance_bytes,
    interest_bytes,
)
from bench.slopes import Slope, fit

RESULTS = Path(__file__).parent / "results"

N_INSTANCES = 370
N_SERVERS = 2_600
REQUESTS_PER_S = 1_400
APPENDS_PER_REQUEST = 2
N_CONTROL = 5
N_RELAYS = 5
N_SENDERS = N_CONTROL + N_RELAYS
TEXT_KB = 38.0
CHANGES_PER_DAY = 8_800
SERVER_CHANGES_PER_DAY = 2 * N_SERVERS
INSTANCE_CHANGES_PER_DAY = 2 * (44 + 270)
DAY_S = 86_400
SUBSET_SIZE = 40
N_HOMED_SERVERS = N_SERVERS / N_INSTANCES
N_ASKERS = SUBSET_SIZE * N_INSTANCES / N_SERVERS * 1.0
INTEREST_INTERVAL_S = 6.0
CPU_TARGET_PERCENT = 4.2
TARGET_BYTES_PER_S = 19_000
MEMORY_TARGET_MB = 128


@dataclass(frozen=True, kw_only=True)
class CostLine:
    """One row in the table of a role: a cost per second and how it is kept low."""

    what: str
    mechanism: str
    bytes_per_s: float
    cpu_percent: float


def load_local() -> dict[str, Slope]:
    """Return the fitted lines of `bench.capacity_local` by name."""
    raw = json.loads((RESULTS / "local.json").read_text())
    return {name: Slope(**values) for name, values in raw.items()}


def load_spread() -> list[dict]:
    """Return the runs of `bench.capacity_spread`, one per number of subscribers."""
    return json.loads((RESULTS / "spread.json").read_text())


def spread_slopes(runs: list[dict]) -> dict[str, Slope]:
    """Return lines fitted to the runs against the number of subscribers."""
    sizes = [run["subscribers"] for run in runs]

    def line(value: Callable[[dict], float]) -> Slope:
        return fit(sizes, [value(run) for run in runs])

    return {
        "all control instances at rest, ms of processor a second": line(
            lambda r: (
                1e3 * sum(r["rest"]["control_cpu_s"].values()) / r["rest"]["seconds"]
            )
        ),
        "all subscribers at rest, ms of processor a second": line(
            lambda r: 1e3 * r["rest"]["subscribers_cpu_s"] / r["rest"]["seconds"]
        ),
        "to all subscribers at rest, bytes a second": line(
            lambda r: r["rest"]["received_bytes"] / r["rest"]["seconds"]
        ),
        "from all subscribers at rest, bytes a second": line(
            lambda r: r["rest"]["sent_bytes"] / r["rest"]["seconds"]
        ),
        "all control instances, ms of processor a change": line(
            lambda r: 1e3 * _above_rest(r, lambda o: sum(o["control_cpu_s"].values()))
        ),
        "to all subscribers, bytes a change": line(
            lambda r: _above_rest(r, lambda o: o["received_bytes"])
        ),
        "largest control instance, MB": line(lambda r: r["memory_mb"]),
    }


def _above_rest(run: dict, value: Callable[[dict], float]) -> float:
    changes, rest = run["changes"], run["rest"]
    at_rest = value(rest) / rest["seconds"] * changes["seconds"]
    return (value(changes) - at_rest) / changes["n"]


def _rest_bytes(spread: dict[str, Slope]) -> float:
    """Return bytes per second of an idle subscriber, both directions together."""
    return (
        spread["to all subscribers at rest, bytes a second"].per_unit
        + spread["from all subscribers at rest, bytes a second"].per_unit
    )


def entry_lines(local: dict[str, Slope], spread: dict[str, Slope]) -> list[CostLine]:
    """Return the costs of control traffic at an entry instance."""
    change_rate = CHANGES_PER_DAY / DAY_S
    rest_bytes = _rest_bytes(spread)
    rest_cpu = spread["all subscribers at rest, ms of processor a second"].per_unit
    parse_ms = local["parse a text, ms by kB of text"].at(TEXT_KB)
    apply_ms = local["apply edits, ms by kB of text"].at(TEXT_KB)
    delta = spread["to all subscribers, bytes a change"].per_unit
    per_server = local["whole push to an entry instance, bytes by servers"].at(
        N_SERVERS
    ) / (SUBSET_SIZE + 8)
    subset_changes = (
        SERVER_CHANGES_PER_DAY / DAY_S * 2 * (SUBSET_SIZE + N_HOMED_SERVERS) / N_SERVERS
    )
    answers = local["home's answers a second, us by askers"].at(N_ASKERS)
    push_us = local["registry push taken in, us by servers in it"].at(1)
    instances_us = local["change of an instance taken in, us by instances"].at(
        N_INSTANCES
    )
    receipts = local["digests received a second, us by homes"].at(SUBSET_SIZE)
    return [
        CostLine(
            what="lease renewals",
            mechanism="subscription, own data centre first",
            bytes_per_s=rest_bytes,
            cpu_percent=rest_cpu / 10,
        ),
        CostLine(
            what=f"{CHANGES_PER_DAY:,} changes a day of a {TEXT_KB:.0f} kB text",
            mechanism="line edits with checksum",
            bytes_per_s=delta * change_rate,
            cpu_percent=(parse_ms + apply_ms) * change_rate / 10,
        ),
        CostLine(
            what="servers that come, go or load a version",
            mechanism="subset by rendezvous hashing",
            bytes_per_s=per_server * subset_changes,
            cpu_percent=push_us * subset_changes / 1e4,
        ),
        CostLine(
            what="instances that come and go",
            mechanism="directory as changes",
            bytes_per_s=instance_bytes() * INSTANCE_CHANGES_PER_DAY / DAY_S,
            cpu_percent=instances_us * INSTANCE_CHANGES_PER_DAY / DAY_S / 1e4,
        ),
        CostLine(
            what="load reports sent as a home",
            mechanism="asked for by subset, datagrams",
            bytes_per_s=N_ASKERS * N_HOMED_SERVERS * digest_bytes(),
            cpu_percent=answers / 1e4,
        ),
        CostLine(
            what="load reports received, and asking",
            mechanism="asked for by subset, datagrams",
            bytes_per_s=SUBSET_SIZE
            * (digest_bytes() + interest_bytes() / INTEREST_INTERVAL_S),
            cpu_percent=receipts / 1e4,
        ),
    ]


def relay_lines(local: dict[str, Slope], spread: dict[str, Slope]) -> list[CostLine]:
    """Return the costs of subscribers at a relay or follower, without the log."""
    n_subscribers = N_INSTANCES / N_SENDERS
    change_rate = CHANGES_PER_DAY / DAY_S
    rest_cpu = spread[
        "all control instances at rest, ms of processor a second"
    ].per_unit
    rest_bytes = _rest_bytes(spread)
    change_cpu = spread["all control instances, ms of processor a change"].per_unit
    delta = spread["to all subscribers, bytes a change"].per_unit
    restart = local["server restart with 2,600 servers, ms by subscribers"]
    server_rate = SERVER_CHANGES_PER_DAY / DAY_S
    per_server = local["whole push to a relay, kB by servers"].per_unit * 1e3
    return [
        CostLine(
            what=f"renewals of {n_subscribers:.0f} subscribers",
            mechanism="fan-out over 10 senders",
            bytes_per_s=rest_bytes * n_subscribers,
            cpu_percent=rest_cpu * n_subscribers / 10,
        ),
        CostLine(
            what="changes of the text",
            mechanism="edits made once, sent to all",
            bytes_per_s=delta * change_rate * n_subscribers,
            cpu_percent=change_cpu * change_rate * n_subscribers / 10,
        ),
        CostLine(
            what="servers that come, go or load a version",
            mechanism="changes only; subsets chosen at a bounded pace",
            bytes_per_s=per_server * server_rate,
            cpu_percent=restart.at(n_subscribers) * server_rate / 10,
        ),
        CostLine(
            what="confirmations and counts upwards",
            mechanism="sums over subscribers, batched for 10 ms",
            bytes_per_s=rest_bytes + 60 * change_rate * 3,
            cpu_percent=rest_cpu / 10,
        ),
    ]


def leader_lines(local: dict[str, Slope], spread: dict[str, Slope]) -> list[CostLine]:
    """Return the costs at the leader besides its own subscribers and the log."""
    n_below = N_SENDERS - 1
    rest_bytes = _rest_bytes(spread)
    rest_cpu = spread[
        "all control instances at rest, ms of processor a second"
    ].per_unit
    server_rate = SERVER_CHANGES_PER_DAY / DAY_S
    change_rate = CHANGES_PER_DAY / DAY_S
    per_server = local["whole push to a relay, kB by servers"].per_unit * 1e3
    parse_ms = local["parse a text, ms by kB of text"].at(TEXT_KB)
    delta = spread["to all subscribers, bytes a change"].per_unit
    restart_ms = local["server restart with 2,600 servers, ms by subscribers"].per_unit
    evidence_bytes = local["evidence on the wire, bytes by items"].at(REQUESTS_PER_S)
    evidence_ms = local["evidence pooled, ms by items"].at(REQUESTS_PER_S)
    return [
        CostLine(
            what=f"renewals of {n_below} relays",
            mechanism="tree of depth two",
            bytes_per_s=rest_bytes * n_below,
            cpu_percent=rest_cpu * n_below / 10,
        ),
        CostLine(
            what="submitted texts, checked and sent to the relays",
            mechanism="submitted and sent as edits, parsed once",
            bytes_per_s=delta * (N_CONTROL + n_below) * change_rate,
            cpu_percent=parse_ms * change_rate / 10,
        ),
        CostLine(
            what="servers that come, go or load a version, to the relays",
            mechanism="changes only",
            bytes_per_s=per_server * server_rate * n_below,
            cpu_percent=restart_ms * n_below * server_rate / 10,
        ),
        CostLine(
            what=f"evidence by server of {REQUESTS_PER_S:,} answers a second",
            mechanism="summed at the relays, at most an item an answer",
            bytes_per_s=evidence_bytes,
            cpu_percent=evidence_ms / 10,
        ),
    ]
