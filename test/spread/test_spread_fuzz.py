"""Stateful fuzzing of configuration and membership distribution against an oracle.

Messages are delayed arbitrarily, links are cut, processes restart, leaders change, and
clocks run at different rates within the drift bound.
"""

from dataclasses import dataclass

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    invariant,
    precondition,
    rule,
)

from test.spread.library import announce, expire, left, small_text
from test.spread.tree import CLOCK_DRIFT, LEASE_BOUND_S, Tree

CONTROLS = ["c1", "c2"]
RELAYS = ["r1"]
ENTRIES = ["e1", "e2", "e3"]
SERVERS = ["s1", "s2", "s3"]
SENDERS = CONTROLS + RELAYS
ALL_NODES = SENDERS + ENTRIES
RATES = {
    "c1": 1 - CLOCK_DRIFT / 2,
    "e1": 1 + CLOCK_DRIFT / 2,
    "e2": 1 - CLOCK_DRIFT / 2,
    "r1": 1 + CLOCK_DRIFT / 2,
}


@dataclass(kw_only=True)
class ExpectedServer:
    """Expected registration of one server."""

    incarnation: int
    home: str
    present: bool = True
    left: bool = False


class MembershipOracle:
    """Minimal model of the membership rules, used as the oracle."""

    def __init__(self):
        self.servers: dict[str, ExpectedServer] = {}
        self.left_at: dict[tuple[str, int], float] = {}

    def newest_incarnation(self, name: str) -> int:
        """Return the newest incarnation of a server; 0 if none."""
        return self.servers[name].incarnation if name in self.servers else 0

    def announce(self, name: str, incarnation: int, home: str) -> None:
        """Record an announcement."""
        known = self.servers.get(name)
        if known is None or incarnation > known.incarnation:
            self.servers[name] = ExpectedServer(incarnation=incarnation, home=home)
        elif incarnation == known.incarnation and not known.left:
            known.home, known.present = home, True

    def leave(self, name: str, incarnation: int, now: float) -> None:
        """Record a departure and its time in seconds."""
        known = self.servers[name]
        if incarnation >= known.incarnation and not known.left:
            known.present, known.left = False, True
            self.left_at[name, known.incarnation] = now

    def expire(self, name: str, incarnation: int, home: str) -> None:
        """Record the expiry of a server at a home."""
        known = self.servers[name]
        if known.present and (known.incarnation, known.home) == (incarnation, home):
            known.present = False


