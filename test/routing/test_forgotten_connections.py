"""No request fails because a server silently closed an idle connection.

Such a connection breaks at the next request, after which a non-idempotent request
cannot be repeated, as it may have run.
"""

import pytest
from gevent import sleep

from test.routing.library import make_route
from test.routing.small_system import small_system
from turmericreel.model.routing import RouteKind

FORGET_AFTER_S = 0.25
SAFE = make_route("/safe/")
ONCE = make_route("/once/", kind=RouteKind.UNSAFE)


@pytest.fixture
def system(tmp_path):
    with small_system(tmp_path) as running:
        running.submit(SAFE, ONCE)
        running.add_server("s1").idle_timeout_s = FORGET_AFTER_S
        yield running


def client_ports(system):
    return [environ["REMOTE_PORT"] for environ in system.servers["s1"].received]


def test_non_idempotent_request_is_not_sent_on_idle_connection(system):
    for _ in range(5):
        assert system.call("/once/1")[0] == 200
        sleep(FORGET_AFTER_S + 0.05)
    assert len(system.servers["s1"].runs) == 5


def test_connections_in_use_are_shared_by_all_requests(system):
    for _ in range(3):
        assert system.call("/once/1")[0] == 200
        assert system.call("/safe/1")[0] == 200
    assert len(set(client_ports(system))) == 1


def test_stale_connection_is_not_counted_as_server_failure(system):
    system.add_server("s2").idle_timeout_s = FORGET_AFTER_S
    loads = system.gateways[0].chooser.loads
    for _ in range(6):
        assert system.call("/safe/1")[0] == 200
        sleep(FORGET_AFTER_S + 0.05)
    assert all(load.n_failures == 0 for load in loads.loads.values())
    assert all(counted.n_failed == 0 for counted in loads.outcomes.values())
