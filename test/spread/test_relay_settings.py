"""Validation of relay settings, and the choice of control addresses."""

import pytest

from turmericreel.daemon.control_role import preferred_addresses, subscription_addresses
from turmericreel.model.check_settings import parse_settings
from turmericreel.model.failures import FailureError

SETTINGS = """\
[instance]
id = "{name}"
data_centre = "north-mid-a"
roles = [{roles}]

[listen]
load = "{load}"

[control.peers]
a = "127.0.0.1:7001"
b = "127.0.0.1:7002"

[control.relays]
r = "{relay}"

[control.data_centres]
b = "north-mid-a"

[control.raft_peers]
a = "127.0.0.1:7011"
b = "127.0.0.1:7012"
"""


def settings(*, name="r", roles='"relay"', load="", relay="127.0.0.1:7003"):
    return parse_settings(
        SETTINGS.format(name=name, roles=roles, load=load, relay=relay)
    )


@pytest.mark.parametrize(
    ("changes", "line", "key"),
    [
        ({"name": "a", "roles": '"relay", "control"'}, 4, "instance.roles"),
        ({"relay": "somewhere:7003"}, 14, "control.relays.r"),
        ({"load": "127.0.0.1"}, 7, "listen.load"),
    ],
)
def test_setting_faults_give_line_and_key(changes, line, key):
    with pytest.raises(FailureError) as caught:
        settings(**changes)
    (fault,) = caught.value.failure.faults
    assert (fault.line, fault.key) == (line, key)


def test_control_address_in_own_data_centre_is_preferred():
    entry = settings(name="e", roles='"entry"')
    assert len(subscription_addresses(entry)) == 3
    assert preferred_addresses(entry) == ["127.0.0.1:7002"]
    control = settings(name="a", roles='"entry", "control"')
    assert preferred_addresses(control) == ["127.0.0.1:7001"]
