"""Fixture: a tree of control, relay and entry instances with leases and a text."""

import pytest

from test.spread.library import small_text
from test.spread.tree import LEASE_BOUND_S, Tree


@pytest.fixture
def tree() -> Tree:
    tree = Tree(
        controls=["c1", "c2", "c3"], relays=["r1"], entries=["e1", "e2", "e3", "e4"]
    )
    tree.set_leader("c1")
    tree.connect_all()
    tree.clock.advance(LEASE_BOUND_S + 0.01)
    tree.connect_all()
    tree.submit(small_text(1))
    tree.settle()
    tree.renew_all()
    return tree
