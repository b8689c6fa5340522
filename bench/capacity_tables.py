"""Formats computed costs and measurements as Markdown tables."""

import json

from bench.capacity_costs import (
    APPENDS_PER_REQUEST,
    CPU_TARGET_PERCENT,
    N_CONTROL,
    N_HOMED_SERVERS,
    N_INSTANCES,
    N_SENDERS,
    N_SERVERS,
    REQUESTS_PER_S,
    RESULTS,
    TARGET_BYTES_PER_S,
    CostLine,
)
from bench.message_sizes import (
    proposal_bytes,
)
from bench.slopes import Slope


def request_table() -> str:
    """Return the table of billing traffic, which the tables of the roles leave out."""
    n_bytes = proposal_bytes()
    entry = REQUESTS_PER_S / N_INSTANCES
    relay = REQUESTS_PER_S / N_SENDERS
    return "\n".join(
        [
            "| bills of requests | requests/s | bytes/s |",
            "| --- | ---: | ---: |",
            f"| entry instance | {entry:.1f} | {entry * n_bytes:,.0f} |",
            f"| relay, in and out | {relay:.0f} | {2 * relay * n_bytes:,.0f} |",
            f"| leader | {REQUESTS_PER_S:,} | {REQUESTS_PER_S * n_bytes:,.0f} |",
            f"\n{n_bytes} bytes a request: a session and an intent together, then "
            "the settled bill, with their answers.",
        ]
    )


def role_table(lines: list[CostLine]) -> str:
    """Return the table of costs of a role, with their sum and the margins."""
    rows = [
        "| what | mechanism | bytes/s | % of a core |",
        "| --- | --- | ---: | ---: |",
    ]
    rows += [
        f"| {line.what} | {line.mechanism} | {line.bytes_per_s:,.0f} "
        f"| {line.cpu_percent:.3f} |"
        for line in lines
    ]
    n_bytes = sum(line.bytes_per_s for line in lines)
    cpu = sum(line.cpu_percent for line in lines)
    rows.append(f"| **sum** | | **{n_bytes:,.0f}** | **{cpu:.2f}** |")
    rows.append(
        f"| target, and what is left of it | | {TARGET_BYTES_PER_S:,}, "
        f"{_format_margin(n_bytes, TARGET_BYTES_PER_S)} | {CPU_TARGET_PERCENT}, "
        f"{_format_margin(cpu, CPU_TARGET_PERCENT)} |"
    )
    return "\n".join(rows)


def _format_margin(used: float, target: float) -> str:
    if used > target:
        return f"**over by {used / target - 1:.0%}**"
    return f"{1 - used / target:.0%} left"


def slope_table(slopes: dict[str, Slope], command: str) -> str:
    """Return the table of fitted lines with the sizes that were measured."""
    rows = [
        "| measured | at zero | each | points | residual |",
        "| --- | ---: | ---: | --- | ---: |",
    ]
    for name, slope in slopes.items():
        points = ", ".join(f"{size:g}" for size in slope.sizes)
        rows.append(
            f"| {name} | {slope.at_zero:.3g} | {slope.per_unit:.3g} | {points} "
            f"| {slope.residual:.0%} |"
        )
    rows.append(f"\nCommand: `{command}`.")
    return "\n".join(rows)


def spread_table(runs: list[dict]) -> str:
    """Return the table of times from submission to commit and to in force."""
    rows = [
        "| subscribers | durable p50 / p99 ms | in force everywhere p50 / p99 ms "
        "| in force, leader killed meanwhile, p50 / max ms |",
        "| ---: | ---: | ---: | ---: |",
    ]
    for run in runs:
        killed = run.get("leader_killed_in_force_ms")
        over = f"{killed['p50']} / {killed['max']}" if killed else "not measured"
        rows.append(
            f"| {run['subscribers']} | {run['durable_ms']['p50']} / "
            f"{run['durable_ms']['p99']} | {run['in_force_ms']['p50']} / "
            f"{run['in_force_ms']['p99']} | {over} |"
        )
    return "\n".join(rows)


