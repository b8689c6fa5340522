"""Routes are matched by host and longest prefix; access depends on the key."""

import pytest

from test.routing.library import BOOKINGS, make_configuration, make_route
from turmericreel.decisions.route_table import RouteTable
from turmericreel.model.check_routing import check_routing
from turmericreel.model.failures import FailureError
from turmericreel.model.routing import TrafficShare


def make_table(*routes, **options):
    return RouteTable(configuration=make_configuration(*routes, **options))


@pytest.mark.parametrize(
    ("host", "path", "prefix"),
    [
        ("example", "/chat/1", "/chat/"),
        ("example", "/chat/", "/chat/"),
        ("EXAMPLE:80", "/chat/1", "/chat/"),
        ("example", "/chat/long/1", "/chat/long/"),
        ("example", "/chat/longer/1", "/chat/"),
        ("example", "/chat", None),
        ("example", "/other/1", None),
        ("elsewhere", "/chat/1", None),
        ("example", "", None),
    ],
)
def test_longest_prefix_of_the_host_is_matched(host, path, prefix):
    table = make_table(make_route("/chat/"), make_route("/chat/long/"))
    found = table.find(host, path)
    assert (found.path_prefix if found else None) == prefix


def test_root_route_matches_paths_without_a_longer_prefix():
    table = make_table(make_route("/"), make_route("/chat/"))
    assert table.find("example", "/x/y").path_prefix == "/"


def test_routes_that_are_not_public_need_a_known_key():
    restricted, public = make_route("/a/"), make_route("/b/", public=True)
    table = make_table(restricted, public, accounts={"north": "key"})
    known = table.account_of("key")
    assert known.account == "north"
    assert table.account_of("other") is None
    assert table.account_of("") is None
    assert table.allows(restricted, known)
    assert not table.allows(restricted, None)
    assert table.allows(public, None)


def test_without_accounts_no_key_is_needed():
    route = make_route()
    assert make_table(route).allows(route, None)


def configuration_faults(*routes, accounts=None):
    with pytest.raises(FailureError) as raised:
        check_routing(make_configuration(*routes, accounts=accounts))
    return raised.value.failure.faults


def test_every_configuration_fault_is_reported():
    unknown = make_route("/a/", service="nobody")
    assert "unknown service" in configuration_faults(unknown)[0]
    assert "share host" in configuration_faults(make_route("/a/"), make_route("/a/"))[0]
    no_time = make_route("/a/", timeout_ms=0)
    assert "time-out" in configuration_faults(no_time)[0]
    assert "slash" in configuration_faults(make_route("/a"))[0]
    assert len(configuration_faults(unknown, no_time, make_route("/a/"))) == 3


def test_weights_must_have_a_positive_sum():
    shares = (TrafficShare(service=BOOKINGS, weight=0),)
    route = make_route()
    weightless = type(route)(
        **{f: getattr(route, f) for f in route.__struct_fields__ if f != "shares"},
        shares=shares,
    )
    assert "add up to 0" in configuration_faults(weightless)[0]


def test_accounts_must_not_share_a_key():
    faults = configuration_faults(
        make_route(), accounts={"north": "key", "south": "key"}
    )
    assert "share a key" in faults[0]


def test_valid_configuration_has_no_faults():
    check_routing(make_configuration(make_route(), accounts={"north": "key"}))
