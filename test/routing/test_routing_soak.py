"""Short, seeded runs of the soak test; longer runs are started manually."""

import pytest

from test_long.routing_soak import Soak


# The servers that are brittle have eight places.
@pytest.mark.parametrize(("seed", "n_gateways"), [(1, 4), (2, 4), (3, 4), (4, 12)])
def test_guarantees_hold_while_processes_are_killed_paused_and_stopped(
    tmp_path, seed, n_gateways
):
    soak = Soak(seed=seed, folder=tmp_path, n_gateways=n_gateways)
    findings = soak.run(15.0)
    assert findings.faults == []
    assert findings.acknowledged_version > 0
    assert findings.outcomes["safe 200"] > 20
    assert findings.outcomes["stream 200"] > 20
    assert findings.outcomes["poison 503"] > 0
