"""Histories of concurrent clients of a group with faults are linearizable."""

import pytest

from test.history import is_linearizable
from test.raft.concurrent_clients import (
    Clients,
    ConfigurationModel,
    inject_random_fault,
)
from test.raft.small_group import SmallGroup


@pytest.mark.parametrize("seed", range(25))
def test_history_with_faults_is_linearizable(seed):
    names = ("a", "b", "c", "d", "e")[: 3 + 2 * (seed % 2)]
    group = SmallGroup(
        names=names, seed=seed, snapshot_after_bytes=700, n_kept_entries=3
    )
    group.wait_for_leader()
    clients = Clients(group=group, n_clients=4, seed=seed)
    clients.run(250, inject_random_fault)
    assert len(clients.history) > 20
    assert is_linearizable(clients.history, ConfigurationModel(clients.history))
