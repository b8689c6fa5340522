"""Short, seeded runs of the soak test; longer runs are started manually."""

import pytest

from test_long.routing_soak import Soak


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_guarantees_hold_while_processes_are_killed_paused_and_stopped(tmp_path, seed):
    findings = Soak(seed=seed, folder=tmp_path).run(15.0)
    assert findings.faults == []
    assert findings.acknowledged_version > 0
    assert findings.outcomes["safe 200"] > 20
    assert findings.outcomes["stream 200"] > 20
    assert findings.outcomes["poison 503"] > 0
