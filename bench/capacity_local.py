"""Measures single operations of the control plane in this process.

Each operation runs at four sizes or more, and a line is fitted through the times.

    python -m bench.capacity_local

Writes bench/results/local.json.
"""

import turmericreel.util.event_loop  # noqa: F401, I001

import json
import tracemalloc
from dataclasses import asdict
from pathlib import Path
from random import Random
from time import process_time

import msgspec

from bench.capacity_loads import evidence_slopes, load_slopes
from bench.slopes import Slope, fit, cpu_seconds_per_call
from bench.stand_ins import backend_server, instance_info, operators_text
from turmericreel.control.lease_book import HolderKey, LeaseBook
from turmericreel.control.registry_pushes import RegistryPushes
from turmericreel.coordination.control_view import ControlView
from turmericreel.decisions.subset import SubsetSizes
from turmericreel.model.check_text import parse_text
from turmericreel.model.ids import (
    DataCentreId,
    FencingToken,
    Incarnation,
    InstanceId,
    Revision,
)
from turmericreel.protocols.control_messages import (
    ConfigurationDelta,
    Hello,
    InstancesPush,
    RevisionCount,
    ServerPresent,
    ServersPush,
    SubscriberRole,
)
from turmericreel.util.text_edits import make_edits, text_checksum
from turmericreel.state.commands.servers import AnnounceServer
from turmericreel.state.commands.union import LogRecord
from turmericreel.state.tables.servers import ServerTable
from turmericreel.util.clock import ManualClock, SystemClock

RESULTS = Path(__file__).parent / "results" / "local.json"
N_INSTANCES = 370
ACCOUNT_COUNTS = (50, 200, 800, 2_000)
SERVER_COUNTS = (325, 650, 1_300, 2_600)
SUBSCRIBER_COUNTS = (8, 16, 32, 64)
PUSHED_SERVER_COUNTS = (1, 4, 16, 64)
INSTANCE_COUNTS = (50, 100, 200, 370)


def text_slopes() -> dict[str, Slope]:
    """Measure parsing and editing a text against its size in kilobytes."""
    sizes, edits, parse, apply, wire = [], [], [], [], []
    for n_accounts in ACCOUNT_COUNTS:
        old = operators_text(n_accounts, 1)
        new = operators_text(n_accounts, 2)
        sizes.append(len(new) / 1_000)
        edits.append(cpu_seconds_per_call(lambda o=old, n=new: make_edits(o, n)) * 1e3)
        parse.append(cpu_seconds_per_call(lambda n=new: parse_text(n)) * 1e3)
        delta = ConfigurationDelta(
            revision=Revision(2),
            base_revision=Revision(1),
            edits=make_edits(old, new),
            checksum=text_checksum(new),
            fencing_token=FencingToken(1),
        )
        apply.append(cpu_seconds_per_call(lambda o=old, d=delta: _apply(o, d)) * 1e3)
        wire.append(len(msgspec.msgpack.encode(delta)))
    return {
        "make edits, ms by kB of text": fit(sizes, edits),
        "parse a text, ms by kB of text": fit(sizes, parse),
        "apply edits, ms by kB of text": fit(sizes, apply),
        "delta on the wire, bytes by kB of text": fit(sizes, wire),
    }


def _apply(old: str, delta: ConfigurationDelta) -> None:
    view = ControlView(parses_texts=False, revision=Revision(1))
    view.source_texts[Revision(1)] = old
    view.apply_delta(delta)


def make_server_table(n_servers: int) -> ServerTable:
    """Return a registry whose servers have homes spread over all instances."""
    table = ServerTable()
    for n in range(n_servers):
        announce(table, n, index=n + 1)
    return table


def announce(table: ServerTable, n: int, *, index: int, incarnation: int = 1) -> None:
    """Register a server, as an announcement in the log does."""
    command = AnnounceServer(
        server=backend_server(n, incarnation=incarnation),
        home=InstanceId(f"entry-{n % N_INSTANCES:03}"),
    )
    table.apply(command, LogRecord(index=index, term=1, time_ms=0, command=command))


def make_registry_pushes(
    n: int, *, role: SubscriberRole = SubscriberRole.ENTRY
) -> RegistryPushes:
    """Return the state of registry pushes to subscriber number `n`."""
    hello = Hello(
        instance=InstanceId(f"entry-{n:03}"),
        incarnation=Incarnation(1),
        data_centre=DataCentreId(f"centre-{n % 4}"),
        http_address="",
        role=role,
    )
    return RegistryPushes(hello=hello, sizes=SubsetSizes(), clock=SystemClock())