def storm_table(local: dict[str, Slope]) -> str:
    """Return the table of load peaks, such as mass restarts, and their limits."""
    per_sender = N_INSTANCES / N_SENDERS
    whole_ms = local["whole push to an entry instance, ms by servers"].at(N_SERVERS)
    whole_bytes = local["whole push to an entry instance, bytes by servers"].at(
        N_SERVERS
    )
    relay_kb = local["whole push to a relay, kB by servers"].at(N_SERVERS)
    join_s = per_sender * whole_ms / 1e3
    join_kb = per_sender * whole_bytes / 1e3
    lost_relay = N_INSTANCES / (N_SENDERS - 3)
    rows = [
        "| storm | worked out | limit in the code |",
        "| --- | --- | --- |",
        f"| all instances restart within a minute | {per_sender:.0f} whole subsets a "
        f"sender: {join_s:.2f} s of processor and {join_kb:,.0f} "
        f"kB over the minute ({join_s / 60:.1%} of a core) | `fan_out`; jittered "
        "pauses of `AddressOrder` from 0.1 s to 3 s |",
        f"| a data centre lost, 92 instances and 650 servers | instances off the list "
        "after 1.6 s; servers whose home is left are expired there after 3.25 s; those "
        f"of lost homes after 15 s, {650 / 50:.0f} s at 50 a sweep; "
        f"{lost_relay:.0f} subscribers a sender if 3 senders are lost with it "
        "| `MAX_EXPIRED_PER_SWEEP`, `REHOME_GRACE_S`, `fan_out` 64 |",
        "| regions apart for five minutes and rejoining | leases beyond the cut end "
        "after 1.62 s; a relay that rejoins takes one whole registry of "
        f"{relay_kb:.0f} kB and one text; its subscribers take edits if no more than "
        "16 texts passed by, else one whole text each "
        "| whole text and whole registry once a stream |",
        "| a change while the leader dies, 370 subscribers | see the table of times; "
        "the new leader waits out one lease of 1.62 s | lease length |",
        f"| 2,600 servers announce at once | {N_HOMED_SERVERS:.0f} a home; "
        f"subsets are chosen anew at most every {N_SERVERS * 0.0008:.1f} s, "
        f"{join_s:.2f} s of processor a round and sender "
        f"({join_s / (N_SERVERS * 0.0008):.0%} of a core while it lasts); "
        "the log's share by its appends a second | `MAX_REGISTRATIONS` 64 a "
        "home with a time to come back, `MAX_CALLS` 1,024 a stream, "
        "`CHOICE_PAUSE_PER_SERVER_S` |",
    ]
    return "\n".join(rows)


def evenness_table() -> str:
    """Return the table of how evenly servers are distributed over subsets."""
    rows = [
        "| servers a subset | instances that know a server: min / p1 / median / max "
        "| servers known to their home only |",
        "| ---: | ---: | ---: |",
    ]
    for run in json.loads((RESULTS / "evenness.json").read_text()):
        rows.append(
            f"| {run['subset']} | {run['min']} / {run['p1']:.0f} / "
            f"{run['median']:.0f} / {run['max']} | {run['home_only']:.1%} |"
        )
    return "\n".join(rows)


def log_table() -> str:
    """Return the table of log appends and their cost at `REQUESTS_PER_S`."""
    path = RESULTS / "raft_appends.json"
    if not path.exists():
        return "The log has not been measured."
    rows = [
        "| five instances, proposers at once | appends/s | p50 / p99 ms "
        "| leader, us an append | follower, us an append |",
        "| ---: | ---: | ---: | ---: | ---: |",
    ]
    measured = [
        row
        for row in json.loads(path.read_text())["rows"]
        if row["instances"] == N_CONTROL
    ]
    for row in measured:
        rows.append(
            f"| {row['clients']} | {row['appends_per_s']:,} | {row['p50_ms']} / "
            f"{row['p99_ms']} | {row['leader_cpu_us_per_append']} "
            f"| {row['follower_cpu_us_per_append']} |"
        )
    best = max(measured, key=lambda row: row["appends_per_s"])
    wanted = REQUESTS_PER_S * APPENDS_PER_REQUEST
    leader = wanted * best["leader_cpu_us_per_append"] / 1e4
    follower = wanted * best["follower_cpu_us_per_append"] / 1e4
    rows.append(
        f"\n{REQUESTS_PER_S:,} requests/s are {wanted:,} appends/s: {leader:.0f}% of a "
        f"core at the leader and {follower:.0f}% at a follower, at the cost of "
        f"{best['clients']} proposers at once; {wanted / best['appends_per_s']:.0%} of "
        "the appends measured."
    )
    return "\n".join(rows)