class SpreadMachine(RuleBasedStateMachine):
    """Applies random steps to a tree and checks its invariants."""

    def __init__(self):
        super().__init__()
        self.tree = Tree(controls=CONTROLS, relays=RELAYS, entries=ENTRIES, rates=RATES)
        self.texts: dict[int, str] = {0: ""}
        self.in_force = 0
        self.oracle = MembershipOracle()
        self.highest: dict[str, tuple[int, int, int]] = {}
        self.tree.set_leader("c1")
        self.tree.connect_all()

    @rule()
    def submit(self):
        revision = self.tree.submit(small_text(len(self.texts)))
        self.texts[revision] = small_text(len(self.texts))

    @rule(name=st.sampled_from(SERVERS), home=st.sampled_from(ENTRIES))
    def server_starts(self, name, home):
        incarnation = self.oracle.newest_incarnation(name) + 1
        self.tree.commit(announce(name, home=home, incarnation=incarnation))
        self.oracle.announce(name, incarnation, home)

    @rule(
        name=st.sampled_from(SERVERS),
        age=st.integers(0, 2),
        home=st.sampled_from(ENTRIES),
    )
    def server_announces_again_or_late(self, name, age, home):
        incarnation = self.oracle.newest_incarnation(name) - age
        if incarnation > 0:
            self.tree.commit(announce(name, home=home, incarnation=incarnation))
            self.oracle.announce(name, incarnation, home)

    @rule(name=st.sampled_from(SERVERS), age=st.integers(0, 1))
    def server_leaves(self, name, age):
        incarnation = self.oracle.newest_incarnation(name) - age
        if incarnation > 0:
            self.tree.commit(left(name, incarnation=incarnation))
            self.oracle.leave(name, incarnation, self.tree.clock.now)

    @rule(
        name=st.sampled_from(SERVERS),
        age=st.integers(0, 1),
        home=st.sampled_from(ENTRIES),
    )
    def server_expires(self, name, age, home):
        incarnation = self.oracle.newest_incarnation(name) - age
        if incarnation > 0:
            self.tree.commit(expire(name, home=home, incarnation=incarnation))
            self.oracle.expire(name, incarnation, home)

    @rule(seconds=st.sampled_from([0.05, 0.3, 0.7, 1.5, 2.2]))
    def wait(self, seconds):
        self.advance_time(seconds)

    def advance_time(self, seconds):
        self.tree.clock.advance(seconds)
        for name in SENDERS:
            self.tree.nodes[name].service.subscribers.tick()

    @rule(name=st.sampled_from(ALL_NODES))
    def renew(self, name):
        self.tree.nodes[name].client.renew_now()

    @rule(name=st.sampled_from(ALL_NODES), upwards=st.booleans(), n=st.integers(1, 6))
    def deliver(self, name, upwards, n):
        link = self.tree.nodes[name].link
        for _ in range(n if link else 0):
            if upwards:
                link.deliver_up()
            else:
                link.deliver_down()

    @rule(names=st.lists(st.sampled_from(ALL_NODES), min_size=1, max_size=5))
    def exchange_on_some_links(self, names):
        for name in names:
            self.tree.exchange(name)

    @rule()
    def settle_and_renew_all(self):
        self.tree.settle()
        self.tree.renew_all()

    @rule(name=st.sampled_from(ENTRIES), sender=st.sampled_from(SENDERS))
    def move_entry(self, name, sender):
        self.tree.connect(name, sender)

    @rule(name=st.sampled_from(SENDERS))
    def connect_relay(self, name):
        if name != self.tree.shared.leader:
            self.tree.connect(name, self.tree.shared.leader)

    @rule(name=st.sampled_from(ALL_NODES))
    def cut(self, name):
        self.tree.cut(name)

    @rule(name=st.sampled_from(RELAYS + ENTRIES))
    def restart(self, name):
        self.tree.restart(name)
        for other in (name, f"{name}/relay"):
            self.highest.pop(other, None)

    @precondition(lambda self: self.tree.links())
    @rule(name=st.sampled_from(CONTROLS))
    def change_leader(self, name):
        if name != self.tree.shared.leader:
            self.tree.cut(name)
            self.tree.set_leader(name)

    @rule()
    def restart_follower(self):
        for name in CONTROLS:
            if name != self.tree.shared.leader:
                self.tree.restart(name)
                self.highest.pop(f"{name}/relay", None)

    @rule(seconds=st.sampled_from([0.0, 2.2]))
    def query_in_force(self, seconds):
        self.advance_time(seconds)
        revision = max(self.texts)
        if self.tree.leader.subscribers.in_force(revision).is_complete:
            self.in_force = max(self.in_force, revision)

    @invariant()
    def leased_views_are_not_older_than_in_force(self):
        for name in ENTRIES:
            client = self.tree.nodes[name].client
            if client.lease_valid():
                assert client.view.revision >= self.in_force

    @invariant()
    def views_are_monotonic_and_match_committed_texts(self):
        for name in ALL_NODES:
            client = self.tree.nodes[name].client
            view = client.view
            now = (view.revision, view.fencing_token, view.servers_index)
            before = self.highest.get(client.hello.instance, (0, 0, 0))
            assert all(n >= b for n, b in zip(now, before, strict=True))
            self.highest[client.hello.instance] = now
            if view.revision:
                assert view.source_texts[view.revision] == self.texts[view.revision]

    @invariant()
    def registry_agrees_with_the_oracle(self):
        registered = self.tree.shared.machine.servers.servers
        for name, known in self.oracle.servers.items():
            assert registered[name].server.incarnation == known.incarnation
            assert registered[name].present == known.present
            assert registered[name].home == known.home or not known.present

    @invariant()
    def departed_server_leaves_leased_views(self):
        now = self.tree.clock.now
        for name in ENTRIES:
            client = self.tree.nodes[name].client
            if not client.lease_valid():
                continue
            for known in client.view.servers.values():
                left_at = self.oracle.left_at.get((known.server, known.incarnation))
                assert left_at is None or now <= left_at + LEASE_BOUND_S

    def teardown(self):
        tree = self.tree
        for _ in range(2):
            tree.clock.advance(3 * LEASE_BOUND_S)
            tree.connect_all()
            tree.renew_all()
        progress = tree.leader.subscribers.in_force(max(self.texts))
        assert progress.is_complete
        present = {
            r.server for r in tree.shared.machine.servers.servers.values() if r.present
        }
        for name in ENTRIES:
            client = tree.nodes[name].client
            assert client.lease_valid()
            assert client.view.revision == max(self.texts)
            assert set(client.view.servers.values()) == present


TestSpread = SpreadMachine.TestCase
TestSpread.settings = settings(
    max_examples=200, stateful_step_count=40, derandomize=True, deadline=None
)
