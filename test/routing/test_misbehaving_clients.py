"""Clients that misbehave end no process, and ordinary clients are still served.

The processes are real ones on loopback addresses.  The limits are those of a small
machine.
"""

import pytest
from gevent import joinall, sleep

from test.crowds import (
    CROWDS,
    MAX_BODY_BYTES,
    N_RESERVED_DESCRIPTORS,
    SmallFleet,
    Watch,
    crowd,
    send_half_a_head,
    wait_until,
)

MEMORY_MB = 128
MAX_FDS = 1_638
MB = 2**20
# Time that a crowd has for what it does; it then stays open.
CROWD_S = 4.0
# Connections at each door, more than the descriptors together allow.
N_CONNECTIONS = 700


@pytest.fixture
def fleet(tmp_path):
    """Yield a running gateway and coordinator."""
    running = SmallFleet(folder=tmp_path, memory_mb=MEMORY_MB, max_fds=MAX_FDS)
    try:
        running.start()
        yield running
    finally:
        running.stop()


def check(fleet, watch) -> None:
    """Assert that the gateway lives within its limits."""
    print(f"peak {watch.max_bytes / MB:.1f} MB, {watch.max_descriptors} descriptors")
    assert fleet.gateway.is_running
    assert watch.max_bytes <= MEMORY_MB * MB
    assert watch.max_descriptors <= MAX_FDS - N_RESERVED_DESCRIPTORS


DOORS = {
    "route": ("Frontend", "/plain/2"),
    "no_route": ("Frontend", "/none/2"),
    "readiness": ("Readiness", "/-/readiness"),
    "resolution": ("Directory", "/-/resolution"),
}


@pytest.mark.parametrize("door", DOORS)
@pytest.mark.parametrize("kind", CROWDS)
def test_crowd_is_borne_at_the_gateway(fleet, kind, door):
    send, n_clients = CROWDS[kind]
    listener, path = DOORS[door]
    watch = Watch(pid=fleet.gateway.process.pid, host=fleet.host)
    with crowd(fleet.listen[listener], path, send, n_clients) as tasks:
        joinall(tasks, timeout=CROWD_S)
        wait_until(fleet.serves, "an ordinary request")
        wait_until(fleet.is_ready, "readiness")
        wait_until(fleet.lists_gateway, "an address look-up")
        check(fleet, watch)


@pytest.mark.parametrize("kind", ["one_piece", "tiny_chunks", "half_a_head"])
def test_crowd_is_borne_at_the_coordinator(fleet, kind):
    send, n_clients = CROWDS[kind]
    process = fleet.coordinator
    watch = Watch(pid=process.process.pid, host=fleet.control_host)
    with crowd(fleet.control, "/-/configuration", send, n_clients) as tasks:
        joinall(tasks, timeout=CROWD_S)
        wait_until(fleet.serves, "an ordinary request")
        print(f"peak {watch.max_bytes / MB:.1f} MB")
        assert process.is_running
        assert watch.max_bytes <= MEMORY_MB * MB


def test_connections_at_all_doors_leave_descriptors(fleet):
    watch = Watch(pid=fleet.gateway.process.pid, host=fleet.host)
    addresses = [fleet.listen[n] for n in ("Frontend", "Readiness", "Directory")]
    open_crowds = [
        crowd(address, "/plain/2", send_half_a_head, N_CONNECTIONS)
        for address in addresses
    ]
    with open_crowds[0], open_crowds[1], open_crowds[2]:
        sleep(CROWD_S)
        wait_until(fleet.serves, "an ordinary request")
        wait_until(fleet.is_ready, "readiness")
        check(fleet, watch)


def test_largest_request_is_served_in_calm(fleet):
    watch = Watch(pid=fleet.gateway.process.pid, host=fleet.host)
    for _ in range(3):
        assert fleet.serves(b"p" * MAX_BODY_BYTES)
    check(fleet, watch)
