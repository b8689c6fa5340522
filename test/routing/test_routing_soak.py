"""A short, seeded run of the soak test; longer runs are started manually."""

from test_long.routing_soak import Soak


def test_guarantees_hold_while_processes_are_killed_paused_and_stopped(tmp_path):
    findings = Soak(seed=1, folder=tmp_path).run(8.0)
    assert findings.faults == []
    assert findings.acknowledged_version > 0
    assert findings.outcomes["safe 200"] > 20
    assert findings.outcomes["stream 200"] > 20
