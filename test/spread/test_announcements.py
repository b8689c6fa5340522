"""A home instance tracks its servers: renewals, expiry, moves, restarts, leaving."""

import pytest

from test.spread.library import announce, server
from test.spread.tree import Tree
from turmericreel.entry.announcements import (
    ADOPTED_EXPIRY_MS,
    EXPIRY_MS,
    MAX_REGISTRATIONS,
    SWEEP_INTERVAL_S,
    Announcements,
)
from turmericreel.model.failures import FailureError, NotRunReason
from turmericreel.model.ids import BackendServerId, Incarnation


class HomeInstance:
    """Entry instance `e1`, whose proposals are committed immediately."""

    def __init__(self):
        self.tree = Tree(controls=["c1"], relays=[], entries=["e1", "e2"])
        self.tree.set_leader("c1")
        self.tree.connect_all()
        self.tree.renew_all()
        self.n_proposed = 0
        self.client = self.tree.nodes["e1"].client
        self.client.propose = self._propose
        self.announcements = self.start()

    def start(self) -> Announcements:
        """Return the announcements of a new run of the instance."""
        return Announcements(control=self.client, clock=self.tree.clock)

    def _propose(self, command, *, timeout):
        self.n_proposed += 1
        result = self.tree.commit(command)
        self.tree.settle()
        return result

    def present(self) -> set[str]:
        """Return the servers present in the registry."""
        servers = self.tree.shared.machine.servers.servers
        return {name for name, known in servers.items() if known.present}

    def advance_time(self, seconds: float) -> None:
        """Advance the clock and run the expiry sweeps."""
        for _ in range(round(seconds / SWEEP_INTERVAL_S)):
            self.tree.clock.advance(SWEEP_INTERVAL_S)
            self.announcements.expire()


@pytest.fixture
def home() -> HomeInstance:
    return HomeInstance()


def test_renewals_propose_nothing(home):
    home.announcements.announce(server("a"))
    for _ in range(10):
        home.advance_time(1)
        home.announcements.announce(server("a"))
    assert home.n_proposed == 1
    assert home.present() == {"a"}


def test_silent_server_expires_within_bound_and_may_return(home):
    home.announcements.announce(server("a"))
    home.advance_time(EXPIRY_MS / 1_000 - SWEEP_INTERVAL_S)
    assert home.present() == {"a"}
    home.advance_time(2 * SWEEP_INTERVAL_S)
    assert home.present() == set()
    assert home.announcements.announce(server("a")) is None
    assert home.present() == {"a"}


def test_server_that_left_gets_stale_answer(home):
    home.announcements.announce(server("a"))
    home.announcements.deregister(BackendServerId("a"), Incarnation(1))
    stale = home.announcements.announce(server("a"))
    assert stale.left
    assert "a" not in home.announcements.homed
    assert home.announcements.announce(server("a", incarnation=2)) is None
    older = home.announcements.announce(server("a", incarnation=1))
    assert older.incarnation == 2
    assert home.present() == {"a"}


def test_move_to_another_home_and_back_is_registered(home):
    home.announcements.announce(server("a"))
    home.tree.commit(announce("a", home="e2"))
    home.tree.settle()
    home.advance_time(EXPIRY_MS / 1_000 + 1)
    assert home.present() == {"a"}
    home.announcements.announce(server("a"))
    assert home.tree.shared.machine.servers.servers["a"].home == "e1"


def test_restarted_home_expires_servers_that_do_not_come_back(home):
    home.announcements.announce(server("a"))
    home.announcements.announce(server("b"))
    home.announcements = home.start()
    home.advance_time(1)
    home.announcements.announce(server("a"))
    for _ in range(ADOPTED_EXPIRY_MS // 1_000 - 2):
        home.advance_time(1)
        home.announcements.announce(server("a"))
    assert home.present() == {"a", "b"}
    for _ in range(2):
        home.advance_time(1)
        home.announcements.announce(server("a"))
    assert home.present() == {"a"}


def test_leaving_home_redirects_servers_only_if_others_exist(home):
    home.client.leaving = True
    with pytest.raises(FailureError) as refused:
        home.announcements.announce(server("a"))
    assert refused.value.failure.reason is NotRunReason.STOPPING
    assert refused.value.failure.addresses == ("e2:80",)
    home.client.view.instances = ()
    assert home.announcements.announce(server("a")) is None


def test_registrations_are_bounded_with_retry_time(home):
    home.announcements.n_registering = MAX_REGISTRATIONS
    with pytest.raises(FailureError) as refused:
        home.announcements.announce(server("a"))
    assert refused.value.failure.reason is NotRunReason.OVERLOADED
    assert refused.value.failure.retry_after_ms > 0
    assert home.n_proposed == 0