def registry_slopes() -> dict[str, Slope]:
    """Measure registry pushes against the numbers of servers and of subscribers."""
    whole, whole_bytes, relay_bytes, change, state = [], [], [], [], []
    for n_servers in SERVER_COUNTS:
        table = make_server_table(n_servers)
        whole.append(
            cpu_seconds_per_call(
                lambda t=table: make_registry_pushes(3).next_push(t.feed)
            )
            * 1e3
        )
        push = make_registry_pushes(3).next_push(table.feed)
        whole_bytes.append(len(msgspec.msgpack.encode(push)))
        everything = make_registry_pushes(3, role=SubscriberRole.RELAY).next_push(
            table.feed
        )
        relay_bytes.append(len(msgspec.msgpack.encode(everything)) / 1e3)
        change.append(_server_restart_ms(table, n_servers, 64))
        state.append(_table_mb(n_servers))
    by_subscribers = [
        _server_restart_ms(make_server_table(2_600), 2_600, n)
        for n in SUBSCRIBER_COUNTS
    ]
    servers = list(SERVER_COUNTS)
    return {
        "whole push to an entry instance, ms by servers": fit(servers, whole),
        "whole push to an entry instance, bytes by servers": fit(servers, whole_bytes),
        "whole push to a relay, kB by servers": fit(servers, relay_bytes),
        "server restart for 64 subscribers, ms by servers": fit(servers, change),
        "server restart with 2,600 servers, ms by subscribers": fit(
            list(SUBSCRIBER_COUNTS), by_subscribers
        ),
        "registry in memory, MB by servers": fit(servers, state),
    }


def _server_restart_ms(table: ServerTable, n_servers: int, n_subscribers: int) -> float:
    subscribers = [make_registry_pushes(n) for n in range(n_subscribers)]
    for pushes in subscribers:
        pushes.next_push(table.feed)
    rng = Random(1)
    index = table.feed.index
    incarnation = 1
    n_changes = 40
    began = process_time()
    for _ in range(n_changes):
        index += 1
        incarnation += 1
        announce(table, rng.randrange(n_servers), index=index, incarnation=incarnation)
        for pushes in subscribers:
            pushes.next_push(table.feed)
    return (process_time() - began) / n_changes * 1e3


def _table_mb(n_servers: int) -> float:
    tracemalloc.start()
    table = make_server_table(n_servers)
    used, _ = tracemalloc.get_traced_memory()
    tracemalloc.stop()
    assert len(table.servers) == n_servers
    return used / 1e6


def view_slopes() -> dict[str, Slope]:
    """Measure applying pushes at an entry instance.

    Registry pushes are measured against their number of servers, a directory change
    against the number of instances.
    """
    pushes, changes = [], []
    for n_servers in PUSHED_SERVER_COUNTS:
        message = ServersPush(
            since=0,
            index=0,
            present=tuple(
                ServerPresent(server=backend_server(k), home=InstanceId("entry-000"))
                for k in range(n_servers)
            ),
        )
        view = ControlView()
        pushes.append(
            cpu_seconds_per_call(lambda v=view, m=message: v.apply_servers(m)) * 1e6
        )
    for n_instances in INSTANCE_COUNTS:
        infos = tuple(instance_info(k) for k in range(n_instances))
        view = ControlView()
        view.apply_instances(InstancesPush(instances=infos, whole=True))
        one = InstancesPush(instances=infos[:1])
        changes.append(
            cpu_seconds_per_call(lambda v=view, m=one: v.apply_instances(m)) * 1e6
        )
    return {
        "registry push taken in, us by servers in it": fit(
            list(PUSHED_SERVER_COUNTS), pushes
        ),
        "change of an instance taken in, us by instances": fit(
            list(INSTANCE_COUNTS), changes
        ),
    }


def lease_slopes() -> dict[str, Slope]:
    """Measure the lease book against the number of holders."""
    renew, ask = [], []
    for n_holders in SUBSCRIBER_COUNTS:
        clock = ManualClock(now=100.0)
        book = LeaseBook(clock=clock, lease_ms=2_000, clock_drift=0.01)
        keys = [
            HolderKey(InstanceId(f"e{n}"), Incarnation(1)) for n in range(n_holders)
        ]
        renew.append(
            cpu_seconds_per_call(lambda b=book, k=keys: _renew_all(b, k)) * 1e6
        )
        ask.append(cpu_seconds_per_call(lambda b=book: b.in_force(Revision(1))) * 1e6)
    return {
        "renewals in the book, us by holders": fit(list(SUBSCRIBER_COUNTS), renew),
        "in force asked, us by holders": fit(list(SUBSCRIBER_COUNTS), ask),
    }


def _renew_all(book: LeaseBook, keys: list[HolderKey]) -> None:
    downstream = (RevisionCount(Revision(1), 1),)
    for key in keys:
        book.confirm(
            key, role=SubscriberRole.RELAY, revision=Revision(1), downstream=downstream
        )
        book.extend(key, lease_ms=2_000)


def main() -> None:
    """Run all measurements and write the fitted lines to `RESULTS`."""
    slopes = {
        **text_slopes(),
        **registry_slopes(),
        **view_slopes(),
        **lease_slopes(),
        **load_slopes(),
        **evidence_slopes(),
    }
    for name, slope in slopes.items():
        line = f"{slope.at_zero:.4g} + {slope.per_unit:.4g} n"
        print(f"{name}: {line}, residual {slope.residual:.1%}")
    RESULTS.parent.mkdir(exist_ok=True)
    written = {name: asdict(slope) for name, slope in slopes.items()}
    RESULTS.write_text(json.dumps(written, indent=1) + "\n")


if __name__ == "__main__":
    main()
